package cluster

import (
	"maps"
	"math"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/coldstart"
	"github.com/doorstep/doorstep/internal/process/endpoint"
)

// claimsPerItem limits the claims started by one item's search for an endpoint.
const claimsPerItem = 4

// chooseCold chooses a cold endpoint for which this node holds granted requests. If there is none, it claims
// requests for the next attempt of an item; retry reports whether that attempt may succeed.
func (n *Node) chooseCold(profile *endpoint.Profile, query endpoint.Query, order []string) (chosen *endpoint.Endpoint, retry bool) {
	if query.DryRun {
		return nil, false
	}
	query.OnlyCold = true
	for _, service := range order {
		limit, ok := n.coldLimit(service)
		if !ok {
			continue
		}
		n.setPermit(&query, service)
		rateLimited := query.Permit
		granted := query
		granted.Permit = func(e *endpoint.Endpoint) bool {
			return n.cold.gate.HasGrant(query.Now, e.ID) && (rateLimited == nil || rateLimited(e))
		}
		if chosen := profile.Choose(&granted, n.endpoints.Pool(service)); chosen != nil {
			return chosen, true
		}
		if query.MaxLoad > 0 {
			n.claimForItems(profile, query, service, limit)
		}
		anyRoom := query
		anyRoom.Permit = nil
		if query.MaxLoad > 0 {
			anyRoom.MaxLoad = math.Inf(1)
		}
		retry = retry || profile.Choose(&anyRoom, n.endpoints.Pool(service)) != nil
	}
	return nil, retry
}

// claimForItems claims requests to some cold endpoints. It takes at most half of a window, to leave some for
// the owners of other jobs.
func (n *Node) claimForItems(profile *endpoint.Profile, query endpoint.Query, service string, limit coldstart.Limit) {
	rateLimited := query.Permit
	claimed := map[string]bool{}
	for range claimsPerItem {
		query.Permit = func(e *endpoint.Endpoint) bool {
			return !claimed[e.ID] && n.cold.gate.Claimable(query.Now, e.ID, limit) && (rateLimited == nil || rateLimited(e))
		}
		chosen := profile.Choose(&query, n.endpoints.Pool(service))
		if chosen == nil {
			return
		}
		claimed[chosen.ID] = true
		n.cold.gate.Claim(query.Now, chosen.ID, service, limit, (limit.WindowCapacity()+1)/2, nil)
	}
}

// coldRequest is the search for a cold replica for a caller's request.
type coldRequest struct {
	route      *port.Route
	tenant     string
	query      *endpoint.Query
	service    string
	limit      coldstart.Limit
	waiting    func() bool
	done       func(now time.Time, chosen *endpoint.Endpoint, retryAfter time.Duration)
	retryAfter time.Duration
}

// ClaimCold claims a cold replica for a caller's request for which Choose found no replica, and reports
// whether the route's services have a candidate. done receives the chosen replica, or nil with the time after
// which to retry. waiting reports whether the caller still waits.
func (n *Node) ClaimCold(now time.Time, route *port.Route, tenant, model string, exclude map[string]bool, waiting func() bool, done func(now time.Time, chosen *endpoint.Endpoint, retryAfter time.Duration)) bool {
	query := n.query(now, route, tenant)
	query.Exclude, query.Model, query.OnlyCold = exclude, model, true
	for _, service := range n.splitter.Order(route) {
		limit, ok := n.coldLimit(service)
		if !ok {
			continue
		}
		query.ColdPeriod = limit.Duration
		query.Permit = nil
		if endpoint.Requests.Choose(query, n.endpoints.Pool(service)) == nil {
			continue
		}
		n.claimForCaller(&coldRequest{
			route: route, tenant: tenant, query: query, service: service, limit: limit, waiting: waiting, done: done, retryAfter: limit.Duration,
		})
		return true
	}
	return false
}

// claimForCaller tries the candidates one after the other, as only the response to a claim shows whether a
// replica's window is exhausted.
func (n *Node) claimForCaller(call *coldRequest) {
	query, limit := call.query, call.limit
	query.Permit = func(e *endpoint.Endpoint) bool {
		wait := n.cold.gate.RetryAfter(query.Now, e.ID, limit)
		call.retryAfter = min(call.retryAfter, max(wait, 0), e.WarmAt(limit.Duration).Sub(query.Now))
		return wait == 0
	}
	chosen := endpoint.Requests.Choose(query, n.endpoints.Pool(call.service))
	if chosen == nil {
		call.done(query.Now, nil, call.retryAfter)
		return
	}
	n.cold.gate.Claim(query.Now, chosen.ID, call.service, limit, 1, func(now time.Time, granted bool) {
		query.Now = now
		switch {
		case !call.waiting():
			call.done(now, nil, 0)
		case granted && n.stillUsable(call, chosen):
			n.recordSend(now, chosen, false)
			call.done(now, chosen, 0)
		default:
			exclude := map[string]bool{chosen.ID: true}
			maps.Copy(exclude, query.Exclude)
			query.Exclude = exclude
			call.retryAfter = min(call.retryAfter, n.cold.gate.RetryAfter(now, chosen.ID, limit))
			n.claimForCaller(call)
		}
	})
}

// stillUsable reports whether a claimed replica may still serve the request. The replica, its zone or the
// configuration may have changed while the claim was pending.
func (n *Node) stillUsable(call *coldRequest, chosen *endpoint.Endpoint) bool {
	call.query.Homes = n.Homes(call.route, call.tenant)
	query := *call.query
	query.ColdPeriod, query.OnlyCold, query.Permit = 0, false, nil
	return n.endpoints.Find(chosen.ID) == chosen && endpoint.Requests.Pick(&query, []*endpoint.Endpoint{chosen}) != nil
}
