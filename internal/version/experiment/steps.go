package experiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/version/configuration"
)

// retryDelay is the delay before a conflicting or unanswered call is repeated.
const retryDelay = 50 * time.Millisecond

// Status is the outcome of a trainer's call.
type Status string

const (
	// Done means success.
	Done Status = "done"
	// NotReady means that the step is not complete yet. The trainer should pull again.
	NotReady Status = "not_ready"
	// Refused means that the call is invalid, such as a step out of order.
	Refused Status = "refused"
	// Unavailable means that the store did not answer. The trainer should repeat the call.
	Unavailable Status = "unavailable"
	// Unknown means that the experiment or trainer does not exist.
	Unknown Status = "unknown"
)

// Reply is the answer to a trainer's call.
type Reply struct {
	Status Status
	// Reason is a human-readable explanation.
	Reason  string
	Samples []Sample
}

// Jobs runs the batch jobs of steps.
type Jobs interface {
	// Accept submits a job. It returns false if the outcome is not known to be success.
	Accept(ctx context.Context, job *doorstepv1.BatchJob) bool
	// AwaitResults waits until a job is complete and returns its results, or nil if it did not complete.
	AwaitResults(ctx context.Context, id string) []*doorstepv1.BatchResult
	// End declares that a job's results are no longer needed.
	End(ctx context.Context, id string)
}

// Steps handles trainers' calls. Its fields must be set before use.
type Steps struct {
	Store port.RecordStore
	Jobs  Jobs
	// Configuration returns the current configuration.
	Configuration func() *doorstepv1.Configuration
	// Route returns a route of the given kind that leads only to the service, or nil.
	Route func(service string, kind port.RouteKind) *port.Route
	// Served reports whether a replica exists in the regions that a job is restricted to. If nil,
	// all jobs can be served.
	Served func(job *doorstepv1.BatchJob) bool
	// Targets accesses the models' target versions.
	Targets Targets
	// Describe returns the headers of a rollout request.
	Describe Describer
}

// Targets defines how target versions are stored.
type Targets interface {
	TargetKey(model string) port.RecordKey
	EncodeTarget(target port.VersionTarget) []byte
	DecodeTarget(value []byte) (port.VersionTarget, error)
}

// progress is a trainer's progress record with its revision.
type progress struct {
	*doorstepv1.TrainerProgress
	key      port.RecordKey
	revision int64
}

// Pull returns the samples of a step once it is complete. Repeated pulls return the same samples.
// At the time the step is sealed, no sample is older than the staleness bound. The context limits
// the waiting time.
func (s *Steps) Pull(ctx context.Context, step Step) Reply {
	for ; ctx.Err() == nil; waitRetry(ctx) {
		e, refusal := s.experiment(step)
		if e == nil {
			return refusal
		}
		stored, ok := s.readProgress(ctx, step)
		if !ok {
			continue
		}
		if !stored.belongsTo(step.Tenant) {
			return unknownTrainer(step)
		}
		if step.Number != stored.Acknowledged+1 {
			return Reply{Status: Refused, Reason: fmt.Sprintf("the trainer has acknowledged step %d; the next is %d", stored.Acknowledged, stored.Acknowledged+1)}
		}
		if reply, decided := s.advance(ctx, step, e, stored); decided {
			return reply
		}
	}
	return Reply{Status: NotReady, Reason: "the step is not whole yet"}
}

func waitRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryDelay):
	}
}

// experiment returns the trainer's experiment if it is running. Otherwise it returns nil and the
// reply.
func (s *Steps) experiment(step Step) (*doorstepv1.Experiment, Reply) {
	e := configuration.FindExperiment(s.Configuration(), step.Experiment)
	switch {
	case e == nil:
		return nil, Reply{Status: Unknown, Reason: fmt.Sprintf("there is no experiment %q", step.Experiment)}
	case !slices.Contains(e.Trainers, step.Trainer):
		return nil, unknownTrainer(step)
	case e.State == doorstepv1.ExperimentState_EXPERIMENT_STATE_STOPPED:
		return nil, Reply{Status: Refused, Reason: fmt.Sprintf("experiment %q is stopped", step.Experiment)}
	case e.State == doorstepv1.ExperimentState_EXPERIMENT_STATE_PAUSED:
		return nil, Reply{Status: NotReady, Reason: fmt.Sprintf("experiment %q is paused", step.Experiment)}
	}
	return e, Reply{}
}

func unknownTrainer(step Step) Reply {
	return Reply{Status: Unknown, Reason: fmt.Sprintf("experiment %q has no trainer %q", step.Experiment, step.Trainer)}
}

// belongsTo reports whether the trainer belongs to the tenant, which is the one of its first pull.
func (p progress) belongsTo(tenant string) bool {
	return p.Tenant == "" || p.Tenant == tenant
}

