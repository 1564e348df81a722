package clustersim

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Fault is a kind of fault. inject starts a fault, which ends by itself after the given duration.
type Fault struct {
	// Name identifies the fault on the command line, Description describes it.
	Name, Description string
	// meanInterval is the mean time between two faults of the kind, maxDuration the upper bound of a
	// duration.
	meanInterval, maxDuration time.Duration
	inject                    func(w *World, duration time.Duration)
}

// Faults lists all kinds of faults.
var Faults = []Fault{
	{"store-silent", "the record store does not respond", 15 * time.Second, 6 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.store.silent) }},
	{"store-refusing", "the record store rejects most calls", 15 * time.Second, 6 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.store.refusing) }},
	{"store-slow", "each way to the record store takes up to 1.2 s", 15 * time.Second, 5 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.store.slow) }},
	{"store-loses", "a third of the writes get no answer, and some of these take effect seconds later", 10 * time.Second, 6 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.store.losing) }},
	{"store-partly", "a third of the messages to and from the record store are lost", 15 * time.Second, 5 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.store.partial) }},
	{"store-forgets", "watches return no changes for up to a second, then the change history is lost", 10 * time.Second, time.Second, dropWatchHistory},
	{"node-kill", "a node is killed and restarts without state", 6 * time.Second, 4 * time.Second, killNode},
	{"kill-all", "all nodes are killed at the same time", 25 * time.Second, 2 * time.Second, killAll},
	{"node-freeze", "a node's process is suspended and resumed", 8 * time.Second, 6 * time.Second, freezeNode},
	{"node-cut", "a node cannot reach the record store", 10 * time.Second, 6 * time.Second, disconnectNode},
	{"holder-freeze", "the holder of the order lease is suspended and resumed", 12 * time.Second, 6 * time.Second, freezeHolder},
	{"planned-stop", "a node shuts down as planned and restarts", 8 * time.Second, time.Second, func(w *World, _ time.Duration) { w.randomNode().stop() }},
	{"replica-crash", "a replica crashes and another one takes its address", 8 * time.Second, 4 * time.Second, func(w *World, duration time.Duration) { w.randomReplica().crash(duration) }},
	{"item-poison", "each job of one model contains the same item that crashes the replicas that run it", 12 * time.Second, 10 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.operator.poison) }},
	{"replica-dark", "a replica does not respond", 10 * time.Second, 4 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.randomReplica().unresponsive) }},
	{"replica-slow", "a replica is two to four times as slow", 10 * time.Second, 6 * time.Second, slowReplica},
	{"replica-breaks", "a replica interrupts its streams", 10 * time.Second, 5 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.randomReplica().interrupting) }},
	{"replica-drains", "a replica drains and exits", 9 * time.Second, time.Second, func(w *World, _ time.Duration) { w.randomReplica().drain() }},
	{"homes-change", "the route of one model is restricted to a set of regions", 12 * time.Second, 10 * time.Second, changeAllowedRegions},
	{"orders-late", "half of the orders are unanswered and executed seconds later", 10 * time.Second, 6 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.operator.lateOrders) }},
	{"orders-slow", "orders take up to 0.9 s to reach their replica", 10 * time.Second, 6 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.operator.slowOrders) }},
	{"region-cut", "the link to the region without the record store is cut in one or both directions", 14 * time.Second, 8 * time.Second, cutRegion},
	{"region-slow", "messages between the regions take up to 390 ms longer, or 2 s", 12 * time.Second, 9 * time.Second, slowRegion},
	{"clock-step", "a node's wall clock jumps by 2 s and back", 10 * time.Second, 6 * time.Second, stepClock},
	{"duties-late", "half of the calls to the platform are unanswered and executed seconds later", 10 * time.Second, 6 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.platform.losing) }},
	{"reporter-kill", "the node that reports usage is killed and restarts without state", 12 * time.Second, 4 * time.Second, killReporter},
	{"scorer-crash", "a scorer crashes and another one takes its address", 10 * time.Second, 4 * time.Second, func(w *World, duration time.Duration) { w.randomScorer().crash(duration) }},
	{"scorer-dark", "a scorer does not respond", 12 * time.Second, 4 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.randomScorer().unresponsive) }},
	{"scorer-fails", "a scorer fails half of its calls", 10 * time.Second, 4 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.randomScorer().failing) }},
	{"scorer-loses", "a scorer loses half of its responses", 10 * time.Second, 4 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.randomScorer().losing) }},
	{"scorer-slow", "a scorer is twenty times as slow", 10 * time.Second, 6 * time.Second, func(w *World, duration time.Duration) { w.activateFor(duration, &w.randomScorer().slow) }},
	{"replica-cold", "a replica becomes cold without a restart", 6 * time.Second, time.Second, func(w *World, _ time.Duration) { w.randomReplica().turnCold() }},
	{"zone-cold-return", "all replicas of a zone become cold at the same time", 12 * time.Second, time.Second, turnZoneCold},
	{"all-cold", "all replicas become cold at the same time", 20 * time.Second, time.Second, turnAllCold},
	{"scorer-drains", "a scorer drains and exits", 12 * time.Second, time.Second, func(w *World, _ time.Duration) { w.randomScorer().drain() }},
	{"zone-evacuated", "the platform evacuates a zone for a while", 12 * time.Second, 8 * time.Second, evacuateZone},
	{"replica-restart", "a replica restarts under its ID, once within 6 s or twice within a heartbeat", 8 * time.Second, 6 * time.Second, restartReplica},
	{"replica-crash-burst", "half of the replicas crash and are replaced, several times within two seconds", 16 * time.Second, 2 * time.Second, crashReplicasRepeatedly},
}

