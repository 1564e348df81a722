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
	// stepEvery is how often a trainer asks, resultsWithin how long it waits.
	stepEvery     = 3 * time.Second
	resultsWithin = 7 * time.Second
	readEvery     = 400 * time.Millisecond
	itemsOfJob    = 24
	itemsOfGroup  = 4
	// desiredGroups is how many whole groups a trainer waits for.
	desiredGroups = 5
	// unscoredOneIn is the part of the jobs, one in so many, without scoring calls.
	unscoredOneIn = 4
	// triesOfJob bounds the nodes that a job is handed to.
	triesOfJob = 4
	// impossibleItem and failingItem begin the ids of items that can't be done.
	impossibleItem = "impossible"
	failingItem    = "failing"
	maxAttempts    = 3
	maxQueue       = 15 * time.Second
	configEvery    = 4 * time.Second
)

// operator changes the configuration and keeps the models' newest versions.
type operator struct {
	world   *World
	table   port.RouteTable
	targets map[string]int64
	// counts of the faults of orders that are on.
	lateOrders, slowOrders int
	// poison is raised while each job has an item that crashes replicas.
	poison int
	// changes are the acknowledged versions with their times.
	changes []configurationChange
}

type configurationChange struct {
	version int64
	at      time.Time
}

func newOperator(w *World) *operator {
	o := &operator{world: w, targets: map[string]int64{}}
	o.table = port.RouteTable{Version: 3, Services: []port.Service{{Name: generatorName, Models: models, Cold: w.coldStart()}, {Name: scorerName}}}
	for _, name := range models {
		o.table.Routes = append(o.table.Routes, port.Route{
			Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: port.RouteBatch, MaxAttempts: maxAttempts, MaxQueue: maxQueue,
			ResultDeadline: resultsWithin, Backends: []port.Backend{{Service: generatorName, Weight: 1}}, SingleVersion: name == singleVersionModel,
		})
	}
	o.table.Routes = append(o.table.Routes, port.Route{
		Name: scorerName, Host: host, PathPrefix: "/score/", Kind: port.RouteIdempotent, MaxAttempts: maxAttempts,
		Timeout: 1500 * time.Millisecond, Objective: 150 * time.Millisecond, Backends: []port.Backend{{Service: scorerName, Weight: 1}},
	})
	return o
}

func (o *operator) begin() {
	o.write()
	o.world.Every(configEvery, func() bool {
		o.table.Version += 1 + int64(o.world.random.IntN(3))
		o.write()
		return true
	})
}

func (o *operator) write() {
	o.world.check.homes.written(o.table)
	o.put(routesKey, o.table)
	o.changes = append(o.changes, configurationChange{o.table.Version, o.world.Now})
}

func (o *operator) put(key string, content any) {
	value, err := json.Marshal(content)
	if err != nil {
		panic("an operator's record must encode: " + err.Error())
	}
	record := port.Record{RecordKey: port.RecordKey{Table: operatorTable, Key: key}, Value: value}
	if o.world.store.records.Commit(o.world.Now, port.RecordTransaction{Puts: []port.Record{record}}).Status != port.RecordDone {
		panic("the operator's write was refused")
	}
}

func (o *operator) name(model string, version int64) {
	o.targets[model] = version
	o.put(targetPrefix+model, port.VersionTarget{Model: model, Version: version})
}

// trainer asks for a job after the other and names a version after each.
type trainer struct {
	world *World
	model string
	steps int
}

func newTrainer(w *World, index int, model string) *trainer {
	return &trainer{world: w, model: model, steps: index * 1000}
}

