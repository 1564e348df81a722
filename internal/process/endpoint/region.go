package endpoint

import (
	"slices"
	"time"
)

const (
	// sameRegionScore is the Near score of another zone in the node's own region. For items of batch
	// jobs its difference from the node's own zone is within tieTolerance.
	sameRegionScore = 0.5
	// delayTolerance is the difference up to which expected delays count as equal. Round trips within a
	// region differ by a millisecond or two, and known loads are some milliseconds old.
	delayTolerance = 5 * time.Millisecond
	// queueWeight is the weight of queueing time relative to network round-trip time. A request that
	// joins a queue also delays the requests behind it; with a weight of 1, the local queue stays as
	// long as the round trip to the other region. With near replicas asked for 1.2 times their capacity,
	// callers wait 57.0 ms on average at a weight of 1 and 34.6 ms at 6; at 0.8 times 26.2 and 26.3 ms, and
	// 27.5 ms at 10 (TestSimulatedLoadsInTwoRegions).
	queueWeight = 6
)

// InHomes drops endpoints outside the request's home regions.
func InHomes(q *Query, e *Endpoint) bool { return q.Homes.Allows(e.Region) }

// Near is 1 in the node's own zone, sameRegionScore in other zones of its region in a multi-region
// deployment, and 0 elsewhere.
func Near(q *Query, e *Endpoint) float64 {
	switch {
	case e.Zone == q.Zone:
		return 1
	case q.ExtraLatency != nil && q.Region != "" && e.Region == q.Region:
		return sameRegionScore
	}
	return 0
}

// delay estimates the cost of sending a request to an endpoint compared with an idle one in the node's
// own region: the additional round-trip time and the weighted wait for a slot.
func delay(q *Query, e *Endpoint, service time.Duration) time.Duration {
	cost := q.ExtraLatency(e.Zone)
	if ahead := e.Load(q.Now) - e.Slots; ahead >= 0 {
		cost += queueWeight * time.Duration(ahead+1) * service / time.Duration(max(e.Slots, 1))
	}
	return cost
}

// serviceTime estimates how long a request runs from the endpoint with the lowest latency, as higher
// latencies include more queueing time.
func serviceTime(q *Query, candidates []*Endpoint) time.Duration {
	service := time.Duration(0)
	for _, one := range candidates {
		own := one.latency - q.ExtraLatency(one.Zone)
		if one.latency > 0 && own > 0 && (service == 0 || own < service) {
			service = own
		}
	}
	if service == 0 {
		return typicalLatency
	}
	return service
}

// filterByDelay returns the candidates with the lowest expected delay. The node's own region serves
// requests until queueing there costs more than the round trip to another region: with six slots, 25 ms
// per request and a round trip of 40 ms, at 7 requests per endpoint (TestRequestsSpillByExpectedDelay).
func filterByDelay(q *Query, candidates []*Endpoint) []*Endpoint {
	if q.ExtraLatency == nil || len(candidates) == 0 {
		return candidates
	}
	service := serviceTime(q, candidates)
	delays := make([]time.Duration, len(candidates))
	for i, one := range candidates {
		delays[i] = delay(q, one, service)
	}
	bound := slices.Min(delays) + delayTolerance
	var kept []*Endpoint
	for i, one := range candidates {
		if delays[i] <= bound {
			kept = append(kept, one)
		}
	}
	return kept
}

// nearest returns the nearest of equally rated candidates.
func nearest(q *Query, equal []*Endpoint) []*Endpoint {
	if q.ExtraLatency == nil || len(equal) == 0 {
		return equal
	}
	least := q.ExtraLatency(equal[0].Zone)
	for _, one := range equal {
		least = min(least, q.ExtraLatency(one.Zone))
	}
	return slices.DeleteFunc(equal, func(one *Endpoint) bool { return q.ExtraLatency(one.Zone) > least })
}
