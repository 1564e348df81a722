package cluster

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
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
	// newcomerFor is how long a node that begins to run items takes a lesser part of the bucket: others
	// may have begun at the same moment, or not have heard of it.
	newcomerFor = boundSpan + 200*time.Millisecond
	// claimsPerItem bounds the claims that one item's search for an endpoint begins.
	claimsPerItem = 4
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
	wasWarm := !put.Added && !now.Before(one.ColdUntil)
	one.LearnCold(now)
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
	if n.DiscoveryAge(now) < unconfirmedAfter {
		n.cold.gate.Collect(now, func(id string) bool { return n.endpoints.Find(id) != nil })
	}
}

// guard sets what bounds the sends to a service's replicas. Items and their scoring calls pass the
// replica's token bucket at all times; callers' requests do while replicas may have turned cold of which
// this node can't have heard.
func (n *Node) guard(query *endpoint.Query, service string) {
	query.ColdLasts, query.Permit = 0, nil
	bound, ok := n.coldBound(service)
	if !ok {
		return
	}
	query.ColdLasts = bound.Lasts
	if query.Unguarded || query.Room == 0 && n.DiscoveryAge(query.Now) < unconfirmedAfter {
		return
	}
	items := query.Room > 0
	query.Permit = func(e *endpoint.Endpoint) bool {
		return n.cold.gate.Allows(query.Now, e.ID, service, bound, n.sender(query.Now, e, items))
	}
}

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
// since less than newcomerFor. When the store comes back, many nodes take jobs over before any has heard of
// the others.
func (n *Node) lonely(now time.Time) bool {
	if !n.inTouch(now) {
		n.cold.outOfTouchAt = now
	}
	return !n.cold.outOfTouchAt.IsZero() && now.Sub(n.cold.outOfTouchAt) < newcomerFor
}

// inTouch reports whether this node's view of replicas and of the owners of jobs is confirmed.
func (n *Node) inTouch(now time.Time) bool {
	return now.Sub(n.observed(now)) < unconfirmedAfter && n.DiscoveryAge(now) < unconfirmedAfter
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

// pickCold chooses a cold endpoint to which this node may send. Without one, an item has requests to
// some of them claimed, for its next try; later reports whether one may be had then.
func (n *Node) pickCold(profile *endpoint.Profile, query endpoint.Query, order []string) (chosen *endpoint.Endpoint, later bool) {
	if query.Look {
		return nil, false
	}
	query.OnlyCold = true
	for _, service := range order {
		bound, ok := n.coldBound(service)
		if !ok {
			continue
		}
		n.guard(&query, service)
		guarded := query.Permit
		holding := query
		holding.Permit = func(e *endpoint.Endpoint) bool {
			return n.cold.gate.Holds(query.Now, e.ID) && (guarded == nil || guarded(e))
		}
		if chosen := profile.Pick(&holding, n.endpoints.Service(service)); chosen != nil {
			return chosen, true
		}
		if query.Room > 0 {
			n.claimForItems(profile, query, service, bound)
		}
		anyRoom := query
		anyRoom.Permit = nil
		if query.Room > 0 {
			anyRoom.Room = math.Inf(1)
		}
		later = later || profile.Pick(&anyRoom, n.endpoints.Service(service)) != nil
	}
	return nil, later
}

// claimForItems claims requests to some cold endpoints. Half of a window at once leaves some for the
// owners of other jobs.
func (n *Node) claimForItems(profile *endpoint.Profile, query endpoint.Query, service string, bound coldstart.Bound) {
	guarded := query.Permit
	claimed := map[string]bool{}
	for range claimsPerItem {
		query.Permit = func(e *endpoint.Endpoint) bool {
			return !claimed[e.ID] && n.cold.gate.Claimable(query.Now, e.ID, bound) && (guarded == nil || guarded(e))
		}
		chosen := profile.Pick(&query, n.endpoints.Service(service))
		if chosen == nil {
			return
		}
		claimed[chosen.ID] = true
		n.cold.gate.Claim(query.Now, chosen.ID, service, bound, (bound.Worth()+1)/2, nil)
	}
}

// coldCall is the search of a cold replica for a caller's request.
type coldCall struct {
	route    *port.Route
	tenant   string
	query    *endpoint.Query
	service  string
	bound    coldstart.Bound
	wanted   func() bool
	done     func(now time.Time, chosen *endpoint.Endpoint, comeBack time.Duration)
	comeBack time.Duration
}

// ClaimCold claims a cold replica for a caller's request for which Choose found none, if the service has
// such a replica. done is told which one the request is to be sent to, nil with when to come back if
// there is none; wanted reports then whether the caller still waits.
func (n *Node) ClaimCold(now time.Time, route *port.Route, tenant, model string, exclude map[string]bool, wanted func() bool, done func(now time.Time, chosen *endpoint.Endpoint, comeBack time.Duration)) bool {
	query := n.query(now, route, tenant)
	query.Exclude, query.Model, query.OnlyCold = exclude, model, true
	for _, service := range n.splitter.Order(route) {
		bound, ok := n.coldBound(service)
		if !ok {
			continue
		}
		query.ColdLasts = bound.Lasts
		query.Permit = nil
		if endpoint.Requests.Pick(query, n.endpoints.Service(service)) == nil {
			continue
		}
		n.claimForCaller(&coldCall{
			route: route, tenant: tenant, query: query, service: service, bound: bound, wanted: wanted, done: done, comeBack: bound.Lasts,
		})
		return true
	}
	return false
}

// claimForCaller tries one cold replica after the other: that a window is used up shows in the answer to
// a claim.
func (n *Node) claimForCaller(call *coldCall) {
	query, bound := call.query, call.bound
	query.Permit = func(e *endpoint.Endpoint) bool {
		wait := n.cold.gate.Wait(query.Now, e.ID, bound)
		call.comeBack = min(call.comeBack, max(wait, 0), e.WarmAt(bound.Lasts).Sub(query.Now))
		return wait == 0
	}
	chosen := endpoint.Requests.Pick(query, n.endpoints.Service(call.service))
	if chosen == nil {
		call.done(query.Now, nil, call.comeBack)
		return
	}
	n.cold.gate.Claim(query.Now, chosen.ID, call.service, bound, 1, func(now time.Time, granted bool) {
		query.Now = now
		switch {
		case !call.wanted():
			call.done(now, nil, 0)
		case granted && n.stillUsable(call, chosen):
			n.noteSend(now, chosen, false)
			call.done(now, chosen, 0)
		default:
			exclude := map[string]bool{chosen.ID: true}
			maps.Copy(exclude, query.Exclude)
			query.Exclude = exclude
			call.comeBack = min(call.comeBack, n.cold.gate.Wait(now, chosen.ID, bound))
			n.claimForCaller(call)
		}
	})
}

// stillUsable reports whether a replica may serve a request that had it claimed: the replica, its zone and
// the configuration may have changed since. It may have become warm.
func (n *Node) stillUsable(call *coldCall, chosen *endpoint.Endpoint) bool {
	call.query.Homes = n.Homes(call.route, call.tenant)
	query := *call.query
	query.ColdLasts, query.OnlyCold, query.Permit = 0, false, nil
	return n.endpoints.Find(chosen.ID) == chosen && endpoint.Requests.Pick(&query, []*endpoint.Endpoint{chosen}) != nil
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
