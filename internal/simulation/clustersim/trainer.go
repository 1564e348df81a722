package clustersim

import (
	"encoding/json"
	"fmt"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/version/batch"
)

const (
	host = "host.example"
	// stepInterval is the interval between a trainer's jobs, defaultResultDeadline how long it waits
	// for results.
	stepInterval          = 3 * time.Second
	defaultResultDeadline = 7 * time.Second
	readInterval          = 400 * time.Millisecond
	itemsPerJob           = 24
	itemsPerGroup         = 4
	// desiredGroups is the number of complete groups that a trainer waits for.
	desiredGroups = 5
	// One in unscoredOneIn jobs has no scoring calls.
	unscoredOneIn = 4
	// maxSubmitAttempts is the maximum number of submissions of a job.
	maxSubmitAttempts = 4
	// impossibleItem and failingItem are ID prefixes of items that cannot be completed.
	impossibleItem = "impossible"
	failingItem    = "failing"
	maxAttempts    = 3
	maxQueue       = 15 * time.Second
	configInterval = 4 * time.Second
)

// operator writes the configuration and the target versions of models.
type operator struct {
	world   *World
	table   port.RouteTable
	targets map[string]int64
	// Counters of active faults.
	lateOrders, slowOrders int
	// poison counts the active faults during which each job of the first model has a poison item.
	poison int
	// changes are the configuration versions written, with their times.
	changes []configurationChange
}

type configurationChange struct {
	version int64
	at      time.Time
}

func newOperator(w *World) *operator {
	o := &operator{world: w, targets: map[string]int64{}}
	o.table = port.RouteTable{Version: 3, Services: []port.Service{{Name: generatorName, Models: models, ColdStart: w.coldStart()}, {Name: scorerName}}}
	for _, name := range models {
		o.table.Routes = append(o.table.Routes, port.Route{
			Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: port.RouteBatch, MaxAttempts: maxAttempts, MaxQueue: maxQueue,
			ResultDeadline: w.options.resultDeadline(), Backends: []port.Backend{{Service: generatorName, Weight: 1}}, SingleVersion: name == singleVersionModel,
		})
	}
	o.table.Routes = append(o.table.Routes, port.Route{
		Name: scorerName, Host: host, PathPrefix: "/score/", Kind: port.RouteIdempotent, MaxAttempts: maxAttempts,
		Timeout: 1500 * time.Millisecond, Objective: 150 * time.Millisecond, Backends: []port.Backend{{Service: scorerName, Weight: 1}},
	})
	return o
}

func (o *operator) start() {
	o.write()
	o.world.Every(configInterval, func() bool {
		o.table.Version += 1 + int64(o.world.random.IntN(3))
		o.write()
		return true
	})
}

func (o *operator) write() {
	o.world.check.allowedRegions.recordTable(o.table)
	o.put(routesKey, o.table)
	o.changes = append(o.changes, configurationChange{o.table.Version, o.world.Now})
}

func (o *operator) put(key string, content any) {
	value, err := json.Marshal(content)
	if err != nil {
		panic("encoding an operator record: " + err.Error())
	}
	record := port.Record{RecordKey: port.RecordKey{Table: operatorTable, Key: key}, Value: value}
	if o.world.store.records.Commit(o.world.Now, port.RecordTransaction{Puts: []port.Record{record}}).Status != port.RecordDone {
		panic("operator write was rejected")
	}
}

func (o *operator) setTarget(model string, version int64) {
	o.targets[model] = version
	o.put(targetPrefix+model, port.VersionTarget{Model: model, Version: version})
}

// trainer submits one job after another and sets a new target version after each.
type trainer struct {
	world *World
	model string
	steps int
}

func newTrainer(w *World, index int, model string) *trainer {
	return &trainer{world: w, model: model, steps: index * 1000}
}

