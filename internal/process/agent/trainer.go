package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/version/batch"
	"github.com/doorstep/doorstep/internal/version/experiment"
	"github.com/doorstep/doorstep/internal/version/routes"
)

const (
	// trainerPrefix is the path prefix of the trainer API.
	trainerPrefix = "/v1/experiments/"
	// defaultPullWait and maxPullWait are the default and longest wait of a pull.
	defaultPullWait = 10 * time.Second
	maxPullWait     = 60 * time.Second
	// writeTimeout bounds acknowledgements and version updates.
	writeTimeout = 5 * time.Second
	// stepRetryAfter is the Retry-After value of a step that is not ready.
	stepRetryAfter = 500 * time.Millisecond
	// maxVersionBodyBytes bounds the request body of a version update.
	maxVersionBodyBytes = 4 << 10
)

// newTrainerMux returns the handler of the trainer API.
func (a *Agent) newTrainerMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+trainerPrefix+"{experiment}/trainers/{trainer}/steps/{step}", a.pullStep)
	mux.HandleFunc("POST "+trainerPrefix+"{experiment}/trainers/{trainer}/steps/{step}/acknowledgement", a.acknowledgeStep)
	mux.HandleFunc("POST "+trainerPrefix+"{experiment}/trainers/{trainer}/versions", a.publishVersion)
	return mux
}

func (a *Agent) newSteps() *experiment.Steps {
	return &experiment.Steps{
		Store: a.store, Jobs: stepJobs{a}, Targets: a.protocol, Describe: a.protocol.RolloutHeader,
		Configuration: func() *doorstepv1.Configuration {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.node.Operators()
		},
		Served: func(job *doorstepv1.BatchJob) bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.node.HasAllowedReplica(a.node.Route(job.Host, job.Path), job.Tenant)
		},
		Route: func(service string, kind port.RouteKind) *port.Route {
			a.mu.Lock()
			defer a.mu.Unlock()
			if a.node.Routes() == nil {
				return nil
			}
			return a.node.Routes().RouteTo(service, kind)
		},
	}
}

// isTrainerCall reports whether a request is for the trainer API. Configured routes take precedence.
func isTrainerCall(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, trainerPrefix) }

// trainerTenantKey is the context key of the trainer's tenant.
type trainerTenantKey struct{}

// serveTrainer handles a trainer's call, which needs a key if there are tenants.
func (a *Agent) serveTrainer(w http.ResponseWriter, r *http.Request, table *routes.Table) {
	caller, ok := a.admit(w, r, "", table, false)
	if !ok {
		return
	}
	a.trainerMux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), trainerTenantKey{}, caller.Tenant)))
}

func parseStep(r *http.Request) (experiment.Step, bool) {
	number, err := strconv.ParseInt(r.PathValue("step"), 10, 64)
	tenant, _ := r.Context().Value(trainerTenantKey{}).(string)
	step := experiment.Step{Experiment: r.PathValue("experiment"), Trainer: r.PathValue("trainer"), Number: number, Tenant: tenant}
	return step, err == nil && number > 0
}

// pullStep responds with a step's samples once they are complete.
func (a *Agent) pullStep(w http.ResponseWriter, r *http.Request) {
	step, ok := parseStep(r)
	if !ok {
		a.refuse(w, "", http.StatusBadRequest, 0, "the step is a number from 1")
		return
	}
	maxWait := defaultPullWait
	if text := r.URL.Query().Get("wait"); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested < 0 {
			a.refuse(w, "", http.StatusBadRequest, 0, "wait is a time such as 30s")
			return
		}
		maxWait = min(requested, maxPullWait)
	}
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), maxWait)
	defer cancel()
	defer context.AfterFunc(a.pulls, cancel)()
	reply := a.steps.Pull(ctx, step)
	if reply.Status != experiment.Done {
		a.refuseStep(w, reply)
		return
	}
	a.log.add(event.StepDelivered, "experiment", step.Experiment, "trainer", step.Trainer, "step", step.Number,
		"samples", len(reply.Samples), "held_ms", time.Since(startedAt).Milliseconds())
	writeJSON(w, struct {
		Step    int64               `json:"step"`
		Samples []experiment.Sample `json:"samples"`
	}{step.Number, reply.Samples})
}

// acknowledgeStep records that the trainer has stored a step's samples.
func (a *Agent) acknowledgeStep(w http.ResponseWriter, r *http.Request) {
	step, ok := parseStep(r)
	if !ok {
		a.refuse(w, "", http.StatusBadRequest, 0, "the step is a number from 1")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	defer context.AfterFunc(a.answering, cancel)()
	reply := a.steps.Acknowledge(ctx, step)
	if reply.Status != experiment.Done {
		a.refuseStep(w, reply)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	step.Number++
	go func() {
		ctx, cancel := context.WithTimeout(a.base, writeTimeout)
		defer cancel()
		a.steps.RunAhead(ctx, step)
	}()
}

// publishVersion records a newer version of the experiment's policy.
func (a *Agent) publishVersion(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Version int64 `json:"version"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxVersionBodyBytes)).Decode(&body); err != nil || body.Version < 1 {
		a.refuse(w, "", http.StatusBadRequest, 0, `the body is {"version": N}, N from 1`)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	defer context.AfterFunc(a.answering, cancel)()
	reply := a.steps.Publish(ctx, r.PathValue("experiment"), r.PathValue("trainer"), body.Version)
	if reply.Status != experiment.Done {
		a.refuseStep(w, reply)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *Agent) refuseStep(w http.ResponseWriter, reply experiment.Reply) {
	switch reply.Status {
	case experiment.Unknown:
		a.refuse(w, "", http.StatusNotFound, 0, reply.Reason)
	case experiment.Refused:
		a.refuse(w, "", http.StatusConflict, 0, reply.Reason)
	case experiment.NotReady, experiment.Unavailable, experiment.Done:
		a.refuse(w, "", http.StatusServiceUnavailable, stepRetryAfter, reply.Reason)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		panic("encode response: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content)
}

// stepJobs runs steps as batch jobs of this node.
type stepJobs struct{ agent *Agent }

// Accept submits a job.
func (j stepJobs) Accept(ctx context.Context, job *doorstepv1.BatchJob) bool {
	deadline, _ := ctx.Deadline()
	return awaitOutcome(j.agent, batch.Indeterminate, func(done chan<- batch.Outcome) {
		j.agent.do(func(now time.Time) {
			j.agent.node.Jobs().Accept(now, job, nodeDeadline(now, deadline), func(_ time.Time, outcome batch.Outcome) { done <- outcome })
		})
	}) == batch.Applied
}

// AwaitResults waits until a job is complete and returns its results.
func (j stepJobs) AwaitResults(ctx context.Context, id string) []*doorstepv1.BatchResult {
	until, _ := ctx.Deadline()
	var results []*doorstepv1.BatchResult
	for ctx.Err() == nil {
		changed := j.agent.watchJob(id)
		read := j.agent.readResults(port.JobCall{Kind: port.ReadJob, Job: id, From: len(results)})
		if read.outcome != batch.Applied {
			return nil
		}
		results = append(results, read.results...)
		if len(results) >= read.state.Total {
			return results
		}
		if len(read.results) == 0 && !j.agent.waitForChange(ctx, changed, until) {
			return nil
		}
	}
	return nil
}

// End discards a job whose results are no longer needed.
func (j stepJobs) End(_ context.Context, id string) {
	j.agent.do(func(now time.Time) {
		j.agent.node.Jobs().End(now, id, time.Time{}, func(time.Time, batch.Outcome) {})
	})
}
