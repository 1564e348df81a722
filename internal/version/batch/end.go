package batch

import (
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
)

// endFor bounds the tries to end a job.
const endFor = 2500 * time.Millisecond

// End records that a job's client needs no more results.
func (j *Jobs) End(now time.Time, id string, done func(now time.Time, outcome Outcome)) {
	known := j.heads[id]
	if known != nil && known.Ended {
		done(now, Done)
		return
	}
	e := &ending{jobs: j, id: id, startAt: now, pause: firstPause, done: done}
	if known == nil {
		e.read(now)
		return
	}
	e.submit(now)
}

// ending is one client's try to end a job.
type ending struct {
	jobs    *Jobs
	id      string
	startAt time.Time
	pause   time.Duration
	unsure  bool
	done    func(now time.Time, outcome Outcome)
}

func (e *ending) read(time.Time) {
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

func (e *ending) submit(now time.Time) {
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

func (e *ending) retry(now time.Time, unsure bool) {
	e.unsure = e.unsure || unsure
	if now.Sub(e.startAt)+e.pause >= endFor {
		outcome := NotDone
		if e.unsure {
			outcome = Unsure
		}
		e.done(now, outcome)
		return
	}
	e.jobs.later(e.pause, e.read)
	e.pause = min(2*e.pause, longestPause)
}
