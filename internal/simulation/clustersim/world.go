// Package clustersim simulates a deployment of doorstep nodes in one goroutine on a virtual clock. It
// runs the cluster.Node of the daemon against models of the record store and of replicas, with
// trainers, an operator and injected faults, and checks invariants on what clients, replicas and the
// store observe. A run is deterministic for a seed.
package clustersim

import (
	"cmp"
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
	// tickInterval is the interval of Node.Tick, as in the daemon.
	tickInterval = 25 * time.Millisecond
	// warmUp is the time before trainers start, settleTime the time that the run continues after
	// faults stop.
	warmUp     = 2 * time.Second
	settleTime = 20 * time.Second
	// orderPause is the minimum time between the orders of two successive lease holders.
	orderPause = 3 * time.Second
	// restartDelay is the time between a planned stop of a node and its restart.
	restartDelay = 300 * time.Millisecond
)

// Options configures a World.
type Options struct {
	Seed            uint64
	Nodes, Replicas int
	// Length is the virtual time during which faults are injected.
	Length time.Duration
	Faults []Fault
	// Unfenced makes replicas accept orders with any fence, so that only timing and expected order
	// sequences keep two lease holders apart.
	Unfenced bool
	// RegionDelay is the extra one-way latency between the two regions. The record store is in region-0.
	RegionDelay time.Duration
	// OnDemandReplicaLists lets nodes follow the list of replicas only on demand, as in a large
	// deployment, and gives every second node a small processor share.
	OnDemandReplicaLists bool
	// ResultDeadline is how long trainers wait for the results of a job, 0 for the default of 7 s. Items are
	// abandoned after 15 s.
	ResultDeadline time.Duration
	// Log, if not nil, receives the log entries of nodes with the record store's clock, which starts at
	// zero.
	Log func(node string, clock time.Duration, number int, fields []any)
	// Trace, if not nil, receives faults, replica starts and stops, late orders and violations.
	Trace func(clock time.Duration, what string)
}

// largeListThreshold returns the value of cluster.Options.LargeList, 0 for its default.
func (o *Options) largeListThreshold() int {
	if o.OnDemandReplicaLists {
		return 1
	}
	return 0
}

// resultDeadline returns how long trainers wait for the results of a job.
func (o *Options) resultDeadline() time.Duration {
	return cmp.Or(o.ResultDeadline, defaultResultDeadline)
}

// World is one simulated deployment.
type World struct {
	virtual.Clock
	options      Options
	random       *rand.Rand
	store        *store
	nodes        []*node
	replicas     []*replica
	scorers      []*scorer
	trainers     []*trainer
	operator     *operator
	platform     *dutyPlatform
	check        *checker
	link         *link
	owners       *ownershipTracker
	faultsActive bool
	faultCounts  map[string]int
}

// epoch is the virtual time at which a World starts.
var epoch = time.Unix(1_000_000, 0)

