package cluster

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/recordwatch"
	"github.com/doorstep/doorstep/internal/process/task"
)

// In a large deployment a node follows the list of replicas only as far as it needs it: some replicas of a
// service while it serves callers' requests, and all of them while it owns jobs or holds a lease that
// manages replicas.
const (
	// partRetention is how long some replicas are followed after the last request.
	partRetention = 2 * time.Second
	// wholeRetention is how long all replicas are followed after the last need. It covers the time between two
	// jobs of a model, as reading a large list is expensive.
	wholeRetention = 30 * time.Second
	// initialReplicas is the number of available replicas of a service that are read first to serve callers'
	// requests. It exceeds the number of attempts that routes allow and is doubled whenever all known
	// replicas are busy.
	initialReplicas = 4
)

// largeListSize returns the number of replicas from which on the list is followed only on demand. A
// smaller list is read in a single call.
func (o *Options) largeListSize() int {
	if o.LargeList > 0 {
		return o.LargeList
	}
	return recordwatch.LargeTable
}

// replicaDemand tracks how much of the list of replicas this node needs.
type replicaDemand struct {
	// requests counts callers' requests in progress. partUntil is until when their services' replicas are
	// followed, wholeUntil until when all replicas are.
	requests              int
	partUntil, wholeUntil time.Time
	// perService is the number of replicas of each service that are read; it is reset once the list is no
	// longer followed.
	perService int
	// services are the requested services, the most recent last; origins holds the replica at which reading
	// a service's replicas starts.
	services []string
	origins  map[string]string
	// partial holds what a partial read has returned so far, decoded from partialRecords records.
	partial        port.DeploymentUpdate
	partialRecords int
}

// partialList returns the callbacks by which the watch reads only a part of the list.
func (n *Node) partialList(table string) *recordwatch.PartialOptions {
	return &recordwatch.PartialOptions{
		MinRecords: n.options.largeListSize(), Extent: n.replicaExtent, Known: n.endpoints.Len, StartKey: n.listOrigin, Enough: n.hasEnoughReplicas,
		OnPart: func(now time.Time) { n.onPartialList(now, table) },
	}
}

// replicaExtent returns how much of the list of replicas this node needs.
func (n *Node) replicaExtent(now time.Time) recordwatch.Extent {
	use := &n.replicaDemand
	if n.jobs.OwnedCount() > 0 || n.holdsReplicaLease(now) {
		use.wholeUntil = now.Add(wholeRetention)
	}
	switch {
	case now.Before(use.wholeUntil):
		return recordwatch.ExtentFull
	case use.requests > 0 || now.Before(use.partUntil):
		return recordwatch.ExtentPart
	}
	use.services, use.perService = nil, initialReplicas
	return recordwatch.ExtentNone
}

// holdsReplicaLease reports whether this node holds a lease that manages replicas.
func (n *Node) holdsReplicaLease(now time.Time) bool {
	return n.lease.Held(now) || n.scaling != nil && n.scaling.lease.Held(now)
}

// knowsAllReplicas reports whether every listed replica is known, which placing items and the duties of lease
// holders require. It is also true before the first read, when no replica is known.
func (n *Node) knowsAllReplicas() bool {
	return !n.replicas.HasRead() || n.replicas.Follows(recordwatch.ExtentFull)
}

// completeSince returns since when all replicas are known without interruption, zero if they are not.
func (n *Node) completeSince() time.Time {
	since := n.replicas.FollowedSince()
	if since.IsZero() || n.lapses.healthySince.IsZero() {
		return time.Time{}
	}
	if n.lapses.healthySince.After(since) {
		return n.lapses.healthySince
	}
	return since
}

// BeginRequest registers a caller's request of a route until EndRequest is called. It reports whether replicas
// for it are being read; task.NotifyReplicasRead signals the end of the read.
func (n *Node) BeginRequest(now time.Time, route *port.Route) bool {
	use := &n.replicaDemand
	use.requests++
	for _, backend := range route.Backends {
		use.addService(backend.Service)
	}
	n.replicas.Tick(now)
	return n.LoadingReplicas()
}

// LoadingReplicas reports whether replicas for callers' requests are being read. While the store is
// unavailable, requests use the replicas known before.
func (n *Node) LoadingReplicas() bool {
	return !n.lapses.storeDown && n.replicas.Pending(recordwatch.ExtentPart)
}

