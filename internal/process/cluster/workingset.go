package cluster

import (
	"math"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/process/endpoint"
)

const (
	// slotHeadroom is the ratio of a model's slots to its concurrently running items. It tolerates the
	// loss of one replica in five, or an evacuated zone. Each further replica costs a load at every second
	// version, two connections and an order.
	slotHeadroom = 1.25
	// minReplicas is the minimum number of replicas of a model, also used while nothing is known of its jobs.
	// It exceeds the threshold of six below which replicas load all models.
	minReplicas = 12
	// needsInterval is the time between two updates of the models' needs.
	needsInterval = time.Second
)

// modelNeeds holds the replicas that each model needs, as of computedAt.
type modelNeeds struct {
	byModel    map[string]endpoint.Demand
	computedAt time.Time
}

// resultTime returns the longest time that a batch job has for its results, 0 if unlimited or unknown.
func (n *Node) resultTime() time.Duration {
	if n.routes == nil {
		return 0
	}
	return n.routes.ResultTime()
}

// workingSet returns the replicas that should load the versions of models. Its size depends on the
// models' running items and not on the size of the service.
func (n *Node) workingSet(now time.Time, models []string) []*endpoint.Endpoint {
	if n.routes == nil {
		return nil
	}
	n.refreshNeeds(now, models)
	var list []*endpoint.Endpoint
	for _, service := range n.routes.Services() {
		if pool := n.endpoints.Pool(service.Name); pool != nil {
			list = append(list, pool.WorkingSet(n.needs.byModel)...)
		}
	}
	return list
}

// refreshNeeds recomputes the models' needs if they are out of date or lack a model.
func (n *Node) refreshNeeds(now time.Time, models []string) {
	unknown := func(model string) bool { _, known := n.needs.byModel[model]; return !known }
	if now.Sub(n.needs.computedAt) < needsInterval && !slices.ContainsFunc(models, unknown) {
		return
	}
	items := n.jobs.PeakItems(now)
	n.needs = modelNeeds{byModel: make(map[string]endpoint.Demand, len(models)), computedAt: now}
	for _, model := range models {
		n.needs.byModel[model] = endpoint.Demand{Endpoints: minReplicas}
	}
	for model, count := range items {
		n.needs.byModel[model] = endpoint.Demand{Slots: int(math.Ceil(slotHeadroom * float64(count))), Endpoints: minReplicas}
	}
}
