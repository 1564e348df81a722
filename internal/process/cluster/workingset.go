package cluster

import (
	"math"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/process/endpoint"
)

const (
	// spareSlots is by how much the slots of a model's replicas exceed the items of its jobs that may run
	// at once: one replica in five may be lost, or lie in an evacuated zone. Each one more is loaded at
	// every second version, at the price of two connections and an order.
	spareSlots = 1.25
	// leastReplicas is how many replicas a model has at the least, also while nothing is known of its
	// jobs: more than the six below which replicas follow all models.
	leastReplicas = 12
	// needsEvery paces the look at the jobs for what models need.
	needsEvery = time.Second
)

// modelNeeds is what models need of a service, as of takenAt.
type modelNeeds struct {
	byModel map[string]endpoint.Demand
	takenAt time.Time
}

// workingSet returns the replicas that are to have the versions of models. In a large service these are as
// many as the models' items need, whatever its size: 534 for six trainers with 208 items every 4 s
// (TestWorkingSetGrowsWithTheWork). While all replicas were dealt, half of a sixth of 9,625, or 802, loaded
// each version.
func (n *Node) workingSet(now time.Time, models []string) []*endpoint.Endpoint {
	if n.routes == nil {
		return nil
	}
	n.takeNeeds(now, models)
	var list []*endpoint.Endpoint
	for _, service := range n.routes.Services() {
		if pool := n.endpoints.Pool(service.Name); pool != nil {
			list = append(list, pool.WorkingSet(n.needs.byModel)...)
		}
	}
	return list
}

// takeNeeds takes from the jobs of late what models need, now and then.
func (n *Node) takeNeeds(now time.Time, models []string) {
	unknown := func(model string) bool { _, known := n.needs.byModel[model]; return !known }
	if now.Sub(n.needs.takenAt) < needsEvery && !slices.ContainsFunc(models, unknown) {
		return
	}
	items := n.jobs.ItemsAtOnce(now)
	n.needs = modelNeeds{byModel: make(map[string]endpoint.Demand, len(models)), takenAt: now}
	for _, model := range models {
		n.needs.byModel[model] = endpoint.Demand{Endpoints: leastReplicas}
	}
	for model, count := range items {
		n.needs.byModel[model] = endpoint.Demand{Slots: int(math.Ceil(spareSlots * float64(count))), Endpoints: leastReplicas}
	}
}
