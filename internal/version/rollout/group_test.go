package rollout

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
)

func replicas(n int, models ...string) []*endpoint.Endpoint {
	var list []*endpoint.Endpoint
	for i := range n {
		versions := map[string]int64{}
		for _, model := range models {
			versions[model] = 1
		}
		list = append(list, &endpoint.Endpoint{ReplicaRecord: port.ReplicaRecord{ID: fmt.Sprintf("r%02d", i), Versions: versions}})
	}
	return list
}

func (g *groups) counts() map[string]int {
	counts := map[string]int{}
	for _, model := range g.modelOf {
		counts[model]++
	}
	return counts
}

func TestGroupsFollowDemand(t *testing.T) {
	for _, c := range []struct {
		name    string
		n       int
		targets map[string]int64
		demand  map[string]int64
		want    map[string]int
	}{
		{"one model gets all replicas", 9, map[string]int64{"a": 2}, nil, map[string]int{"a": 9}},
		{"an untrained model gets no replicas", 13, map[string]int64{"a": 2, "b": 2}, nil, map[string]int{"a": 7, "b": 6}},
		{"too few for groups", 2*minGroupSize - 1, map[string]int64{"a": 2, "b": 2}, nil, map[string]int{}},
		{"equal demand", 45, map[string]int64{"a": 2}, map[string]int64{"a": 5, "b": 5, "c": 5}, map[string]int{"a": 15, "b": 15, "c": 15}},
		{"double demand", 40, map[string]int64{"a": 2}, map[string]int64{"a": 10, "b": 5, "c": 5}, map[string]int{"a": 18, "b": 11, "c": 11}},
		{"no models in training", 5, nil, nil, map[string]int{}},
	} {
		var g groups
		g.assign(replicas(c.n, "a", "b", "c"), c.targets, c.demand)
		if got := g.counts(); !maps.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestGroupsStableWhenReplicasRemoved(t *testing.T) {
	list := replicas(30, "a", "b", "c")
	targets := map[string]int64{"a": 2, "b": 2, "c": 2}
	var g groups
	g.assign(list, targets, nil)
	before := maps.Clone(g.modelOf)
	gone := list[:3]
	left := list[3:]
	listed := map[string]bool{}
	for _, e := range left {
		listed[e.ID] = true
	}
	g.removeUnlisted(listed)
	g.assign(left, targets, nil)
	moved := 0
	for id, model := range g.modelOf {
		if before[id] != model {
			moved++
		}
	}
	if moved > len(gone) {
		t.Errorf("%d of %d replicas changed group when %d were removed", moved, len(left), len(gone))
	}
}

func TestNewHolderReconstructsGroups(t *testing.T) {
	list := replicas(30, "a", "b", "c")
	targets := map[string]int64{"a": 7, "b": 5, "c": 9}
	var first groups
	first.assign(list, targets, nil)
	for i, e := range list {
		model := first.modelOf[e.ID]
		e.Versions[model] = targets[model] - int64(i%2)
	}
	var second groups
	second.assign(list, targets, nil)
	for id, model := range first.modelOf {
		if second.modelOf[id] != model {
			t.Errorf("replica %s moved from group %s to %s", id, model, second.modelOf[id])
		}
	}
}

func TestGroupSizesAddUp(t *testing.T) {
	models := []string{"a", "b", "c", "d"}
	for n := range 60 {
		sizes := groupSizes(n, models, map[string]int64{"a": 1, "b": 7, "c": 100})
		total := 0
		for _, size := range sizes {
			total += size
		}
		if total != n || slices.Min(slices.Collect(maps.Values(sizes))) < 0 {
			t.Errorf("%d replicas are split as %v", n, sizes)
		}
	}
}
