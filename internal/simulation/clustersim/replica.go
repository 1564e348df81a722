package clustersim

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
)

const (
	replicaSlots = 16
	eventPace    = 40 * time.Millisecond
	loadTime     = 900 * time.Millisecond
	beatEvery    = 1200 * time.Millisecond
	// drainTime is how long a leaving replica serves on.
	drainTime     = 2500 * time.Millisecond
	generatorName = "generator"
)

// models are those that the replicas hold; each text of singleVersionModel is to be made by
// one version.
var models = []string{"model-a", singleVersionModel}

const singleVersionModel = "model-b"

// replica is one incarnation of a replica.
type replica struct {
	*model.Generator
	world   *World
	address string
	zone    string
	up      bool
	// dark replicas answer nothing, slow ones take times as long, breaking ones break
	// off some of their streams.
	dark, breaking int
	slow           int
	drainedAt      time.Time
	runs           []*run
	cold           coldState
}

func (w *World) addReplica(address string) *replica {
	w.check.incarnations++
	versions := map[string]int64{}
	for _, name := range models {
		versions[name] = max(w.operator.targets[name], 1)
	}
	pace := eventPace
	if len(w.replicas)%3 == 2 {
		pace = pace * 13 / 10
	}
	return w.startReplica(&replica{
		Generator: &model.Generator{ID: fmt.Sprintf("replica-%d", w.check.incarnations), StartedAt: w.Now.Truncate(time.Millisecond), Slots: replicaSlots, Pace: pace, LoadDuration: loadTime, Versions: versions, Unfenced: w.options.Unfenced},
		address:   address, zone: fmt.Sprintf("zone-%d", len(w.replicas)%zoneCount),
	})
}

// startReplica begins an incarnation's life.
func (w *World) startReplica(r *replica) *replica {
	r.world, r.up = w, true
	w.trace("%s starts at %s in %s", r.ID, r.address, r.zone)
	w.replicas = append(w.replicas, r)
	r.turnCold()
	r.list()
	w.Every(beatEvery, func() bool {
		if _, lost := w.link.way(r.zone, storeZone); r.up && !lost {
			r.list()
		}
		return r.up
	})
	return r
}

// list writes the replica's record.
func (r *replica) list() {
	report := r.Report(r.world.Now)
	value, err := json.Marshal(port.ReplicaRecord{
		ID: r.ID, StartedAt: r.StartedAt, Service: generatorName, Address: r.address, Zone: r.zone, Slots: r.Slots,
		Draining: !r.drainedAt.IsZero(), Versions: report.Versions, ColdFor: max(r.cold.until.Sub(r.world.Now), 0),
	})
	if err != nil {
		panic("a replica must encode: " + err.Error())
	}
	r.world.store.records.Commit(r.world.Now, port.RecordTransaction{Puts: []port.Record{{RecordKey: r.key(), Value: value}}})
}

func (r *replica) key() port.RecordKey { return port.RecordKey{Table: replicaTable, Key: r.ID} }

// crash ends the replica; another takes its address after a while.
func (r *replica) crash(down time.Duration) {
	if !r.end() {
		return
	}
	w := r.world
	w.After(3*beatEvery, func() {
		w.store.records.Commit(w.Now, port.RecordTransaction{Deletes: []port.RecordKey{r.key()}})
	})
	w.After(down, func() { w.addReplica(r.address) })
}

// restart ends the replica, which starts again under its ID after a while. Its record goes only where it
// takes longer than the platform waits.
func (r *replica) restart(down time.Duration) {
	if !r.end() {
		return
	}
	w := r.world
	if down > 3*beatEvery {
		w.After(3*beatEvery, func() {
			w.store.records.Commit(w.Now, port.RecordTransaction{Deletes: []port.RecordKey{r.key()}})
		})
	}
	w.After(down, func() {
		w.startReplica(&replica{Generator: r.Generator.Restart(w.Now), address: r.address, zone: r.zone})
	})
}

// end ends the replica's process with all that runs there; it reports whether there was one.
func (r *replica) end() bool {
	if !r.up {
		return false
	}
	r.up = false
	r.world.trace("%s ends", r.ID)
	for _, one := range slices.Clone(r.runs) {
		one.crashed = true
		one.end(task.RunInterrupted)
	}
	return true
}

