package quarantine

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// State is whether a request may be sent to replicas.
type State int

const (
	// Allowed requests may be sent.
	Allowed State = iota
	// Held requests must not be sent.
	Held
	// OnTrial requests may be sent once, by the node that claims the trial.
	OnTrial
)

// Decision is the decision on a request.
type Decision struct {
	State State
	// Remaining is the remaining time for which the request is held.
	Remaining time.Duration
}

// Check returns whether a request may be sent to replicas.
func (q *Quarantine) Check(now time.Time, fingerprint Fingerprint) Decision {
	s := q.suspects[fingerprint]
	if s == nil || !s.held() {
		return Decision{}
	}
	wait := quarantineTTL
	if len(s.trials) < len(trialDelays) {
		wait = trialDelays[len(s.trials)]
	}
	left := s.lastEventAt() + wait - q.options.StoreClock(now)
	switch {
	case left > 0:
		return Decision{State: Held, Remaining: left}
	case len(s.trials) < len(trialDelays):
		return Decision{State: OnTrial}
	}
	return Decision{}
}

// ClaimTrial claims the next trial of a request for this node. Each trial is granted once, as its record must not
// exist yet. A claim without a response uses up the trial.
func (q *Quarantine) ClaimTrial(now time.Time, fingerprint Fingerprint, done func(now time.Time, granted bool)) {
	s := q.suspects[fingerprint]
	if s == nil {
		done(now, true)
		return
	}
	name := trialName(fingerprint, len(s.trials))
	at := q.options.StoreClock(now)
	q.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: name.key()}},
			Puts:          []port.Record{q.record(name, s, at)},
		},
		Done: func(now time.Time, result port.RecordResult) {
			if result.Status == port.RecordDone {
				s.trials[name.id] = &entry{at: at, recorded: true}
				q.options.Queue.Log(event.QuarantineTrial, "fingerprint", fingerprint.String(), "route", s.route, "trial", name.id)
			}
			done(now, result.Status == port.RecordDone)
		},
	})
}
