package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/doorstep/doorstep/internal/process/endpoint"
)

const (
	// evenPart is the part of a service's replicas that is dealt evenly to its models;
	// the rest follows demand.
	evenPart = 0.3
	// groupSlack is by how many replicas a group may exceed its share before one is
	// moved: a move costs a load.
	groupSlack = 1
	// leastGroup is how many replicas a group must have at the least; where there are
	// fewer, every replica follows all models: a small group that loses a replica lacks
	// more than loads cost.
	leastGroup = 6
)

// groups assigns each replica of a service to one model. A replica loads the versions
// of its own model only: loads are slow and few run at a time, so that replicas which
// followed every model would spend their time loading.
//
// The assignment is kept in memory alone. A new lease holder finds nearly the same one
// again, as it starts from the model that a replica is least behind in.
type groups struct {
	modelOf map[string]string
	// shared is set while every replica follows all models.
	shared bool
}

// follows reports whether a replica loads the versions of a model.
func (g *groups) follows(e *endpoint.Endpoint, model string) bool {
	_, holds := e.Versions[model]
	return holds && (g.shared || g.modelOf[e.ID] == model)
}

// member is a replica with its distance to a model's newest version.
type member struct {
	endpoint *endpoint.Endpoint
	behind   int64
}

// assign updates the groups of one service. targets holds each model's newest version,
// demand the tokens that its trainers asked for lately.
func (g *groups) assign(endpoints []*endpoint.Endpoint, targets, demand map[string]int64) {
	if g.modelOf == nil {
		g.modelOf = map[string]string{}
	}
	models := trainedModels(endpoints, targets, demand)
	g.shared = len(endpoints) < leastGroup*len(models)
	if len(models) == 0 || g.shared {
		return
	}
	sizes := groupSizes(len(endpoints), models, demand)
	counts := g.fill(endpoints, models, targets, sizes)
	g.balance(endpoints, models, targets, sizes, counts)
}

// join gives replicas a model that are no capacity for now, those of evacuated zones. They keep the
// one that they have, and none is moved for the balance: they come back to where they were.
func (g *groups) join(endpoints []*endpoint.Endpoint, targets, demand map[string]int64) {
	models := trainedModels(endpoints, targets, demand)
	if len(models) == 0 || g.shared {
		return
	}
	g.fill(endpoints, models, targets, groupSizes(len(endpoints), models, demand))
}

// fill gives each replica a model that has none, and returns how many each model has.
func (g *groups) fill(endpoints []*endpoint.Endpoint, models []string, targets map[string]int64, sizes map[string]int) map[string]int {
	counts := map[string]int{}
	var unassigned []*endpoint.Endpoint
	for _, e := range endpoints {
		model := g.modelOf[e.ID]
		if _, holds := e.Versions[model]; !holds || !slices.Contains(models, model) {
			unassigned = append(unassigned, e)
			continue
		}
		counts[model]++
	}
	for _, e := range unassigned {
		model := nearestModel(e, models, targets, sizes, counts)
		g.modelOf[e.ID] = model
		counts[model]++
	}
	return counts
}

// forget drops the replicas that are not listed any more.
func (g *groups) forget(listed map[string]bool) {
	for id := range g.modelOf {
		if !listed[id] {
			delete(g.modelOf, id)
		}
	}
}

// balance moves replicas from groups that are too large to those that lack some.
func (g *groups) balance(endpoints []*endpoint.Endpoint, models []string, targets map[string]int64, sizes, counts map[string]int) {
	for range endpoints {
		from := slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(counts[a]-sizes[a], counts[b]-sizes[b]) })
		to := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(counts[a]-sizes[a], counts[b]-sizes[b]) })
		if counts[from]-sizes[from] < groupSlack || counts[to]-sizes[to] > -groupSlack {
			return
		}
		moved := g.dispensable(endpoints, from, to, targets)
		if moved == nil {
			return
		}
		g.modelOf[moved.ID] = to
		counts[from]--
		counts[to]++
	}
}

// dispensable returns the replica of a group whose weights are oldest, nil when none
// holds the model that it is wanted for.
func (g *groups) dispensable(endpoints []*endpoint.Endpoint, from, to string, targets map[string]int64) *endpoint.Endpoint {
	var best *member
	for _, e := range endpoints {
		if _, holds := e.Versions[to]; !holds || g.modelOf[e.ID] != from {
			continue
		}
		if behind := targets[from] - e.Versions[from]; best == nil || behind > best.behind {
			best = &member{endpoint: e, behind: behind}
		}
	}
	if best == nil {
		return nil
	}
	return best.endpoint
}

// trainedModels lists the models of a service that are trained, in order.
func trainedModels(endpoints []*endpoint.Endpoint, targets, demand map[string]int64) []string {
	var models []string
	for _, e := range endpoints {
		for model := range e.Versions {
			if (targets[model] > 0 || demand[model] > 0) && !slices.Contains(models, model) {
				models = append(models, model)
			}
		}
	}
	slices.Sort(models)
	return models
}

// groupSizes splits n replicas over the models by demand; the sizes add up to n.
func groupSizes(n int, models []string, demand map[string]int64) map[string]int {
	total := int64(0)
	for _, model := range models {
		total += demand[model]
	}
	sizes := map[string]int{}
	before, share := 0, 0.0
	for _, model := range models {
		weight := 1 / float64(len(models))
		if total > 0 {
			weight = evenPart*weight + (1-evenPart)*float64(demand[model])/float64(total)
		}
		share += weight * float64(n)
		upTo := int(math.Round(share))
		sizes[model] = upTo - before
		before = upTo
	}
	return sizes
}

// nearestModel returns the model that a replica is least behind in; among equals the
// one whose group lacks most.
func nearestModel(e *endpoint.Endpoint, models []string, targets map[string]int64, sizes, counts map[string]int) string {
	held := slices.DeleteFunc(slices.Clone(models), func(model string) bool {
		_, holds := e.Versions[model]
		return !holds
	})
	if len(held) == 0 {
		return ""
	}
	return slices.MinFunc(held, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(targets[a]-e.Versions[a], targets[b]-e.Versions[b]),
			cmp.Compare(counts[a]-sizes[a], counts[b]-sizes[b]),
		)
	})
}
