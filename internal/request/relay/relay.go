// Package relay decides over the attempts of one caller's request: when another
// replica is tried, and what the caller is told in the end. It does no I/O.
package relay

import (
	"net/http"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

const (
	// leastLeft is the least time for which an attempt is worth while.
	leastLeft = 15 * time.Millisecond
	// hedgePart is the part of the objective, one in so many, after which a second
	// replica is tried for a slow request that may be repeated.
	hedgePart = 2
	// retryAfter tells callers when to come back after a refusal.
	retryAfter = 200 * time.Millisecond
	// evacuatedRetryAfter is told where all replicas lie in evacuated zones: zones come back after
	// seconds at the soonest, so that a caller who comes back earlier is refused again.
	evacuatedRetryAfter = time.Second
	// defaultDeadline holds for callers that name none.
	defaultDeadline = 30 * time.Second
)

// Reasons of failures.
const (
	ReasonDeadline  = "deadline"
	ReasonNoAttempt = "no attempt left"
	ReasonEvacuated = "the replicas are in evacuated zones"
)

// Outcome is how an attempt ended.
type Outcome int

const (
	// Answered means that the replica's whole answer is at hand.
	Answered Outcome = iota
	// Errored means that the replica answered whole, with a failure of its own.
	Errored
	// NotRun means that the replica said so.
	NotRun
	// Broken means that the request may have run and its answer is lost.
	Broken
	// Unreached means that no byte was sent, as no connection came up in time.
	Unreached
	// Refused means that no byte was sent, as nothing listens at the replica's address.
	Refused
)

// Action is what is to be done next.
type Action int

const (
	// Wait for an attempt to end, or until the time given.
	Wait Action = iota
	// Launch another attempt.
	Launch
	// Deliver the answer of the attempt that just ended.
	Deliver
	// Fail with the status given.
	Fail
)

// Decision is an action with its particulars.
type Decision struct {
	Action Action
	// Until is when to ask again.
	Until time.Time
	// Status is the answer's; RetryAfter is when to come back, if not 0.
	Status     int
	RetryAfter time.Duration
	// Reason is for the log.
	Reason string
}

// Relay is the state of one request.
type Relay struct {
	repeatable  bool
	maxAttempts int
	deadline    time.Time
	hedgeAfter  time.Duration
	launchedAt  time.Time
	// launched counts the attempts that were sent to a replica or may yet be, open those under way.
	launched int
	open     int
	// mayHaveRun is set once an attempt was lost.
	mayHaveRun bool
	exhausted  bool
	// evacuated is set once there is no replica left but in evacuated zones.
	evacuated bool
	answered  bool
	errored   bool
	ended     bool
}

// New returns the state of a request that arrived now. wait is how long its caller
// waits, 0 when unsaid.
func New(now time.Time, route *port.Route, wait time.Duration) *Relay {
	if wait <= 0 {
		wait = defaultDeadline
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	return &Relay{
		repeatable:  route.Kind == port.RouteIdempotent || route.Kind == port.RouteStreaming && route.Resumable,
		maxAttempts: max(route.MaxAttempts, 1),
		deadline:    now.Add(wait),
		hedgeAfter:  route.Objective / hedgePart,
	}
}

// Deadline returns when the request must have its final answer.
func (r *Relay) Deadline() time.Time { return r.deadline }

// Left returns the time that may be granted to a replica.
func (r *Relay) Left(now time.Time) time.Duration { return r.deadline.Sub(now) }

// Pending reports whether an attempt is under way.
func (r *Relay) Pending() bool { return r.open > 0 }

// LimitAttempts lowers the number of replicas that the request may be sent to.
func (r *Relay) LimitAttempts(most int) { r.maxAttempts = min(r.maxAttempts, most) }

// Launched notes that an attempt was sent.
func (r *Relay) Launched(now time.Time) {
	r.launched++
	r.open++
	r.launchedAt = now
}

// NoEndpoint notes that no replica is left to try.
func (r *Relay) NoEndpoint() { r.exhausted = true }

// Evacuated notes that all replicas that could serve lie in evacuated zones.
func (r *Relay) Evacuated() {
	r.exhausted = true
	r.evacuated = true
}

// Ended notes how an attempt ended.
func (r *Relay) Ended(outcome Outcome) {
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
		// The route bounds the replicas that a request is sent to. While replicas of a service of
		// three ended and came back, 17 of 89 refusals came after two refused connections though
		// another replica served (logs of nine nodes, eleven seconds).
		r.launched--
	case NotRun, Unreached:
		// A caller does better to come back at another node than to wait for one silent replica
		// after the other here.
	}
}

// Next decides what is to be done.
func (r *Relay) Next(now time.Time) Decision {
	if r.answered {
		return Decision{Action: Deliver}
	}
	if r.Left(now) <= 0 {
		return r.fail(ReasonDeadline)
	}
	if r.mayLaunch(now) {
		return Decision{Action: Launch}
	}
	if r.open > 0 {
		return Decision{Action: Wait, Until: r.nextLook(now)}
	}
	if r.errored {
		return Decision{Action: Deliver}
	}
	if r.evacuated {
		return r.fail(ReasonEvacuated)
	}
	return r.fail(ReasonNoAttempt)
}

// mayLaunch reports whether another attempt is allowed and called for.
func (r *Relay) mayLaunch(now time.Time) bool {
	switch {
	case r.exhausted || r.launched >= r.maxAttempts || r.Left(now) < leastLeft:
		return false
	case r.launched == 0:
		return true
	case r.mayHaveRun && !r.repeatable:
		return false
	case r.open == 0:
		return true
	}
	return r.repeatable && r.hedgeAfter > 0 && now.Sub(r.launchedAt) >= r.hedgeAfter
}

func (r *Relay) nextLook(now time.Time) time.Time {
	if r.repeatable && !r.exhausted && r.launched < r.maxAttempts && r.hedgeAfter > 0 {
		hedgeAt := r.launchedAt.Add(r.hedgeAfter)
		if hedgeAt.After(now) && hedgeAt.Before(r.deadline) {
			return hedgeAt
		}
	}
	return r.deadline
}

// fail tells the truth: 503 only if the request has not run and never will.
func (r *Relay) fail(reason string) Decision {
	if !r.mayHaveRun && r.open == 0 {
		after := retryAfter
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
