package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/process/coldstart"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/version/batch"
)

// sender returns this node's share of an endpoint's token bucket. Callers' requests may come from any
// number of nodes, so their share is not computed.
func (n *Node) sender(now time.Time, e *endpoint.Endpoint, items bool) coldstart.Sender {
	switch {
	case !items:
		return coldstart.Sender{Nodes: 1}
	case n.isolated(now):
		return coldstart.Sender{Items: true}
	}
	return coldstart.Sender{Items: true, Nodes: n.countSenders(now, e)}
}

// isolated reports whether this node cannot know which other nodes send items: its view is stale, or was
// confirmed less than reconnectPeriod ago. After an outage many nodes take over jobs before they learn of
// each other.
func (n *Node) isolated(now time.Time) bool {
	if !n.viewConfirmed(now) {
		n.cold.staleAt = now
	}
	return !n.cold.staleAt.IsZero() && now.Sub(n.cold.staleAt) < reconnectPeriod
}

// viewConfirmed reports whether the node's view of replicas and job owners is recent.
func (n *Node) viewConfirmed(now time.Time) bool {
	return now.Sub(n.sharedObservedUntil(now)) < maxOwnersAge && n.DiscoveryAge(now) < maxDiscoveryAge
}

// countSenders counts the nodes that send items to an endpoint, including this one: the owners of open jobs
// whose model it serves in a sufficient version. While this node is a new owner, each of these jobs and one
// unknown job count as separate nodes, since many jobs change owners at once after an outage.
func (n *Node) countSenders(now time.Time, e *endpoint.Endpoint) int {
	n.refreshOwners(now)
	nodes, jobs, last := 1, 0, n.options.Name
	for _, owner := range n.cold.owners {
		if len(e.Versions) > 0 && e.Versions[owner.Model] < max(owner.MinVersion, 1) {
			continue
		}
		jobs++
		// Owners are sorted by name.
		if owner.Name != last && owner.Name != n.options.Name && owner.Name != "" {
			nodes++
			last = owner.Name
		}
	}
	if n.cold.ownerSince.IsZero() || now.Sub(n.cold.ownerSince) < newOwnerPeriod {
		return max(nodes, jobs+1, 2)
	}
	return nodes
}

// refreshOwners updates the owners of open jobs periodically.
func (n *Node) refreshOwners(now time.Time) {
	c := &n.cold
	if !c.ownersAt.IsZero() && now.Sub(c.ownersAt) < ownersInterval {
		return
	}
	c.ownersAt = now
	for _, owner := range n.jobs.Owners() {
		c.lastSeen[owner] = now
	}
	maps.DeleteFunc(c.lastSeen, func(_ batch.Owner, at time.Time) bool { return now.Sub(at) > rateWindow })
	c.owners = slices.SortedFunc(maps.Keys(c.lastSeen), batch.CompareOwners)
	owning := slices.ContainsFunc(c.owners, func(owner batch.Owner) bool { return owner.Name == n.options.Name })
	switch {
	case !owning:
		c.ownerSince = time.Time{}
	case c.ownerSince.IsZero():
		c.ownerSince = now
	}
}
