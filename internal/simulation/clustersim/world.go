// Package clustersim runs whole installations of cluster nodes in one goroutine on a
// virtual clock: the very cluster.Node that the daemon runs, models of the record store
// and of replicas, trainers, an operator, and faults. What callers, replicas and the
// store see is checked as it happens. Two runs of one seed do exactly the same.
package clustersim

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/cluster"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/simulation/virtual"
	"github.com/doorstep/doorstep/internal/standin/model"
)

const (
	// tickEvery is the pace of the nodes' clocks, as the daemon's.
	tickEvery = 25 * time.Millisecond
	// warmUp passes before trainers begin, settleTime after the last fault.
	warmUp     = 2 * time.Second
	settleTime = 20 * time.Second
	// orderPause is the least time between the orders of two holders.
	orderPause = 3 * time.Second
	// startupTime passes between the end of a process and its next life.
	startupTime = 300 * time.Millisecond
)

// Options configure a World.
type Options struct {
	Seed            uint64
	Nodes, Replicas int
	// Length is how long faults come.
	Length time.Duration
	Faults []Fault
	// Unfenced replicas take orders of any fence: what holds two holders apart is time and
	// the count of orders alone.
	Unfenced bool
	// FarRegion is how much longer than within a region a message between the two regions is under
	// way; the record store stands in one of them.
	FarRegion time.Duration
	// Resting lets nodes follow the list of replicas only while they have use for it, as in a large
	// deployment; every second node is slow then.
	Resting bool
	// Log, unless nil, takes what nodes log, by the record store's clock.
	Log func(node string, clock time.Duration, number int, fields []any)
	// Trace, unless nil, takes what the world does: faults, orders and lives of replicas, violations.
	Trace func(clock time.Duration, what string)
}

// largeList returns from how many replicas on nodes take the list for a large one, 0 for the product's own
// figure.
func (o *Options) largeList() int {
	if o.Resting {
		return 1
	}
	return 0
}

// World is one installation.
type World struct {
	virtual.Clock
	options  Options
	random   *rand.Rand
	store    *store
	nodes    []*node
	replicas []*replica
	scorers  []*scorer
	trainers []*trainer
	operator *operator
	duties   *dutyPlatform
	check    *checker
	link     *link
	owners   *owners
	faulty   bool
	faults   map[string]int
}

// epoch is the time at which worlds begin.
var epoch = time.Unix(1_000_000, 0)

// New returns a world that stands still.
func New(options Options) *World {
	w := &World{
		options: options, Clock: virtual.Clock{Now: epoch}, random: rand.New(rand.NewPCG(options.Seed, 1)),
		check: newChecker(), faults: map[string]int{},
	}
	w.link = &link{world: w}
	w.owners = &owners{world: w, now: map[string]ownership{}, takes: map[string]int{}}
	w.store = newStore(w)
	w.operator = newOperator(w)
	w.duties = newDutyPlatform(w)
	for i := range options.Replicas {
		w.addReplica(fmt.Sprintf("address-%d", i))
	}
	for i := range scorerCount {
		w.addScorer(fmt.Sprintf("scorer-address-%d", i))
	}
	for i := range options.Nodes {
		w.nodes = append(w.nodes, newNode(w, i))
	}
	for i, name := range models {
		w.trainers = append(w.trainers, newTrainer(w, i, name))
	}
	return w
}

// Run plays the world to its end and returns what was violated.
func (w *World) Run() Report {
	w.operator.begin()
	for _, one := range w.nodes {
		one.start()
	}
	w.duties.watchTrouble()
	w.After(warmUp, w.duties.begin)
	for _, one := range w.trainers {
		w.After(warmUp, one.step)
	}
	w.faulty = true
	w.scheduleFaults()
	end := w.Now.Add(w.options.Length)
	w.runUntil(end)
	w.faulty = false
	w.runUntil(end.Add(settleTime))
	w.finalChecks()
	w.duties.checkWindows(w.Now)
	return w.report()
}

// trace tells of something that the world does.
func (w *World) trace(format string, values ...any) {
	if w.options.Trace != nil {
		w.options.Trace(w.Now.Sub(epoch), fmt.Sprintf(format, values...))
	}
}

func (w *World) runUntil(end time.Time) {
	for w.Now.Before(end) {
		if !w.Step() {
			return
		}
	}
}

// Report is what a run showed.
type Report struct {
	Violations []Violation
	Faults     map[string]int
	Jobs       int
	Accepted   int
	Results    int
	Orders     int
	Scores     int
	Reads      int
	// Windows counts the reports of use that were taken, ExactWindows those that had to be exact.
	Windows, ExactWindows int
	// Taken counts the jobs taken over from owners that did not hand them over, LeasesLost the
	// leases that were lost.
	Taken, LeasesLost int
}

