package cluster

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/recordwatch"
	"github.com/doorstep/doorstep/internal/process/task"
)

// In a large deployment most nodes send to no replica at most times. A node follows the list of replicas
// while it has use for it: some replicas of a service while it serves callers' requests, all while it owns
// jobs or holds a lease whose holder decides over replicas.
const (
	// partFor is how long some replicas are followed behind the last request: the changes of so long
	// cost what reading them again does, at 50 changes of 700 bytes a second.
	partFor = 2 * time.Second
	// wholeFor is the same for all replicas: 10,000 are read in 20 calls and 7 MB. Jobs of a model come
	// a few seconds apart.
	wholeFor = 30 * time.Second
	// firstReplicas is how many replicas of a service that get work are enough at first to serve callers'
	// requests, more than the attempts that routes allow. Each time that none of those known has a slot
	// free twice as many are read.
	firstReplicas = 4
)

// largeList returns from how many replicas on the list is one that nodes follow as far as they have use
// for it: one call reads a smaller one whole.
func (o *Options) largeList() int {
	if o.LargeList > 0 {
		return o.LargeList
	}
	return recordwatch.LargeTable
}

// replicaUse is what this node uses the list of replicas for.
type replicaUse struct {
	// requests counts callers' requests under way, usedUntil is until when their services' replicas are
	// followed behind the last of them, neededUntil until when all are.
	requests               int
	usedUntil, neededUntil time.Time
	// wanted is how many replicas of each service are enough since the last rest.
	wanted int
	// services are those of the requests since the last rest, the latest last; origins are the replicas
	// from which on a service's are read.
	services []string
	origins  map[string]string
	// reading is what a reading of some replicas brought so far, of so many records.
	reading       port.Deployment
	readingLength int
}

// partialList lets the watch of the list of replicas know what this node has use for.
func (n *Node) partialList(table string) *recordwatch.PartialOptions {
	return &recordwatch.PartialOptions{
		MinRecords: n.options.largeList(), Extent: n.replicaExtent, Known: n.endpoints.Len, StartKey: n.listOrigin, Enough: n.enoughListed,
		OnPart: func(now time.Time) { n.onSomeReplicas(now, table) },
	}
}

// replicaExtent returns how much of the list of replicas this node has use for.
func (n *Node) replicaExtent(now time.Time) recordwatch.Extent {
	use := &n.replicaUse
	if n.jobs.Owned() > 0 || n.leads(now) {
		use.neededUntil = now.Add(wholeFor)
	}
	switch {
	case now.Before(use.neededUntil):
		return recordwatch.ExtentFull
	case use.requests > 0 || now.Before(use.usedUntil):
		return recordwatch.ExtentPart
	}
	use.services, use.wanted = nil, firstReplicas
	return recordwatch.ExtentNone
}

// leads reports whether this node holds a lease whose holder decides over replicas.
func (n *Node) leads(now time.Time) bool {
	return n.lease.Held(now) || n.scaling != nil && n.scaling.lease.Held(now)
}

// listsAll reports whether no replica is passed over that stands in the list: only then items are placed,
// and the lease's holders decide. It is so as well before anything was read, as none is known then.
func (n *Node) listsAll() bool {
	return !n.replicas.HasRead() || n.replicas.Follows(recordwatch.ExtentFull)
}

// listedSince returns since when all replicas are known without a break, zero while they aren't.
func (n *Node) listedSince() time.Time {
	since := n.replicas.FollowedSince()
	if since.IsZero() || n.lapses.listedSince.IsZero() {
		return time.Time{}
	}
	if n.lapses.listedSince.After(since) {
		return n.lapses.listedSince
	}
	return since
}

// BeginRequest notes that a request of a route's callers is under way, until EndRequest is called. It
// reports whether replicas for it are being read, which task.NotifyReplicasRead tells the end of.
func (n *Node) BeginRequest(now time.Time, route *port.Route) bool {
	use := &n.replicaUse
	use.requests++
	for _, backend := range route.Backends {
		use.note(backend.Service)
	}
	n.replicas.Tick(now)
	return n.ReplicasAwaited()
}

