package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/process/endpoint"
)

// Some replicas take a third longer per event than others. A model with long texts may be unable to
// complete its steps in time on slow replicas, while a model with short texts is not affected.
// Groups therefore exchange replicas until the models with the longest texts have the fast ones.
const (
	// minLengthRatio is the minimum ratio between the longest texts of two models for an exchange.
	// Lengths are estimates, and reverting an exchange costs loads.
	minLengthRatio = 1.2
	// Exchanges start only while fewer than 1/outdatedDivisor of the service's replicas lack a
	// version that their model's steps accept, as items wait for the others. Each exchange adds
	// two such replicas.
	outdatedDivisor = 8
)

// basePaces holds the fastest pace measured for each replica. Faults and load only slow replicas
// down, so the fastest pace reflects the hardware.
type basePaces map[*endpoint.Endpoint]time.Duration

// update records the current paces of the endpoints.
func (b basePaces) update(now time.Time, endpoints []*endpoint.Endpoint) {
	for _, e := range endpoints {
		if pace := e.Pace(now); pace > 0 && (b[e] == 0 || pace < b[e]) {
			b[e] = pace
		}
	}
}

// removeUnlisted drops endpoints that are no longer listed.
func (b basePaces) removeUnlisted(listed map[*endpoint.Endpoint]bool) {
	for e := range b {
		if !listed[e] {
			delete(b, e)
		}
	}
}

// fastest returns the fastest pace among the endpoints, or 0 if none is known.
func (b basePaces) fastest(endpoints []*endpoint.Endpoint) time.Duration {
	best := time.Duration(0)
	for _, e := range endpoints {
		if pace := b[e]; pace > 0 && (best == 0 || pace < best) {
			best = pace
		}
	}
	return best
}

// groupExchange selects replicas for two groups to exchange.
type groupExchange struct {
	groups  *groups
	members []*endpoint.Endpoint
	targets map[string]int64
	// maxLengths holds the length of each model's longest texts in events, or 0 if unknown.
	maxLengths map[string]int64
	basePaces  basePaces
	// loading holds the IDs of the replicas with a pending order.
	loading map[string]bool
}

// run exchanges replicas between groups. Only replicas that lack their model's newest version and
// are not loading it are exchanged: they would load next anyway, so the exchange costs no extra
// load. Until then, each continues to serve its previous model while that version is accepted.
func (x *groupExchange) run() {
	if x.groups.shared {
		return
	}
	best := x.basePaces.fastest(x.members)
	room := len(x.members)/outdatedDivisor - x.countOutdated()
	for ; best > 0 && room > 0; room -= 2 {
		slow, fast := x.nextPair(best)
		if slow == nil {
			return
		}
		modelOf := x.groups.modelOf
		modelOf[slow.ID], modelOf[fast.ID] = modelOf[fast.ID], modelOf[slow.ID]
	}
}

// countOutdated counts the replicas without a version that their model's steps accept.
func (x *groupExchange) countOutdated() int {
	count := 0
	for _, e := range x.members {
		if model := x.groups.modelOf[e.ID]; x.targets[model]-e.Versions[model] > 1 {
			count++
		}
	}
	return count
}

// nextPair returns a slow replica of the model with the longest texts and a fast replica of the
// model with the shortest texts. It returns nil if no model with slow replicas has clearly longer
// texts than a model with fast ones.
func (x *groupExchange) nextPair(best time.Duration) (slow, fast *endpoint.Endpoint) {
	isFast := func(e *endpoint.Endpoint) bool {
		return x.basePaces[e] > 0 && float64(x.basePaces[e]) <= endpoint.SimilarPaceRatio*float64(best)
	}
	isSlow := func(e *endpoint.Endpoint) bool { return x.basePaces[e] > 0 && !isFast(e) }
	for _, a := range x.modelsByLength(isSlow) {
		for _, b := range slices.Backward(x.modelsByLength(isSlow)) {
			if float64(x.maxLengths[a]) <= minLengthRatio*float64(x.maxLengths[b]) {
				continue
			}
			slow, fast = x.mostOutdated(a, b, isSlow), x.mostOutdated(b, a, isFast)
			if slow != nil && fast != nil {
				return slow, fast
			}
		}
	}
	return nil, nil
}

// modelsByLength returns the models with known lengths, longest texts first, then by number of slow
// replicas.
func (x *groupExchange) modelsByLength(isSlow func(*endpoint.Endpoint) bool) []string {
	slowCounts := map[string]int{}
	for _, e := range x.members {
		if model := x.groups.modelOf[e.ID]; isSlow(e) {
			slowCounts[model]++
		}
	}
	var models []string
	for model, longest := range x.maxLengths {
		if longest > 0 {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(x.maxLengths[b], x.maxLengths[a]), cmp.Compare(slowCounts[b], slowCounts[a]), cmp.Compare(a, b))
	})
	return models
}

// mostOutdated returns the most outdated replica of the given kind in a model's group that also
// holds the other model. It returns nil if all such replicas are up to date or loading.
func (x *groupExchange) mostOutdated(model, other string, kind func(*endpoint.Endpoint) bool) *endpoint.Endpoint {
	var found *endpoint.Endpoint
	for _, e := range x.members {
		_, holds := e.Versions[other]
		if !holds || x.groups.modelOf[e.ID] != model || !kind(e) || x.loading[e.ID] || e.Versions[model] >= x.targets[model] {
			continue
		}
		if found == nil || e.Versions[model] < found.Versions[model] {
			found = e
		}
	}
	return found
}
