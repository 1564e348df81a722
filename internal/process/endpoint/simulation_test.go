package endpoint

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simulatedServiceTime = 25 * time.Millisecond
	simulatedDuration    = 20 * time.Second
	// simulatedRate is the capacity of one replica in requests per second.
	simulatedSlots = 6
	simulatedRate  = float64(simulatedSlots) * float64(time.Second) / float64(simulatedServiceTime)
)

// simulatedReplica serves requests in order of arrival.
type simulatedReplica struct {
	*Endpoint
	// free is when each slot becomes free.
	free [simulatedSlots]time.Time
}

// serve simulates a request sent at a given time and returns when its answer arrives. Other clients
// continuously occupy the given number of slots.
func (r *simulatedReplica) serve(at time.Time, others int, random *rand.Rand) time.Time {
	half := testExtraLatency(r.Zone) / 2
	for i := range others {
		if r.free[i].Before(at.Add(half)) {
			r.free[i] = at.Add(half).Add(time.Duration(random.Int64N(int64(simulatedServiceTime))))
		}
	}
	slot := 0
	for i := range r.free {
		if r.free[i].Before(r.free[slot]) {
			slot = i
		}
	}
	begins := at.Add(half)
	if r.free[slot].After(begins) {
		begins = r.free[slot]
	}
	r.free[slot] = begins.Add(simulatedServiceTime)
	return r.free[slot].Add(half)
}

// simulatedLoad is the load of the callers in the north as a fraction of the capacity of its three
// replicas, and the number of slots that other clients occupy on each replica in the south.
type simulatedLoad struct {
	north  float64
	others int
}

// simulate sends requests with random arrival times from one node in the north and returns their mean
// and 99th-percentile latency.
func simulate(load simulatedLoad, choose func(list []*Endpoint, q *Query) *Endpoint) (mean, p99 time.Duration) {
	random := rand.New(rand.NewPCG(1, 1))
	replicas := map[string]*simulatedReplica{}
	list := twoRegions(0, 0)
	others := map[string]int{"south": load.others}
	for _, e := range list {
		replicas[e.ID] = &simulatedReplica{Endpoint: e}
	}
	type answer struct {
		at   time.Time
		from *Endpoint
		took time.Duration
	}
	var open []answer
	var took []time.Duration
	rate := load.north * 3 * simulatedRate
	at := now
	for number := uint64(0); at.Sub(now) < simulatedDuration; number++ {
		at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		open = slices.DeleteFunc(open, func(one answer) bool {
			if one.at.After(at) {
				return false
			}
			one.from.InFlight--
			one.from.RecordSuccess(one.took)
			return true
		})
		query := northQuery()
		query.Now, query.Rotation = at, number
		for _, e := range list {
			e.UpdateLoad(at, others[e.Region]+e.InFlight, 0)
		}
		chosen := choose(list, query)
		back := replicas[chosen.ID].serve(at, others[chosen.Region], random)
		chosen.InFlight++
		open = append(open, answer{back, chosen, back.Sub(at)})
		took = append(took, back.Sub(at))
	}
	slices.SortFunc(took, cmp.Compare[time.Duration])
	sum := time.Duration(0)
	for _, one := range took {
		sum += one
	}
	return sum / time.Duration(len(took)), took[len(took)*99/100]
}

// pickByRegionWeight selects with a weighted preference for the node's own region, as a baseline.
func pickByRegionWeight(weight float64) func(list []*Endpoint, q *Query) *Endpoint {
	own := func(q *Query, e *Endpoint) float64 {
		if e.Region == q.Region {
			return 1
		}
		return 0
	}
	profile := Profile{filters: Requests.filters, scorers: append(slices.Clone(Requests.scorers), weightedScorer{own, weight})}
	return func(list []*Endpoint, q *Query) *Endpoint { return profile.Pick(q, list) }
}

// TestSimulatedLoadsInTwoRegions compares the mean latency of selection by delay with selection that
// ignores regions and with two region weights.
func TestSimulatedLoadsInTwoRegions(t *testing.T) {
	strategies := map[string]func(list []*Endpoint, q *Query) *Endpoint{
		"by delay": func(list []*Endpoint, q *Query) *Endpoint { return Requests.Pick(q, list) },
		"ignoring regions": func(list []*Endpoint, q *Query) *Endpoint {
			q.ExtraLatency = nil
			return Requests.Pick(q, list)
		},
		"weight 1": pickByRegionWeight(1), "weight 10": pickByRegionWeight(10),
	}
	for _, load := range []simulatedLoad{{0.3, 0}, {0.8, 0}, {1.2, 0}, {1.6, 0}, {0.8, 6}, {1.2, 4}} {
		means := map[string]time.Duration{}
		for name, choose := range strategies {
			mean, slowest := simulate(load, choose)
			means[name] = mean
			t.Logf("north load %.1f, %d slots taken in the south, %s: mean %.1f ms, p99 %.1f ms", load.north, load.others, name,
				float64(mean.Microseconds())/1000, float64(slowest.Microseconds())/1000)
		}
		best := time.Duration(math.MaxInt64)
		for _, mean := range means {
			best = min(best, mean)
		}
		if float64(means["by delay"]) > 1.05*float64(best) {
			t.Errorf("%+v: mean %s by delay, %s with the best strategy", load, means["by delay"], best)
		}
	}
}
