package cluster

import (
	"maps"
	"math"
	"net/http"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/version/batch"
)

const (
	// maxItemLoad limits the items of batch jobs on a replica, as a multiple of its slots. Items that are queued
	// there start as soon as a slot is free, without the delay of a load report.
	maxItemLoad = 1.5
	// callerSlots is the number of slots on a replica that scoring calls leave to callers' requests, which need not
	// wait behind the scoring calls of a whole job then.
	callerSlots = 1
)

// placeItem chooses an endpoint for an item of a batch job, nil until all replicas are known.
func (n *Node) placeItem(now time.Time, wanted batch.Placement) *endpoint.Endpoint {
	if !n.knowsAllReplicas() {
		return nil
	}
	query := n.query(now, wanted.Route, wanted.Tenant)
	query.Model, query.MinVersion = wanted.Model, wanted.MinVersion
	query.WalkStart = wanted.Model
	query.DryRun = wanted.DryRun
	query.PreferredID = wanted.Prefer
	query.Tokens, query.MemoryTokens = wanted.Tokens, n.serviceOf(wanted.Route).MemoryTokens
	query.MaxLoad, query.RequirePace = maxItemLoad, wanted.PreferKnownPace
	query.Exclude = excluded(wanted)
	query.BestPace = n.bestPace(now, wanted.Route, query.Homes)
	if wanted.Long {
		if chosen := n.placeOnFastReplica(query, wanted.Route); chosen != nil {
			return chosen
		}
		return n.chooseAndRecord(&endpoint.LongRollouts, query, wanted.Route)
	}
	return n.chooseAndRecord(&endpoint.Rollouts, query, wanted.Route)
}

// placeOnFastReplica chooses one of the fastest endpoints for an item that may be among the longest, nil if
// none has a free slot. It does not apply to routes split by weight or without weight.
func (n *Node) placeOnFastReplica(query *endpoint.Query, route *port.Route) *endpoint.Endpoint {
	if len(route.Backends) != 1 || route.Backends[0].Weight <= 0 {
		return nil
	}
	service := route.Backends[0].Service
	n.setPermit(query, service)
	chosen := endpoint.FastRollouts.Choose(query, n.endpoints.Pool(service))
	if chosen != nil && !query.DryRun {
		n.recordSend(query.Now, chosen, true)
	}
	return chosen
}

// excluded returns the endpoints that an item must not be sent to.
func excluded(wanted batch.Placement) map[string]bool {
	if wanted.Avoid == "" {
		return wanted.Exclude
	}
	exclude := map[string]bool{wanted.Avoid: true}
	maps.Copy(exclude, wanted.Exclude)
	return exclude
}

// bestPace returns the minimum time between two events of runs on a route's replicas in allowed regions.
func (n *Node) bestPace(now time.Time, route *port.Route, homes port.AllowedRegions) time.Duration {
	best := time.Duration(0)
	for _, backend := range route.Backends {
		pool := n.endpoints.Pool(backend.Service)
		if pool == nil {
			continue
		}
		pace := pool.BestPace(now, homes)
		if best == 0 || pace > 0 && pace < best {
			best = pace
		}
	}
	return best
}

// Attempt describes an attempt of a caller's request.
type Attempt struct {
	// Exclude holds the IDs of the endpoints that must not be chosen.
	Exclude map[string]bool
	// Hedge is set while another attempt is in progress. The endpoint then needs a free slot, so that the copy
	// does not delay other callers' requests.
	Hedge bool
}

// Choose chooses an endpoint for an attempt of a caller's request.
func (n *Node) Choose(now time.Time, route *port.Route, tenant, model string, attempt Attempt) *endpoint.Endpoint {
	query := n.query(now, route, tenant)
	query.Exclude = attempt.Exclude
	query.Model = model
	if attempt.Hedge {
		return n.chooseForHedge(query, route)
	}
	chosen := n.chooseAndRecord(&endpoint.Requests, query, route)
	n.requestMoreReplicas(now, route, chosen)
	return chosen
}

// chooseForHedge chooses an endpoint for a hedged attempt. It has no last resort, as another attempt is in progress.
func (n *Node) chooseForHedge(query *endpoint.Query, route *port.Route) *endpoint.Endpoint {
	chosen := n.chooseInOrder(&endpoint.HedgedRequests, query, n.splitter.Order(route))
	if chosen != nil {
		n.recordSend(query.Now, chosen, false)
	}
	return chosen
}

// placeScoring chooses an endpoint for an item's scoring call, other than the excluded ones.
func (n *Node) placeScoring(now time.Time, route *port.Route, tenant string, exclude map[string]bool) *endpoint.Endpoint {
	if !n.knowsAllReplicas() {
		return nil
	}
	query := n.query(now, route, tenant)
	query.Exclude = exclude
	query.MaxLoad, query.ReservedSlots = 1, callerSlots
	return n.chooseAndRecord(&endpoint.ScoringCalls, query, route)
}

