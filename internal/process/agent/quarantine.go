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

// reasonQuarantined is reported for a quarantined request.
const reasonQuarantined = "the request crashes replicas"

// mayForward reports whether a request may be sent to replicas, and responds if not. Quarantined
// requests are refused so that client retries do not crash further replicas.
func (x *exchange) mayForward(w http.ResponseWriter) bool {
	var verdict quarantine.Decision
	hasAllowedReplica := false
	x.agent.do(func(now time.Time) {
		hasAllowedReplica = x.agent.node.HasAllowedReplica(x.route, x.caller.Tenant)
		verdict = x.agent.node.Quarantine().Check(now, x.identity.Fingerprint)
	})
	if !hasAllowedReplica {
		x.refuseNoAllowedRegion(w)
		return false
	}
	switch verdict.State {
	case quarantine.Held:
		x.refuseQuarantined(w, verdict.Remaining)
		return false
	case quarantine.OnTrial:
		// Don't use up a trial that no replica could serve.
		if x.allEvacuated() || !x.claimTrial() {
			x.refuseQuarantined(w, retryAfterBy(x.relay.Deadline()))
			return false
		}
		x.onTrial = true
		x.relay.LimitAttempts(1)
	case quarantine.Allowed:
	}
	return true
}

func (x *exchange) refuseQuarantined(w http.ResponseWriter, after time.Duration) {
	x.agent.refuse(w, x.id, http.StatusServiceUnavailable, after.Round(time.Millisecond), reasonQuarantined,
		"fingerprint", x.identity.Fingerprint.String(), "route", x.route.Name)
}

// allEvacuated reports whether all replicas that could serve the request are in evacuated zones.
func (x *exchange) allEvacuated() bool {
	evacuated := false
	x.agent.do(func(time.Time) { evacuated = x.agent.node.AllEvacuated(x.route, x.caller.Tenant) })
	return evacuated
}

// claimTrial reports whether this request was granted the trial of its fingerprint.
func (x *exchange) claimTrial() bool {
	return awaitOutcome(x.agent, false, func(done chan<- bool) {
		x.agent.do(func(now time.Time) {
			x.agent.node.Quarantine().ClaimTrial(now, x.identity.Fingerprint, func(_ time.Time, granted bool) { done <- granted })
		})
	})
}

// quarantined reports whether the request became quarantined after it was admitted.
func (x *exchange) quarantined(now time.Time) bool {
	return !x.onTrial && x.agent.node.Quarantine().Check(now, x.identity.Fingerprint).State != quarantine.Allowed
}

// reportToQuarantine reports the attempt's result to the quarantine.
func (x *exchange) reportToQuarantine(now time.Time, ended *attempt) {
	switch {
	case ended.crashed:
		x.agent.node.Quarantine().RecordCrash(now, x.identity, ended.endpoint.Incarnation())
	case ended.succeeded():
		x.agent.node.Quarantine().RecordAnswer(now, x.identity.Fingerprint)
	}
}

// succeeded reports whether a replica completed the request. Error responses don't count, because
// the replica may have failed before running the request.
func (e *attempt) succeeded() bool {
	return e.outcome == relay.Answered && e.status < http.StatusMultipleChoices
}

// crashed reports whether the replica stopped while it had a request: the response broke off without
// a cancellation, and nothing listens at the address any more. A broken connection alone may be a
// network fault or a corrupt response.
func (a *Agent) crashed(ctx context.Context, address string, outcome relay.Outcome) bool {
	return outcome == relay.Broken && ctx.Err() == nil && a.upstream.RefusesConnections(ctx, address)
}

// crashedWithError reports whether the replica stopped during a call that returned an error.
func (a *Agent) crashedWithError(ctx context.Context, address string, err error) bool {
	var failed *upstream.Error
	if errors.As(err, &failed) && !failed.Sent {
		return false
	}
	return a.crashed(ctx, address, relay.Broken)
}
