package batch

import (
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
)

// endTimeout limits how long a request to end a job is retried.
const endTimeout = 2500 * time.Millisecond

// End records that the client needs no more results of a job. The client waits until the deadline, zero if unknown.
func (j *Jobs) End(now time.Time, id string, deadline time.Time, done func(now time.Time, outcome Outcome)) {
	known := j.heads[id]
	if known != nil && known.Ended {
		done(now, Applied)
		return
	}
	r := &endRequest{jobs: j, id: id, retries: newCallRetries(now, deadline), done: done}
	j.atDeadline(now, deadline, func(now time.Time) { r.finish(now, r.retries.failure()) })
	if known == nil {
		r.read(now)
		return
	}
	r.submit(now)
}

// endRequest is one client request to end a job, including its retries.
type endRequest struct {
	jobs    *Jobs
	id      string
	retries callRetries
	done    func(now time.Time, outcome Outcome)
}

func (r *endRequest) read(time.Time) {
	if r.retries.finished {
		return
	}
	r.jobs.ReadHead(r.id, func(now time.Time, status port.RecordStatus) {
		switch {
		case status != port.RecordDone:
			r.retry(now, false)
		case r.jobs.heads[r.id] == nil:
			r.finish(now, NotFound)
		default:
			r.submit(now)
		}
	})
}

func (r *endRequest) submit(now time.Time) {
	if r.retries.finished {
		return
	}
	known := r.jobs.heads[r.id]
	if known == nil {
		r.finish(now, NotFound)
		return
	}
	if known.Ended {
		r.finish(now, Applied)
		return
	}
	next := proto.Clone(known.BatchJobHead).(*doorstepv1.BatchJobHead)
	next.Ended = true
	r.retries.writing = true
	r.jobs.commitHead(r.id, next, known.revision, nil, func(now time.Time, result port.RecordResult) {
		r.retries.writing = false
		switch result.Status {
		case port.RecordDone:
			r.jobs.options.Queue.Log(event.JobEnded, "job", r.id, "listed", next.Listed, "total", next.Total)
			r.finish(now, Applied)
		case port.RecordConflict:
			r.submit(now)
		default:
			r.retry(now, result.Status == port.RecordUnknown)
		}
	})
}

func (r *endRequest) retry(now time.Time, inDoubt bool) {
	r.retries.inDoubt = r.retries.inDoubt || inDoubt
	delay, ok := r.retries.next(now, endTimeout)
	if !ok {
		r.finish(now, r.retries.failure())
		return
	}
	r.jobs.retryAfter(delay, r.read)
}

func (r *endRequest) finish(now time.Time, outcome Outcome) {
	if r.retries.finished {
		return
	}
	r.retries.finished = true
	r.done(now, outcome)
}
