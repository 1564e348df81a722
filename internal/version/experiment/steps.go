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

// retryPause is the wait before a try is repeated that met another node's.
const retryPause = 50 * time.Millisecond

// Status is the outcome of a trainer's call.
type Status string

const (
	// Done means success.
	Done Status = "done"
	// NotReady means that the step is not whole yet: pull again.
	NotReady Status = "not_ready"
	// Refused means that the call makes no sense, such as a step out of order.
	Refused Status = "refused"
	// Unavailable means that the store did not answer: repeat the call.
	Unavailable Status = "unavailable"
	// Unknown means that there is no such experiment or trainer.
	Unknown Status = "unknown"
)

// Reply answers a trainer's call.
type Reply struct {
	Status Status
	// Reason says why, for a person.
	Reason  string
	Samples []Sample
}

// Jobs are the batch jobs that steps are made by.
type Jobs interface {
	// Accept hands a job in; it is false if that is not sure.
	Accept(ctx context.Context, job *doorstepv1.BatchJob) bool
	// Whole waits until a job is whole and returns its results, nil if it was not.
	Whole(ctx context.Context, id string) []*doorstepv1.BatchResult
	// End says that a job's results are not needed any more.
	End(ctx context.Context, id string)
}

// Steps answers trainers. Its fields are set before use.
type Steps struct {
	Store port.RecordStore
	Jobs  Jobs
	// Configuration returns the operators' configuration.
	Configuration func() *doorstepv1.Configuration
	// Route returns the route of a kind that goes to a service, nil if there is none.
	Route func(service string, kind port.RouteKind) *port.Route
	// Served reports whether a replica lies in the regions in which a job must stay; nil for always.
	Served func(job *doorstepv1.BatchJob) bool
	// Targets decodes and encodes the newest version that was named for a model.
	Targets Targets
	// Describe returns the header of a request for a rollout.
	Describe Describer
}

// Targets is how named versions are kept in the store.
type Targets interface {
	TargetKey(model string) port.RecordKey
	EncodeTarget(target port.VersionTarget) []byte
	DecodeTarget(value []byte) (port.VersionTarget, error)
}

// progress is a trainer's progress record as it was read.
type progress struct {
	*doorstepv1.TrainerProgress
	key      port.RecordKey
	revision int64
}

// Pull returns the samples of a step once it is whole: the same at every pull, each no
// older than the bound when it was sealed. The context bounds the wait.
func (s *Steps) Pull(ctx context.Context, step Step) Reply {
	for ; ctx.Err() == nil; wait(ctx) {
		e, refusal := s.experiment(step)
		if e == nil {
			return refusal
		}
		held, ok := s.read(ctx, step)
		if !ok {
			continue
		}
		if !held.belongsTo(step.Tenant) {
			return unknownTrainer(step)
		}
		if step.Number != held.Acknowledged+1 {
			return Reply{Status: Refused, Reason: fmt.Sprintf("the trainer has acknowledged step %d; the next is %d", held.Acknowledged, held.Acknowledged+1)}
		}
		if reply, decided := s.advance(ctx, step, e, held); decided {
			return reply
		}
	}
	return Reply{Status: NotReady, Reason: "the step is not whole yet"}
}

func wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}

// experiment returns a running experiment that has the trainer, or why there is none.
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

// belongsTo reports whether a trainer's steps are a tenant's: that of its first pull.
func (p progress) belongsTo(tenant string) bool {
	return p.Tenant == "" || p.Tenant == tenant
}

// advance takes a step one move further: it fixes the draw, has it made, seals it, or
// delivers it. decided is false when the step is to be looked at anew.
func (s *Steps) advance(ctx context.Context, step Step, e *doorstepv1.Experiment, held progress) (reply Reply, decided bool) {
	draw := held.Draw
	if draw == nil || !held.Sealed && !s.current(e, draw) {
		return s.draw(ctx, step, e, held)
	}
	job, reply, ok := s.handIn(ctx, step, draw)
	if job == nil {
		return reply, ok
	}
	results := s.Jobs.Whole(ctx, job.Id)
	if results == nil {
		return Reply{}, false
	}
	return s.deliver(ctx, step, e, held, job, results)
}

