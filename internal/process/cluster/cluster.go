// Package cluster composes the machines of a node that shares its state with the
// others through the platform's record store alone. Nodes know nothing of one
// another: each is given the same tables, and every duty has one holder by a record.
//
// Nothing here does I/O or reads a clock. The daemon and the simulator call a Node
// under one lock and carry out the tasks that it leaves.
package cluster

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/distance"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/quarantine"
	"github.com/doorstep/doorstep/internal/process/recordwatch"
	"github.com/doorstep/doorstep/internal/process/settings"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/version/batch"
	"github.com/doorstep/doorstep/internal/version/configuration"
	"github.com/doorstep/doorstep/internal/version/recordlease"
	"github.com/doorstep/doorstep/internal/version/rollout"
	"github.com/doorstep/doorstep/internal/version/routes"
)

const (
	// unreadyAfter is how long the store may be silent before a node calls itself not
	// ready: others may reach it.
	unreadyAfter = 2500 * time.Millisecond
	// leaveAfter is how long a stopping node goes on taking connections, so that
	// nothing is sent to it in vain before all know.
	leaveAfter = 3 * time.Second
	// LeasePartition holds the leases, in the shared table.
	LeasePartition = "leases"
)

// DeploymentDecoder reads the records in which the platform keeps what operators,
// trainers and replicas say.
type DeploymentDecoder interface {
	DeploymentTables() []string
	DecodeDeployment(records []port.Record) port.Deployment
	LengthHint(header http.Header) int
	Tokens(header http.Header) (prompt, most int)
}

// Options configure a Node.
type Options struct {
	Name string
	// Topology is where the node stands among zones and regions.
	Topology port.Topology
	// Cold bounds what cold replicas get.
	Cold settings.Cold
	// Incarnation differs from that of any other life of this node.
	Incarnation uint64
	Decoder     DeploymentDecoder
	// OrderPause is the least time between the orders of two holders.
	OrderPause time.Duration
	// WallAhead returns by how much this node's time of day is ahead of the times that its
	// calls are given; nil where these are its time of day.
	WallAhead func() time.Duration
	// Duties are the calls to the platform that one node at a time makes.
	Duties Duties
	// ProcessorShare is the part of a core that this node may use, 0 where that is not told.
	ProcessorShare float64
	// LargeList is from how many replicas on the list of them is not followed without use for it,
	// recordwatch.LargeTable if it is 0.
	LargeList int
}

// Node is one node; all calls come from one loop.
type Node struct {
	options   Options
	queue     *task.Queue
	random    *rand.Rand
	routes    *routes.Table
	splitter  *routes.Splitter
	endpoints *endpoint.Registry
	distances *distance.Estimator
	jobs      *batch.Jobs
	// quarantine knows the requests that crash replicas.
	quarantine *quarantine.Quarantine
	cold       coldReplicas
	// leases holds all leases by their keys, lease is that of the version orders.
	leases  map[string]*recordlease.Lease
	lease   *recordlease.Lease
	usage   *usageDuty
	scaling *scalingDuty
	rollout *rollout.Rollout
	needs   modelNeeds
	watches []*recordwatch.Watch
	// replicas is the watch of the list of replicas, replicaUse what this node uses the list for.
	replicas   *recordwatch.Watch
	replicaUse replicaUse
	// shared is the watch of the shared table, the last of the watches; readers counts the callers that
	// wait for a change of it.
	shared    *recordwatch.Watch
	readers   int
	operators *doorstepv1.Configuration
	drained   bool
	// evacuated holds the zones whose replicas get nothing.
	evacuated  map[string]bool
	lapses     lapses
	unreadable unreadableRecords
	// silentAdds is set while a whole reading adds more replicas than the log takes a line for.
	silentAdds bool
	status     statusWriter
	census     census
	clock      storeClock
	latency    callLatency
	startedAt  time.Time
	stoppingAt time.Time
	rotation   uint64
}

// New returns a node that knows nothing yet.
func New(now time.Time, options Options) *Node {
	n := &Node{
		options: options, queue: &task.Queue{}, endpoints: endpoint.NewRegistry(), startedAt: now, clock: storeClock{base: now},
		distances: distance.New(options.Topology), replicaUse: replicaUse{wanted: firstReplicas},
		lapses: lapses{kept: map[string]bool{}}, unreadable: unreadableRecords{}, leases: map[string]*recordlease.Lease{},
		random: rand.New(rand.NewPCG(options.Incarnation, uint64(len(options.Name)))),
	}
	n.splitter = routes.NewSplitter(n.random.Float64())
	n.rotation = n.random.Uint64()
	n.quarantine = quarantine.New(quarantine.Options{Self: options.Name, Queue: n.queue, StoreClock: n.StoreClock})
	n.cold = n.newColdReplicas()
	n.jobs = batch.New(batch.Options{
		Self: options.Name, Incarnation: options.Incarnation, Topology: options.Topology, Queue: n.queue, Random: n.random,
		Place: n.place, PlaceScoring: n.placeScoring, Find: n.endpoints.Find, Route: n.Route, Clock: n.clock.bounds,
		Latency: n.Latency, Nodes: n.Nodes, Standing: n.standing,
		LengthHint: options.Decoder.LengthHint, MostEvents: n.mostEvents, ExpectedTokens: n.expectedTokens, Observed: n.observed,
		Quarantine: n.quarantine, Homes: n.jobHomes(),
	})
	n.lease = n.newOrderLease()
	if options.Duties.Usage != nil {
		n.usage = n.newUsageDuty(*options.Duties.Usage)
	}
	if options.Duties.Scaling {
		n.scaling = n.newScalingDuty()
	}
	n.rollout = rollout.New(rollout.Options{
		Self: options.Name, Queue: n.queue, Lease: n.lease, Endpoints: n.workingSet, Demand: n.demand, Longest: n.jobs.Longest, WallClock: n.wallClock,
	})
	n.operators = configuration.Empty()
	n.watchTables()
	n.queue.Log(event.ProcessStarted, "node", options.Name, "zone", options.Topology.Zone, "incarnation", options.Incarnation)
	return n
}