func (w *World) report() Report {
	report := Report{Violations: w.check.violations, Faults: w.faults, Results: w.check.resultCount, Orders: w.check.orderCount, Scores: w.check.scoreCount, Reads: w.check.readCount,
		Windows: len(w.duties.accepted), ExactWindows: w.duties.exact, Taken: w.owners.taken, LeasesLost: w.owners.lost}
	for _, job := range w.check.jobs {
		report.Jobs++
		if job.acceptedAt != (time.Time{}) {
			report.Accepted++
		}
	}
	return report
}

// zoneCount is how many zones there are.
const zoneCount = 3

// regions are those of the zones.
var regions = map[string]string{"zone-0": "region-0", "zone-1": "region-0", "zone-2": "region-1"}

// topologyAt returns the topology as a node in a zone knows it.
func topologyAt(zone string) port.Topology {
	return port.Topology{Zone: zone, Region: regions[zone], Regions: regions}
}

// node is one process, in one life after the other.
type node struct {
	world *World
	name  string
	zone  string
	node  *cluster.Node
	life  uint64
	up    bool
	// frozenUntil is set while it stands still; cut while it can't reach the store.
	frozenUntil time.Time
	cut         int
	// troubledAt is when it last was frozen, cut, killed or started.
	troubledAt time.Time
	// wallAhead is by how much its time of day is ahead of the true one.
	wallAhead time.Duration
	// processorShare is what it may use of a core, 0 where it is not told.
	processorShare float64
	version        int64
	runs           map[uint64]*run
	calls          map[uint64]*scoringCall
	stopping       bool
}

func newNode(w *World, index int) *node {
	ahead := time.Duration(w.random.Int64N(int64(2*wallSpread))) - wallSpread
	n := &node{world: w, name: fmt.Sprintf("node-%d", index), zone: fmt.Sprintf("zone-%d", index%zoneCount), wallAhead: ahead}
	if w.options.Resting {
		n.processorShare = []float64{0.8, 0.2}[index%2]
	}
	return n
}

func (n *node) start() {
	n.life++
	n.up = true
	n.stopping = false
	n.version = 0
	n.frozenUntil = time.Time{}
	n.runs = map[uint64]*run{}
	n.calls = map[uint64]*scoringCall{}
	n.trouble(n.world.Now)
	life := n.life
	n.node = cluster.New(n.world.Now, cluster.Options{
		Name: n.name, Topology: topologyAt(n.zone), Incarnation: n.life*1000 + uint64(len(n.name)) + n.world.options.Seed<<20, Decoder: decoder{}, OrderPause: orderPause,
		WallClockOffset: func() time.Duration { return n.wallAhead }, Duties: simulatedDuties(), Cold: coldSettings,
		LargeList: n.world.options.largeList(), ProcessorShare: n.processorShare,
	})
	n.world.Every(tickEvery, func() bool {
		if n.life != life || !n.up {
			return false
		}
		n.do(life, func(now time.Time) { n.node.Tick(now) })
		if n.stopping && n.node.CanExit(n.world.Now) {
			n.kill(startupTime)
		}
		return true
	})
}

// kill ends the process without a word; it comes back remembering nothing.
func (n *node) kill(down time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	n.trouble(n.world.Now)
	// What ends together ends in one order in all runs of a seed.
	for _, id := range slices.Sorted(maps.Keys(n.runs)) {
		n.runs[id].abandon()
	}
	for _, id := range slices.Sorted(maps.Keys(n.calls)) {
		n.calls[id].abandon()
	}
	n.world.After(down, n.start)
}

// stop asks the process to end in the planned way.
func (n *node) stop() {
	if !n.up || n.stopping {
		return
	}
	n.stopping = true
	n.do(n.life, func(now time.Time) { n.node.Stop(now) })
}

// trouble notes a time at which the node was not in touch.
func (n *node) trouble(at time.Time) {
	if at.After(n.troubledAt) {
		n.troubledAt = at
	}
}

// healthy reports whether the node was in touch with everything for a while.
func (n *node) healthy(now time.Time) bool {
	return !n.world.link.troubled(n.zone) && n.untroubled(now)
}

// untroubled is healthy, whatever the link between the regions is like.
func (n *node) untroubled(now time.Time) bool {
	const inTouch = 3 * time.Second
	return n.up && n.cut == 0 && !now.Before(n.frozenUntil) && now.Sub(n.troubledAt) > inTouch && n.world.store.stable(now)
}

// do calls the node within its loop, once it is not frozen, and carries its tasks out.
func (n *node) do(life uint64, call func(now time.Time)) {
	w := n.world
	if !n.up || n.life != life {
		return
	}
	if w.Now.Before(n.frozenUntil) {
		w.After(n.frozenUntil.Sub(w.Now), func() { n.do(life, call) })
		return
	}
	call(w.Now)
	for _, one := range n.node.Take() {
		n.carryOut(life, one)
	}
	w.check.configuration(w, n)
	w.check.evacuationsKnown(w, n)
}

