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
	// trainerPrefix begins the paths of trainers' calls.
	trainerPrefix = "/v1/experiments/"
	// pullWait is how long a pull is held unless it says, longestPull the most.
	pullWait    = 10 * time.Second
	longestPull = 60 * time.Second
	// publishWait bounds calls that only write.
	publishWait = 5 * time.Second
	// comeBackToStep is when a trainer is told to pull again.
	comeBackToStep = 500 * time.Millisecond
	// versionBytes bounds the body of a trainer's call.
	versionBytes = 4 << 10
)

// newTrainerMux serves trainers of experiments.
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
			return a.node.Served(a.node.Route(job.Host, job.Path), job.Tenant)
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

// isTrainerCall reports whether a path is a trainer's. Routes of the deployment go before.
func isTrainerCall(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, trainerPrefix) }

// tenantOfTrainer is the key of a request's context under which its trainer's tenant stands.
type tenantOfTrainer struct{}

// serveTrainer takes a trainer's call. Where there are tenants it needs a key.
func (a *Agent) serveTrainer(w http.ResponseWriter, r *http.Request, table *routes.Table) {
	who, ok := a.admit(w, r, "", table, false)
	if !ok {
		return
	}
	a.trainers.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), tenantOfTrainer{}, who.Tenant)))
}

func stepOf(r *http.Request) (experiment.Step, bool) {
	number, err := strconv.ParseInt(r.PathValue("step"), 10, 64)
	tenant, _ := r.Context().Value(tenantOfTrainer{}).(string)
	step := experiment.Step{Experiment: r.PathValue("experiment"), Trainer: r.PathValue("trainer"), Number: number, Tenant: tenant}
	return step, err == nil && number > 0
}

// pullStep answers with a step's samples once they are whole.
func (a *Agent) pullStep(w http.ResponseWriter, r *http.Request) {
	step, ok := stepOf(r)
	if !ok {
		a.refuse(w, "", http.StatusBadRequest, 0, "the step is a number from 1")
		return
	}
	held := pullWait
	if text := r.URL.Query().Get("wait"); text != "" {
		wanted, err := time.ParseDuration(text)
		if err != nil || wanted < 0 {
			a.refuse(w, "", http.StatusBadRequest, 0, "wait is a time such as 30s")
			return
		}
		held = min(wanted, longestPull)
	}
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(r.Context(), held)
	defer cancel()
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

// acknowledgeStep notes that a step's samples are safe.
func (a *Agent) acknowledgeStep(w http.ResponseWriter, r *http.Request) {
	step, ok := stepOf(r)
	if !ok {
		a.refuse(w, "", http.StatusBadRequest, 0, "the step is a number from 1")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishWait)
	defer cancel()
	reply := a.steps.Acknowledge(ctx, step)
	if reply.Status != experiment.Done {
		a.refuseStep(w, reply)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	step.Number++
	go func() {
		ctx, cancel := context.WithTimeout(a.base, publishWait)
		defer cancel()
		a.steps.RunAhead(ctx, step)
	}()
}

// publishVersion names a newer version of the experiment's policy.
func (a *Agent) publishVersion(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Version int64 `json:"version"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, versionBytes)).Decode(&body); err != nil || body.Version < 1 {
		a.refuse(w, "", http.StatusBadRequest, 0, `the body is {"version": N}, N from 1`)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishWait)
	defer cancel()
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
		a.refuse(w, "", http.StatusServiceUnavailable, comeBackToStep, reply.Reason)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		panic("an answer must encode: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content)
}

// stepJobs makes steps by this node's batch jobs.
type stepJobs struct{ agent *Agent }

// Accept hands a job in.
func (j stepJobs) Accept(ctx context.Context, job *doorstepv1.BatchJob) bool {
	return wait(ctx, func(done chan<- batch.Outcome) {
		j.agent.do(func(now time.Time) {
			j.agent.node.Jobs().Accept(now, job, func(_ time.Time, outcome batch.Outcome) { done <- outcome })
		})
	}) == batch.Applied
}

// AwaitResults waits until a job is whole and returns its results.
func (j stepJobs) AwaitResults(ctx context.Context, id string) []*doorstepv1.BatchResult {
	until, _ := ctx.Deadline()
	var results []*doorstepv1.BatchResult
	for ctx.Err() == nil {
		changed := j.agent.watchJob(id)
		read := j.agent.readResults(ctx, port.JobCall{Kind: port.ReadJob, Job: id, From: len(results)})
		if read.outcome != batch.Applied {
			return nil
		}
		results = append(results, read.results...)
		if len(results) >= read.state.Total {
			return results
		}
		if len(read.results) == 0 && !j.agent.waitChange(ctx, changed, until) {
			return nil
		}
	}
	return nil
}

// End says that a job's results are not needed any more.
func (j stepJobs) End(_ context.Context, id string) {
	j.agent.do(func(now time.Time) {
		j.agent.node.Jobs().End(now, id, func(time.Time, batch.Outcome) {})
	})
}
