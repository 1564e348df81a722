package agent

import (
	"context"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/request/access"
	"github.com/doorstep/doorstep/internal/version/batch"
	"github.com/doorstep/doorstep/internal/version/routes"
)

const (
	// maxResultWait bounds how long a read waits for results.
	maxResultWait = 2 * time.Second
	// maxJobIDBytes bounds a job ID, which is part of record keys.
	maxJobIDBytes = 120
)

// acceptJob accepts a batch job and responds once it is stored, before the caller's deadline in any case.
func (a *Agent) acceptJob(w http.ResponseWriter, r *http.Request, deadline time.Time, route *port.Route, caller access.Caller, id string, body []byte) {
	if r.Method != http.MethodPost {
		a.refuse(w, id, http.StatusMethodNotAllowed, 0, "a batch job is handed in by POST")
		return
	}
	job, err := a.protocol.DecodeJob(id, body)
	switch {
	case err != nil:
	case len(id) > maxJobIDBytes || strings.ContainsAny(id, "/\x00") || !utf8.ValidString(id):
		err = errJobID
	case !utf8.ValidString(r.Host) || !utf8.ValidString(r.URL.Path):
		err = errJobPath
	}
	if err != nil {
		a.refuse(w, id, http.StatusBadRequest, 0, err.Error())
		return
	}
	job.Route, job.Host, job.Path, job.Tenant = route.Name, r.Host, r.URL.Path, caller.Tenant
	outcome := awaitOutcome(a, batch.Indeterminate, func(done chan<- batch.Outcome) {
		a.do(func(now time.Time) {
			a.node.Jobs().Accept(now, job, nodeDeadline(now, a.limitToShutdown(deadline)), func(_ time.Time, outcome batch.Outcome) { done <- outcome })
		})
	})
	a.metrics.accepted(outcome)
	if outcome == batch.Applied {
		a.protocol.SetRequestID(w.Header(), id)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	a.refuseOutcome(w, id, outcome, deadline)
}

var (
	// errJobID reports a job ID that is not usable in a record key.
	errJobID = errorString("the id of the job is too long, holds a slash or is not UTF-8")
	// errJobPath reports a host or a path that cannot be stored as text.
	errJobPath = errorString("the host or the path is not UTF-8")
)

type errorString string

func (e errorString) Error() string { return string(e) }

// awaitOutcome makes a call to the node and waits for its outcome, even if the caller is gone. It returns pending if the
// node must answer before there is an outcome.
func awaitOutcome[T any](a *Agent, pending T, call func(done chan<- T)) T {
	done := make(chan T, 1)
	call(done)
	select {
	case outcome := <-done:
		return outcome
	case <-a.answering.Done():
	}
	select {
	case outcome := <-done:
		return outcome
	default:
		return pending
	}
}

// refuseOutcome responds to a job call that failed or whose outcome is unknown. The caller's deadline is zero if
// unknown.
func (a *Agent) refuseOutcome(w http.ResponseWriter, id string, outcome batch.Outcome, deadline time.Time) {
	switch outcome {
	case batch.NotFound:
		a.refuse(w, id, http.StatusNotFound, 0, reasonNoJob)
	case batch.TenantMismatch:
		a.refuse(w, id, http.StatusConflict, 0, reasonIDInUse)
	case batch.Indeterminate:
		a.refuse(w, id, http.StatusGatewayTimeout, 0, reasonStoreTimeout)
	case batch.NoReplica:
		a.refuse(w, id, http.StatusServiceUnavailable, noRegionRetryAfter, reasonNoAllowedRegion)
	case batch.Invalid:
		a.refuse(w, id, http.StatusBadRequest, 0, reasonInvalidJob)
	case batch.NotApplied, batch.Applied:
		a.refuse(w, id, http.StatusServiceUnavailable, retryAfterBy(deadline), reasonStoreUnavailable)
	}
}

// nodeDeadline converts a deadline to the node's clock, which goes on while the machine is suspended.
func nodeDeadline(now, deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return now.Add(time.Until(deadline))
}

// serveJobCall handles calls about existing jobs.
func (a *Agent) serveJobCall(w http.ResponseWriter, r *http.Request, table *routes.Table, call port.JobCall) {
	deadline := a.callerDeadline(time.Now(), r.Header)
	if !a.authorizeJobCall(w, r, table, call, deadline) {
		return
	}
	switch call.Kind {
	case port.ReadJob:
		a.readJob(w, r, call, deadline)
	case port.ReadItem:
		a.readItem(w, call, deadline)
	case port.EndJob:
		outcome := awaitOutcome(a, batch.Indeterminate, func(done chan<- batch.Outcome) {
			a.do(func(now time.Time) {
				a.node.Jobs().End(now, call.Job, nodeDeadline(now, a.limitToShutdown(deadline)), func(_ time.Time, outcome batch.Outcome) { done <- outcome })
			})
		})
		if outcome != batch.Applied {
			a.refuseOutcome(w, call.Job, outcome, deadline)
		}
	case port.NoJobCall:
	}
}

// authorizeJobCall reports whether the caller may access a job, and responds if not. Another tenant's
// job is reported as not found. A job without a tenant is accessible to all.
func (a *Agent) authorizeJobCall(w http.ResponseWriter, r *http.Request, table *routes.Table, call port.JobCall, deadline time.Time) bool {
	if !table.HasTenants() {
		return true
	}
	caller, verdict := a.identify(table, r.Header, false)
	if verdict != access.Admitted {
		if state, known := a.knownJob(call.Job); known && state.Tenant == "" {
			return true
		}
		a.refuseKey(w, call.Job, verdict, deadline)
		return false
	}
	read := awaitOutcome(a, jobSnapshot{outcome: batch.NotApplied}, func(done chan<- jobSnapshot) {
		a.do(func(time.Time) {
			a.withJobState(call.Job, func(state batch.State) { done <- jobSnapshot{state: state} },
				func(outcome batch.Outcome) { done <- jobSnapshot{outcome: outcome} })
		})
	})
	if read.outcome == batch.Applied && !caller.MayAccess(read.state.Tenant) {
		read.outcome = batch.NotFound
	}
	if read.outcome != batch.Applied {
		a.refuseOutcome(w, call.Job, read.outcome, deadline)
		return false
	}
	return true
}

func (a *Agent) knownJob(id string) (batch.State, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.Jobs().Lookup(id)
}

// jobSnapshot is a job's state with the results read from it.
type jobSnapshot struct {
	outcome batch.Outcome
	state   batch.State
	results []*doorstepv1.BatchResult
}

// readJob responds with the results from a position on, waiting until there is at least one.
func (a *Agent) readJob(w http.ResponseWriter, r *http.Request, call port.JobCall, deadline time.Time) {
	startedAt := time.Now()
	until := startedAt.Add(min(a.protocol.MaxWait(r.Header), maxResultWait))
	for {
		changed := a.watchJob(call.Job)
		read := a.readResults(call)
		if read.outcome != batch.Applied {
			a.refuseOutcome(w, call.Job, read.outcome, deadline)
			return
		}
		if len(read.results) > 0 || call.From >= read.state.Total || !a.waitForChange(r.Context(), changed, until) {
			a.log.add(event.JobRead, "job", call.Job, "from", call.From, "results", len(read.results), "held_ms", time.Since(startedAt).Milliseconds(),
				"listed", read.state.Listed, "total", read.state.Total)
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(a.protocol.EncodeResults(read.state.Total, call.From, read.results))
			return
		}
	}
}

// watchJob returns a channel that is closed when the job next changes.
func (a *Agent) watchJob(id string) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	waiter := a.jobWaiters[id]
	if waiter == nil {
		waiter = make(chan struct{})
		a.jobWaiters[id] = waiter
	}
	return waiter
}