// New returns a World that has not started.
func New(options Options) *World {
	w := &World{
		options: options, Clock: virtual.Clock{Now: epoch}, random: rand.New(rand.NewPCG(options.Seed, 1)),
		check: newChecker(), faultCounts: map[string]int{},
	}
	w.link = &link{world: w}
	w.owners = &ownershipTracker{world: w, current: map[string]ownership{}, takeoversByJob: map[string]int{}}
	w.store = newStore(w)
	w.operator = newOperator(w)
	w.platform = newDutyPlatform(w)
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

// Run runs the simulation to its end and returns the violations and totals.
func (w *World) Run() Report {
	w.operator.start()
	for _, n := range w.nodes {
		n.start()
	}
	w.platform.recordFaultSpans()
	w.After(warmUp, w.platform.start)
	for _, t := range w.trainers {
		w.After(warmUp, t.step)
	}
	w.faultsActive = true
	w.scheduleFaults()
	w.Every(placementCheckInterval, func() bool { w.check.placement.check(w); return true })
	end := w.Now.Add(w.options.Length)
	w.runUntil(end)
	w.faultsActive = false
	w.runUntil(end.Add(settleTime))
	w.finalChecks()
	w.platform.checkWindows(w.Now)
	return w.report()
}

// trace passes a formatted line to Options.Trace.
func (w *World) trace(format string, arguments ...any) {
	if w.options.Trace != nil {
		w.options.Trace(w.Now.Sub(epoch), fmt.Sprintf(format, arguments...))
	}
}

func (w *World) runUntil(end time.Time) {
	for w.Now.Before(end) {
		if !w.Step() {
			return
		}
	}
}

// Report holds the violations and totals of a run.
type Report struct {
	Violations []Violation
	Faults     map[string]int
	Jobs       int
	Accepted   int
	Results    int
	Orders     int
	Scores     int
	Reads      int
	// UsageReports counts the usage reports that were accepted, CheckedWindows the windows that were
	// checked for exact counts.
	UsageReports, CheckedWindows int
	// JobsTakenOver counts the jobs taken over from owners that did not hand them over, LeasesLost the
	// leases lost.
	JobsTakenOver, LeasesLost int
}

func (w *World) report() Report {
	report := Report{Violations: w.check.violations, Faults: w.faultCounts, Results: w.check.resultCount, Orders: w.check.orderCount, Scores: w.check.scoreCount, Reads: w.check.readCount,
		UsageReports: len(w.platform.accepted), CheckedWindows: w.platform.checkedWindows, JobsTakenOver: w.owners.takeovers, LeasesLost: w.owners.leasesLost}
	for _, job := range w.check.jobs {
		report.Jobs++
		if job.acceptedAt != (time.Time{}) {
			report.Accepted++
		}
	}
	return report
}

const zoneCount = 3

// regions maps zones to regions.
var regions = map[string]string{"zone-0": "region-0", "zone-1": "region-0", "zone-2": "region-1"}

// topologyAt returns the topology for a node in the zone.
func topologyAt(zone string) port.Topology {
	return port.Topology{Zone: zone, Region: regions[zone], Regions: regions}
}

// node is one node across its restarts.
type node struct {
	world       *World
	name        string
	zone        string
	node        *cluster.Node
	incarnation uint64
	up          bool
	// frozenUntil is the end of the current freeze. storeCuts counts the active faults that disconnect
	// the node from the store, storeRefusals those in which the store refuses its calls, and textRefusals those in
	// which it refuses its reads of texts.
	frozenUntil                            time.Time
	storeCuts, storeRefusals, textRefusals int
	// lastFaultAt is the last time at which the node was frozen, disconnected, killed or started.
	lastFaultAt time.Time
	// wallClockOffset is how far the node's wall clock is ahead of the virtual time.
	wallClockOffset time.Duration
	// processorShare is the fraction of a core available to the node, 0 if unknown.
	processorShare float64
	version        int64
	runs           map[uint64]*itemRun
	calls          map[uint64]*scoringCall
	stopping       bool
}

func newNode(w *World, index int) *node {
	offset := time.Duration(w.random.Int64N(int64(2*maxWallClockOffset))) - maxWallClockOffset
	n := &node{world: w, name: fmt.Sprintf("node-%d", index), zone: fmt.Sprintf("zone-%d", index%zoneCount), wallClockOffset: offset}
	if w.options.OnDemandReplicaLists {
		n.processorShare = []float64{0.8, 0.2}[index%2]
	}
	return n
}

func (n *node) start() {
	n.incarnation++
	n.up = true
	n.stopping = false
	n.version = 0
	n.frozenUntil = time.Time{}
	n.runs = map[uint64]*itemRun{}
	n.calls = map[uint64]*scoringCall{}
	n.recordFault(n.world.Now)
	incarnation := n.incarnation
	n.node = cluster.New(n.world.Now, cluster.Options{
		Name: n.name, Topology: topologyAt(n.zone), Incarnation: n.incarnation*1000 + uint64(len(n.name)) + n.world.options.Seed<<20, Decoder: decoder{}, OrderPause: orderPause,
		WallClockOffset: func() time.Duration { return n.wallClockOffset }, Duties: simulatedDuties(), Cold: coldSettings,
		LargeList: n.world.options.largeListThreshold(), ProcessorShare: n.processorShare,
	})
	n.world.Every(tickInterval, func() bool {
		if n.incarnation != incarnation || !n.up {
			return false
		}
		n.invoke(incarnation, func(now time.Time) { n.node.Tick(now) })
		if n.stopping && n.node.CanExit(n.world.Now) {
			n.kill(restartDelay)
		}
		return true
	})
}

// kill ends the process without a shutdown. The node restarts after the given time with no state.
func (n *node) kill(down time.Duration) {
	if !n.up {
		return
	}
	n.up = false
	n.recordFault(n.world.Now)
	// Sorted, so that runs of a seed stay deterministic.
	for _, id := range slices.Sorted(maps.Keys(n.runs)) {
		n.runs[id].abandon()
	}
	for _, id := range slices.Sorted(maps.Keys(n.calls)) {
		n.calls[id].abandon()
	}
	n.world.After(down, n.start)
}

// stop starts a planned shutdown.
func (n *node) stop() {
	if !n.up || n.stopping {
		return
	}
	n.stopping = true
	n.invoke(n.incarnation, func(now time.Time) { n.node.Stop(now) })
}

// recordFault moves lastFaultAt forward.
func (n *node) recordFault(at time.Time) {
	if at.After(n.lastFaultAt) {
		n.lastFaultAt = at
	}
}

// healthy reports whether the node has been stable and its link to the store has no active fault.
func (n *node) healthy(now time.Time) bool {
	return !n.world.link.degraded(n.zone) && n.stable(now)
}

// stable reports whether the node has run without a fault of its own or of the store for a while,
// whatever the state of the link between the regions.
func (n *node) stable(now time.Time) bool {
	const recoveryPeriod = 3 * time.Second
	return n.up && n.servedByStore() && !now.Before(n.frozenUntil) && now.Sub(n.lastFaultAt) > recoveryPeriod && n.world.store.stable(now)
}

// servedByStore reports whether no active fault keeps the store from serving this node alone.
func (n *node) servedByStore() bool { return n.storeCuts+n.storeRefusals+n.textRefusals == 0 }

// invoke calls the node from its loop, after the current freeze if there is one, and executes the
// tasks it returns. Calls for an earlier incarnation are dropped.
func (n *node) invoke(incarnation uint64, callback func(now time.Time)) {
	w := n.world
	if !n.up || n.incarnation != incarnation {
		return
	}
	if w.Now.Before(n.frozenUntil) {
		w.After(n.frozenUntil.Sub(w.Now), func() { n.invoke(incarnation, callback) })
		return
	}
	callback(w.Now)
	for _, nextTask := range n.node.Take() {
		n.execute(incarnation, nextTask)
	}
	w.check.checkConfiguration(w, n)
	w.check.checkEvacuatedZones(w, n)
}

func (n *node) execute(incarnation uint64, nextTask task.Task) {
	w := n.world
	invokeLater := func(call func(now time.Time)) { n.invoke(incarnation, call) }
	sentAt := w.Now
	_, longPoll := nextTask.(task.Watch)
	recordCallback := func(done func(now time.Time, result port.RecordResult)) func(result port.RecordResult) {
		return func(result port.RecordResult) {
			invokeLater(func(now time.Time) { n.deliverRecordResult(now, sentAt, longPoll, result, done) })
		}
	}
	switch t := nextTask.(type) {
	case task.Commit:
		w.store.write(n, func(now time.Time) port.RecordResult { return w.store.records.Commit(now, t.Transaction) }, recordCallback(t.Done))
	case task.Range:
		w.check.checkContentRead(w, n, t.Query)
		w.store.readRange(n, t.Query, recordCallback(t.Done))
	case task.Watch:
		w.store.watch(n, t, recordCallback(t.Done))
	case task.Run:
		w.startRun(n, incarnation, t)
	case task.StopRun:
		if running := n.runs[t.ID]; running != nil {
			running.stop()
		}
		if calling := n.calls[t.ID]; calling != nil {
			calling.stop()
		}
	case task.ScoringCall:
		w.startScoring(n, incarnation, t)
	case task.OrderVersion:
		w.sendOrder(n, t, func(status port.VersionOrderStatus) { invokeLater(func(now time.Time) { t.Done(now, status) }) })
	case task.FetchReport:
		w.fetchReport(n, t, func(report port.ReplicaReport) { invokeLater(func(now time.Time) { t.Done(now, report) }) })
	case task.ReportUsage:
		w.platform.report(n, t, func(status port.DutyStatus) { invokeLater(func(now time.Time) { t.Done(now, status) }) })
	case task.Timer:
		w.After(t.After, func() { invokeLater(t.Do) })
	case task.Log:
		w.owners.observe(n, t.Event, t.Fields)
		if w.options.Log != nil {
			w.options.Log(n.name, w.Now.Sub(epoch), t.Event, t.Fields)
		}
	case task.NotifyJob, task.CloseIdleConnections, task.NotifyReplicasRead:
	}
}

func (n *node) deliverRecordResult(now, sentAt time.Time, longPoll bool, result port.RecordResult, done func(now time.Time, result port.RecordResult)) {
	if !longPoll {
		n.node.ObserveStoreLatency(now.Sub(sentAt))
	}
	if result.Clock > 0 {
		n.node.ObserveStoreClock(now, sentAt, result.Clock)
	}
	done(now, result)
}

const (
	operatorTable = "operator"
	replicaTable  = "replicas"
	routesKey     = "routes"
	targetPrefix  = "target/"
	// evacuationPrefix is the key prefix of evacuated zones.
	evacuationPrefix = "evacuate/"
)

// decoder decodes the deployment records of the simulation.
type decoder struct{}

// DeploymentTables returns the tables with deployment records.
func (decoder) DeploymentTables() []string { return []string{operatorTable, replicaTable} }

// LengthHint returns 0: the simulation has no length hints.
func (decoder) LengthHint(http.Header) int { return 0 }

// Tokens returns the maximum number of events of an item as its maximum number of tokens.
func (decoder) Tokens(http.Header) (prompt, maxNew int) { return 0, model.MaxItemEvents }

// DecodeDeployment decodes JSON records.
func (decoder) DecodeDeployment(records []port.Record) port.DeploymentUpdate {
	var update port.DeploymentUpdate
	for _, record := range records {
		switch {
		case record.Table == replicaTable && record.Deleted:
			update.Removed = append(update.Removed, port.RemovedReplica{ID: record.Key, Revision: record.Revision})
		case record.Table == replicaTable:
			var decoded port.ReplicaRecord
			if err := json.Unmarshal(record.Value, &decoded); err != nil {
				return update
			}
			decoded.Revision = record.Revision
			update.Replicas = append(update.Replicas, decoded)
		case strings.HasPrefix(record.Key, evacuationPrefix):
			update.Evacuations = append(update.Evacuations, port.Evacuation{Zone: strings.TrimPrefix(record.Key, evacuationPrefix), Lifted: record.Deleted})
		case record.Deleted:
		case record.Key == routesKey:
			update.Routes = &port.RouteTable{}
			if err := json.Unmarshal(record.Value, update.Routes); err != nil {
				return update
			}
		default:
			var target port.VersionTarget
			if err := json.Unmarshal(record.Value, &target); err != nil {
				return update
			}
			update.Targets = append(update.Targets, target)
		}
	}
	return update
}