// handIn hands the batch job of a draw in. Without a job, the reply says why, if ok is set.
func (s *Steps) handIn(ctx context.Context, step Step, draw *doorstepv1.Draw) (job *doorstepv1.BatchJob, reply Reply, ok bool) {
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

// runAheadWeight is the idle_weight from which a step is drawn while its trainer trains on
// the one before.
const runAheadWeight = 50

// RunAhead draws a trainer's next step before it is pulled, if the experiment weighs the
// trainer's idle time more than staleness and its bound leaves room for a version that the
// trainer names meanwhile.
func (s *Steps) RunAhead(ctx context.Context, step Step) {
	e, _ := s.experiment(step)
	if e == nil || e.IdleWeight < runAheadWeight || e.StalenessBound < 1 {
		return
	}
	held, ok := s.read(ctx, step)
	if !ok || step.Number != held.Acknowledged+1 || held.Sealed {
		return
	}
	if held.Draw == nil {
		s.draw(ctx, step, e, held)
		if held, ok = s.read(ctx, step); !ok || held.Draw == nil || step.Number != held.Acknowledged+1 {
			return
		}
	}
	s.handIn(ctx, step, held.Draw)
}

// draw fixes a new draw of a step.
func (s *Steps) draw(ctx context.Context, step Step, e *doorstepv1.Experiment, held progress) (reply Reply, decided bool) {
	routes := s.drawRoutes(e)
	switch {
	case routes.Batch == nil:
		return Reply{Status: NotReady, Reason: fmt.Sprintf("no route takes batch jobs for service %q", e.Service)}, true
	case e.Scoring != "" && routes.Scoring == nil:
		return Reply{Status: NotReady, Reason: fmt.Sprintf("no route for requests that may be repeated goes to the scoring service %q", e.Scoring)}, true
	}
	if newest, ok := s.newest(ctx, e.Policy); ok {
		s.fix(ctx, step, held, NewDraw(e, routes, newest, nextAttempt(held.Draw)))
	}
	return Reply{}, false
}

// current reports whether an experiment has not changed what a draw is made of. A draw
// whose route is gone would never be made.
func (s *Steps) current(e *doorstepv1.Experiment, d *doorstepv1.Draw) bool {
	routes := s.drawRoutes(e)
	return d.Policy == e.Policy && d.Service == e.Service && d.Prompts == e.Prompts && d.Samples == e.Samples && d.Scoring == e.Scoring &&
		leadsTo(routes.Batch, d.Host, d.Path) && (e.Scoring == "" || leadsTo(routes.Scoring, d.ScoringHost, d.ScoringPath))
}

func leadsTo(route *port.Route, host, path string) bool {
	return route != nil && route.Host == host && route.PathPrefix == path
}

// drawRoutes returns the routes that a draw of an experiment is made by.
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

// deliver seals a draw whose samples are within the bounds at that moment; others are
// drawn anew. A trainer publishes its own policy's versions and waits for the step
// meanwhile, so none is named between the look and the seal.
func (s *Steps) deliver(ctx context.Context, step Step, e *doorstepv1.Experiment, held progress, job *doorstepv1.BatchJob, results []*doorstepv1.BatchResult) (Reply, bool) {
	if held.Sealed {
		return Reply{Status: Done, Samples: Samples(job, results)}, true
	}
	newest, ok := s.newest(ctx, e.Policy)
	if !ok {
		return Reply{}, false
	}
	if !WithinBounds(e, newest, results) {
		reply, decided := s.draw(ctx, step, e, held)
		s.Jobs.End(ctx, job.Id)
		return reply, decided
	}
	next := proto.Clone(held.TrainerProgress).(*doorstepv1.TrainerProgress)
	next.Sealed = true
	if !s.write(ctx, held, next) {
		return Reply{}, false
	}
	return Reply{Status: Done, Samples: Samples(job, results)}, true
}

// Acknowledge notes that a step's samples are safe with the trainer. Repeats are harmless.
func (s *Steps) Acknowledge(ctx context.Context, step Step) Reply {
	for ; ctx.Err() == nil; wait(ctx) {
		held, ok := s.read(ctx, step)
		if !ok {
			continue
		}
		if !held.belongsTo(step.Tenant) {
			return unknownTrainer(step)
		}
		if step.Number <= held.Acknowledged {
			return Reply{Status: Done}
		}
		if step.Number != held.Acknowledged+1 || !held.Sealed {
			return Reply{Status: Refused, Reason: fmt.Sprintf("step %d was not delivered", step.Number)}
		}
		next := &doorstepv1.TrainerProgress{Acknowledged: step.Number, Tenant: held.Tenant}
		if s.write(ctx, held, next) {
			s.Jobs.End(ctx, step.JobID(held.Draw.Attempt))
			return Reply{Status: Done}
		}
	}
	return Reply{Status: Unavailable, Reason: "the store did not answer"}
}

// Publish names a newer version of the experiment's policy.
func (s *Steps) Publish(ctx context.Context, experiment, trainer string, version int64) Reply {
	e, refusal := s.experiment(Step{Experiment: experiment, Trainer: trainer})
	if e == nil {
		return refusal
	}
	if e.MaxVersion > 0 && version > e.MaxVersion {
		return Reply{Status: Refused, Reason: fmt.Sprintf("version %d is above max_version %d", version, e.MaxVersion)}
	}
	key := s.Targets.TargetKey(e.Policy)
	for ; ctx.Err() == nil; wait(ctx) {
		record, ok := port.ReadRecord(ctx, s.Store, key)
		if !ok {
			continue
		}
		named, err := s.named(record)
		if err != nil || version < named {
			return Reply{Status: Refused, Reason: fmt.Sprintf("version %d of %s is named already", named, e.Policy)}
		}
		if version == named {
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

// newest returns the newest version that was named for a policy, 1 before the first.
func (s *Steps) newest(ctx context.Context, policy string) (int64, bool) {
	record, ok := port.ReadRecord(ctx, s.Store, s.Targets.TargetKey(policy))
	if !ok {
		return 0, false
	}
	named, err := s.named(record)
	return max(named, 1), err == nil
}

func (s *Steps) named(record port.Record) (int64, error) {
	if record.Revision == 0 {
		return 0, nil
	}
	target, err := s.Targets.DecodeTarget(record.Value)
	return target.Version, err
}

// fix writes a draw into a trainer's progress; the next look tells which draw stands.
func (s *Steps) fix(ctx context.Context, step Step, held progress, draw *doorstepv1.Draw) {
	next := proto.Clone(held.TrainerProgress).(*doorstepv1.TrainerProgress)
	next.Draw, next.Sealed, next.Tenant = draw, false, step.Tenant
	s.write(ctx, held, next)
}

func (s *Steps) read(ctx context.Context, step Step) (progress, bool) {
	key := ProgressKey(step.Experiment, step.Trainer)
	record, ok := port.ReadRecord(ctx, s.Store, key)
	if !ok {
		return progress{}, false
	}
	held := progress{TrainerProgress: &doorstepv1.TrainerProgress{}, key: key, revision: record.Revision}
	return held, proto.Unmarshal(record.Value, held.TrainerProgress) == nil
}

func (s *Steps) write(ctx context.Context, held progress, next *doorstepv1.TrainerProgress) bool {
	value, err := proto.Marshal(next)
	if err != nil {
		panic("progress must encode: " + err.Error())
	}
	result := s.Store.Commit(ctx, port.RecordTransaction{
		Preconditions: []port.Precondition{{RecordKey: held.key, Revision: held.revision}},
		Puts:          []port.Record{{RecordKey: held.key, Value: value}},
	})
	return result.Status == port.RecordDone
}
