package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/process/endpoint"
)

// Replicas differ by nature: some take a third longer for each event. A model whose longest
// texts just end in time at a fast replica ends none of its steps in time with such texts at
// slower ones, while a model of shorter texts loses nothing there. So groups exchange
// replicas until those with the longest texts have the fast ones.
const (
	// alikeLengths is by what factor one model's longest texts exceed another's at the least
	// for it to be given faster replicas: the lengths are learned, and an exchange back would
	// cost loads.
	alikeLengths = 1.2
	// transitPart is the part of a service's replicas, one in so many, that may be without a
	// version that their model's steps can use for an exchange to begin: each adds two.
	transitPart = 8
)

// nature is the least pace seen of each replica: trouble and load make a replica slower for a
// while, nothing makes it faster than it is.
type nature map[*endpoint.Endpoint]time.Duration

// note takes what the node knows of the replicas' paces.
func (n nature) note(now time.Time, endpoints []*endpoint.Endpoint) {
	for _, e := range endpoints {
		if pace := e.Pace(now); pace > 0 && (n[e] == 0 || pace < n[e]) {
			n[e] = pace
		}
	}
}

// forget drops the incarnations that are not listed any more.
func (n nature) forget(listed map[*endpoint.Endpoint]bool) {
	for e := range n {
		if !listed[e] {
			delete(n, e)
		}
	}
}

// best returns the least pace of some replicas, 0 if none is known.
func (n nature) best(endpoints []*endpoint.Endpoint) time.Duration {
	best := time.Duration(0)
	for _, e := range endpoints {
		if pace := n[e]; pace > 0 && (best == 0 || pace < best) {
			best = pace
		}
	}
	return best
}

// exchanges finds the replicas that two groups should exchange.
type exchanges struct {
	groups  *groups
	members []*endpoint.Endpoint
	targets map[string]int64
	// longest is how many events the models' longest texts have, 0 where that is not known.
	longest map[string]int64
	nature  nature
	// ordered are the replicas with an order under way.
	ordered map[string]bool
}

// run lets groups exchange replicas. Only replicas that lack their model's newest version and don't
// load it are exchanged: these would be loaded next anyway, so that an exchange costs no load more. Each
// goes on serving its former model until its version is too old.
func (x *exchanges) run() {
	if x.groups.shared {
		return
	}
	best := x.nature.best(x.members)
	room := len(x.members)/transitPart - x.inTransit()
	for ; best > 0 && room > 0; room -= 2 {
		slow, fast := x.next(best)
		if slow == nil {
			return
		}
		modelOf := x.groups.modelOf
		modelOf[slow.ID], modelOf[fast.ID] = modelOf[fast.ID], modelOf[slow.ID]
	}
}

// inTransit counts the replicas without a version that their model's steps can use.
func (x *exchanges) inTransit() int {
	count := 0
	for _, e := range x.members {
		if model := x.groups.modelOf[e.ID]; x.targets[model]-e.Versions[model] > 1 {
			count++
		}
	}
	return count
}

// next returns a slow replica of the model with the longest texts that has one, and a fast one
// of the model with the shortest that has one; nil if no model's texts are clearly longer than
// those of one with fast replicas.
func (x *exchanges) next(best time.Duration) (slow, fast *endpoint.Endpoint) {
	isFast := func(e *endpoint.Endpoint) bool {
		return x.nature[e] > 0 && float64(x.nature[e]) <= endpoint.SimilarPaceRatio*float64(best)
	}
	isSlow := func(e *endpoint.Endpoint) bool { return x.nature[e] > 0 && !isFast(e) }
	for _, a := range x.byNeed(isSlow) {
		for _, b := range slices.Backward(x.byNeed(isSlow)) {
			if float64(x.longest[a]) <= alikeLengths*float64(x.longest[b]) {
				continue
			}
			slow, fast = x.oldest(a, b, isSlow), x.oldest(b, a, isFast)
			if slow != nil && fast != nil {
				return slow, fast
			}
		}
	}
	return nil, nil
}

// byNeed returns the models whose lengths are known, those with the longest texts first, among
// models alike the one with more slow replicas.
func (x *exchanges) byNeed(isSlow func(*endpoint.Endpoint) bool) []string {
	slows := map[string]int{}
	for _, e := range x.members {
		if model := x.groups.modelOf[e.ID]; isSlow(e) {
			slows[model]++
		}
	}
	var models []string
	for model, longest := range x.longest {
		if longest > 0 {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(x.longest[b], x.longest[a]), cmp.Compare(slows[b], slows[a]), cmp.Compare(a, b))
	})
	return models
}

// oldest returns the replica of one kind of a model's group that is furthest behind, nil if
// all have the newest version or load; it holds the other model too.
func (x *exchanges) oldest(model, other string, kind func(*endpoint.Endpoint) bool) *endpoint.Endpoint {
	var found *endpoint.Endpoint
	for _, e := range x.members {
		_, holds := e.Versions[other]
		if !holds || x.groups.modelOf[e.ID] != model || !kind(e) || x.ordered[e.ID] || e.Versions[model] >= x.targets[model] {
			continue
		}
		if found == nil || e.Versions[model] < found.Versions[model] {
			found = e
		}
	}
	return found
}