// step hands the next job in.
func (t *trainer) step() {
	w := t.world
	if !w.faulty {
		return
	}
	t.steps++
	target := max(w.operator.targets[t.model], 1)
	job := &doorstepv1.BatchJob{
		Id: fmt.Sprintf("job-%d", t.steps), Route: t.model, Host: host, Path: "/" + t.model + "/x",
		Model: t.model, MinVersion: max(target-1, 1), DesiredGroups: desiredGroups, Tenant: tenantName(t.steps / 1000),
	}
	scored := w.random.IntN(unscoredOneIn) != 0
	for i := range itemsOfJob {
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
		one := &doorstepv1.BatchItem{
			Id: id, Path: "/" + t.model + "/y", Headers: []*doorstepv1.Header{{Name: "model", Value: t.model}},
			Body: body, Group: fmt.Sprintf("group-%d", i/itemsOfGroup),
		}
		if scored {
			one.Scoring = &doorstepv1.ScoringCall{Id: id + scoringSuffix, Host: host, Path: scoringPath}
		}
		job.Items = append(job.Items, one)
	}
	known := w.check.job(job)
	known.sentAt = w.Now
	w.After(stepEvery, t.step)
	t.submit(job, known, triesOfJob)
}

// submit hands a job to some node until it is accepted.
func (t *trainer) submit(job *doorstepv1.BatchJob, known *jobRecord, tries int) {
	w := t.world
	if tries == 0 {
		return
	}
	n := w.nodes[w.random.IntN(len(w.nodes))]
	answered := false
	known.pending++
	w.check.homes.handed(job.Id, n)
	again := func() {
		if !answered {
			answered = true
			known.pending--
			w.After(300*time.Millisecond, func() { t.submit(job, known, tries-1) })
		}
	}
	// A node that dies or stands still gives no answer.
	w.After(4*time.Second, func() {
		if !answered {
			known.maybe = true
			again()
		}
	})
	n.do(n.life, func(now time.Time) {
		n.node.Jobs().Accept(now, job, func(_ time.Time, outcome batch.Outcome) {
			if answered {
				known.maybe = known.maybe || outcome != batch.NotApplied && outcome != batch.NoReplica
				return
			}
			switch outcome {
			case batch.Applied:
				answered = true
				known.pending--
				known.maybe = true
				known.acceptedAt = w.Now
				w.After(readEvery, func() { t.read(known, w.Now.Add(resultsWithin)) })
			case batch.Indeterminate:
				known.maybe = true
				again()
			default:
				again()
			}
		})
	})
}

// read reads results at some node until the job is whole or its time is over.
func (t *trainer) read(known *jobRecord, until time.Time) {
	w := t.world
	w.readJob(known, w.random.IntN(max(known.seen, 1)))
	if known.wholeGroups() >= desiredGroups || w.Now.After(until) {
		t.end(known)
		return
	}
	w.After(readEvery, func() { t.read(known, until) })
}

// readJob reads a job's results from a position on at some node, and checks them.
func (w *World) readJob(known *jobRecord, from int) {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	n.do(n.life, func(time.Time) {
		n.node.Jobs().ReadResults(known.content.Id, from, func(_ time.Time, results []*doorstepv1.BatchResult, ok bool) {
			if ok {
				w.check.read(w, known, from, results)
			}
		})
	})
}

// end ends the job, again and again until a node says so, and names the next version.
func (t *trainer) end(known *jobRecord) {
	w := t.world
	if known.endedAt != (time.Time{}) {
		return
	}
	n := w.nodes[w.random.IntN(len(w.nodes))]
	n.do(n.life, func(now time.Time) {
		n.node.Jobs().End(now, known.content.Id, func(_ time.Time, outcome batch.Outcome) {
			if outcome == batch.NotFound && n.healthy(w.Now) {
				w.check.violate(w, "nothing-lost", "%s: an accepted job is absent at its end", known.content.Id)
			}
			if outcome == batch.Applied && known.endedAt == (time.Time{}) {
				known.endedAt = w.Now
				w.operator.name(t.model, max(w.operator.targets[t.model], 1)+1)
			}
		})
	})
	w.After(time.Second, func() { t.end(known) })
}
