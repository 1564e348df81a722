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
	// rolloutRoom is how many items of batch jobs a replica may hold, as a multiple
	// of its slots.
	rolloutRoom = 1.5
	// scoringRoom is how many requests a replica may hold to get a scoring call, as a
	// multiple of its slots: the rest is left to callers.
	scoringRoom = 0.7
)

// place chooses an endpoint for an item of a batch job, once all replicas are known.
func (n *Node) place(now time.Time, wanted batch.Placement) *endpoint.Endpoint {
	if !n.listsAll() {
		return nil
	}
	query := n.query(now, wanted.Route, wanted.Tenant)
	query.Model, query.MinVersion = wanted.Model, wanted.MinVersion
	query.WalkStart = wanted.Model
	query.DryRun = wanted.Look
	query.PreferredID = wanted.Prefer
	query.Tokens, query.MemoryTokens = wanted.Tokens, n.serviceOf(wanted.Route).MemoryTokens
	query.MaxLoad, query.RequirePace = rolloutRoom, wanted.Paced
	query.Exclude = excluded(wanted)
	query.BestPace = n.bestPace(now, wanted.Route, query.Homes)
	if wanted.Long {
		if chosen := n.placeFast(query, wanted.Route); chosen != nil {
			return chosen
		}
		return n.pick(&endpoint.LongRollouts, query, wanted.Route)
	}
	return n.pick(&endpoint.Rollouts, query, wanted.Route)
}

// placeFast chooses one of the fastest endpoints for an item whose text may be among the longest,
// nil if none of them begins it at once. Where a route is split, its weights go first; a service
// without weight gets nothing.
func (n *Node) placeFast(query *endpoint.Query, route *port.Route) *endpoint.Endpoint {
	if len(route.Backends) != 1 || route.Backends[0].Weight <= 0 {
		return nil
	}
	service := route.Backends[0].Service
	n.guard(query, service)
	chosen := endpoint.FastRollouts.Choose(query, n.endpoints.Pool(service))
	if chosen != nil && !query.DryRun {
		n.noteSend(query.Now, chosen, true)
	}
	return chosen
}

// excluded returns the endpoints that an item must not go to.
func excluded(wanted batch.Placement) map[string]bool {
	if wanted.Avoid == "" {
		return wanted.Exclude
	}
	exclude := map[string]bool{wanted.Avoid: true}
	maps.Copy(exclude, wanted.Exclude)
	return exclude
}

// bestPace returns the least time between two events of runs on a route's replicas within homes.
func (n *Node) bestPace(now time.Time, route *port.Route, homes port.Homes) time.Duration {
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

// Choose chooses an endpoint for a request of a tenant's caller that has been to those excluded.
func (n *Node) Choose(now time.Time, route *port.Route, tenant, model string, exclude map[string]bool) *endpoint.Endpoint {
	query := n.query(now, route, tenant)
	query.Exclude = exclude
	query.Model = model
	chosen := n.pick(&endpoint.Requests, query, route)
	n.wantMore(now, route, chosen)
	return chosen
}

// placeScoring chooses an endpoint for the scoring call of an item of a tenant's that has been to
// those excluded.
func (n *Node) placeScoring(now time.Time, route *port.Route, tenant string, exclude map[string]bool) *endpoint.Endpoint {
	if !n.listsAll() {
		return nil
	}
	query := n.query(now, route, tenant)
	query.Exclude = exclude
	query.MaxLoad = scoringRoom
	return n.pick(&endpoint.ScoringCalls, query, route)
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

// pick chooses an endpoint of the route's services, to which a request is sent right then.
func (n *Node) pick(profile *endpoint.Profile, query *endpoint.Query, route *port.Route) *endpoint.Endpoint {
	chosen := n.choose(profile, query, route)
	if chosen != nil && !query.DryRun {
		n.noteSend(query.Now, chosen, query.MaxLoad > 0)
	}
	return chosen
}

// choose prefers a warm endpoint to a cold one, even if it has to be waited for. One that was ejected
// is better than none, but worse than to wait for room at another: it fails at once, so it always has
// room.
func (n *Node) choose(profile *endpoint.Profile, query *endpoint.Query, route *port.Route) *endpoint.Endpoint {
	order := n.splitter.Order(route)
	if chosen := n.pickInOrder(profile, query, order); chosen != nil {
		return chosen
	}
	if query.MaxLoad > 0 && n.roomLater(profile, *query, order) {
		return nil
	}
	if chosen, later := n.pickCold(profile, *query, order); chosen != nil || later {
		return chosen
	}
	if query.DryRun {
		// A run that goes on is not moved to where it would fail at once.
		return nil
	}
	query.AllowEjected = true
	return n.pickInOrder(profile, query, order)
}

// pickInOrder tries services in the order of the splitter.
func (n *Node) pickInOrder(profile *endpoint.Profile, query *endpoint.Query, order []string) *endpoint.Endpoint {
	for _, service := range order {
		n.guard(query, service)
		if chosen := profile.Choose(query, n.endpoints.Pool(service)); chosen != nil {
			return chosen
		}
	}
	return nil
}

// roomLater reports whether there is an endpoint that lacks nothing but room.
func (n *Node) roomLater(profile *endpoint.Profile, query endpoint.Query, order []string) bool {
	query.MaxLoad, query.IncludeRateLimited = math.Inf(1), true
	return n.pickInOrder(profile, &query, order) != nil
}

// mostEvents returns the most events that a request's text may have, 0 if it does not tell.
func (n *Node) mostEvents(route *port.Route, header http.Header) int {
	service := n.serviceOf(route)
	if service.EventTokens <= 0 {
		return 0
	}
	_, most := n.options.Decoder.Tokens(header)
	return (most + service.EventTokens - 1) / service.EventTokens
}

// serviceOf returns the first service of a route, an empty one if the configuration names none.
func (n *Node) serviceOf(route *port.Route) port.Service {
	if len(route.Backends) == 0 {
		return port.Service{}
	}
	service, _ := n.routes.Service(route.Backends[0].Service)
	return service
}

// lengthDoubt is by what factor a text that has passed its caller's estimate is expected to
// outgrow what there is of it.
const lengthDoubt = 1.3

// expectedTokens returns the memory that a request is expected to take at its replica, given the
// events that there are of its text, in tokens; 0 where events' tokens are not told.
func (n *Node) expectedTokens(route *port.Route, header http.Header, events int) int {
	service := n.serviceOf(route)
	if service.EventTokens <= 0 || service.MemoryTokens <= 0 {
		return 0
	}
	prompt, most := n.options.Decoder.Tokens(header)
	made := max(n.options.Decoder.LengthHint(header), int(lengthDoubt*float64(events*service.EventTokens)))
	return prompt + min(made, most)
}