// drain announces that the replica leaves; it serves on for a while.
func (r *replica) drain() {
	if _, lost := r.world.link.way(r.zone, storeZone); !r.up || !r.drainedAt.IsZero() || lost {
		return
	}
	r.drainedAt = r.world.Now
	r.list()
	r.world.After(drainTime, func() { r.crash(time.Second) })
}

// at returns the replica at an address.
func (w *World) at(address string) *replica {
	for _, one := range slices.Backward(w.replicas) {
		if one.address == address && one.up {
			return one
		}
	}
	return nil
}

// run is one run of an item at a replica.
type run struct {
	task    task.Run
	node    *node
	life    uint64
	replica *replica
	model   string
	events  []port.ReplicaEvent
	ended   bool
	told    int
	// sentAt is when its node sent it.
	sentAt time.Time
	// crashed says that the replica ended while it had the run.
	crashed bool
}

func (w *World) startRun(n *node, life uint64, t task.Run) {
	one := &run{task: t, node: n, life: life, sentAt: w.Now, replica: w.at(t.Address), model: t.Header.Get("model")}
	n.runs[t.ID] = one
	if one.replica != nil && one.replica.ID == t.Replica {
		w.check.sentTo(w, n, w.check.itemJobs[t.Item], "", t.Item, one.replica.zone)
	}
	longer, lost := time.Duration(0), false
	if one.replica != nil {
		longer, lost = w.link.way(n.zone, one.replica.zone)
	}
	w.After(callLatency+longer, func() {
		r := one.replica
		if one.ended {
			return
		}
		if r == nil || r.ID != t.Replica {
			one.end(task.RunRefused)
			return
		}
		w.check.arrivedCold(w, r)
		switch {
		case r.dark > 0 || lost:
			w.After(t.FirstEventTimeout, func() { one.end(task.RunTimedOut) })
		default:
			w.check.arrived(w, one)
			one.begin()
		}
	})
}

// begin runs the item, or fails it in the way that its id tells.
func (one *run) begin() {
	w, r := one.replica.world, one.replica
	switch {
	case strings.HasPrefix(one.task.Item, impossibleItem):
		one.end(task.RunImpossible)
		return
	case strings.HasPrefix(one.task.Item, failingItem):
		one.end(task.RunFailed)
		return
	case !r.Begin(w.Now, one.model):
		one.end(task.RunRefused)
		return
	}
	r.runs = append(r.runs, one)
	if isPoison(one.task.Item) {
		w.check.poisonBegan(w, one)
		w.After(r.Pace, func() { r.crash(poisonDown) })
		return
	}
	if one.task.After >= model.ItemEvents(one.task.Item) {
		// The run before broke off between its last event and its end.
		one.end(task.RunCompleted)
		return
	}
	one.next(one.task.After+1, w.Now)
}

// next makes the event with the given id.
func (one *run) next(id int64, lastAt time.Time) {
	w, r := one.replica.world, one.replica
	w.After(r.Pace*time.Duration(1+r.slow), func() {
		if one.ended {
			return
		}
		silence := one.task.NextEventTimeout
		if len(one.events) == 0 {
			silence = one.task.FirstEventTimeout
		}
		switch {
		case w.Now.Sub(lastAt) >= silence:
			one.end(task.RunInterrupted)
			return
		case r.dark > 0 || w.link.cut(r.zone, one.node.zone) || r.IsLoading(w.Now, one.model):
			one.next(id, lastAt)
			return
		case r.breaking > 0 && w.random.IntN(30) == 0:
			one.end(task.RunInterrupted)
			return
		}
		version := r.Version(w.Now, one.model)
		one.events = append(one.events, port.ReplicaEvent{ID: id, Version: version, Data: expectedEvent(one.task.Item, id, version)})
		if id >= model.ItemEvents(one.task.Item) {
			w.check.madeWhole(w, one.task.Item, version)
			one.end(task.RunCompleted)
			return
		}
		if len(one.events)-one.told >= 10 {
			one.told = len(one.events)
			stop := false
			one.node.do(one.life, func(now time.Time) { stop = one.task.Progress(now, one.events, r.Pace*time.Duration(1+r.slow)) })
			if stop {
				one.end(task.RunSlow)
				return
			}
		}
		one.next(id+1, w.Now)
	})
}