func (a *Agent) waitForChange(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	left := time.Until(until)
	if left <= 0 {
		return false
	}
	a.do(func(now time.Time) { a.node.BeginJobWait(now) })
	defer a.do(func(time.Time) { a.node.EndJobWait() })
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	case <-a.answering.Done():
	}
	return false
}

// readResults reads results from the store, because this node's copy may be stale.
func (a *Agent) readResults(call port.JobCall) jobSnapshot {
	return awaitOutcome(a, jobSnapshot{outcome: batch.NotApplied}, func(done chan<- jobSnapshot) {
		a.do(func(now time.Time) {
			jobs := a.node.Jobs()
			read := func(state batch.State) {
				jobs.ReadResults(call.Job, call.From, func(_ time.Time, results []*doorstepv1.BatchResult, ok bool) {
					if !ok {
						done <- jobSnapshot{outcome: batch.NotApplied}
						return
					}
					done <- jobSnapshot{outcome: batch.Applied, state: state, results: results}
				})
			}
			a.withJobState(call.Job, read, func(outcome batch.Outcome) { done <- jobSnapshot{outcome: outcome} })
		})
	})
}

// withJobState calls found with a job's state, reading it from the store if this node does not
// know the job, or else failed. The caller must hold the lock.
func (a *Agent) withJobState(id string, found func(state batch.State), failed func(outcome batch.Outcome)) {
	jobs := a.node.Jobs()
	if state, ok := jobs.Lookup(id); ok {
		found(state)
		return
	}
	jobs.ReadHead(id, func(_ time.Time, status port.RecordStatus) {
		state, ok := jobs.Lookup(id)
		switch {
		case status != port.RecordDone:
			failed(batch.NotApplied)
		case !ok:
			failed(batch.NotFound)
		default:
			found(state)
		}
	})
}

// itemContent is the body that a client submitted for an item.
type itemContent struct {
	outcome batch.Outcome
	body    []byte
}

// readItem responds with an item's body.
func (a *Agent) readItem(w http.ResponseWriter, call port.JobCall, deadline time.Time) {
	read := awaitOutcome(a, itemContent{outcome: batch.NotApplied}, func(done chan<- itemContent) {
		a.do(func(now time.Time) {
			found := func(state batch.State) {
				if state.Ended {
					done <- itemContent{outcome: batch.NotFound}
					return
				}
				a.node.Jobs().ReadContent(now, call.Job, func(_ time.Time, job *doorstepv1.BatchJob) {
					done <- findItem(job, call.Item)
				})
			}
			a.withJobState(call.Job, found, func(outcome batch.Outcome) { done <- itemContent{outcome: outcome} })
		})
	})
	if read.outcome != batch.Applied {
		a.refuseOutcome(w, call.Job, read.outcome, deadline)
		return
	}
	_, _ = w.Write(read.body)
}

func findItem(job *doorstepv1.BatchJob, id string) itemContent {
	if job == nil {
		return itemContent{outcome: batch.NotApplied}
	}
	for _, item := range job.Items {
		if item.Id == id {
			return itemContent{outcome: batch.Applied, body: item.Body}
		}
	}
	return itemContent{outcome: batch.NotFound}
}
