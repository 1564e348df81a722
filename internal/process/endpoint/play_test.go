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
	playedService = 25 * time.Millisecond
	playedFor     = 20 * time.Second
	// playedPerSecond is what one replica of six slots serves at most: 240 requests a second.
	playedSlots     = 6
	playedPerSecond = float64(playedSlots) * float64(time.Second) / float64(playedService)
)

// playedReplica serves requests in the order of their arrival.
type playedReplica struct {
	*Endpoint
	// free is when each slot is free again.
	free [playedSlots]time.Time
}

// serve takes a request that is sent now and returns when its answer is back. Others hold so many slots
// all the while: each that they have is free again within the time of a request.
func (r *playedReplica) serve(at time.Time, others int, random *rand.Rand) time.Time {
	half := away(r.Zone) / 2
	for i := range others {
		if r.free[i].Before(at.Add(half)) {
			r.free[i] = at.Add(half).Add(time.Duration(random.Int64N(int64(playedService))))
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
	r.free[slot] = begins.Add(playedService)
	return r.free[slot].Add(half)
}

// playedLoad is what callers in the north ask, in parts of what its three replicas bear, and what
// others have at the replicas of the south all the while, in slots each.
type playedLoad struct {
	north  float64
	others int
}

// play has one node in the north send requests that arrive at random, and returns the mean time and the
// longest but for one in a hundred that callers wait.
func play(load playedLoad, choose func(list []*Endpoint, q *Query) *Endpoint) (mean, slowest time.Duration) {
	random := rand.New(rand.NewPCG(1, 1))
	replicas := map[string]*playedReplica{}
	list := fleet(0, 0)
	others := map[string]int{"south": load.others}
	for _, e := range list {
		replicas[e.ID] = &playedReplica{Endpoint: e}
	}
	type answer struct {
		at   time.Time
		from *Endpoint
		took time.Duration
	}
	var open []answer
	var took []time.Duration
	rate := load.north * 3 * playedPerSecond
	at := now
	for number := uint64(0); at.Sub(now) < playedFor; number++ {
		at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		open = slices.DeleteFunc(open, func(one answer) bool {
			if one.at.After(at) {
				return false
			}
			one.from.InFlight--
			one.from.Succeeded(one.took)
			return true
		})
		query := inNorth()
		query.Now, query.Rotation = at, number
		for _, e := range list {
			e.LearnLoad(at, others[e.Region]+e.InFlight, 0)
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

// byRegionWeight is the plain preference that the choice by time is compared with: the scorers with a
// weight for the own region.
func byRegionWeight(weight float64) func(list []*Endpoint, q *Query) *Endpoint {
	own := func(q *Query, e *Endpoint) float64 {
		if e.Region == q.Region {
			return 1
		}
		return 0
	}
	profile := Profile{filters: Requests.filters, scorers: append(slices.Clone(Requests.scorers), weightedScorer{own, weight})}
	return func(list []*Endpoint, q *Query) *Endpoint { return profile.Pick(q, list) }
}

// TestPlayedLoadsOverTwoRegions plays loads and compares what callers get: with the choice by time, with
// the choice that knows no regions, as before, and with two weights for the own region.
func TestPlayedLoadsOverTwoRegions(t *testing.T) {
	ways := map[string]func(list []*Endpoint, q *Query) *Endpoint{
		"by time": func(list []*Endpoint, q *Query) *Endpoint { return Requests.Pick(q, list) },
		"before": func(list []*Endpoint, q *Query) *Endpoint {
			q.Away = nil
			return Requests.Pick(q, list)
		},
		"weight 1": byRegionWeight(1), "weight 10": byRegionWeight(10),
	}
	for _, load := range []playedLoad{{0.3, 0}, {0.8, 0}, {1.2, 0}, {1.6, 0}, {0.8, 6}, {1.2, 4}} {
		means := map[string]time.Duration{}
		for name, way := range ways {
			mean, slowest := play(load, way)
			means[name] = mean
			t.Logf("north at %.1f, %d slots of the south taken, %s: mean %.1f ms, 99 of 100 below %.1f ms", load.north, load.others, name,
				float64(mean.Microseconds())/1000, float64(slowest.Microseconds())/1000)
		}
		best := time.Duration(math.MaxInt64)
		for _, mean := range means {
			best = min(best, mean)
		}
		if float64(means["by time"]) > 1.05*float64(best) {
			t.Errorf("%+v: by time %s, the best way %s", load, means["by time"], best)
		}
	}
}