// stop cancels the run, as its node wants.
func (one *run) stop() { one.end(task.RunInterrupted) }

// abandon ends the run without a word to its node, which is gone.
func (one *run) abandon() {
	one.life = 0
	one.end(task.RunInterrupted)
}

func (one *run) end(outcome task.RunOutcome) {
	if one.ended {
		return
	}
	one.ended = true
	if r := one.replica; r != nil {
		if at := slices.Index(r.runs, one); at >= 0 {
			r.runs = slices.Delete(r.runs, at, at+1)
			r.End()
		}
	}
	n, life := one.node, one.life
	longer := time.Duration(0)
	if one.replica != nil {
		longer, _ = n.world.link.way(one.replica.zone, n.zone)
	}
	n.world.After(callLatency+longer, func() {
		n.do(life, func(now time.Time) {
			delete(n.runs, one.task.ID)
			one.task.Done(now, task.RunResult{Outcome: outcome, Events: one.events, Crashed: one.crashed})
		})
	})
}

// order carries an order to a replica. It may be under way for long, within its limit, and
// it may be carried out late and unanswered.
func (w *World) order(n *node, t task.OrderVersion, done func(status port.VersionOrderStatus)) {
	longer, lost := w.wayTo(n, t.Order.Address)
	underWay := callLatency + longer
	if w.operator.slowOrders > 0 {
		underWay = longer + time.Duration(w.random.Int64N(int64(answerTimeout)))
	}
	if underWay > t.Limit {
		w.After(t.Limit, func() { done(port.VersionOrderUnknown) })
		return
	}
	w.After(underWay, func() {
		r := w.at(t.Order.Address)
		if r == nil || r.dark > 0 || lost {
			w.After(answerTimeout, func() { done(port.VersionOrderUnknown) })
			return
		}
		if r.ID == t.Order.Replica {
			w.check.ordered(w, n, t.Order)
		}
		if w.operator.lateOrders > 0 && w.random.IntN(2) == 0 {
			w.After(2*time.Second+time.Duration(w.random.Int64N(int64(6*time.Second))), func() { w.carryOutLate(t.Order) })
			w.After(answerTimeout, func() { done(port.VersionOrderUnknown) })
			return
		}
		status := r.Order(w.Now, t.Order)
		if back, lost := w.link.way(r.zone, n.zone); lost {
			w.After(answerTimeout, func() { done(port.VersionOrderUnknown) })
		} else {
			w.After(callLatency+back, func() { done(status) })
		}
	})
}

// wayTo returns the way of a node's message to the replica at an address.
func (w *World) wayTo(n *node, address string) (longer time.Duration, lost bool) {
	r := w.at(address)
	if r == nil {
		return 0, false
	}
	return w.link.way(n.zone, r.zone)
}

// carryOutLate carries an order out that was left unanswered, at whatever replica has the
// address by then.
func (w *World) carryOutLate(order port.VersionOrder) {
	r := w.at(order.Address)
	if r == nil {
		return
	}
	before := r.Version(w.Now, order.Model)
	status := r.Order(w.Now, order)
	w.trace("late order of %s to %s: version %d of %s at count %d, status %d", order.Holder, r.ID, order.Version, order.Model, order.ExpectedSequence, status)
	if status == port.VersionOrderAccepted && order.Version < before {
		w.check.violate(w, "versions-rise", "%s went from version %d of %s back to %d by a late order", r.ID, before, order.Model, order.Version)
	}
}

// ask brings a replica's report, some time old.
func (w *World) ask(n *node, t task.FetchReport, done func(report port.ReplicaReport)) {
	r := w.at(t.Address)
	longer, lost := w.wayTo(n, t.Address)
	if r == nil || r.dark > 0 || lost || r.ID != t.Replica {
		w.After(answerTimeout, func() { done(port.ReplicaReport{}) })
		return
	}
	report := r.Report(w.Now)
	w.After(callLatency+2*longer, func() { done(report) })
}
