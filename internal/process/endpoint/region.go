package endpoint

import (
	"slices"
	"time"
)

const (
	// sameRegion is what Near gives another zone of the own region: the own zone is better still, and
	// for items of batch jobs both are within tieBand of one another.
	sameRegion = 0.5
	// alikeDelays is up to where endpoints count as answering equally soon: zones of one region lie
	// a millisecond or two apart, and the loads that a node knows of are some milliseconds old.
	alikeDelays = 5 * time.Millisecond
	// queueCost is how many times the wait for a slot counts against the way: who joins a queue also
	// delays those who come after. With near replicas asked for 1.2 times what they bear, callers get
	// answers after 57.0 ms in the mean where it counts once, as a queue as long as the way stands for
	// good, and after 34.6 ms where it counts six times; at 0.8 times after 26.2 and 26.3 ms, and after
	// 27.5 ms where it counts ten times (TestPlayedLoadsOverTwoRegions).
	queueCost = 6
)

// InHomes drops endpoints outside the regions in which the request must stay.
func InHomes(q *Query, e *Endpoint) bool { return q.Homes.Allows(e.Region) }

// Near is 1 in the node's own zone, sameRegion in the other zones of its region where there are
// several regions, 0 elsewhere and where the endpoint's place is not known.
func Near(q *Query, e *Endpoint) float64 {
	switch {
	case e.Zone == q.Zone:
		return 1
	case q.Away != nil && q.Region != "" && e.Region == q.Region:
		return sameRegion
	}
	return 0
}

// delay is what it costs, in time, to send a request to an endpoint rather than to an idle one of the
// own region: the way there and back, and the wait for a slot, given how long a request runs.
func delay(q *Query, e *Endpoint, service time.Duration) time.Duration {
	cost := q.Away(e.Zone)
	if ahead := e.Load(q.Now) - e.Slots; ahead >= 0 {
		cost += queueCost * time.Duration(ahead+1) * service / time.Duration(max(e.Slots, 1))
	}
	return cost
}

// serviceTime returns how long a request runs, by the endpoint that answers fastest: the latencies of
// others hold more of the time that requests waited there.
func serviceTime(q *Query, candidates []*Endpoint) time.Duration {
	service := time.Duration(0)
	for _, one := range candidates {
		own := one.latency - q.Away(one.Zone)
		if one.latency > 0 && own > 0 && (service == 0 || own < service) {
			service = own
		}
	}
	if service == 0 {
		return typicalLatency
	}
	return service
}

// soonest returns the candidates from which callers are expected to have their answers soonest. So the
// near region serves while it has a free slot, and gives way once its queues cost callers more than the
// way to another: at six slots, 25 ms a request and 40 ms of way, with 7 requests each
// (TestRequestsSpillByWhatTheCallerGets).
func soonest(q *Query, candidates []*Endpoint) []*Endpoint {
	if q.Away == nil || len(candidates) == 0 {
		return candidates
	}
	service := serviceTime(q, candidates)
	delays := make([]time.Duration, len(candidates))
	for i, one := range candidates {
		delays[i] = delay(q, one, service)
	}
	bound := slices.Min(delays) + alikeDelays
	var kept []*Endpoint
	for i, one := range candidates {
		if delays[i] <= bound {
			kept = append(kept, one)
		}
	}
	return kept
}

// nearest returns those of equally good candidates that are least far away.
func nearest(q *Query, equal []*Endpoint) []*Endpoint {
	if q.Away == nil || len(equal) == 0 {
		return equal
	}
	least := q.Away(equal[0].Zone)
	for _, one := range equal {
		least = min(least, q.Away(one.Zone))
	}
	return slices.DeleteFunc(equal, func(one *Endpoint) bool { return q.Away(one.Zone) > least })
}
