package batch

import (
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
)

// endFor bounds the tries to end a job.
const endTimeout = 2500 * time.Millisecond

// End records that a job's client needs no more results.
func (j *Jobs) End(now time.Time, id string, done func(now time.Time, outcome Outcome)) {
	known := j.heads[id]
	if known != nil && known.Ended {
		done(now, Done)
		return
	}
	e := &endRequest{jobs: j, id: id, startedAt: now, backoff: initialBackoff, done: done}
	if known == nil {
		e.read(now)
		return
	}
	e.submit(now)
}

// ending is one client's try to end a job.
type endRequest struct {
	jobs          *Jobs
	id            string
	startedAt     time.Time
	backoff       time.Duration
	indeterminate bool
	done          func(now time.Time, outcome Outcome)
}

func (e *endRequest) read(time.Time) {
	e.jobs.ReadHead(e.id, func(now time.Time, status port.RecordStatus) {
		switch {
		case status != port.RecordDone:
			e.retry(now, false)
		case e.jobs.heads[e.id] == nil:
			e.done(now, Absent)
		default:
			e.submit(now)
		}
	})
}

func (e *endRequest) submit(now time.Time) {
	known := e.jobs.heads[e.id]
	if known == nil {
		e.done(now, Absent)
		return
	}
	if known.Ended {
		e.done(now, Done)
		return
	}
	next := proto.Clone(known.BatchJobHead).(*doorstepv1.BatchJobHead)
	next.Ended = true
	e.jobs.commitHead(e.id, next, known.revision, nil, func(now time.Time, result port.RecordResult) {
		switch result.Status {
		case port.RecordDone:
			e.jobs.options.Queue.Log(event.JobEnded, "job", e.id, "listed", next.Listed, "total", next.Total)
			e.done(now, Done)
		case port.RecordConflict:
			e.submit(now)
		default:
			e.retry(now, result.Status == port.RecordUnknown)
		}
	})
}

func (e *endRequest) retry(now time.Time, indeterminate bool) {
	e.indeterminate = e.indeterminate || indeterminate
	if now.Sub(e.startedAt)+e.backoff >= endTimeout {
		outcome := NotDone
		if e.indeterminate {
			outcome = Unsure
		}
		e.done(now, outcome)
		return
	}
	e.jobs.retryAfter(e.backoff, e.read)
	e.backoff = min(2*e.backoff, maxBackoff)
}
