// Package cluster combines the state machines of one doorstep node. Nodes do not talk to each other:
// they coordinate through the platform's record store, and each singleton duty is guarded by a lease.
//
// The package does no I/O and reads no clock. The daemon and the simulator call a Node under one lock
// and execute the tasks it queues.
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
	"github.com/doorstep/doorstep/internal/request/relay"
	"github.com/doorstep/doorstep/internal/version/batch"
	"github.com/doorstep/doorstep/internal/version/configuration"
	"github.com/doorstep/doorstep/internal/version/recordlease"
	"github.com/doorstep/doorstep/internal/version/rollout"
	"github.com/doorstep/doorstep/internal/version/routes"
)

const (
	// readinessTimeout is how long the store may go unanswered before the node reports itself not ready.
	readinessTimeout = 2500 * time.Millisecond
	// LeasePartition is the partition of the shared table that holds the leases.
	LeasePartition = "leases"
)

// DeploymentDecoder decodes the platform's records about operators, trainers and replicas.
type DeploymentDecoder interface {
	DeploymentTables() []string
	DecodeDeployment(records []port.Record) port.DeploymentUpdate
	LengthHint(header http.Header) int
	Tokens(header http.Header) (prompt, most int)
}

// Options configure a Node.
type Options struct {
	Name string
	// Topology is the node's zone and region.
	Topology port.Topology
	// Cold limits the requests sent to cold replicas.
	Cold settings.Cold
	// Incarnation is unique to this run of the node.
	Incarnation uint64
	Decoder     DeploymentDecoder
	// OrderPause is the minimum time between the orders of two successive lease holders.
	OrderPause time.Duration
	// WallClockOffset returns how far the node's wall clock is ahead of the times passed to its methods; nil
	// if those are wall clock times.
	WallClockOffset func() time.Duration
	// GracePeriod is the time from a request to stop until the process is killed; 0 means
	// DefaultGracePeriod.
	GracePeriod time.Duration
	// Duties are the platform calls made by one node at a time.
	Duties Duties
	// ProcessorShare is the fraction of a core available to this node, 0 if unknown.
	ProcessorShare float64
	// LargeList is the number of replicas from which on the list is followed only on demand; 0 means
	// recordwatch.LargeTable.
	LargeList int
}

// Node is the state of one node. All methods are called from a single loop.
type Node struct {
	options   Options
	queue     *task.Queue
	random    *rand.Rand
	routes    *routes.Table
	splitter  *routes.Splitter
	endpoints *endpoint.Registry
	distances *distance.Estimator
	jobs      *batch.Jobs
	// responseTimes estimates the response times of the routes in force.
	responseTimes *relay.ResponseTimes
	// quarantine tracks requests that crash replicas.
	quarantine *quarantine.Quarantine
	cold       coldReplicas
	// leases holds all leases by key; lease is the one for version orders.
	leases  map[string]*recordlease.Lease
	lease   *recordlease.Lease
	usage   *usageDuty
	scaling *scalingDuty
	rollout *rollout.Rollout
	needs   modelNeeds
	watches []*recordwatch.Watch
	// replicas watches the list of replicas; replicaDemand is what this node needs from it.
	replicas      *recordwatch.Watch
	replicaDemand replicaDemand
	// shared watches the shared table and is the last of watches; jobWaiters counts the callers waiting
	// for a job to change.
	shared         *recordwatch.Watch
	jobWaiters     int
	operatorConfig *doorstepv1.Configuration
	drained        bool
	// evacuated holds the zones whose replicas get no work.
	evacuated  map[string]bool
	lapses     lapses
	unreadable unreadableRecords
	// suppressAddLogs is set while a full read adds more replicas than are logged one by one.
	suppressAddLogs bool
	status          statusWriter
	nodeCount       nodeCounter
	clock           storeClock
	latency         callLatency
	startedAt       time.Time
	stoppingAt      time.Time
	rotation        uint64
}

// New returns a node with empty state.
func New(now time.Time, options Options) *Node {
	n := &Node{
		options: options, queue: &task.Queue{}, endpoints: endpoint.NewRegistry(), startedAt: now, clock: storeClock{base: now},
		distances: distance.New(options.Topology), responseTimes: relay.NewResponseTimes(), replicaDemand: replicaDemand{perService: initialReplicas},
		lapses: lapses{kept: map[string]bool{}}, unreadable: unreadableRecords{}, leases: map[string]*recordlease.Lease{},
		random: rand.New(rand.NewPCG(options.Incarnation, uint64(len(options.Name)))),
	}
	n.splitter = routes.NewSplitter(n.random.Float64())
	n.rotation = n.random.Uint64()
	n.quarantine = quarantine.New(quarantine.Options{Self: options.Name, Queue: n.queue, StoreClock: n.StoreClock})
	n.cold = n.newColdReplicas()
	n.jobs = batch.New(batch.Options{
		Self: options.Name, Incarnation: options.Incarnation, Topology: options.Topology, Queue: n.queue, Random: n.random,
		Place: n.placeItem, PlaceScoring: n.placeScoring, ResponseTimes: n.responseTimes, ResultTime: n.resultTime, FindEndpoint: n.endpoints.Find, Route: n.Route, StoreClock: n.clock.bounds,
		StoreLatency: n.Latency, NodeCount: n.NodeCount, Fitness: n.fitness,
		LengthHint: options.Decoder.LengthHint, MaxEvents: n.maxEvents, MaxTextEvents: n.maxTextEvents, ExpectedTokens: n.expectedTokens, ObservedUntil: n.sharedObservedUntil,
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
		Self: options.Name, Queue: n.queue, Lease: n.lease, Endpoints: n.workingSet, Demand: n.demand, MaxTextLengths: n.jobs.LongestEvents, WallClock: n.wallClock,
	})
	n.operatorConfig = configuration.Empty()
	n.watchTables()
	n.queue.Log(event.ProcessStarted, "node", options.Name, "zone", options.Topology.Zone, "incarnation", options.Incarnation)
	return n
}