func (n *Node) query(now time.Time, route *port.Route, tenant string) *endpoint.Query {
	n.rotation++
	query := &endpoint.Query{
		Now: now, Zone: n.options.Topology.Zone, Region: n.options.Topology.Region, Homes: n.Homes(route, tenant), Rotation: n.rotation,
		WalkStart: n.options.Name,
	}
	if n.distances.MultiRegion() {
		query.ExtraLatency = n.distances.ExtraLatency
	}
	return query
}

// chooseAndRecord chooses an endpoint and accounts for the request that is about to be sent to it.
func (n *Node) chooseAndRecord(profile *endpoint.Profile, query *endpoint.Query, route *port.Route) *endpoint.Endpoint {
	chosen := n.choose(profile, query, route)
	if chosen != nil && !query.DryRun {
		n.recordSend(query.Now, chosen, query.MaxLoad > 0)
	}
	return chosen
}

// choose prefers a warm endpoint to a cold one, even if the item has to wait for it. An ejected endpoint is
// the last resort and is not used while another one may get room: its requests fail at once, so that it
// always has room.
func (n *Node) choose(profile *endpoint.Profile, query *endpoint.Query, route *port.Route) *endpoint.Endpoint {
	order := n.splitter.Order(route)
	if chosen := n.chooseInOrder(profile, query, order); chosen != nil {
		return chosen
	}
	if query.MaxLoad > 0 && n.canWaitForRoom(profile, *query, order) {
		return nil
	}
	if chosen, later := n.chooseCold(profile, *query, order); chosen != nil || later {
		return chosen
	}
	if query.DryRun {
		// A running item is not moved to an ejected endpoint.
		return nil
	}
	query.AllowEjected = true
	return n.chooseInOrder(profile, query, order)
}

// chooseInOrder tries the services in order.
func (n *Node) chooseInOrder(profile *endpoint.Profile, query *endpoint.Query, order []string) *endpoint.Endpoint {
	for _, service := range order {
		n.setPermit(query, service)
		if chosen := profile.Choose(query, n.endpoints.Pool(service)); chosen != nil {
			return chosen
		}
	}
	return nil
}

// canWaitForRoom reports whether there is an endpoint that lacks only room.
func (n *Node) canWaitForRoom(profile *endpoint.Profile, query endpoint.Query, order []string) bool {
	query.MaxLoad, query.IncludeRateLimited = math.Inf(1), true
	return n.chooseInOrder(profile, &query, order) != nil
}

// maxEvents returns the maximum number of events of a request's text, 0 if unknown.
func (n *Node) maxEvents(route *port.Route, header http.Header) int {
	service := n.serviceOf(route)
	if service.EventTokens <= 0 {
		return 0
	}
	_, most := n.options.Decoder.Tokens(header)
	return (most + service.EventTokens - 1) / service.EventTokens
}

// textEventsFactor is the number of events that a text may have, as a multiple of those that its maximum number
// of tokens takes. An event may hold fewer tokens than most.
const textEventsFactor = 2

// maxTextEvents returns the number of events that no text of a request exceeds, 0 if unknown. If the number of
// tokens in an event is unknown, it is taken as one.
func (n *Node) maxTextEvents(route *port.Route, header http.Header) int {
	if expected := n.maxEvents(route, header); expected > 0 {
		return textEventsFactor * expected
	}
	_, most := n.options.Decoder.Tokens(header)
	return textEventsFactor * max(most, 0)
}

// serviceOf returns the first service of a route, a zero one if it has none or the configuration lacks it.
func (n *Node) serviceOf(route *port.Route) port.Service {
	if len(route.Backends) == 0 {
		return port.Service{}
	}
	service, _ := n.routes.Service(route.Backends[0].Service)
	return service
}

// lengthGrowth is the expected ratio of the final to the current length of a text that has exceeded its
// caller's estimate.
const lengthGrowth = 1.3

// expectedTokens returns the memory that a request is expected to use on its replica in tokens, given the
// number of events so far; 0 if the service's configuration does not allow an estimate.
func (n *Node) expectedTokens(route *port.Route, header http.Header, events int) int {
	service := n.serviceOf(route)
	if service.EventTokens <= 0 || service.MemoryTokens <= 0 {
		return 0
	}
	prompt, most := n.options.Decoder.Tokens(header)
	made := max(n.options.Decoder.LengthHint(header), int(lengthGrowth*float64(events*service.EventTokens)))
	return prompt + min(made, most)
}