// advance performs the next stage of a step: create the draw, run it, seal it, or deliver it. If
// decided is false, the caller must read the progress again.
func (s *Steps) advance(ctx context.Context, step Step, e *doorstepv1.Experiment, stored progress) (reply Reply, decided bool) {
	draw := stored.Draw
	if draw == nil || !stored.Sealed && !s.drawUpToDate(e, draw) {
		return s.createDraw(ctx, step, e, stored)
	}
	job, reply, ok := s.submitJob(ctx, step, draw)
	if job == nil {
		return reply, ok
	}
	results := s.Jobs.AwaitResults(ctx, job.Id)
	if results == nil {
		return Reply{}, false
	}
	return s.deliver(ctx, step, e, stored, job, results)
}

// submitJob submits the batch job of a draw. If job is nil and ok is set, reply is the answer to
// the trainer.
func (s *Steps) submitJob(ctx context.Context, step Step, draw *doorstepv1.Draw) (job *doorstepv1.BatchJob, reply Reply, ok bool) {
	prompts, err := ReadPrompts(ctx, s.Store, draw.Prompts)
	if err != nil {
		return nil, Reply{}, false
	}
	if len(prompts) == 0 {
		return nil, Reply{Status: NotReady, Reason: fmt.Sprintf("prompt set %q is empty or missing", draw.Prompts)}, true
	}
	job = Job(step, draw, prompts, s.Describe)
	if s.Jobs.Accept(ctx, job) {
		return job, Reply{}, true
	}
	if s.Served != nil && !s.Served(job) {
		return nil, Reply{Status: Unavailable, Reason: "no replica in the regions that the step must stay in"}, true
	}
	return nil, Reply{}, false
}

// minRunAheadWeight is the minimum idle_weight for drawing a step while its trainer still trains on
// the previous one.
const minRunAheadWeight = 50

// RunAhead draws a trainer's next step before it is pulled. It does so only if the experiment
// weights idle time over staleness and the staleness bound allows for a version published in the
// meantime.
func (s *Steps) RunAhead(ctx context.Context, step Step) {
	e, _ := s.experiment(step)
	if e == nil || e.IdleWeight < minRunAheadWeight || e.StalenessBound < 1 {
		return
	}
	stored, ok := s.readProgress(ctx, step)
	if !ok || step.Number != stored.Acknowledged+1 || stored.Sealed {
		return
	}
	if stored.Draw == nil {
		s.createDraw(ctx, step, e, stored)
		if stored, ok = s.readProgress(ctx, step); !ok || stored.Draw == nil || step.Number != stored.Acknowledged+1 {
			return
		}
	}
	s.submitJob(ctx, step, stored.Draw)
}

// createDraw stores a new draw of a step.
func (s *Steps) createDraw(ctx context.Context, step Step, e *doorstepv1.Experiment, stored progress) (reply Reply, decided bool) {
	routes := s.drawRoutes(e)
	switch {
	case routes.Batch == nil:
		return Reply{Status: NotReady, Reason: fmt.Sprintf("no route takes batch jobs for service %q", e.Service)}, true
	case e.Scoring != "" && routes.Scoring == nil:
		return Reply{Status: NotReady, Reason: fmt.Sprintf("no route for requests that may be repeated goes to the scoring service %q", e.Scoring)}, true
	}
	if newest, ok := s.newestVersion(ctx, e.Policy); ok {
		s.storeDraw(ctx, step, stored, NewDraw(e, routes, newest, nextAttempt(stored.Draw)))
	}
	return Reply{}, false
}

// drawUpToDate reports whether the experiment's parameters and routes are still those of the draw.
// A draw whose route was removed cannot be run.
func (s *Steps) drawUpToDate(e *doorstepv1.Experiment, d *doorstepv1.Draw) bool {
	routes := s.drawRoutes(e)
	return d.Policy == e.Policy && d.Service == e.Service && d.Prompts == e.Prompts && d.Samples == e.Samples && d.Scoring == e.Scoring &&
		routeMatches(routes.Batch, d.Host, d.Path) && (e.Scoring == "" || routeMatches(routes.Scoring, d.ScoringHost, d.ScoringPath))
}

func routeMatches(route *port.Route, host, path string) bool {
	return route != nil && route.Host == host && route.PathPrefix == path
}

// drawRoutes returns the routes for draws of an experiment.
func (s *Steps) drawRoutes(e *doorstepv1.Experiment) DrawRoutes {
	routes := DrawRoutes{Batch: s.Route(e.Service, port.RouteBatch)}
	if e.Scoring != "" {
		routes.Scoring = s.Route(e.Scoring, port.RouteIdempotent)
	}
	return routes
}

func nextAttempt(draw *doorstepv1.Draw) int32 {
	if draw == nil {
		return 0
	}
	return draw.Attempt + 1
}

