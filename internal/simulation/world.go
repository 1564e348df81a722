// Package simulation runs whole installations of doorstep in one goroutine on a
// virtual clock: the very node.Node that the daemon runs, models of all outside
// systems, and faults. Two runs of one seed do exactly the same.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/effect"
	"github.com/doorstep/doorstep/internal/process/membership"
	"github.com/doorstep/doorstep/internal/process/node"
	"github.com/doorstep/doorstep/internal/request/routing"
	"github.com/doorstep/doorstep/internal/simulation/check"
	"github.com/doorstep/doorstep/internal/simulation/virtual"
	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/internal/standin/topology"
)

// Options configure a run.
type Options struct {
	// Topology is the installation; Seed decides everything drawn.
	Topology *topology.Topology
	Seed     uint64
	// Steps is how many steps each trainer is to train.
	Steps int64
	// Faults are the kinds of faults to inject.
	Faults []Fault
	// Routing is how nodes choose replicas; empty is balanced.
	Routing routing.Choice
	// CallersOnly leaves the experiment out, to measure callers without rollouts.
	CallersOnly bool
	// KeepStaleness keeps the topology's staleness bound under faults too.
	KeepStaleness bool
	// Verbose, when set, is called for each numbered log event of a node.
	Verbose func(at time.Duration, node string, number int, pairs []any)
}

const (
	// faultTime is how long faults are injected; the rest of a run shows that
	// everything recovers.
	faultTime = 60 * time.Second
	// startTime lets the installation come up before faults begin.
	startTime = 5 * time.Second
	// settleTime goes on after the last step, for stragglers among the requests.
	settleTime = 20 * time.Second
	// stepAllowance is the time that a step may take at most, faults apart.
	stepAllowance = 40 * time.Second
	// maximumSkew is how far nodes' clocks are apart.
	maximumSkew = 2 * time.Second
)

// epochStart is the virtual time at which every run starts.
var epochStart = time.Unix(1_800_000_000, 0)

// World is one run.
type World struct {
	virtual.Clock
	options  Options
	random   *rand.Rand
	network  *network
	roster   *membership.Roster
	nodes    []*simulatedNode
	platform *simulatedPlatform
	engines  []*simulatedEngine
	byName   map[string]*simulatedEngine
	trainers []*simulatedTrainer
	callers  *simulatedCallers
	operator *simulatedOperators
	digest   *xxhash.Digest

	violations  check.Violations
	leaves      []check.Leave
	acceptances []check.Acceptance
	injected    map[string]int
	seenWork    map[admissionKey]bool
	// scale, when set, measures what a large installation costs.
	scale *scaleMeter
}

type admissionKey struct {
	node     string
	revision uint64
	second   int64
}

// NewWorld builds an installation in which nothing has happened yet.
func NewWorld(options Options) *World {
	random := rand.New(rand.NewPCG(options.Seed, 0xd005))
	options.Topology = varied(options)
	t := options.Topology
	w := &World{
		Clock:    virtual.Clock{Now: epochStart},
		options:  options,
		random:   random,
		network:  newNetwork(random, t.ZoneLatency, t.RegionLatency),
		digest:   xxhash.New(),
		injected: map[string]int{},
		seenWork: map[admissionKey]bool{},
		byName:   map[string]*simulatedEngine{},
	}
	var entries []membership.Entry
	for _, zone := range t.Zones {
		for i := range t.NodesPerZone {
			entries = append(entries, membership.Entry{Name: fmt.Sprintf("%s-%d", zone, i+1), Zone: zone})
		}
	}
	w.roster = membership.NewRoster(entries)
	w.platform = newSimulatedPlatform(w)
	w.addEngines()
	for index := range w.roster.Size() {
		w.addNode(index)
	}
	if !options.CallersOnly {
		w.addTrainers()
	}
	w.callers = newSimulatedCallers(w)
	w.operator = newSimulatedOperators(w)
	return w
}

// varied gives runs under faults tighter staleness bounds than the topology's, by
// seed: what is wrong shows more easily near the bound.
func varied(options Options) *topology.Topology {
	if len(options.Faults) == 0 || options.KeepStaleness {
		return options.Topology
	}
	next := *options.Topology
	next.Experiment.Staleness = int(options.Seed % 3)
	return &next
}

// elapsed is the virtual time since the start.
func (w *World) elapsed() time.Duration { return w.Now.Sub(epochStart) }