// OptionalFaults lists kinds of faults that "all" does not include, so that it draws the same schedules for existing
// seeds.
var OptionalFaults = []Fault{
	{"owner-refused", "the store refuses the calls of a job's owner, then only its reads of texts, as its successors are killed", 8 * time.Second, 8 * time.Second, refuseOwner},
}

// ParseFaults parses a comma-separated list of names, "all" or "none". The list may contain "all".
func ParseFaults(names string) ([]Fault, error) {
	if names == "" || names == "none" {
		return nil, nil
	}
	var found []Fault
	for name := range strings.SplitSeq(names, ",") {
		if name == "all" {
			found = append(found, Faults...)
			continue
		}
		fault, known := findFault(name)
		if !known {
			return nil, fmt.Errorf("unknown fault %q", name)
		}
		found = append(found, fault)
	}
	return found, nil
}

func findFault(name string) (Fault, bool) {
	for _, fault := range slices.Concat(Faults, OptionalFaults) {
		if fault.Name == name {
			return fault, true
		}
	}
	return Fault{}, false
}

func (w *World) scheduleFaults() {
	for _, fault := range w.options.Faults {
		var next func()
		next = func() {
			w.After(time.Duration(w.random.ExpFloat64()*float64(fault.meanInterval)), func() {
				if !w.faultsActive {
					return
				}
				w.faultCounts[fault.Name]++
				duration := fault.maxDuration/4 + time.Duration(w.random.Int64N(int64(fault.maxDuration)*3/4))
				w.trace("fault %s for %s", fault.Name, duration)
				w.check.placement.recordFault(w.Now.Add(duration))
				fault.inject(w, duration)
				next()
			})
		}
		next()
	}
}

// activateFor increments a counter of active faults for the duration.
func (w *World) activateFor(duration time.Duration, count *int) {
	*count++
	w.store.stable(w.Now)
	w.After(duration, func() {
		w.store.stable(w.Now)
		*count--
	})
}

func (w *World) randomNode() *node { return w.nodes[w.random.IntN(len(w.nodes))] }

