package simulation

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/node"
	"github.com/doorstep/doorstep/internal/simulation/check"
)

// Fault is a kind of fault: inject brings one about and ends it by itself.
type Fault struct {
	// Name is used on the command line, Does describes it.
	Name, Does string
	// every is the mean time between two of the kind.
	every time.Duration
	// lasts bounds how long one lasts.
	lasts  time.Duration
	inject func(w *World, lasts time.Duration)
}

// Faults lists every kind of fault.
var Faults = []Fault{
	{"engine-crash", "an engine dies in the middle of its streams and comes back empty", 8 * time.Second, 8 * time.Second, crashEngine},
	{"node-kill", "a node dies without a word and comes back remembering nothing", 9 * time.Second, 6 * time.Second, killNode},
	{"node-freeze", "a node is paused, longer than its lease too, and wakes still believing", 12 * time.Second, 15 * time.Second, freezeNode},
	{"zone-cut", "a zone is cut off from the other zones, often from the platform too", 20 * time.Second, 20 * time.Second, cutZone},
	{"one-way-cut", "messages from one zone to another are lost, the other way they pass", 15 * time.Second, 15 * time.Second, cutOneWay},
	{"flapping-link", "the link between two zones goes down and up several times a second", 15 * time.Second, 8 * time.Second, flapLink},
	{"message-chaos", "messages and stream events come late, doubled and out of order", 12 * time.Second, 12 * time.Second, func(w *World, lasts time.Duration) { w.during(lasts, &w.network.chaos) }},
	{"table-down", "the table does not answer", 18 * time.Second, 20 * time.Second, func(w *World, lasts time.Duration) { w.during(lasts, &w.platform.tableDown) }},
	{"table-slow", "the table takes seconds to answer", 15 * time.Second, 15 * time.Second, func(w *World, lasts time.Duration) { w.during(lasts, &w.platform.tableSlow) }},
	{"table-lost-answers", "the table's answers are lost after the effect", 12 * time.Second, 15 * time.Second, func(w *World, lasts time.Duration) { w.during(lasts, &w.platform.tableLoses) }},
	{"table-late-effect", "transactions land seconds later, and nobody is told", 12 * time.Second, 15 * time.Second, func(w *World, lasts time.Duration) { w.during(lasts, &w.platform.tableLate) }},
	{"objects-down", "the object store does not answer", 18 * time.Second, 12 * time.Second, func(w *World, lasts time.Duration) { w.during(lasts, &w.platform.objectsDown) }},
	{"objects-slow", "the object store takes seconds to answer", 15 * time.Second, 12 * time.Second, func(w *World, lasts time.Duration) { w.during(lasts, &w.platform.objectsSlow) }},
	{"weights-down", "the weight store does not answer", 18 * time.Second, 10 * time.Second, func(w *World, lasts time.Duration) { w.during(lasts, &w.platform.weightsDown) }},
	{"scorer-loses", "scorers' answers are lost", 15 * time.Second, 10 * time.Second, func(w *World, lasts time.Duration) { w.during(lasts, &w.platform.scorerFails) }},
	{"swap-failure", "loads of a new version fail partway on some engines", 8 * time.Second, time.Second, failSwaps},
	{"hidden-versions", "an engine leaves the versions out of its streams", 15 * time.Second, 4 * time.Second, hideVersions},
	{"machines-wrong", "the machine list stands still and misses what changes", 15 * time.Second, 15 * time.Second, func(w *World, lasts time.Duration) { w.during(lasts, &w.platform.listFrozen) }},
	{"replica-leaves", "a replica announces that it leaves, goes, and comes back", 10 * time.Second, 20 * time.Second, leaveReplica},
	{"planned-stop", "a node is stopped in the planned way and replaced", 8 * time.Second, 3 * time.Second, stopNode},
	{"rolling-stop", "every node in turn is stopped in the planned way and replaced", 40 * time.Second, 30 * time.Second, stopEachNode},
	{"operator-race", "two operators change the same thing at the same moment", 6 * time.Second, time.Second, func(w *World, _ time.Duration) { w.operator.race() }},
	{"trainer-death", "a trainer dies, often between pull and acknowledgement, and starts again from its checkpoint", 10 * time.Second, 4 * time.Second, killTrainer},
	{"caller-burst", "ten times the usual callers arrive", 20 * time.Second, 6 * time.Second, func(w *World, lasts time.Duration) { w.during(lasts, &w.callers.burst) }},
}

// FindFaults resolves names, "all" and "none" to kinds of faults.
func FindFaults(names string) ([]Fault, error) {
	switch names {
	case "", "none":
		return nil, nil
	case "all":
		return Faults, nil
	}
	var found []Fault
	for _, name := range strings.Split(names, ",") {
		index := slices.IndexFunc(Faults, func(f Fault) bool { return f.Name == name })
		if index < 0 {
			return nil, fmt.Errorf("there is no fault %q; see doorstep-sim faults", name)
		}
		found = append(found, Faults[index])
	}
	return found, nil
}

// faultSpan is the time during which faults are injected.
func (w *World) faultSpan() time.Duration {
	if len(w.options.Faults) == 0 {
		return 0
	}
	return faultTime
}

// thinning spreads many kinds of faults over the same span, so that a run with
// all of them still leaves room between them.
const thinning = 6.0

