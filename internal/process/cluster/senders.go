package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/process/coldstart"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/version/batch"
)

// sender returns what part of an endpoint's token bucket this node has. Callers' requests are many
// nodes' at all times, so that no part of theirs is known.
func (n *Node) sender(now time.Time, e *endpoint.Endpoint, items bool) coldstart.Sender {
	switch {
	case !items:
		return coldstart.Sender{Share: 1}
	case n.lonely(now):
		return coldstart.Sender{Items: true}
	}
	return coldstart.Sender{Items: true, Share: n.senders(now, e)}
}

// lonely reports whether this node can't know who else sends: its view is not confirmed, or is so only
// since less than returnedFor. When the store comes back, many nodes take jobs over before any has heard of
// the others.
func (n *Node) lonely(now time.Time) bool {
	if !n.inTouch(now) {
		n.cold.outOfTouchAt = now
	}
	return !n.cold.outOfTouchAt.IsZero() && now.Sub(n.cold.outOfTouchAt) < returnedFor
}

// inTouch reports whether this node's view of replicas and of the owners of jobs is confirmed.
func (n *Node) inTouch(now time.Time) bool {
	return now.Sub(n.observed(now)) < ownersKnownFor && n.DiscoveryAge(now) < unconfirmedAfter
}

// senders counts the nodes that send items to an endpoint, this one included: the owners of open jobs
// whose model it has, not too old. While this node is new among them, each of these jobs counts as
// another node's, and one more that is not heard of yet: after an outage many change their owners at
// the same moment.
func (n *Node) senders(now time.Time, e *endpoint.Endpoint) int {
	n.countOwners(now)
	nodes, jobs, last := 1, 0, n.options.Name
	for _, owner := range n.cold.owners {
		if len(e.Versions) > 0 && e.Versions[owner.Model] < max(owner.MinVersion, 1) {
			continue
		}
		jobs++
		// Owners are in the order of their names.
		if owner.Name != last && owner.Name != n.options.Name && owner.Name != "" {
			nodes++
			last = owner.Name
		}
	}
	if n.cold.owningSince.IsZero() || now.Sub(n.cold.owningSince) < newcomerFor {
		return max(nodes, jobs+1, 2)
	}
	return nodes
}

// countOwners takes the owners of open jobs anew, now and then.
func (n *Node) countOwners(now time.Time) {
	c := &n.cold
	if !c.ownersAt.IsZero() && now.Sub(c.ownersAt) < ownersEvery {
		return
	}
	c.ownersAt = now
	for _, owner := range n.jobs.Owners() {
		c.seen[owner] = now
	}
	maps.DeleteFunc(c.seen, func(_ batch.Owner, at time.Time) bool { return now.Sub(at) > boundSpan })
	c.owners = slices.SortedFunc(maps.Keys(c.seen), batch.CompareOwners)
	owning := slices.ContainsFunc(c.owners, func(owner batch.Owner) bool { return owner.Name == n.options.Name })
	switch {
	case !owning:
		c.owningSince = time.Time{}
	case c.owningSince.IsZero():
		c.owningSince = now
	}
}