// note adds something that happened to the digest of the run.
func (w *World) note(kind string, parts ...string) {
	_, _ = fmt.Fprintf(w.digest, "%d %s", w.elapsed(), kind)
	for _, part := range parts {
		_, _ = w.digest.WriteString(part)
		_, _ = w.digest.Write([]byte{0})
	}
}

// simulatedNode is a node's process: it can be killed, frozen and restarted.
type simulatedNode struct {
	world *World
	index int
	entry membership.Entry
	node  *node.Node
	// life counts the node's processes: replies to an earlier one are lost.
	life     int
	skew     time.Duration
	frozen   bool
	backlog  []node.Input
	stopping bool
	// openRequests are callers' requests that got no final answer yet.
	openRequests map[string]*callerTry
	openTrainers map[string]func(port.TrainerReply, bool)
	openOperator map[string]func(port.OperatorReply, bool)
	attempts     map[string]*stream
	// processor is the real time spent in the node's steps; nothing depends on it.
	processor time.Duration
}

func (w *World) addNode(index int) {
	one := &simulatedNode{
		world: w, index: index, entry: w.roster.Entry(index),
		skew: time.Duration(w.random.Int64N(int64(maximumSkew))),
	}
	w.nodes = append(w.nodes, one)
	// Nodes start one after the other.
	w.After(time.Duration(w.random.Int64N(int64(500*time.Millisecond))), one.start)
}

// clockNow is the node's own clock.
func (n *simulatedNode) clockNow() time.Time { return n.world.Now.Add(n.skew) }

func (n *simulatedNode) up() bool { return n.node != nil }

// start begins a new life that remembers nothing.
func (n *simulatedNode) start() {
	if n.up() {
		return
	}
	n.life++
	n.frozen = false
	n.backlog = nil
	n.stopping = false
	n.openRequests = map[string]*callerTry{}
	n.openTrainers = map[string]func(port.TrainerReply, bool){}
	n.openOperator = map[string]func(port.OperatorReply, bool){}
	n.attempts = map[string]*stream{}
	n.node = node.New(n.clockNow(), node.Options{
		Roster: n.world.roster, Self: n.index,
		Incarnation: uint64(n.life), Seed: n.world.options.Seed + uint64(n.index)<<32,
		Routing: n.world.options.Routing,
	})
	n.world.note("start", n.entry.Name)
	life := n.life
	n.world.Every(node.TickInterval, func() bool {
		if n.life != life || !n.up() {
			return false
		}
		if !n.frozen {
			n.step(node.Tick{})
		}
		return true
	})
}

// kill ends the process without a word: connections break.
func (n *simulatedNode) kill() {
	if !n.up() {
		return
	}
	n.world.note("kill", n.entry.Name)
	n.drop()
}

// drop ends the life and breaks what was open.
func (n *simulatedNode) drop() {
	n.node = nil
	n.life++
	for _, id := range sortedKeys(n.openRequests) {
		n.openRequests[id].cutOff()
	}
	for _, id := range sortedKeys(n.openTrainers) {
		n.openTrainers[id](port.TrainerReply{}, false)
	}
	for _, id := range sortedKeys(n.openOperator) {
		n.openOperator[id](port.OperatorReply{}, false)
	}
	for _, id := range sortedKeys(n.attempts) {
		n.attempts[id].clientGone()
	}
	n.openRequests, n.openTrainers, n.openOperator, n.attempts = nil, nil, nil, nil
}

// freeze stops the process; input waits in its sockets.
func (n *simulatedNode) freeze() {
	n.world.note("freeze", n.entry.Name)
	n.frozen = true
}

// thaw lets the process go on: it takes what waited, still believing what it did.
func (n *simulatedNode) thaw() {
	if !n.frozen || !n.up() {
		return
	}
	n.world.note("thaw", n.entry.Name)
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	for _, in := range backlog {
		if n.up() {
			n.step(in)
		}
	}
}

// deliver hands an input to the life it is meant for; 0 means any.
func (n *simulatedNode) deliver(life int, in node.Input) {
	if !n.up() || life != 0 && life != n.life {
		return
	}
	if n.frozen {
		n.backlog = append(n.backlog, in)
		return
	}
	n.step(in)
}

func (n *simulatedNode) step(in node.Input) {
	began := time.Now()
	effects := n.node.Step(n.clockNow(), in)
	n.processor += time.Since(began)
	for _, one := range effects {
		if !n.up() {
			return
		}
		n.carryOut(one)
	}
}