// ReplicasAwaited reports whether replicas for callers' requests are being read. While the store is away
// requests go to those that were known before.
func (n *Node) ReplicasAwaited() bool {
	return !n.lapses.away && n.replicas.Pending(recordwatch.ExtentPart)
}

// MoreReplicasAwaited reports whether more replicas than those known are being read, as a choice found none
// that may be used.
func (n *Node) MoreReplicasAwaited() bool {
	return !n.lapses.away && !n.listsAll() && n.replicas.Reading()
}

// onStoreHealth notes that the store went away, or came back, while the list of replicas was not followed.
func (n *Node) onStoreHealth(now time.Time, healthy bool) {
	if !n.replicas.Follows(recordwatch.ExtentPart) {
		n.onReplicaHealth(now, healthy)
	}
}

// EndRequest ends a request that BeginRequest began.
func (n *Node) EndRequest(now time.Time) {
	n.replicaUse.requests--
	n.replicaUse.usedUntil = now.Add(partFor)
}

func (u *replicaUse) note(service string) {
	for i, one := range u.services {
		if one == service {
			u.services = append(append(u.services[:i:i], u.services[i+1:]...), service)
			return
		}
	}
	u.services = append(u.services, service)
}

// listOrigin returns the key from which some replicas are read: a replica of the service that was asked
// for last, the same one as before while it gets work, so that the same ones are known again, to which
// connections may be open. Nodes begin at different ones.
func (n *Node) listOrigin() string {
	use := &n.replicaUse
	use.reading, use.readingLength = port.Deployment{}, 0
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

// enoughListed reports whether the records of a reading are enough to serve the requests of late. Each is
// decoded once: that is most of what the first request behind a rest waits for on a slow machine.
func (n *Node) enoughListed(records []port.Record) bool {
	use := &n.replicaUse
	more := n.options.Decoder.DecodeDeployment(records[use.readingLength:])
	use.readingLength = len(records)
	use.reading.Replicas = append(use.reading.Replicas, more.Replicas...)
	use.reading.Unreadable = append(use.reading.Unreadable, more.Unreadable...)
	counts := map[string]int{}
	for _, one := range use.reading.Replicas {
		if !one.Draining {
			counts[one.Service]++
		}
	}
	for _, service := range use.services {
		if counts[service] < use.wanted {
			return false
		}
	}
	return true
}

// onSomeReplicas takes a part of the list. Replicas that are not among them are dropped, as their changes
// were not followed, but for the time after an outage in which records may be missing.
func (n *Node) onSomeReplicas(now time.Time, table string) {
	change := n.replicaUse.reading
	n.replicaUse.reading = port.Deployment{}
	n.unreadable.note(n.queue, table, change.Unreadable, false)
	listed := n.putReplicas(now, change.Replicas, true)
	if !n.lapses.open(now) {
		for _, dropped := range n.endpoints.Retain(listed) {
			n.queue.Add(task.CloseIdleConnections{Address: dropped.Address})
			n.forgetCold(now, dropped.ID)
		}
	}
	n.tellListed(len(change.Replicas))
	n.queue.Add(task.NotifyReplicasRead{})
}

// putReplicas takes replicas' records and returns their IDs.
func (n *Node) putReplicas(now time.Time, records []port.ReplicaRecord, silent bool) map[string]bool {
	listed := make(map[string]bool, len(records))
	n.silentAdds = silent
	for _, record := range records {
		listed[record.ID] = true
		n.putReplica(now, n.endpoints.Put(record))
	}
	n.silentAdds = false
	return listed
}

// tellListed tells of a reading of the list.
func (n *Node) tellListed(count int) {
	n.queue.Log(event.ReplicasListed, "replicas", count, "known", n.endpoints.Len())
}

// wantMore lets this node read more replicas if a request found none that begins it at once among those
// that it knows.
func (n *Node) wantMore(now time.Time, route *port.Route, chosen *endpoint.Endpoint) {
	if chosen != nil && chosen.Load(now) < max(chosen.Slots, 1) || n.listsAll() {
		return
	}
	for _, backend := range route.Backends {
		n.replicaUse.wanted = max(n.replicaUse.wanted, 2*len(n.endpoints.Service(backend.Service)))
	}
	n.replicas.RereadPart(now)
}