// step submits the next job.
func (t *trainer) step() {
	w := t.world
	if !w.faultsActive {
		return
	}
	t.steps++
	target := max(w.operator.targets[t.model], 1)
	job := &doorstepv1.BatchJob{
		Id: fmt.Sprintf("job-%d", t.steps), Route: t.model, Host: host, Path: "/" + t.model + "/x",
		Model: t.model, MinVersion: max(target-1, 1), DesiredGroups: desiredGroups, Tenant: tenantName(t.steps / 1000),
	}
	scored := w.random.IntN(unscoredOneIn) != 0
	for i := range itemsPerJob {
		id := fmt.Sprintf("item-%d-%d", t.steps, i)
		switch w.random.IntN(60) {
		case 0:
			id = impossibleItem + id
		case 1:
			id = failingItem + id
		case 2:
			id = unscorableItem + id
		}
		body := []byte(id)
		if i == 0 && w.operator.poison > 0 && t.model == models[0] {
			id = poisonItem + id
			body = []byte(poisonItem)
		}
		item := &doorstepv1.BatchItem{
			Id: id, Path: "/" + t.model + "/y", Headers: []*doorstepv1.Header{{Name: "model", Value: t.model}},
			Body: body, Group: fmt.Sprintf("group-%d", i/itemsPerGroup),
		}
		if scored {
			item.Scoring = &doorstepv1.ScoringCall{Id: id + scoringSuffix, Host: host, Path: scoringPath}
		}
		job.Items = append(job.Items, item)
	}
	record := w.check.addJob(job)
	record.sentAt = w.Now
	w.After(stepInterval, t.step)
	t.submit(job, record, maxSubmitAttempts)
}

// submit submits a job to random nodes until one accepts it.
func (t *trainer) submit(job *doorstepv1.BatchJob, record *jobRecord, tries int) {
	w := t.world
	if tries == 0 {
		return
	}
	n := w.nodes[w.random.IntN(len(w.nodes))]
	answered := false
	record.pendingSubmissions++
	w.check.allowedRegions.recordSubmission(job.Id, n)
	retry := func() {
		if !answered {
			answered = true
			record.pendingSubmissions--
			w.After(300*time.Millisecond, func() { t.submit(job, record, tries-1) })
		}
	}
	// A node that is down or frozen does not answer.
	w.After(4*time.Second, func() {
		if !answered {
			record.possiblyAccepted = true
			retry()
		}
	})
	n.invoke(n.incarnation, func(now time.Time) {
		n.node.Jobs().Accept(now, job, time.Time{}, func(_ time.Time, outcome batch.Outcome) {
			if answered {
				record.possiblyAccepted = record.possiblyAccepted || outcome != batch.NotApplied && outcome != batch.NoReplica
				return
			}
			switch outcome {
			case batch.Applied:
				answered = true
				record.pendingSubmissions--
				record.possiblyAccepted = true
				record.acceptedAt = w.Now
				w.After(readInterval, func() { t.pollResults(record, w.Now.Add(w.options.resultDeadline())) })
			case batch.Indeterminate:
				record.possiblyAccepted = true
				retry()
			default:
				retry()
			}
		})
	})
}

// pollResults reads results from random nodes until enough groups are complete or the deadline has
// passed.
func (t *trainer) pollResults(record *jobRecord, until time.Time) {
	w := t.world
	w.readResults(record, w.random.IntN(max(record.resultsRead, 1)))
	if record.completeGroups() >= desiredGroups || w.Now.After(until) {
		t.endJob(record)
		return
	}
	w.After(readInterval, func() { t.pollResults(record, until) })
}

// readResults reads a job's results from a random node, starting at a position, and checks them.
func (w *World) readResults(record *jobRecord, from int) {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	n.invoke(n.incarnation, func(time.Time) {
		n.node.Jobs().ReadResults(record.content.Id, from, func(_ time.Time, results []*doorstepv1.BatchResult, ok bool) {
			if ok {
				w.check.checkResults(w, record, from, results)
			}
		})
	})
}

// endJob ends the job, retrying until a node confirms it, and sets the next target version.
func (t *trainer) endJob(record *jobRecord) {
	w := t.world
	if record.endedAt != (time.Time{}) {
		return
	}
	n := w.nodes[w.random.IntN(len(w.nodes))]
	n.invoke(n.incarnation, func(now time.Time) {
		n.node.Jobs().End(now, record.content.Id, time.Time{}, func(_ time.Time, outcome batch.Outcome) {
			if outcome == batch.NotFound && n.healthy(w.Now) {
				w.check.reportViolation(w, "nothing-lost", "%s: an accepted job is not found when it is ended", record.content.Id)
			}
			if outcome == batch.Applied && record.endedAt == (time.Time{}) {
				record.endedAt = w.Now
				w.operator.setTarget(t.model, max(w.operator.targets[t.model], 1)+1)
			}
		})
	})
	w.After(time.Second, func() { t.endJob(record) })
}
