// Package relay decides on the attempts of a caller's request: when to try another replica and what to
// answer. It performs no I/O.
package relay

import (
	"net/http"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

const (
	// minAttemptTime is the minimum remaining time for starting an attempt.
	minAttemptTime = 15 * time.Millisecond
	// retryAfter is the Retry-After of a refusal if the time left allows it.
	retryAfter = 200 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After if all replicas are in evacuated zones. Evacuations last
	// for seconds at least, so an earlier retry would be refused again.
	evacuatedRetryAfter = time.Second
	// defaultDeadline applies to callers that do not set a deadline.
	defaultDeadline = 30 * time.Second
)

// Reasons of failures.
const (
	ReasonDeadline  = "deadline"
	ReasonNoAttempt = "no attempt left"
	ReasonEvacuated = "the replicas are in evacuated zones"
	ReasonShutdown  = "the node is shutting down"
)

// Outcome is the outcome of an attempt.
type Outcome int

const (
	// Answered means that the replica's complete answer was received.
	Answered Outcome = iota
	// Errored means that the replica returned a complete error response.
	Errored
	// NotRun means that the replica reported that it did not run the request.
	NotRun
	// Broken means that the request may have run but its answer was lost.
	Broken
	// Unreached means that no connection was established in time, so nothing was sent.
	Unreached
	// Refused means that the connection was refused, so nothing was sent.
	Refused
)

// Action is the next step of a request.
type Action int

const (
	// Wait until an attempt ends or until the time given.
	Wait Action = iota
	// Launch another attempt.
	Launch
	// Deliver the answer of the attempt that just ended.
	Deliver
	// Fail with the status given.
	Fail
)

// Decision is an action with its parameters.
type Decision struct {
	Action Action
	// Until is when to call Next again.
	Until time.Time
	// Status is the HTTP status of the answer. RetryAfter is its Retry-After, 0 for none.
	Status     int
	RetryAfter time.Duration
	// Reason is the reason of a failure, for the log.
	Reason string
}

// Relay is the state of one request.
type Relay struct {
	repeatable  bool
	maxAttempts int
	deadline    time.Time
	// hedgeDelay is how long a repeatable request waits for an attempt before another one is started, hedgeAt
	// when it next does. hedgeTime is the time left that makes a second attempt worthwhile.
	hedgeDelay, hedgeTime time.Duration
	hedgeAt               time.Time
	// expected is how long the route's requests currently take.
	expected ResponseTime
	shutdown Shutdown
	// launched counts the attempts that were or may still be sent, open those in progress.
	launched int
	open     int
	// mayHaveRun is set once the answer of an attempt was lost or an error.
	mayHaveRun bool
	exhausted  bool
	// evacuated is set once all remaining replicas are in evacuated zones.
	evacuated bool
	answered  bool
	errored   bool
	ended     bool
	// streaming is set once the head of a stream was sent to the caller.
	streaming bool
}

// TimeAllowed returns how long a request may take from its arrival: the caller's timeout, 0 if it has none, but at most
// that of the route.
func TimeAllowed(route *port.Route, wait time.Duration) time.Duration {
	if wait <= 0 {
		wait = defaultDeadline
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return wait
}

// New returns the state of a request. wait is the caller's timeout, 0 if it has none; expected is how long the route's
// requests currently take.
func New(arrivedAt time.Time, route *port.Route, wait time.Duration, expected ResponseTime) *Relay {
	wait = TimeAllowed(route, wait)
	return &Relay{
		repeatable:  route.Kind == port.RouteIdempotent || route.Kind == port.RouteStreaming && route.Resumable,
		maxAttempts: max(route.MaxAttempts, 1),
		deadline:    arrivedAt.Add(wait),
		hedgeDelay:  hedgeDelay(wait, expected),
		hedgeTime:   max(expected.Mean, minAttemptTime),
		expected:    expected,
	}
}

// hedgeDelay returns how long to wait for an attempt before it counts as stuck. As long as the response time is
// unknown, a second attempt gets as much time as the first.
func hedgeDelay(wait time.Duration, expected ResponseTime) time.Duration {
	if expected.Longest == 0 {
		return wait / 2
	}
	return expected.Longest
}

// Deadline returns when the caller stops waiting.
func (r *Relay) Deadline() time.Time { return r.deadline }

// Remaining returns the time in which the request must be answered.
func (r *Relay) Remaining(now time.Time) time.Duration {
	if r.endsAfterShutdown() {
		return r.shutdown.AnswerBy.Sub(now)
	}
	return r.deadline.Sub(now)
}

// Pending reports whether an attempt is in progress.
func (r *Relay) Pending() bool { return r.open > 0 }

// LimitAttempts lowers the maximum number of attempts.
func (r *Relay) LimitAttempts(limit int) { r.maxAttempts = min(r.maxAttempts, limit) }

// RecordLaunch records that an attempt was started.
func (r *Relay) RecordLaunch(now time.Time) {
	r.launched++
	r.open++
	r.hedgeAt = now.Add(r.hedgeDelay)
}

// RecordNoEndpoint records that there is no other replica to try. While an attempt is in progress, the request may
// try again later: replicas without room for a hedged attempt may get some.
func (r *Relay) RecordNoEndpoint(now time.Time) {
	if r.open > 0 {
		r.hedgeAt = now.Add(r.hedgeDelay)
		return
	}
	r.exhausted = true
}

// RecordEvacuated records that all remaining replicas are in evacuated zones.
func (r *Relay) RecordEvacuated() {
	r.exhausted = true
	r.evacuated = true
}

// RecordHeadSent records that the caller has received the head of a stream. From then on only the end of the
// events completes the answer: a replica's error cannot be delivered anymore.
func (r *Relay) RecordHeadSent() { r.streaming = true }

// RecordOutcome records the outcome of an attempt. Once the head of a stream was sent, Answered means that the
// stream has ended.
func (r *Relay) RecordOutcome(outcome Outcome) {
	r.open--
	r.ended = true
	switch outcome {
	case Answered:
		r.answered = true
	case Errored:
		r.errored = true
		r.mayHaveRun = true
	case Broken:
		r.mayHaveRun = true
	case Refused:
		// A refused connection does not count against the maximum number of attempts. During a rolling
		// restart the limit could otherwise be used up while another replica is available.
		r.launched--
	case NotRun, Unreached:
		// These count as attempts. If replicas do not respond, the caller should retry on another node
		// rather than wait for several timeouts here.
	}
}

// Next decides on the next step.
func (r *Relay) Next(now time.Time) Decision {
	if r.answered {
		return Decision{Action: Deliver}
	}
	if r.Remaining(now) <= 0 {
		return r.fail(now, r.timeoutReason())
	}
	if r.mayLaunch(now) {
		return Decision{Action: Launch}
	}
	if r.open > 0 {
		return Decision{Action: Wait, Until: r.nextCheck(now)}
	}
	if r.errored && !r.streaming {
		return Decision{Action: Deliver}
	}
	if r.evacuated {
		return r.fail(now, ReasonEvacuated)
	}
	if !r.fitsShutdown(now) {
		return r.fail(now, ReasonShutdown)
	}
	return r.fail(now, ReasonNoAttempt)
}

// mayLaunch reports whether another attempt is allowed and due.
func (r *Relay) mayLaunch(now time.Time) bool {
	switch {
	case r.exhausted || r.launched >= r.maxAttempts || r.Remaining(now) < minAttemptTime || !r.fitsShutdown(now):
		return false
	case r.launched == 0:
		return true
	case r.mayHaveRun && !r.repeatable:
		return false
	case r.open == 0:
		return true
	}
	return r.mayHedge(now) && !now.Before(r.hedgeAt)
}

// mayHedge reports whether an attempt that starts at the given time, beside the one in progress, could still be
// answered before the deadline.
func (r *Relay) mayHedge(at time.Time) bool {
	return r.repeatable && !r.exhausted && r.launched < r.maxAttempts && r.Remaining(at) >= r.hedgeTime
}

func (r *Relay) nextCheck(now time.Time) time.Time {
	if r.hedgeAt.After(now) && r.mayHedge(r.hedgeAt) {
		return r.hedgeAt
	}
	return now.Add(r.Remaining(now))
}

// LimitRetryAfter limits a Retry-After that is not tied to an event to half of the caller's remaining time, so that
// as much is left for the retry. It returns 0, which means none, if no time remains.
func LimitRetryAfter(after, remaining time.Duration) time.Duration {
	return max(min(after, remaining/2).Round(time.Millisecond), 0)
}

// fail returns a failure. Its status is 503 only if the request has not run and will not run.
func (r *Relay) fail(now time.Time, reason string) Decision {
	if !r.mayHaveRun && r.open == 0 {
		after := LimitRetryAfter(retryAfter, r.deadline.Sub(now))
		if reason == ReasonEvacuated {
			after = evacuatedRetryAfter
		}
		return Decision{Action: Fail, Status: http.StatusServiceUnavailable, RetryAfter: after, Reason: reason}
	}
	status := http.StatusBadGateway
	if r.open > 0 {
		status = http.StatusGatewayTimeout
	}
	return Decision{Action: Fail, Status: status, Reason: reason}
}
