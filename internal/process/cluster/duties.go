package cluster

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/version/recordlease"
	"github.com/doorstep/doorstep/internal/version/rollout"
	"github.com/doorstep/doorstep/internal/version/scaling"
	"github.com/doorstep/doorstep/internal/version/usage"
)

// Keys of the records in LeasePartition.
const (
	// UsageClockKey is that of the clock of the reports of use; all others but NodeCountKey are leases.
	UsageClockKey = "usage-clock"

	orderLeaseKey   = "version-orders"
	usageLeaseKey   = "usage"
	scalingLeaseKey = "scaling"
)

// writtenWithin bounds the wait of a stopping node for its counts to be on record.
const writtenWithin = leaveAfter + 2*time.Second

// Duties are the platform's calls that one node at a time makes. Those that are not set are
// not made.
type Duties struct {
	// Usage are the windows in which requests are counted and reported.
	Usage *usage.Windows
	// Scaling orders replicas.
	Scaling bool
	// Fenced says that the platform refuses calls under an older fence than it has seen.
	Fenced bool
}

// usageDuty counts and reports requests by tenant.
type usageDuty struct {
	clock    usage.Clock
	lease    *recordlease.Lease
	keeper   *usage.ClockKeeper
	counter  *usage.Counter
	reporter *usage.Reporter
}

// newLease returns a lease of this node.
func (n *Node) newLease(key string, cadence recordlease.Timing, fenced bool) *recordlease.Lease {
	return n.addLease(n.leaseOptions(key, cadence, fenced))
}

// newOrderLease returns the lease by which versions are ordered: orders without an answer may be carried out late.
func (n *Node) newOrderLease() *recordlease.Lease {
	options := n.leaseOptions(orderLeaseKey, recordlease.FastTiming, false)
	options.MaxActDelay = rollout.MaxOrderDelay
	options.Unanswered = func(now time.Time) []string { return n.rollout.Unanswered(now) }
	return n.addLease(options)
}

func (n *Node) leaseOptions(key string, cadence recordlease.Timing, fenced bool) recordlease.Options {
	return recordlease.Options{
		Key:    port.RecordKey{Table: port.SharedTable, Partition: LeasePartition, Key: key},
		Holder: n.options.Name, Incarnation: n.options.Incarnation, Queue: n.queue, Pause: n.options.OrderPause, Timing: cadence,
		Fenced: fenced, StartedAt: n.startedAt,
		Jitter: n.random.Float64(), Nodes: n.Nodes, ObservedUntil: n.observed, Clock: n.clock.bounds,
	}
}

func (n *Node) addLease(options recordlease.Options) *recordlease.Lease {
	lease := recordlease.New(options)
	n.leases[options.Key.Key] = lease
	return lease
}

// sortedLeases returns all leases in the order of their keys, so that two runs of the simulator
// do the same.
func (n *Node) sortedLeases() []*recordlease.Lease {
	var list []*recordlease.Lease
	for _, key := range slices.Sorted(maps.Keys(n.leases)) {
		list = append(list, n.leases[key])
	}
	return list
}

func (n *Node) newUsageDuty(windows usage.Windows) *usageDuty {
	d := &usageDuty{clock: usage.Clock{Windows: windows}, lease: n.newLease(usageLeaseKey, recordlease.SlowTiming, n.options.Duties.Fenced)}
	d.keeper = &usage.ClockKeeper{
		Queue: n.queue, Lease: d.lease, Clock: &d.clock, StartedAt: n.startedAt, StoreClock: n.clock.reading,
		Key:      port.RecordKey{Table: port.SharedTable, Partition: LeasePartition, Key: UsageClockKey},
		Nodes:    port.RecordRange{Table: StatusTable, Partition: StatusTable},
		OffsetOf: wallOffsetOf,
	}
	d.counter = usage.NewCounter(usage.CounterOptions{
		Self: n.options.Name, Incarnation: n.options.Incarnation, Queue: n.queue, Clock: &d.clock, StoreClock: n.clock.reading,
	})
	d.reporter = usage.NewReporter(usage.ReporterOptions{
		Self: n.options.Name, Queue: n.queue, Lease: d.lease, Clock: &d.clock, StoreClock: n.clock.reading,
	})
	return d
}

