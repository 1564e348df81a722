package agent

import (
	"net/http"
	"time"

	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/request/relay"
)

const (
	// reasonCold is reported when only cold replicas are available and none has capacity.
	reasonCold = "replicas are cold"
	// A claim on a cold replica takes a few store calls in turn, and coldClaimMargin for their scheduling.
	coldClaimCalls  = 4
	coldClaimMargin = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After value of a cold refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// claimTimeout returns how long a request waits for a claim, given the recent latency of the store: as long as a
// claim takes, but at most half of the caller's remaining time, as the rest is for the answer or another node.
func claimTimeout(latency, remaining time.Duration) time.Duration {
	return min(coldClaimMargin+coldClaimCalls*latency, remaining/2)
}

// chooseCold claims a cold replica for the next attempt. It returns nil if no claim succeeds within claimTimeout.
func (x *exchange) chooseCold() *endpoint.Endpoint {
	var chosen *endpoint.Endpoint
	abandoned := false
	done := make(chan struct{})
	claimed := false
	var timeout time.Duration
	x.agent.do(func(now time.Time) {
		timeout = claimTimeout(x.agent.node.Latency(), x.relay.Remaining(time.Now()))
		claimed = x.agent.node.ClaimCold(now, x.route, x.caller.Tenant, x.agent.protocol.Model(x.header), x.exclude,
			func() bool { return !abandoned && x.request.Context().Err() == nil },
			func(now time.Time, found *endpoint.Endpoint, retryAfter time.Duration) {
				if abandoned {
					return
				}
				chosen = found
				x.recordChoice(now, chosen)
				x.retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
				close(done)
			})
	})
	if !claimed {
		return nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	x.agent.do(func(time.Time) {
		abandoned = true
		if chosen == nil && x.retryAfter == 0 {
			x.retryAfter = retryAfterBy(x.relay.Deadline())
		}
	})
	return chosen
}

// coldRefusal adds the reason and Retry-After to a decision that failed only for lack of a warm replica.
func (x *exchange) coldRefusal(decision relay.Decision) relay.Decision {
	if x.retryAfter > 0 && x.launched == 0 && decision.Status == http.StatusServiceUnavailable {
		decision.RetryAfter, decision.Reason = x.retryAfter.Round(time.Millisecond), reasonCold
	}
	return decision
}

// pastDeadline returns a function that reports whether the deadline has passed; nil for the zero time.
func (a *Agent) pastDeadline(deadline time.Time) func() bool {
	if deadline.IsZero() {
		return nil
	}
	return func() bool { return a.clock.Now().After(deadline) }
}
