package cluster

import (
	"maps"
	"math"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/coldstart"
	"github.com/doorstep/doorstep/internal/process/endpoint"
)

// claimsPerItem bounds the claims that one item's search for an endpoint begins.
const claimsPerItem = 4

// pickCold chooses a cold endpoint to which this node may send. Without one, an item has requests to
// some of them claimed, for its next try; later reports whether one may be had then.
func (n *Node) pickCold(profile *endpoint.Profile, query endpoint.Query, order []string) (chosen *endpoint.Endpoint, later bool) {
	if query.DryRun {
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
		if chosen := profile.Choose(&holding, n.endpoints.Pool(service)); chosen != nil {
			return chosen, true
		}
		if query.MaxLoad > 0 {
			n.claimForItems(profile, query, service, bound)
		}
		anyRoom := query
		anyRoom.Permit = nil
		if query.MaxLoad > 0 {
			anyRoom.MaxLoad = math.Inf(1)
		}
		later = later || profile.Choose(&anyRoom, n.endpoints.Pool(service)) != nil
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
		chosen := profile.Choose(&query, n.endpoints.Pool(service))
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
		query.ColdPeriod = bound.Lasts
		query.Permit = nil
		if endpoint.Requests.Choose(query, n.endpoints.Pool(service)) == nil {
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
	chosen := endpoint.Requests.Choose(query, n.endpoints.Pool(call.service))
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
	query.ColdPeriod, query.OnlyCold, query.Permit = 0, false, nil
	return n.endpoints.Find(chosen.ID) == chosen && endpoint.Requests.Pick(&query, []*endpoint.Endpoint{chosen}) != nil
}