// LoadingMoreReplicas reports whether additional replicas are being read because none of the known ones was
// usable.
func (n *Node) LoadingMoreReplicas() bool {
	return !n.lapses.storeDown && !n.knowsAllReplicas() && n.replicas.Reading()
}

// onStoreHealth handles a failure or recovery of the store while the list of replicas is not followed.
func (n *Node) onStoreHealth(now time.Time, healthy bool) {
	if !n.replicas.Follows(recordwatch.ExtentPart) {
		n.onReplicaHealth(now, healthy)
	}
}

// EndRequest unregisters a request registered by BeginRequest.
func (n *Node) EndRequest(now time.Time) {
	n.replicaDemand.requests--
	n.replicaDemand.partUntil = now.Add(partRetention)
}

func (u *replicaDemand) addService(service string) {
	for i, one := range u.services {
		if one == service {
			u.services = append(append(u.services[:i:i], u.services[i+1:]...), service)
			return
		}
	}
	u.services = append(u.services, service)
}

// listOrigin returns the key at which a partial read starts: a replica of the most recently requested
// service. It stays the same while that replica is available, to reuse open connections, and differs between
// nodes to spread their requests.
func (n *Node) listOrigin() string {
	use := &n.replicaDemand
	use.partial, use.partialRecords = port.DeploymentUpdate{}, 0
	if len(use.services) == 0 {
		return ""
	}
	service := use.services[len(use.services)-1]
	pool := n.endpoints.Pool(service)
	if pool == nil {
		return ""
	}
	if before := n.endpoints.Find(use.origins[service]); before != nil && !before.Unschedulable() {
		return before.ID
	}
	first := pool.FirstSchedulable(n.options.Name)
	if first == nil {
		return ""
	}
	if use.origins == nil {
		use.origins = map[string]string{}
	}
	use.origins[service] = first.ID
	return first.ID
}

// hasEnoughReplicas reports whether the records read so far suffice for recent requests. Only new records are
// decoded, as decoding dominates the latency of the first request.
func (n *Node) hasEnoughReplicas(records []port.Record) bool {
	use := &n.replicaDemand
	more := n.options.Decoder.DecodeDeployment(records[use.partialRecords:])
	use.partialRecords = len(records)
	use.partial.Replicas = append(use.partial.Replicas, more.Replicas...)
	use.partial.Unreadable = append(use.partial.Unreadable, more.Unreadable...)
	counts := map[string]int{}
	for _, one := range use.partial.Replicas {
		if !one.Draining {
			counts[one.Service]++
		}
	}
	for _, service := range use.services {
		if counts[service] < use.perService {
			return false
		}
	}
	return true
}

// onPartialList handles a partial read of the list. Other replicas are removed, as their changes were not
// followed, except during the grace period after an outage in which records may be missing.
func (n *Node) onPartialList(now time.Time, table string) {
	change := n.replicaDemand.partial
	n.replicaDemand.partial = port.DeploymentUpdate{}
	n.unreadable.logNew(n.queue, table, change, false)
	listed := n.putReplicas(now, change.Replicas, true)
	if !n.lapses.retaining(now) {
		for _, dropped := range n.endpoints.Retain(listed) {
			n.queue.Add(task.CloseIdleConnections{Address: dropped.Address})
			n.forgetCold(now, dropped.ID)
		}
	}
	n.logListed(len(change.Replicas))
	n.queue.Add(task.NotifyReplicasRead{})
}

// putReplicas adds or updates replicas and returns their IDs.
func (n *Node) putReplicas(now time.Time, records []port.ReplicaRecord, silent bool) map[string]bool {
	listed := make(map[string]bool, len(records))
	n.suppressAddLogs = silent
	for _, record := range records {
		listed[record.ID] = true
		n.putReplica(now, n.endpoints.Put(record))
	}
	n.suppressAddLogs = false
	return listed
}

// logListed logs a summary of a read of the list.
func (n *Node) logListed(count int) {
	n.queue.Log(event.ReplicasListed, "replicas", count, "known", n.endpoints.Len())
}

// requestMoreReplicas reads more replicas if a request found no known replica with a free slot.
func (n *Node) requestMoreReplicas(now time.Time, route *port.Route, chosen *endpoint.Endpoint) {
	if chosen != nil && chosen.Load(now) < max(chosen.Slots, 1) || n.knowsAllReplicas() {
		return
	}
	for _, backend := range route.Backends {
		n.replicaDemand.perService = max(n.replicaDemand.perService, 2*len(n.endpoints.Service(backend.Service)))
	}
	n.replicas.RereadPart(now)
}
