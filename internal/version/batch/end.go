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

// End records that the client needs no more results of a job.
func (j *Jobs) End(now time.Time, id string, done func(now time.Time, outcome Outcome)) {
	known := j.heads[id]
	if known != nil && known.Ended {
		done(now, Applied)
		return
	}
	r := &endRequest{jobs: j, id: id, startedAt: now, backoff: initialBackoff, done: done}
	if known == nil {
		r.read(now)
		return
	}
	r.submit(now)
}

// endRequest is one client request to end a job, including its retries.
type endRequest struct {
	jobs          *Jobs
	id            string
	startedAt     time.Time
	backoff       time.Duration
	indeterminate bool
	done          func(now time.Time, outcome Outcome)
}

func (r *endRequest) read(time.Time) {
	r.jobs.ReadHead(r.id, func(now time.Time, status port.RecordStatus) {
		switch {
		case status != port.RecordDone:
			r.retry(now, false)
		case r.jobs.heads[r.id] == nil:
			r.done(now, NotFound)
		default:
			r.submit(now)
		}
	})
}

func (r *endRequest) submit(now time.Time) {
	known := r.jobs.heads[r.id]
	if known == nil {
		r.done(now, NotFound)
		return
	}
	if known.Ended {
		r.done(now, Applied)
		return
	}
	next := proto.Clone(known.BatchJobHead).(*doorstepv1.BatchJobHead)
	next.Ended = true
	r.jobs.commitHead(r.id, next, known.revision, nil, func(now time.Time, result port.RecordResult) {
		switch result.Status {
		case port.RecordDone:
			r.jobs.options.Queue.Log(event.JobEnded, "job", r.id, "listed", next.Listed, "total", next.Total)
			r.done(now, Applied)
		case port.RecordConflict:
			r.submit(now)
		default:
			r.retry(now, result.Status == port.RecordUnknown)
		}
	})
}

func (r *endRequest) retry(now time.Time, indeterminate bool) {
	r.indeterminate = r.indeterminate || indeterminate
	if now.Sub(r.startedAt)+r.backoff >= endTimeout {
		outcome := NotApplied
		if r.indeterminate {
			outcome = Indeterminate
		}
		r.done(now, outcome)
		return
	}
	r.jobs.retryAfter(r.backoff, r.read)
	r.backoff = min(2*r.backoff, maxBackoff)
}