func (n *simulatedNode) carryOut(one effect.Effect) {
	w := n.world
	life := n.life
	switch e := one.(type) {
	case effect.SendPeer:
		n.sendPeer(e)
	case effect.TableRead:
		w.platform.read(n, e)
	case effect.TableCommit:
		w.platform.commit(n, e)
	case effect.ObjectPut:
		w.platform.put(n, e)
	case effect.ObjectGet:
		w.platform.get(n, e)
	case effect.EngineGenerate:
		n.noteAdmission()
		n.generate(e)
	case effect.EngineCancel:
		n.cancel(e)
	case effect.EngineLoad:
		n.load(e)
	case effect.EngineOrder:
		n.order(e)
	case effect.MachineList:
		w.platform.machines(n)
	case effect.Score:
		w.platform.score(n, e)
	case effect.CallerChunk:
		if try, ok := n.openRequests[e.Request]; ok {
			try.chunk(e)
		}
	case effect.CallerDone:
		if try, ok := n.openRequests[e.Request]; ok {
			delete(n.openRequests, e.Request)
			try.done(e.Outcome)
		}
	case effect.TrainerReply:
		if reply, ok := n.openTrainers[e.ID]; ok {
			delete(n.openTrainers, e.ID)
			w.After(w.options.Topology.ClientLatency, func() { reply(e.Reply, true) })
		}
	case effect.OperatorReply:
		if reply, ok := n.openOperator[e.ID]; ok {
			delete(n.openOperator, e.ID)
			w.After(w.options.Topology.ClientLatency, func() { reply(e.Reply, true) })
		}
	case effect.Log:
		w.note("log", n.entry.Name, fmt.Sprint(e.Event))
		if w.options.Verbose != nil {
			w.options.Verbose(w.elapsed(), n.entry.Name, e.Event, e.Pairs)
		}
	case effect.Stopped:
		n.stopped(life)
	}
}

// stopped ends the life after a planned stop and checks that nothing was open.
func (n *simulatedNode) stopped(life int) {
	if n.life != life {
		return
	}
	if len(n.openRequests) > 0 {
		n.world.violations.Add(check.PlannedStop, n.world.elapsed(), "node %s stopped with %d requests open", n.entry.Name, len(n.openRequests))
	}
	n.world.note("stopped", n.entry.Name)
	n.drop()
}

// noteAdmission remembers under which revision new work was placed, once a second
// for each node and revision.
func (n *simulatedNode) noteAdmission() {
	w := n.world
	key := admissionKey{node: n.entry.Name, revision: n.node.Revision(), second: int64(w.elapsed() / time.Second)}
	if w.seenWork[key] {
		return
	}
	w.seenWork[key] = true
	check.InForce(&w.violations, w.acceptances, check.Admission{Node: key.node, Revision: key.revision, At: w.Now}, epochStart)
}

func (n *simulatedNode) sendPeer(e effect.SendPeer) {
	w := n.world
	to := w.nodes[e.To]
	if w.scale != nil {
		w.scale.message(e.Envelope)
	}
	for _, delay := range w.network.deliveries(n.entry.Zone, to.entry.Zone) {
		w.After(delay, func() {
			w.note("peer", n.entry.Name, to.entry.Name)
			to.deliver(0, node.PeerReceived{Envelope: e.Envelope})
		})
	}
}

// fetchWeights asks the weight store on behalf of an engine.
func (w *World) fetchWeights(now time.Time, policy string, version int64) bool {
	return w.platform.weightsUp() && w.platform.weights.Fetch(now, policy, version)
}

// finished reports whether every trainer has trained its steps.
func (w *World) finished() bool {
	for _, one := range w.trainers {
		if !one.model.Finished() {
			return false
		}
	}
	return true
}

// Run runs the installation until the steps are trained and the faults are over,
// or the time allowed is up.
func (w *World) Run() *Report {
	w.operator.begin()
	w.callers.begin()
	w.scheduleFaults()
	allowed := startTime + faultTime + time.Duration(w.options.Steps)*stepAllowance
	if w.options.CallersOnly {
		allowed = startTime + faultTime
	}
	var doneAt time.Duration
	for w.elapsed() < allowed && w.Step() {
		if doneAt == 0 && !w.options.CallersOnly && w.finished() && w.elapsed() > startTime+w.faultSpan() {
			doneAt = w.elapsed()
			w.callers.end()
			w.operator.end()
		}
		if doneAt != 0 && w.elapsed() > doneAt+settleTime {
			break
		}
	}
	return w.report()
}

// Engines returns the models of all engines, for checkers.
func (w *World) engineModels() []*model.Engine {
	var models []*model.Engine
	for _, one := range w.engines {
		models = append(models, one.model)
	}
	return models
}
