package batch

import (
	"time"

	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// initialBackoff and maxBackoff bound the delay between retries.
	initialBackoff = 30 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	// answerMargin is how long before its deadline a client is answered, so that the answer reaches it in time.
	answerMargin = 25 * time.Millisecond
)

// callRetries tracks the retries of a client's call that writes to the store.
type callRetries struct {
	startedAt time.Time
	// deadline is when the client stops waiting, zero if unknown.
	deadline time.Time
	backoff  time.Duration
	// inDoubt is set once the result of a write is unknown, writing while a write is under way.
	inDoubt, writing bool
	finished         bool
}

func newCallRetries(now, deadline time.Time) callRetries {
	return callRetries{startedAt: now, deadline: deadline, backoff: initialBackoff}
}

// next returns the delay before the next retry. It returns false once retries have taken the limit or half of the
// client's time: the rest is for another node, which may reach the store.
func (c *callRetries) next(now time.Time, limit time.Duration) (time.Duration, bool) {
	if !c.deadline.IsZero() {
		limit = min(limit, c.deadline.Sub(c.startedAt)/2)
	}
	if now.Sub(c.startedAt)+c.backoff >= limit {
		return 0, false
	}
	delay := c.backoff
	c.backoff = min(2*c.backoff, maxBackoff)
	return delay, true
}

// failure returns the outcome of a call that is given up.
func (c *callRetries) failure() Outcome {
	if c.inDoubt || c.writing {
		return Indeterminate
	}
	return NotApplied
}

// atDeadline schedules a function for shortly before a client's deadline, if it has one.
func (j *Jobs) atDeadline(now, deadline time.Time, do func(now time.Time)) {
	if !deadline.IsZero() {
		j.options.Queue.Add(task.Timer{After: max(deadline.Add(-answerMargin).Sub(now), 0), Do: do})
	}
}
