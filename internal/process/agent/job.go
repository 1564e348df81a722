package agent

import (
	"context"
	"net/http"
	"strings"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/request/access"
	"github.com/doorstep/doorstep/internal/version/batch"
	"github.com/doorstep/doorstep/internal/version/routes"
)

const (
	// longestWait bounds how long a read of results may be held.
	longestWait = 2 * time.Second
	// jobIDBytes bounds a job's id, which is part of records' keys.
	jobIDBytes = 120
)

// acceptJob takes a batch job; it is answered once it stands in the store.
func (a *Agent) acceptJob(w http.ResponseWriter, r *http.Request, route *port.Route, who access.Caller, id string, body []byte) {
	if r.Method != http.MethodPost {
		a.refuse(w, id, http.StatusMethodNotAllowed, 0, "a batch job is handed in by POST")
		return
	}
	job, err := a.protocol.DecodeJob(id, body)
	if err == nil && (len(id) > jobIDBytes || strings.ContainsAny(id, "/\x00")) {
		err = errJobID
	}
	if err != nil {
		a.refuse(w, id, http.StatusBadRequest, 0, err.Error())
		return
	}
	job.Route, job.Host, job.Path, job.Tenant = route.Name, r.Host, r.URL.Path, who.Tenant
	outcome := wait(r.Context(), func(done chan<- batch.Outcome) {
		a.do(func(now time.Time) {
			a.node.Jobs().Accept(now, job, func(_ time.Time, outcome batch.Outcome) { done <- outcome })
		})
	})
	a.metrics.accepted(outcome)
	if outcome == batch.Done {
		a.protocol.SetRequestID(w.Header(), id)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	a.refuseOutcome(w, id, outcome)
}

// errJobID says that a job's id can't be a key.
var errJobID = errorString("the id of the job is too long or holds a slash")

type errorString string

func (e errorString) Error() string { return string(e) }

// wait hands a call to the node and waits for its outcome.
func wait[T any](ctx context.Context, call func(done chan<- T)) T {
	done := make(chan T, 1)
	call(done)
	select {
	case outcome := <-done:
		return outcome
	case <-ctx.Done():
		return <-done
	}
}

// refuseOutcome answers a call about a job that was not, or perhaps not, carried out.
func (a *Agent) refuseOutcome(w http.ResponseWriter, id string, outcome batch.Outcome) {
	switch outcome {
	case batch.Absent:
		a.refuse(w, id, http.StatusNotFound, 0, reasonNoJob)
	case batch.OtherTenants:
		a.refuse(w, id, http.StatusConflict, 0, reasonIDInUse)
	case batch.Unsure:
		a.refuse(w, id, http.StatusGatewayTimeout, 0, reasonStoreSilent)
	case batch.Unserved:
		a.refuse(w, id, http.StatusServiceUnavailable, homesComeBack, reasonNoHome)
	case batch.NotDone, batch.Done:
		a.refuse(w, id, http.StatusServiceUnavailable, comeBack, reasonStoreRefuses)
	}
}

// serveJobCall answers calls about jobs that were handed in.
func (a *Agent) serveJobCall(w http.ResponseWriter, r *http.Request, table *routes.Table, call port.JobCall) {
	if !a.admitToJob(w, r, table, call) {
		return
	}
	switch call.Kind {
	case port.ReadJob:
		a.readJob(w, r, call)
	case port.ReadItem:
		a.readItem(w, r, call)
	case port.EndJob:
		outcome := wait(r.Context(), func(done chan<- batch.Outcome) {
			a.do(func(now time.Time) {
				a.node.Jobs().End(now, call.Job, func(_ time.Time, outcome batch.Outcome) { done <- outcome })
			})
		})
		if outcome != batch.Done {
			a.refuseOutcome(w, call.Job, outcome)
		}
	case port.NoJobCall:
	}
}

// admitToJob reports whether a caller may see a job; if not, it was answered. Another tenant's
// job is answered as one that does not exist. A job without a tenant is everyone's.
func (a *Agent) admitToJob(w http.ResponseWriter, r *http.Request, table *routes.Table, call port.JobCall) bool {
	if !table.HasTenants() {
		return true
	}
	who, verdict := a.identify(table, r.Header, false)
	if verdict != access.Admitted {
		if state, known := a.knownJob(call.Job); known && state.Tenant == "" {
			return true
		}
		a.refuseKey(w, call.Job, verdict)
		return false
	}
	read := wait(r.Context(), func(done chan<- jobReading) {
		a.do(func(time.Time) {
			a.withState(call.Job, func(state batch.State) { done <- jobReading{state: state} },
				func(outcome batch.Outcome) { done <- jobReading{outcome: outcome} })
		})
	})
	if read.outcome == batch.Done && !who.MayAccess(read.state.Tenant) {
		read.outcome = batch.Absent
	}
	if read.outcome != batch.Done {
		a.refuseOutcome(w, call.Job, read.outcome)
		return false
	}
	return true
}

func (a *Agent) knownJob(id string) (batch.State, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.node.Jobs().Known(id)
}

// jobReading is the state of a job and results read from it.
type jobReading struct {
	outcome batch.Outcome
	state   batch.State
	results []*doorstepv1.BatchResult
}

// readJob answers with results from a position on; it is held until there is one.
func (a *Agent) readJob(w http.ResponseWriter, r *http.Request, call port.JobCall) {
	startedAt := time.Now()
	until := startedAt.Add(min(a.protocol.Wait(r.Header), longestWait))
	for {
		changed := a.watchJob(call.Job)
		read := a.readResults(r.Context(), call)
		if read.outcome != batch.Done {
			a.refuseOutcome(w, call.Job, read.outcome)
			return
		}
		if len(read.results) > 0 || call.From >= read.state.Total || !a.waitChange(r.Context(), changed, until) {
			a.log.add(event.JobRead, "job", call.Job, "from", call.From, "results", len(read.results), "held_ms", time.Since(startedAt).Milliseconds(),
				"listed", read.state.Listed, "total", read.state.Total)
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(a.protocol.EncodeResults(read.state.Total, call.From, read.results))
			return
		}
	}
}

// watchJob returns a channel that is closed at the job's next change.
func (a *Agent) watchJob(id string) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	waiter := a.waiters[id]
	if waiter == nil {
		waiter = make(chan struct{})
		a.waiters[id] = waiter
	}
	return waiter
}

