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

// Keys of records in LeasePartition.
const (
	// UsageClockKey is the key of the usage reports' clock. All other records except NodeCountKey are leases.
	UsageClockKey = "usage-clock"

	orderLeaseKey   = "version-orders"
	usageLeaseKey   = "usage"
	scalingLeaseKey = "scaling"
)

// Duties configures the platform calls that are made by one node at a time. A duty that is not set is
// not performed.
type Duties struct {
	// Usage configures the windows in which requests are counted and reported.
	Usage *usage.Windows
	// Scaling enables ordering of replicas.
	Scaling bool
	// Fenced is set if the platform rejects calls with an older fencing token than the latest it has seen.
	Fenced bool
}

// usageDuty counts requests by tenant and reports them.
type usageDuty struct {
	clock    usage.Clock
	lease    *recordlease.Lease
	keeper   *usage.ClockKeeper
	counter  *usage.Counter
	reporter *usage.Reporter
}

func (n *Node) newLease(key string, timing recordlease.Timing, fenced bool) *recordlease.Lease {
	return n.addLease(n.leaseOptions(key, timing, fenced))
}

// newOrderLease returns the lease for version orders. Orders without a response may still be executed later.
func (n *Node) newOrderLease() *recordlease.Lease {
	options := n.leaseOptions(orderLeaseKey, recordlease.FastTiming, false)
	options.MaxActDelay = rollout.MaxOrderDelay
	options.Unanswered = func(now time.Time) []string { return n.rollout.Unanswered(now) }
	return n.addLease(options)
}

func (n *Node) leaseOptions(key string, timing recordlease.Timing, fenced bool) recordlease.Options {
	return recordlease.Options{
		Key:    port.RecordKey{Table: port.SharedTable, Partition: LeasePartition, Key: key},
		Holder: n.options.Name, Incarnation: n.options.Incarnation, Queue: n.queue, Pause: n.options.OrderPause, Timing: timing,
		Fenced: fenced, StartedAt: n.startedAt,
		Jitter: n.random.Float64(), NodeCount: n.NodeCount, ObservedUntil: n.sharedObservedUntil, Clock: n.clock.bounds,
	}
}

func (n *Node) addLease(options recordlease.Options) *recordlease.Lease {
	lease := recordlease.New(options)
	n.leases[options.Key.Key] = lease
	return lease
}

// sortedLeases returns all leases ordered by key, which keeps the simulator deterministic.
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
		Queue: n.queue, Lease: d.lease, Clock: &d.clock, StartedAt: n.startedAt, StoreClock: n.clock.estimate,
		Key:      port.RecordKey{Table: port.SharedTable, Partition: LeasePartition, Key: UsageClockKey},
		Nodes:    port.RecordRange{Table: StatusTable, Partition: StatusTable},
		OffsetOf: wallOffsetOf,
	}
	d.counter = usage.NewCounter(usage.CounterOptions{
		Self: n.options.Name, Incarnation: n.options.Incarnation, Queue: n.queue, Clock: &d.clock, StoreClock: n.clock.estimate,
	})
	d.reporter = usage.NewReporter(usage.ReporterOptions{
		Self: n.options.Name, Queue: n.queue, Lease: d.lease, Clock: &d.clock, StoreClock: n.clock.estimate,
	})
	return d
}

// wallOffsetOf returns the wall clock offset in a status record, false if it has none.
func wallOffsetOf(record port.Record) (time.Duration, bool) {
	status := &doorstepv1.NodeStatus{}
	if proto.Unmarshal(record.Value, status) != nil || status.WallOffsetMs == 0 {
		return 0, false
	}
	return time.Duration(status.WallOffsetMs) * time.Millisecond, true
}

type scalingDuty struct {
	lease  *recordlease.Lease
	scaler *scaling.Scaler
}

func (n *Node) newScalingDuty() *scalingDuty {
	d := &scalingDuty{lease: n.newLease(scalingLeaseKey, recordlease.SlowTiming, n.options.Duties.Fenced)}
	d.scaler = scaling.New(scaling.Options{
		Self: n.options.Name, Queue: n.queue, Lease: d.lease, Services: n.scaledServices,
		ListedSince: n.completeSince,
	})
	return d
}

// scaledServices returns the services with scaling enabled.
func (n *Node) scaledServices(now time.Time) []scaling.Service {
	if n.routes == nil {
		return nil
	}
	remaining, longest := n.jobs.RemainingWork(), n.jobs.LongestEvents(now)
	var list []scaling.Service
	for _, service := range n.routes.Services() {
		if service.Scaling == nil {
			continue
		}
		one := scaling.Service{Name: service.Name, Scaling: *service.Scaling, Zones: n.zonesOf(service)}
		pace := n.meanPace(now, service.Name)
		for _, model := range service.Models {
			one.Items += remaining[model].Items
			one.RequiredSlots += requiredSlots(remaining[model], generation{
				eventTokens: service.EventTokens, pace: pace, longestEvents: longest[model], limit: n.resultTime(),
			})
		}
		list = append(list, one)
	}
	return list
}

// zonesOf returns the zones of a service with the number of replicas that are not draining.
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
		// A new replica is assumed to have as many slots as the existing ones.
		zone.Slots = slots
		zones = append(zones, *zone)
	}
	scaling.SortZones(zones)
	return zones
}

// onLeaseRecord handles a record of LeasePartition.
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

// CountRequest counts a tenant's request that started to run on a replica.
func (n *Node) CountRequest(now, beganAt time.Time, tenant string) {
	if n.usage != nil {
		n.usage.counter.Count(now, beganAt, tenant)
	}
}

// usageFlushed reports whether all usage counts of this node are stored.
func (n *Node) usageFlushed() bool { return n.usage == nil || n.usage.counter.Unwritten() == 0 }

// ReportsUsage reports whether this node currently sends usage reports to the platform.
func (n *Node) ReportsUsage(now time.Time) bool { return n.usage != nil && n.usage.lease.Held(now) }

// UsageStats are the node's usage reporting statistics.
type UsageStats struct {
	// Unwritten counts requests that are not stored yet; Reported and Late count the windows that the
	// platform accepted from this node.
	Unwritten, Reported, Late int
}

// Usage returns the usage reporting statistics, zero if the duty is disabled.
func (n *Node) Usage() UsageStats {
	if n.usage == nil {
		return UsageStats{}
	}
	return UsageStats{Unwritten: int(n.usage.counter.Unwritten()), Reported: n.usage.reporter.Reported, Late: n.usage.reporter.LateReports}
}
