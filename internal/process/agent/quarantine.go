package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/doorstep/doorstep/internal/connection/upstream"
	"github.com/doorstep/doorstep/internal/process/quarantine"
	"github.com/doorstep/doorstep/internal/request/relay"
)

// reasonQuarantined refuses a request that crashes the replicas that run it.
const reasonQuarantined = "the request crashes replicas"

// letThrough reports whether a request may be sent to replicas. One that crashes them is refused at
// once, as not run, with when it is tried again. Without this a request that its caller repeats costs
// as many replicas at each arrival as its route allows attempts: 18 in 12 arrivals at three nodes,
// three at the most with it (TestCrashingRequestsAreKeptFromReplicas).
func (x *exchange) letThrough(w http.ResponseWriter) bool {
	var verdict quarantine.Verdict
	served := false
	x.agent.do(func(now time.Time) {
		served = x.agent.node.Served(x.route, x.caller.Tenant)
		verdict = x.agent.node.Quarantine().Judge(now, x.asked.Fingerprint)
	})
	if !served {
		x.refuseUnserved(w)
		return false
	}
	switch verdict.State {
	case quarantine.Held:
		x.refuseQuarantined(w, verdict.Left)
		return false
	case quarantine.OnTrial:
		// A trial that no replica can have would be spent, and the next is minutes away.
		if x.allEvacuated() || !x.claimTrial() {
			x.refuseQuarantined(w, comeBack)
			return false
		}
		x.onTrial = true
		x.relay.LimitAttempts(1)
	case quarantine.Clear:
	}
	return true
}

func (x *exchange) refuseQuarantined(w http.ResponseWriter, after time.Duration) {
	x.agent.refuse(w, x.id, http.StatusServiceUnavailable, after.Round(time.Millisecond), reasonQuarantined,
		"fingerprint", x.asked.Fingerprint.String(), "route", x.route.Name)
}

// allEvacuated reports whether all replicas that could serve the request lie in evacuated zones.
func (x *exchange) allEvacuated() bool {
	evacuated := false
	x.agent.do(func(time.Time) { evacuated = x.agent.node.AllEvacuated(x.route, x.caller.Tenant) })
	return evacuated
}

// claimTrial reports whether this request is the one by which it is found out whether it still
// crashes replicas.
func (x *exchange) claimTrial() bool {
	return wait(x.request.Context(), func(done chan<- bool) {
		x.agent.do(func(now time.Time) {
			x.agent.node.Quarantine().Claim(now, x.asked.Fingerprint, func(_ time.Time, granted bool) { done <- granted })
		})
	})
}

// quarantined reports whether the request may not be sent to another replica, as it has crashed
// enough of them since it was let through.
func (x *exchange) quarantined(now time.Time) bool {
	return !x.onTrial && x.agent.node.Quarantine().Judge(now, x.asked.Fingerprint).State != quarantine.Clear
}

// noteRun tells the quarantine how the request fared at a replica.
func (x *exchange) noteRun(now time.Time, ended *attempt) {
	switch {
	case ended.crashed:
		x.agent.node.Quarantine().Crashed(now, x.asked, ended.endpoint.Incarnation())
	case ended.succeeded():
		x.agent.node.Quarantine().Answered(now, x.asked.Fingerprint)
	}
}

// succeeded reports whether a replica ran the request to a good end. A failure proves nothing: it may
// have come before the request began to run.
func (e *attempt) succeeded() bool {
	return e.outcome == relay.Answered && e.status < http.StatusMultipleChoices
}

// crashed reports whether the replica at an address ended while it had a request: the answer broke
// off, though nobody cancelled it, and nothing listens there any more. An answer that merely breaks
// off, as over a bad link or from a replica that garbles some, is not the request's fault.
func (a *Agent) crashed(ctx context.Context, address string, outcome relay.Outcome) bool {
	return outcome == relay.Broken && ctx.Err() == nil && a.upstream.RefusesConnections(ctx, address)
}

// crashedBy is crashed for an exchange that ended by an error.
func (a *Agent) crashedBy(ctx context.Context, address string, err error) bool {
	var failed *upstream.Error
	if errors.As(err, &failed) && !failed.Sent {
		return false
	}
	return a.crashed(ctx, address, relay.Broken)
}