func (a *Agent) waitChange(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	left := time.Until(until)
	if left <= 0 {
		return false
	}
	a.do(func(now time.Time) { a.node.BeginReading(now) })
	defer a.do(func(time.Time) { a.node.EndReading() })
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// readResults reads from the store, which alone is surely current.
func (a *Agent) readResults(ctx context.Context, call port.JobCall) jobReading {
	return wait(ctx, func(done chan<- jobReading) {
		a.do(func(now time.Time) {
			jobs := a.node.Jobs()
			read := func(state batch.State) {
				jobs.ReadResults(call.Job, call.From, func(_ time.Time, results []*doorstepv1.BatchResult, ok bool) {
					if !ok {
						done <- jobReading{outcome: batch.NotDone}
						return
					}
					done <- jobReading{outcome: batch.Done, state: state, results: results}
				})
			}
			a.withState(call.Job, read, func(outcome batch.Outcome) { done <- jobReading{outcome: outcome} })
		})
	})
}

// withState calls found with a job's state, from the store if this node has not seen
// the job, or failed. It is called within the node's loop.
func (a *Agent) withState(id string, found func(state batch.State), failed func(outcome batch.Outcome)) {
	jobs := a.node.Jobs()
	if state, ok := jobs.Known(id); ok {
		found(state)
		return
	}
	jobs.ReadHead(id, func(_ time.Time, status port.RecordStatus) {
		state, ok := jobs.Known(id)
		switch {
		case status != port.RecordDone:
			failed(batch.NotDone)
		case !ok:
			failed(batch.Absent)
		default:
			found(state)
		}
	})
}

// itemReading is what a client handed in for an item.
type itemReading struct {
	outcome batch.Outcome
	body    []byte
}

// readItem answers with the body of an item.
func (a *Agent) readItem(w http.ResponseWriter, r *http.Request, call port.JobCall) {
	read := wait(r.Context(), func(done chan<- itemReading) {
		a.do(func(now time.Time) {
			found := func(state batch.State) {
				if state.Ended {
					done <- itemReading{outcome: batch.Absent}
					return
				}
				a.node.Jobs().ReadContent(now, call.Job, func(_ time.Time, job *doorstepv1.BatchJob) {
					done <- findItem(job, call.Item)
				})
			}
			a.withState(call.Job, found, func(outcome batch.Outcome) { done <- itemReading{outcome: outcome} })
		})
	})
	if read.outcome != batch.Done {
		a.refuseOutcome(w, call.Job, read.outcome)
		return
	}
	_, _ = w.Write(read.body)
}

func findItem(job *doorstepv1.BatchJob, id string) itemReading {
	if job == nil {
		return itemReading{outcome: batch.NotDone}
	}
	for _, one := range job.Items {
		if one.Id == id {
			return itemReading{outcome: batch.Done, body: one.Body}
		}
	}
	return itemReading{outcome: batch.Absent}
}