// wallOffsetOf returns what a node told of its wall clock.
func wallOffsetOf(record port.Record) (time.Duration, bool) {
	status := &doorstepv1.NodeStatus{}
	if proto.Unmarshal(record.Value, status) != nil || status.WallOffsetMs == 0 {
		return 0, false
	}
	return time.Duration(status.WallOffsetMs) * time.Millisecond, true
}

// scalingDuty orders replicas.
type scalingDuty struct {
	lease  *recordlease.Lease
	scaler *scaling.Scaler
}

func (n *Node) newScalingDuty() *scalingDuty {
	d := &scalingDuty{lease: n.newLease(scalingLeaseKey, recordlease.SlowTiming, n.options.Duties.Fenced)}
	d.scaler = scaling.New(scaling.Options{
		Self: n.options.Name, Queue: n.queue, Lease: d.lease, Services: n.scaledServices,
		ListedSince: n.listedSince,
	})
	return d
}

// scaledServices returns the services whose replicas can be ordered.
func (n *Node) scaledServices() []scaling.Service {
	if n.routes == nil {
		return nil
	}
	outstanding := n.jobs.Outstanding()
	var list []scaling.Service
	for _, service := range n.routes.Services() {
		if service.Scaling == nil {
			continue
		}
		one := scaling.Service{Name: service.Name, Scaling: *service.Scaling, Zones: n.zonesOf(service)}
		for _, model := range service.Models {
			one.Items += outstanding[model]
		}
		list = append(list, one)
	}
	return list
}

// zonesOf returns the zones of a service with the replicas that stay there.
func (n *Node) zonesOf(service port.Service) []scaling.Zone {
	byName := map[string]*scaling.Zone{}
	for name := range service.Scaling.Prices {
		byName[name] = &scaling.Zone{Name: name, Evacuated: n.evacuated[name]}
	}
	slots := 0
	for _, e := range n.endpoints.Service(service.Name) {
		slots = max(slots, e.Slots)
		zone := byName[e.Zone]
		if zone == nil {
			continue
		}
		if !e.Draining {
			zone.Replicas++
		}
	}
	var zones []scaling.Zone
	for _, zone := range byName {
		// A zone without a replica would be given such as the others have.
		zone.Slots = slots
		zones = append(zones, *zone)
	}
	scaling.SortZones(zones)
	return zones
}

// onLeaseRecord takes a record of LeasePartition.
func (n *Node) onLeaseRecord(now time.Time, record port.Record) {
	if record.Key == NodeCountKey {
		n.onNodeCount(record)
		return
	}
	if record.Key == UsageClockKey {
		if n.usage != nil {
			n.usage.keeper.OnRecord(record)
		}
		return
	}
	if lease := n.leases[record.Key]; lease != nil {
		lease.OnRecord(now, record)
	}
}

func (n *Node) tickDuties(now time.Time) {
	if n.scaling != nil {
		n.scaling.lease.Tick(now)
		n.scaling.scaler.Tick(now)
	}
	if n.usage == nil {
		return
	}
	n.usage.lease.Tick(now)
	n.usage.keeper.Tick(now)
	n.usage.counter.Tick(now, n.Stopping())
	n.usage.reporter.Tick(now)
}

// CountRequest notes that a tenant's request began to run at a replica.
func (n *Node) CountRequest(now, beganAt time.Time, tenant string) {
	if n.usage != nil {
		n.usage.counter.Count(now, beganAt, tenant)
	}
}

// counted reports whether nothing that this node counted is lost by its end.
func (n *Node) counted() bool { return n.usage == nil || n.usage.counter.Unwritten() == 0 }

// Reports reports whether this node reports use to the platform now.
func (n *Node) Reports(now time.Time) bool { return n.usage != nil && n.usage.lease.Held(now) }

// UsageFigures tell how far the reports of use have come at this node.
type UsageFigures struct {
	// Unwritten are requests counted and not on record; Reported and Late count the windows
	// that the platform took from this node.
	Unwritten, Reported, Late int
}

// Usage returns the figures of the reports of use, zero without that duty.
func (n *Node) Usage() UsageFigures {
	if n.usage == nil {
		return UsageFigures{}
	}
	return UsageFigures{Unwritten: int(n.usage.counter.Unwritten()), Reported: n.usage.reporter.Reported, Late: n.usage.reporter.LateReports}
}