// scheduleFaults draws when each kind strikes; the kinds overlap as they come.
func (w *World) scheduleFaults() {
	factor := math.Max(1, float64(len(w.options.Faults))/thinning)
	for _, fault := range w.options.Faults {
		mean := float64(fault.every) * factor
		at := startTime + time.Duration(w.random.Float64()*mean)
		for at < startTime+faultTime {
			lasts := min(fault.lasts, startTime+faultTime-at+time.Second)
			lasts = lasts/4 + time.Duration(w.random.Int64N(int64(lasts*3/4)+1))
			w.After(at, func() {
				w.injected[fault.Name]++
				w.note("fault", fault.Name)
				if w.options.Verbose != nil {
					w.options.Verbose(w.elapsed(), "FAULT", 0, []any{fault.Name, lasts})
				}
				fault.inject(w, lasts)
			})
			at += time.Duration(-math.Log(1-w.random.Float64()) * mean)
		}
	}
}

// during counts a fault up for a while.
func (w *World) during(lasts time.Duration, count *int) {
	*count++
	w.After(lasts, func() { *count-- })
}

func crashEngine(w *World, lasts time.Duration) {
	engine := w.engines[w.random.IntN(len(w.engines))]
	if engine.down {
		return
	}
	engine.crash()
	w.After(lasts, engine.restart)
}

func (w *World) anyNode() *simulatedNode { return w.nodes[w.random.IntN(len(w.nodes))] }

func killNode(w *World, lasts time.Duration) {
	one := w.anyNode()
	one.kill()
	w.After(lasts, one.start)
}

func freezeNode(w *World, lasts time.Duration) {
	one := w.anyNode()
	if !one.up() || one.frozen {
		return
	}
	one.freeze()
	life := one.life
	w.After(lasts, func() {
		if one.life == life {
			one.thaw()
		}
	})
}

func cutZone(w *World, lasts time.Duration) {
	zones := w.options.Topology.Zones
	zone := zones[w.random.IntN(len(zones))]
	others := slices.Clone(zones)
	if w.random.IntN(3) > 0 {
		others = append(others, platformZone)
	}
	for _, other := range others {
		if other == zone {
			continue
		}
		w.network.cut(zone, other)
		w.network.cut(other, zone)
		w.After(lasts, func() {
			w.network.mend(zone, other)
			w.network.mend(other, zone)
		})
	}
}

// twoZones draws two different zones, the platform among them.
func (w *World) twoZones() (string, string) {
	zones := append(slices.Clone(w.options.Topology.Zones), platformZone)
	from := w.random.IntN(len(zones))
	to := (from + 1 + w.random.IntN(len(zones)-1)) % len(zones)
	return zones[from], zones[to]
}

func cutOneWay(w *World, lasts time.Duration) {
	from, to := w.twoZones()
	w.network.cut(from, to)
	w.After(lasts, func() { w.network.mend(from, to) })
}

const flapTime = 300 * time.Millisecond

func flapLink(w *World, lasts time.Duration) {
	from, to := w.twoZones()
	until := w.Now.Add(lasts)
	w.Every(2*flapTime, func() bool {
		w.network.cut(from, to)
		w.network.cut(to, from)
		w.After(flapTime, func() {
			w.network.mend(from, to)
			w.network.mend(to, from)
		})
		return w.Now.Before(until)
	})
}

func failSwaps(w *World, _ time.Duration) {
	for _, engine := range w.engines {
		if w.random.IntN(3) == 0 {
			engine.model.FailNextLoad()
		}
	}
}

func hideVersions(w *World, lasts time.Duration) {
	engine := w.engines[w.random.IntN(len(w.engines))]
	engine.model.HideVersions = true
	w.After(lasts, func() { engine.model.HideVersions = false })
}

// leaveReplica lets a replica leave while others of its service stay.
func leaveReplica(w *World, lasts time.Duration) {
	engine := w.engines[w.random.IntN(len(w.engines))]
	if _, leaving := engine.model.Leaving(); leaving || engine.down || w.leavingOf(engine.machine.Service) > 0 {
		return
	}
	engine.model.Leave(w.Now)
	w.platform.changeMachine(engine.machine.Name, func(machine *port.Machine) bool {
		machine.State = port.MachineLeaving
		return true
	})
	from := w.Now
	w.After(max(lasts, 2*check.LeavingBound), func() {
		w.leaves = append(w.leaves, check.Leave{Replica: engine.machine.Name, From: from, To: w.Now, Bound: check.LeavingBound, Why: "leaving"})
		engine.crash()
		engine.model.Return()
		w.platform.changeMachine(engine.machine.Name, func(*port.Machine) bool { return false })
		w.After(2*time.Second, func() {
			engine.restart()
			w.platform.addMachine(engine.machine)
		})
	})
}

func (w *World) leavingOf(service string) int {
	count := 0
	for _, engine := range w.engines {
		if _, leaving := engine.model.Leaving(); leaving && engine.machine.Service == service {
			count++
		}
	}
	return count
}

func stopNode(w *World, lasts time.Duration) { w.plannedStop(w.anyNode(), lasts) }

// plannedStop stops a node and replaces it once it has ended by itself.
func (w *World) plannedStop(one *simulatedNode, back time.Duration) {
	if !one.up() || one.stopping {
		return
	}
	one.stopping = true
	life := one.life
	one.deliver(life, node.StopRequested{})
	w.Every(100*time.Millisecond, func() bool {
		if one.life == life && one.up() {
			return true
		}
		w.After(back, one.start)
		return false
	})
}

func stopEachNode(w *World, lasts time.Duration) {
	for i, one := range w.nodes {
		w.After(time.Duration(i)*lasts/time.Duration(len(w.nodes)), func() { w.plannedStop(one, time.Second) })
	}
}

func killTrainer(w *World, lasts time.Duration) {
	if len(w.trainers) == 0 {
		return
	}
	one := w.trainers[w.random.IntN(len(w.trainers))]
	if w.random.IntN(2) == 0 {
		one.armed = lasts
		return
	}
	one.die(lasts)
}