func (n *node) carryOut(life uint64, one task.Task) {
	w := n.world
	back := func(call func(now time.Time)) { n.do(life, call) }
	sentAt := w.Now
	_, held := one.(task.Watch)
	answered := func(done func(now time.Time, result port.RecordResult)) func(result port.RecordResult) {
		return func(result port.RecordResult) { back(func(now time.Time) { n.noted(now, sentAt, held, result, done) }) }
	}
	switch t := one.(type) {
	case task.Commit:
		w.store.write(n, func(now time.Time) port.RecordResult { return w.store.records.Commit(now, t.Transaction) }, answered(t.Done))
	case task.Range:
		w.check.reads(w, n, t.Query)
		w.store.read(n, func(now time.Time) port.RecordResult { return w.store.records.Range(now, t.Query) }, answered(t.Done))
	case task.Watch:
		w.store.watch(n, t, answered(t.Done))
	case task.Run:
		w.startRun(n, life, t)
	case task.StopRun:
		if running := n.runs[t.ID]; running != nil {
			running.stop()
		}
		if calling := n.calls[t.ID]; calling != nil {
			calling.stop()
		}
	case task.ScoringCall:
		w.startScoring(n, life, t)
	case task.OrderVersion:
		w.order(n, t, func(status port.VersionOrderStatus) { back(func(now time.Time) { t.Done(now, status) }) })
	case task.FetchReport:
		w.ask(n, t, func(report port.ReplicaReport) { back(func(now time.Time) { t.Done(now, report) }) })
	case task.ReportUsage:
		w.duties.report(n, t, func(status port.DutyStatus) { back(func(now time.Time) { t.Done(now, status) }) })
	case task.Timer:
		w.After(t.After, func() { back(t.Do) })
	case task.Log:
		w.owners.logged(n, t.Event, t.Fields)
		if w.options.Log != nil {
			w.options.Log(n.name, w.Now.Sub(epoch), t.Event, t.Fields)
		}
	case task.NotifyJob, task.CloseIdleConnections, task.NotifyReplicasRead:
	}
}

func (n *node) noted(now, sentAt time.Time, held bool, result port.RecordResult, done func(now time.Time, result port.RecordResult)) {
	if !held {
		n.node.ObserveStoreLatency(now.Sub(sentAt))
	}
	if result.Clock > 0 {
		n.node.ObserveStoreClock(now, sentAt, result.Clock)
	}
	done(now, result)
}

// Tables of the simulated deployment.
const (
	operatorTable = "operator"
	replicaTable  = "replicas"
	routesKey     = "routes"
	targetPrefix  = "target/"
	// evacuationPrefix begins the keys of zones whose replicas are to get nothing.
	evacuationPrefix = "evacuate/"
)

// decoder reads the records of the simulated deployment.
type decoder struct{}

// DeploymentTables names the tables.
func (decoder) DeploymentTables() []string { return []string{operatorTable, replicaTable} }

// LengthHint knows no hints.
func (decoder) LengthHint(http.Header) int { return 0 }

// Tokens are the most that any text of the simulation has, an event for each.
func (decoder) Tokens(http.Header) (prompt, most int) { return 0, model.MaxItemEvents }

// DecodeDeployment reads JSON.
func (decoder) DecodeDeployment(records []port.Record) port.DeploymentUpdate {
	var change port.DeploymentUpdate
	for _, record := range records {
		switch {
		case record.Table == replicaTable && record.Deleted:
			change.Removed = append(change.Removed, port.RemovedReplica{ID: record.Key, Revision: record.Revision})
		case record.Table == replicaTable:
			var one port.ReplicaRecord
			if err := json.Unmarshal(record.Value, &one); err != nil {
				return change
			}
			one.Revision = record.Revision
			change.Replicas = append(change.Replicas, one)
		case strings.HasPrefix(record.Key, evacuationPrefix):
			change.Evacuations = append(change.Evacuations, port.Evacuation{Zone: strings.TrimPrefix(record.Key, evacuationPrefix), Lifted: record.Deleted})
		case record.Deleted:
		case record.Key == routesKey:
			change.Routes = &port.RouteTable{}
			if err := json.Unmarshal(record.Value, change.Routes); err != nil {
				return change
			}
		default:
			var target port.VersionTarget
			if err := json.Unmarshal(record.Value, &target); err != nil {
				return change
			}
			change.Targets = append(change.Targets, target)
		}
	}
	return change
}

// expectedText is the whole text of an item under the versions given for its events.
func expectedEvent(item string, id, version int64) string {
	return fmt.Sprintf("%s@%d", model.ItemEvent(item, id), version)
}