// randomReplica returns a replica that is up, or the last one if it finds none.
func (w *World) randomReplica() *replica {
	for range w.replicas {
		if r := w.replicas[w.random.IntN(len(w.replicas))]; r.up {
			return r
		}
	}
	return w.replicas[len(w.replicas)-1]
}

func dropWatchHistory(w *World, duration time.Duration) {
	w.store.lastFaultAt = w.Now.Add(duration)
	w.store.records.MuteWatches(w.Now.Add(duration))
	w.After(duration, w.store.records.CompactHistory)
}

func killNode(w *World, duration time.Duration) { w.randomNode().kill(duration) }

func killAll(w *World, duration time.Duration) {
	for _, n := range w.nodes {
		n.kill(duration)
	}
}

func (n *node) freeze(duration time.Duration) {
	n.frozenUntil = n.world.Now.Add(duration)
	n.recordFault(n.frozenUntil)
}

func freezeNode(w *World, duration time.Duration) { w.randomNode().freeze(duration) }

func freezeHolder(w *World, duration time.Duration) {
	for _, n := range w.nodes {
		if n.up && n.node.Lease().Held(w.Now) {
			n.freeze(duration)
			return
		}
	}
}

func disconnectNode(w *World, duration time.Duration) {
	n := w.randomNode()
	n.storeCuts++
	w.After(duration, func() {
		n.storeCuts--
		n.recordFault(w.Now)
	})
}

// refuseOwner makes the store refuse the calls of a job's owner. Half of the duration later it is served again, but for its
// reads of texts, and the nodes that took its jobs over are killed: it gets jobs back without what it stored.
func refuseOwner(w *World, duration time.Duration) {
	jobs := w.owners.ownedJobs()
	if len(jobs) == 0 {
		return
	}
	n := w.owners.current[jobs[w.random.IntN(len(jobs))]].node
	jobs = slices.DeleteFunc(jobs, func(job string) bool { return w.owners.current[job].node != n })
	n.storeRefusals++
	w.After(duration/2, func() {
		n.storeRefusals--
		n.textRefusals++
		for _, job := range jobs {
			if taken := w.owners.current[job].node; taken != n {
				taken.kill(duration / 2)
			}
		}
	})
	w.After(duration, func() {
		n.textRefusals--
		n.recordFault(w.Now)
	})
}

func slowReplica(w *World, duration time.Duration) {
	r := w.randomReplica()
	more := 1 + w.random.IntN(3)
	r.slow += more
	w.After(duration, func() { r.slow -= more })
}

func killReporter(w *World, duration time.Duration) {
	for _, n := range w.nodes {
		if n.up && n.node.ReportsUsage(w.Now) {
			n.kill(duration)
			return
		}
	}
}

func stepClock(w *World, duration time.Duration) {
	n := w.randomNode()
	step := wallClockStep
	if w.random.IntN(2) == 0 {
		step = -step
	}
	n.wallClockOffset += step
	w.After(duration, func() { n.wallClockOffset -= step })
}

// restartReplica restarts a replica under its ID, in half of the cases twice within a heartbeat.
func restartReplica(w *World, duration time.Duration) {
	r := w.randomReplica()
	if w.random.IntN(2) == 0 {
		r.restart(duration)
		return
	}
	r.restart(heartbeatInterval / 6)
	w.After(heartbeatInterval/3, func() {
		if restarted := w.replicaAt(r.address); restarted != nil {
			restarted.restart(heartbeatInterval / 6)
		}
	})
}

// crashBurstInterval is the time between two rounds of a burst of crashes, after which crashed replicas are
// replaced.
const crashBurstInterval = 400 * time.Millisecond

// crashReplicasRepeatedly crashes each replica with a probability of one half, in several rounds.
func crashReplicasRepeatedly(w *World, duration time.Duration) {
	for at := time.Duration(0); at < duration; at += crashBurstInterval {
		w.After(at, func() {
			for _, r := range slices.Clone(w.replicas) {
				if r.up && w.random.IntN(2) == 0 {
					r.crash(crashBurstInterval)
				}
			}
		})
	}
}