// deliver seals a draw if its samples are within the bounds, and draws the step again otherwise.
// Only the trainer publishes versions of its policy, and it waits for the step, so no version is
// published between the check and the seal.
func (s *Steps) deliver(ctx context.Context, step Step, e *doorstepv1.Experiment, stored progress, job *doorstepv1.BatchJob, results []*doorstepv1.BatchResult) (Reply, bool) {
	if stored.Sealed {
		return Reply{Status: Done, Samples: Samples(job, results)}, true
	}
	newest, ok := s.newestVersion(ctx, e.Policy)
	if !ok {
		return Reply{}, false
	}
	if !WithinBounds(e, newest, results) {
		reply, decided := s.createDraw(ctx, step, e, stored)
		s.Jobs.End(ctx, job.Id)
		return reply, decided
	}
	next := proto.Clone(stored.TrainerProgress).(*doorstepv1.TrainerProgress)
	next.Sealed = true
	if !s.writeProgress(ctx, stored, next) {
		return Reply{}, false
	}
	return Reply{Status: Done, Samples: Samples(job, results)}, true
}

// Acknowledge records that the trainer has stored a step's samples. It is idempotent.
func (s *Steps) Acknowledge(ctx context.Context, step Step) Reply {
	for ; ctx.Err() == nil; waitRetry(ctx) {
		stored, ok := s.readProgress(ctx, step)
		if !ok {
			continue
		}
		if !stored.belongsTo(step.Tenant) {
			return unknownTrainer(step)
		}
		if step.Number <= stored.Acknowledged {
			return Reply{Status: Done}
		}
		if step.Number != stored.Acknowledged+1 || !stored.Sealed {
			return Reply{Status: Refused, Reason: fmt.Sprintf("step %d was not delivered", step.Number)}
		}
		next := &doorstepv1.TrainerProgress{Acknowledged: step.Number, Tenant: stored.Tenant}
		if s.writeProgress(ctx, stored, next) {
			s.Jobs.End(ctx, step.JobID(stored.Draw.Attempt))
			return Reply{Status: Done}
		}
	}
	return Reply{Status: Unavailable, Reason: "the store did not answer"}
}

// Publish sets a newer target version of the experiment's policy.
func (s *Steps) Publish(ctx context.Context, experiment, trainer string, version int64) Reply {
	e, refusal := s.experiment(Step{Experiment: experiment, Trainer: trainer})
	if e == nil {
		return refusal
	}
	if e.MaxVersion > 0 && version > e.MaxVersion {
		return Reply{Status: Refused, Reason: fmt.Sprintf("version %d is above max_version %d", version, e.MaxVersion)}
	}
	key := s.Targets.TargetKey(e.Policy)
	for ; ctx.Err() == nil; waitRetry(ctx) {
		record, ok := port.ReadRecord(ctx, s.Store, key)
		if !ok {
			continue
		}
		current, err := s.targetVersion(record)
		if err != nil || version < current {
			return Reply{Status: Refused, Reason: fmt.Sprintf("version %d of %s is named already", current, e.Policy)}
		}
		if version == current {
			return Reply{Status: Done}
		}
		result := s.Store.Commit(ctx, port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: key, Revision: record.Revision}},
			Puts:          []port.Record{{RecordKey: key, Value: s.Targets.EncodeTarget(port.VersionTarget{Model: e.Policy, Version: version})}},
		})
		if result.Status == port.RecordDone {
			return Reply{Status: Done}
		}
	}
	return Reply{Status: Unavailable, Reason: "the store did not answer"}
}

// newestVersion returns a policy's target version, or 1 if it has none.
func (s *Steps) newestVersion(ctx context.Context, policy string) (int64, bool) {
	record, ok := port.ReadRecord(ctx, s.Store, s.Targets.TargetKey(policy))
	if !ok {
		return 0, false
	}
	version, err := s.targetVersion(record)
	return max(version, 1), err == nil
}

func (s *Steps) targetVersion(record port.Record) (int64, error) {
	if record.Revision == 0 {
		return 0, nil
	}
	target, err := s.Targets.DecodeTarget(record.Value)
	return target.Version, err
}

// storeDraw writes a draw to a trainer's progress record. If the write conflicts, the next read
// returns the draw that was stored.
func (s *Steps) storeDraw(ctx context.Context, step Step, stored progress, draw *doorstepv1.Draw) {
	next := proto.Clone(stored.TrainerProgress).(*doorstepv1.TrainerProgress)
	next.Draw, next.Sealed, next.Tenant = draw, false, step.Tenant
	s.writeProgress(ctx, stored, next)
}

func (s *Steps) readProgress(ctx context.Context, step Step) (progress, bool) {
	key := ProgressKey(step.Experiment, step.Trainer)
	record, ok := port.ReadRecord(ctx, s.Store, key)
	if !ok {
		return progress{}, false
	}
	stored := progress{TrainerProgress: &doorstepv1.TrainerProgress{}, key: key, revision: record.Revision}
	return stored, proto.Unmarshal(record.Value, stored.TrainerProgress) == nil
}

func (s *Steps) writeProgress(ctx context.Context, stored progress, next *doorstepv1.TrainerProgress) bool {
	value, err := proto.Marshal(next)
	if err != nil {
		panic("cannot encode trainer progress: " + err.Error())
	}
	result := s.Store.Commit(ctx, port.RecordTransaction{
		Preconditions: []port.Precondition{{RecordKey: stored.key, Revision: stored.revision}},
		Puts:          []port.Record{{RecordKey: stored.key, Value: value}},
	})
	return result.Status == port.RecordDone
}
