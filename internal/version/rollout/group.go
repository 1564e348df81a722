package rollout

import (
	"cmp"
	"math"
	"slices"

	"github.com/doorstep/doorstep/internal/process/endpoint"
)

const (
	// evenFraction is the fraction of a service's replicas that is split evenly among its models.
	// The rest is split by demand.
	evenFraction = 0.3
	// groupSlack is the difference from its target size that a group must reach before replicas are
	// moved. Each move costs a load.
	groupSlack = 1
	// minGroupSize is the minimum number of replicas per group. With fewer, every replica follows
	// all models, because losing a replica of a small group costs more than the additional loads.
	minGroupSize = 6
)

// groups assigns each replica of a service to one model. A replica only loads versions of its
// assigned model: loads are slow and only a few run concurrently, so replicas that followed every
// model would spend their time loading.
//
// The assignment is not persisted. A new lease holder reconstructs nearly the same one by assigning
// each replica to the model that it is least behind in.
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

// member is a replica and the number of versions it is behind.
type member struct {
	endpoint *endpoint.Endpoint
	behind   int64
}

// assign updates the groups of one service. targets holds each model's newest version, demand the
// number of tokens that its trainers recently requested.
func (g *groups) assign(endpoints []*endpoint.Endpoint, targets, demand map[string]int64) {
	if g.modelOf == nil {
		g.modelOf = map[string]string{}
	}
	models := trainedModels(endpoints, targets, demand)
	g.shared = len(endpoints) < minGroupSize*len(models)
	if len(models) == 0 || g.shared {
		return
	}
	sizes := groupSizes(len(endpoints), models, demand)
	counts := g.assignMissing(endpoints, models, targets, sizes)
	g.balance(endpoints, models, targets, sizes, counts)
}

// assignEvacuated assigns replicas in evacuated zones, which do not count as capacity. They keep
// their model and are not moved to balance the groups, so that they rejoin the same group.
func (g *groups) assignEvacuated(endpoints []*endpoint.Endpoint, targets, demand map[string]int64) {
	models := trainedModels(endpoints, targets, demand)
	if len(models) == 0 || g.shared {
		return
	}
	g.assignMissing(endpoints, models, targets, groupSizes(len(endpoints), models, demand))
}

// assignMissing assigns a model to each replica that has none and returns the number of replicas
// per model.
func (g *groups) assignMissing(endpoints []*endpoint.Endpoint, models []string, targets map[string]int64, sizes map[string]int) map[string]int {
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
		model := leastBehindModel(e, models, targets, sizes, counts)
		g.modelOf[e.ID] = model
		counts[model]++
	}
	return counts
}

// removeUnlisted drops replicas that are no longer listed.
func (g *groups) removeUnlisted(listed map[string]bool) {
	for id := range g.modelOf {
		if !listed[id] {
			delete(g.modelOf, id)
		}
	}
}

// balance moves replicas from groups above their target size to groups below it.
func (g *groups) balance(endpoints []*endpoint.Endpoint, models []string, targets map[string]int64, sizes, counts map[string]int) {
	for range endpoints {
		from := slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(counts[a]-sizes[a], counts[b]-sizes[b]) })
		to := slices.MinFunc(models, func(a, b string) int { return cmp.Compare(counts[a]-sizes[a], counts[b]-sizes[b]) })
		if counts[from]-sizes[from] < groupSlack || counts[to]-sizes[to] > -groupSlack {
			return
		}
		replica := g.mostOutdated(endpoints, from, to, targets)
		if replica == nil {
			return
		}
		g.modelOf[replica.ID] = to
		counts[from]--
		counts[to]++
	}
}

// mostOutdated returns the most outdated replica of a group that also holds the model to, or nil if
// there is none.
func (g *groups) mostOutdated(endpoints []*endpoint.Endpoint, from, to string, targets map[string]int64) *endpoint.Endpoint {
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

// trainedModels returns the sorted names of the models in training.
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

// groupSizes splits n replicas among the models by demand. The sizes add up to n.
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
			weight = evenFraction*weight + (1-evenFraction)*float64(demand[model])/float64(total)
		}
		share += weight * float64(n)
		upTo := int(math.Round(share))
		sizes[model] = upTo - before
		before = upTo
	}
	return sizes
}

// leastBehindModel returns the model that a replica is the fewest versions behind in. Ties go to
// the model whose group is furthest below its target size.
func leastBehindModel(e *endpoint.Endpoint, models []string, targets map[string]int64, sizes, counts map[string]int) string {
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