// sharedObservedUntil returns the time up to which changes of the shared table are known, zero before
// the first read.
func (n *Node) sharedObservedUntil(now time.Time) time.Time {
	if !n.shared.HasRead() {
		return time.Time{}
	}
	return n.shared.ObservedUntil(now)
}

// Take returns and clears the queued tasks.
func (n *Node) Take() []task.Task { return n.queue.Take() }

// Jobs returns the batch jobs.
func (n *Node) Jobs() *batch.Jobs { return n.jobs }

// ResponseTimes returns the estimated response times of the routes.
func (n *Node) ResponseTimes() *relay.ResponseTimes { return n.responseTimes }

// Quarantine returns the node's quarantine.
func (n *Node) Quarantine() *quarantine.Quarantine { return n.quarantine }

// Endpoints returns the registry of replicas.
func (n *Node) Endpoints() *endpoint.Registry { return n.endpoints }

// Lease returns the lease for version orders.
func (n *Node) Lease() *recordlease.Lease { return n.lease }

// Routes returns the active route table, nil before the first.
func (n *Node) Routes() *routes.Table { return n.routes }

// Route returns the route that matches a request, nil if none does.
func (n *Node) Route(host, path string) *port.Route {
	if n.routes == nil {
		return nil
	}
	return n.routes.Match(host, path)
}

// ConfigurationAge returns the time since the active configuration was last confirmed.
func (n *Node) ConfigurationAge(now time.Time) time.Duration { return n.watchAge(now, n.watches[0]) }

// DiscoveryAge returns the time since the list of replicas was last confirmed.
func (n *Node) DiscoveryAge(now time.Time) time.Duration {
	return n.watchAge(now, n.watches[len(n.options.Decoder.DeploymentTables())-1])
}

// watchAge returns the time since a watch last confirmed its table, at most the node's uptime.
func (n *Node) watchAge(now time.Time, watch *recordwatch.Watch) time.Duration {
	observed := watch.ObservedUntil(now)
	if observed.Before(n.startedAt) {
		observed = n.startedAt
	}
	return now.Sub(observed)
}

// Tick advances all state machines.
func (n *Node) Tick(now time.Time) {
	for _, watch := range n.watches {
		watch.Tick(now)
	}
	n.tickLapses(now)
	n.tickCold(now)
	n.lease.Tick(now)
	if n.knowsAllReplicas() || !n.lease.Held(now) {
		n.rollout.Tick(now)
	}
	n.jobs.Tick(now)
	n.quarantine.Tick(now)
	// One collecting node is enough; two at once are harmless.
	n.jobs.Collect(now, n.lease.Held(now))
	if n.lease.Held(now) {
		n.quarantine.Collect(now)
		n.collectCold(now)
	}
	n.tickDuties(now)
	n.tickStatus(now)
	n.tickNodeCount(now)
	n.tickLatency(now)
}

// ObserveStoreClock records a reading of the store's clock from the response to a call sent at sentAt.
func (n *Node) ObserveStoreClock(now, sentAt time.Time, clock time.Duration) {
	n.clock.observe(now, sentAt, clock)
}

// StoreClock returns a lower bound on the store's clock at a time.
func (n *Node) StoreClock(at time.Time) time.Duration {
	least, _, _ := n.clock.bounds(at)
	return least
}

// ObserveStoreLatency records the duration of a store call that was answered immediately.
func (n *Node) ObserveStoreLatency(took time.Duration) { n.latency.observe(took) }

// Ready reports whether the node should receive new connections.
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
	return now.Sub(answered) <= readinessTimeout
}

// applyRoutes activates a route table unless a newer version is already active.
func (n *Node) applyRoutes(now time.Time, table *port.RouteTable) {
	if n.routes != nil && table.Version <= n.routes.Version() {
		return
	}
	n.routes = routes.New(table)
	n.responseTimes.Retain(n.routes.HasRoute)
	n.cold.limited = slices.ContainsFunc(table.Services, func(service port.Service) bool { return service.ColdStart != nil })
	n.queue.Log(event.RoutesApplied, "version", table.Version, "routes", len(table.Routes), "services", len(table.Services),
		"since_start_ms", now.Sub(n.startedAt).Milliseconds())
}
