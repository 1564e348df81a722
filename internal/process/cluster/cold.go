package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/process/coldstart"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/version/batch"
)

const (
	// unconfirmedAfter is the age at which the list of replicas no longer bounds what a node may not
	// have heard: a watch is held for 1.6 s, and is heard of within a second after that.
	unconfirmedAfter = 3 * time.Second
	// ownersEvery paces the count of nodes that send items; an owner counts for boundSpan, over which
	// requests add up, after its job is over.
	ownersEvery = 100 * time.Millisecond
	boundSpan   = time.Second
	// ownersKnownFor is the age at which a node's view of the owners no longer tells who else sends items.
	ownersKnownFor = 1200 * time.Millisecond
	// newcomerFor is how long a node that begins to run items takes a lesser part of the bucket: others
	// may have begun at the same moment, or send as if alone until their view is ownersKnownFor old, and what
	// they sent then counts for boundSpan.
	newcomerFor = ownersKnownFor + boundSpan + 200*time.Millisecond
	// returnedFor is how long a node whose view is confirmed again sends as one that is out of touch.
	returnedFor = boundSpan + 200*time.Millisecond
)

// coldReplicas is what a node knows of replicas that bear little for some seconds after a start.
type coldReplicas struct {
	gate *coldstart.Gate
	// known are the IDs of the replicas that were told to be cold, until they are warm.
	known map[string]bool
	// bounded is set where a service's cold replicas bear little.
	bounded bool
	// owners are those of open jobs and of jobs that were open within boundSpan, as of ownersAt; seen
	// holds when they were that last.
	owners   []batch.Owner
	ownersAt time.Time
	seen     map[batch.Owner]time.Time
	// outOfTouchAt is when this node's view was last not confirmed.
	outOfTouchAt time.Time
	// owningSince is when this node became one of them, zero while it is none.
	owningSince time.Time
}

func (n *Node) newColdReplicas() coldReplicas {
	return coldReplicas{
		gate: coldstart.New(coldstart.Options{
			Self: n.options.Name, Incarnation: n.options.Incarnation, Queue: n.queue, Clock: n.clock.bounds,
		}),
		known: map[string]bool{}, seen: map[batch.Owner]time.Time{},
	}
}

// coldBound returns what a service's cold replicas bear, false where they bear all at once.
func (n *Node) coldBound(name string) (coldstart.Bound, bool) {
	if n.routes == nil {
		return coldstart.Bound{}, false
	}
	service, _ := n.routes.Service(name)
	if service.Cold == nil || service.Cold.Lasts <= 0 {
		return coldstart.Bound{}, false
	}
	return coldstart.NewBound(*service.Cold, n.options.Cold.Overshoot, n.options.Cold.Slack), true
}

// noteCold takes from a replica's record how long it is cold.
func (n *Node) noteCold(now time.Time, put endpoint.Change) {
	one := put.Endpoint
	// Others may still take a replica that started again under its ID for the warm one that it was.
	wasWarm := !put.Added && !now.Before(one.ColdUntil) || put.Previous != nil && !now.Before(put.Previous.ColdUntil)
	one.UpdateCold(now)
	bound, ok := n.coldBound(one.Service)
	if !ok || !now.Before(one.ColdUntil) || n.cold.known[one.ID] {
		return
	}
	n.cold.known[one.ID] = true
	if wasWarm {
		n.cold.gate.Turned(now, one.ID, one.Service, bound)
	}
	n.queue.Log(event.ReplicaCold, "replica", one.ID, "service", one.Service, "zone", one.Zone, "for_ms", one.ColdFor.Milliseconds(), "was_warm", wasWarm)
}

func (n *Node) forgetCold(now time.Time, id string) {
	delete(n.cold.known, id)
	n.cold.gate.Forget(now, id)
}

// tickCold tells of replicas that became warm.
func (n *Node) tickCold(now time.Time) {
	if n.cold.bounded {
		n.countOwners(now)
		n.lonely(now)
	}
	for _, id := range slices.Sorted(maps.Keys(n.cold.known)) {
		one := n.endpoints.Find(id)
		if one != nil && now.Before(one.ColdUntil) {
			continue
		}
		delete(n.cold.known, id)
		if one != nil {
			n.queue.Log(event.ReplicaWarm, "replica", id, "service", one.Service)
		}
	}
}

// collectCold deletes the windows of replicas that are gone.
func (n *Node) collectCold(now time.Time) {
	if n.listsAll() && n.DiscoveryAge(now) < unconfirmedAfter {
		n.cold.gate.Collect(now, func(id string) bool { return n.endpoints.Find(id) != nil })
	}
}

// guard sets what bounds the sends to a service's replicas. Items and their scoring calls pass the
// replica's token bucket at all times; callers' requests do while replicas may have turned cold of which
// this node can't have heard.
func (n *Node) guard(query *endpoint.Query, service string) {
	query.ColdPeriod, query.Permit = 0, nil
	bound, ok := n.coldBound(service)
	if !ok {
		return
	}
	query.ColdPeriod = bound.Lasts
	if query.IncludeRateLimited || query.MaxLoad == 0 && n.DiscoveryAge(query.Now) < unconfirmedAfter {
		return
	}
	items := query.MaxLoad > 0
	query.Permit = func(e *endpoint.Endpoint) bool {
		return n.cold.gate.Allows(query.Now, e.ID, service, bound, n.sender(query.Now, e, items))
	}
}

// noteSend notes that a request is sent to the endpoint that was chosen for it.
func (n *Node) noteSend(now time.Time, chosen *endpoint.Endpoint, items bool) {
	chosen.SendBy = time.Time{}
	bound, ok := n.coldBound(chosen.Service)
	if !ok {
		return
	}
	cold := chosen.Cold(now, bound.Lasts)
	if cold {
		chosen.SendBy = n.cold.gate.SendBy(now, chosen.ID)
	}
	n.cold.gate.Sent(now, chosen.ID, chosen.Service, bound, n.sender(now, chosen, items), cold)
}

// ColdFigures tell of cold replicas at this node.
type ColdFigures struct {
	coldstart.Figures
	// Replicas counts those that are known to be cold.
	Replicas int
}

// Cold returns the figures of cold replicas.
func (n *Node) Cold() ColdFigures {
	return ColdFigures{Figures: n.cold.gate.Figures(), Replicas: len(n.cold.known)}
}
