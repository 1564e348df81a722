package agent

import (
	"net/http"
	"time"

	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/request/relay"
)

const (
	// reasonCold refuses a request for which there are only cold replicas, which bear no more now.
	reasonCold = "replicas are cold"
	// coldWait bounds the wait for a claim of a cold replica: some calls to the store of 4 ms.
	coldWait = 100 * time.Millisecond
	// leastComeBack and mostComeBack bound when a caller is told to come back.
	leastComeBack = 50 * time.Millisecond
	mostComeBack  = 2 * time.Second
)

// chooseCold has a cold replica claimed for the next attempt, nil if none can be had within coldWait.
func (x *exchange) chooseCold() *endpoint.Endpoint {
	var chosen *endpoint.Endpoint
	left := false
	done := make(chan struct{})
	claimed := false
	x.agent.do(func(now time.Time) {
		claimed = x.agent.node.ClaimCold(now, x.route, x.caller.Tenant, x.agent.protocol.Model(x.request.Header), x.exclude,
			func() bool { return !left && x.request.Context().Err() == nil },
			func(now time.Time, found *endpoint.Endpoint, comeBack time.Duration) {
				if left {
					return
				}
				chosen = found
				x.noteChosen(now, chosen)
				x.comeBack = min(max(comeBack, leastComeBack), mostComeBack)
				close(done)
			})
	})
	if !claimed {
		return nil
	}
	timer := time.NewTimer(coldWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	x.agent.do(func(time.Time) {
		left = true
		if chosen == nil && x.comeBack == 0 {
			x.comeBack = comeBack
		}
	})
	return chosen
}

// coldRefusal tells in a refusal that nothing but cold replicas was the reason, with when one may be had.
func (x *exchange) coldRefusal(decision relay.Decision) relay.Decision {
	if x.comeBack > 0 && x.launched == 0 && decision.Status == http.StatusServiceUnavailable {
		decision.RetryAfter, decision.Reason = x.comeBack.Round(time.Millisecond), reasonCold
	}
	return decision
}

// lateAfter returns a check of whether a time has passed, nil for the zero time.
func (a *Agent) lateAfter(by time.Time) func() bool {
	if by.IsZero() {
		return nil
	}
	return func() bool { return a.clock.Now().After(by) }
}
