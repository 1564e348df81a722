package relay

import "time"

// Shutdown is the schedule of a node's graceful shutdown; zero if there is none.
type Shutdown struct {
	// NoticedAt is when clients and load balancers have had time to notice it.
	NoticedAt time.Time
	// AnswerBy is when all requests must be answered.
	AnswerBy time.Time
}

// SetShutdown sets the shutdown of the node. It may be called again.
func (r *Relay) SetShutdown(shutdown Shutdown) { r.shutdown = shutdown }

// endsAfterShutdown reports whether the caller waits for longer than the node can.
func (r *Relay) endsAfterShutdown() bool {
	return !r.shutdown.AnswerBy.IsZero() && r.deadline.After(r.shutdown.AnswerBy)
}

// fitsShutdown reports whether an attempt that starts now ends before the node does. At first its usual response time
// decides, as load balancers still send requests here. Then only the caller's deadline does: some requests take much
// longer than others, and a refused one is served by another node.
func (r *Relay) fitsShutdown(now time.Time) bool {
	switch {
	case !r.endsAfterShutdown():
		return true
	case !now.Before(r.shutdown.NoticedAt):
		return false
	case r.expected.Longest == 0:
		return r.repeatable
	}
	return !now.Add(r.expected.Longest).After(r.shutdown.AnswerBy)
}

// timeoutReason returns the reason of a failure for lack of time.
func (r *Relay) timeoutReason() string {
	if r.endsAfterShutdown() {
		return ReasonShutdown
	}
	return ReasonDeadline
}