// observed returns the time up to which a change of the shared table would have been heard
// of, zero before it was read.
func (n *Node) observed(now time.Time) time.Time {
	if !n.shared.HasRead() {
		return time.Time{}
	}
	return n.shared.ObservedUntil(now)
}

// Take returns the tasks left since the last call.
func (n *Node) Take() []task.Task { return n.queue.Take() }

// Jobs returns the batch jobs.
func (n *Node) Jobs() *batch.Jobs { return n.jobs }

// Quarantine returns the requests that crash replicas.
func (n *Node) Quarantine() *quarantine.Quarantine { return n.quarantine }

// Endpoints returns the replicas.
func (n *Node) Endpoints() *endpoint.Registry { return n.endpoints }

// Lease returns the lease of the version orders.
func (n *Node) Lease() *recordlease.Lease { return n.lease }

// Routes returns the configuration in force, nil before the first.
func (n *Node) Routes() *routes.Table { return n.routes }

// Route returns a request's route, nil when there is none.
func (n *Node) Route(host, path string) *port.Route {
	if n.routes == nil {
		return nil
	}
	return n.routes.Match(host, path)
}

// ConfigurationAge returns how old the confirmation of the configuration in force is.
func (n *Node) ConfigurationAge(now time.Time) time.Duration { return n.age(now, n.watches[0]) }

// DiscoveryAge returns how old the confirmation of the list of replicas is.
func (n *Node) DiscoveryAge(now time.Time) time.Duration {
	return n.age(now, n.watches[len(n.options.Decoder.DeploymentTables())-1])
}

// age returns how long a watch has not heard; one that never has is as old as the node.
func (n *Node) age(now time.Time, watch *recordwatch.Watch) time.Duration {
	observed := watch.ObservedUntil(now)
	if observed.Before(n.startedAt) {
		observed = n.startedAt
	}
	return now.Sub(observed)
}

// Tick drives all machines.
func (n *Node) Tick(now time.Time) {
	for _, watch := range n.watches {
		watch.Tick(now)
	}
	n.tickLapses(now)
	n.tickCold(now)
	n.lease.Tick(now)
	if n.listsAll() || !n.lease.Held(now) {
		n.rollout.Tick(now)
	}
	n.jobs.Tick(now)
	n.quarantine.Tick(now)
	// One node is enough to collect, and two at once would do no harm.
	n.jobs.Collect(now, n.lease.Held(now))
	if n.lease.Held(now) {
		n.quarantine.Collect(now)
		n.collectCold(now)
	}
	n.tickDuties(now)
	n.tickStatus(now)
	n.tickCensus(now)
	n.tickLatency(now)
}

// NoteClock takes the store's clock from the answer to a call that was sent at sentAt.
func (n *Node) NoteClock(now, sentAt time.Time, clock time.Duration) {
	n.clock.note(now, sentAt, clock)
}

// StoreClock returns the least that the store's clock shows at a time.
func (n *Node) StoreClock(at time.Time) time.Duration {
	least, _, _ := n.clock.bounds(at)
	return least
}

// NoteLatency takes how long a call to the store took that was answered at once.
func (n *Node) NoteLatency(took time.Duration) { n.latency.note(took) }

// Ready reports whether the node wants new connections.
func (n *Node) Ready(now time.Time) bool {
	if n.Stopping() || n.drained || n.routes == nil {
		return false
	}
	answered := time.Time{}
	for _, watch := range n.watches {
		if !watch.HasRead() {
			return false
		}
		if watch.LastAnswerAt().After(answered) {
			answered = watch.LastAnswerAt()
		}
	}
	return now.Sub(answered) <= unreadyAfter
}

// Stop begins the planned stop: duties are handed over, requests are still served.
func (n *Node) Stop(now time.Time) {
	if n.Stopping() {
		return
	}
	n.stoppingAt = now
	n.queue.Log(event.ProcessStopping, "node", n.options.Name)
	for _, lease := range n.sortedLeases() {
		lease.Resign(now)
	}
	n.jobs.Stop(now)
	n.removeStatus()
}

// Stopping reports whether the planned stop has begun.
func (n *Node) Stopping() bool { return !n.stoppingAt.IsZero() }

// MayLeave reports whether nobody sends to this node any more.
func (n *Node) MayLeave(now time.Time) bool {
	stopping := now.Sub(n.stoppingAt)
	return n.Stopping() && stopping >= leaveAfter && (n.jobs.Owned() == 0 || stopping >= 2*leaveAfter) && (n.counted() || stopping >= writtenWithin)
}

// apply puts a newer configuration in force; an older one never comes back.
func (n *Node) apply(now time.Time, table *port.RouteTable) {
	if n.routes != nil && table.Version <= n.routes.Version() {
		return
	}
	n.routes = routes.New(table)
	n.cold.bounded = slices.ContainsFunc(table.Services, func(service port.Service) bool { return service.Cold != nil })
	n.queue.Log(event.RoutesApplied, "version", table.Version, "routes", len(table.Routes), "services", len(table.Services),
		"since_start_ms", now.Sub(n.startedAt).Milliseconds())
}
