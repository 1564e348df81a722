package rollout

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
)

// exchangeBench has sixteen replicas in two groups of eight, every second of which is slower by
// a third.
func exchangeBench(behind int64) (*groups, []*endpoint.Endpoint, nature, map[string]int64) {
	list := replicas(16, "a", "b")
	g, seen := &groups{modelOf: map[string]string{}}, nature{}
	for i, e := range list {
		g.modelOf[e.ID] = []string{"a", "b"}[i/8]
		seen[e] = 50 * time.Millisecond
		if i%2 == 1 {
			seen[e] = 65 * time.Millisecond
		}
	}
	return g, list, seen, map[string]int64{"a": 1 + behind, "b": 1 + behind}
}

func TestExchange(t *testing.T) {
	for _, c := range []struct {
		name    string
		longest map[string]int64
		behind  int64
		change  func(g *groups, list []*endpoint.Endpoint, seen nature)
		// slow are the slow replicas that the models are left with.
		slowA, slowB int
	}{
		{"the longer texts get the fast ones, few at once", map[string]int64{"a": 160, "b": 90}, 1, nil, 3, 5},
		{"either way", map[string]int64{"a": 90, "b": 160}, 1, nil, 5, 3},
		{"texts alike", map[string]int64{"a": 100, "b": 90}, 1, nil, 4, 4},
		{"lengths of one are not known", map[string]int64{"a": 160}, 1, nil, 4, 4},
		{"all have the newest version: an exchange would cost loads", map[string]int64{"a": 160, "b": 90}, 0, nil, 4, 4},
		{"others are to load before", map[string]int64{"a": 160, "b": 90}, 2, nil, 4, 4},
		{"every replica follows all models", map[string]int64{"a": 160, "b": 90}, 1, func(g *groups, _ []*endpoint.Endpoint, _ nature) {
			g.shared = true
		}, 4, 4},
		{"no pace is known", map[string]int64{"a": 160, "b": 90}, 1, func(_ *groups, _ []*endpoint.Endpoint, seen nature) { clear(seen) }, 0, 0},
		{"a replica without the other model stays", map[string]int64{"a": 160, "b": 90}, 1, func(_ *groups, list []*endpoint.Endpoint, _ nature) {
			for _, e := range list[:8] {
				delete(e.Versions, "b")
			}
		}, 4, 4},
	} {
		g, list, seen, targets := exchangeBench(c.behind)
		if c.change != nil {
			c.change(g, list, seen)
		}
		x := exchanges{groups: g, members: list, targets: targets, longest: c.longest, nature: seen}
		x.run()
		slow := map[string]int{}
		for _, e := range list {
			if seen[e] > 50*time.Millisecond {
				slow[g.modelOf[e.ID]]++
			}
		}
		if slow["a"] != c.slowA || slow["b"] != c.slowB {
			t.Errorf("%s: %v are slow, should be %d and %d", c.name, slow, c.slowA, c.slowB)
		}
		if counts := g.counts(); counts["a"] != 8 || counts["b"] != 8 {
			t.Errorf("%s: groups of %v after an exchange", c.name, counts)
		}
	}
}

// TestExchangeEnds: with every replica loaded in turn, the longer texts get all fast ones, and
// then nothing is exchanged any more.
func TestExchangeEnds(t *testing.T) {
	g, list, seen, targets := exchangeBench(1)
	x := exchanges{groups: g, members: list, targets: targets, longest: map[string]int64{"a": 160, "b": 90}, nature: seen}
	for range 8 {
		x.run()
		for _, e := range list {
			e.Versions[g.modelOf[e.ID]] = targets[g.modelOf[e.ID]]
		}
		targets["a"]++
		targets["b"]++
	}
	for i, e := range list {
		if want := []string{"a", "b"}[i%2]; g.modelOf[e.ID] != want {
			t.Errorf("replica %s follows %s, should follow %s", e.ID, g.modelOf[e.ID], want)
		}
	}
}

// TestNatureIsTheLeastPace: a replica that is slow for a while is not slow by nature.
func TestNatureIsTheLeastPace(t *testing.T) {
	now, list, seen := time.Unix(1000, 0), replicas(2, "a"), nature{}
	list[0].UpdatePace(now, 50*time.Millisecond)
	seen.note(now, list)
	for range 20 {
		list[0].UpdatePace(now, 200*time.Millisecond)
	}
	seen.note(now, list)
	if seen[list[0]] != 50*time.Millisecond || seen[list[1]] != 0 {
		t.Errorf("%v", seen)
	}
	seen.forget(map[*endpoint.Endpoint]bool{list[1]: true})
	if len(seen) != 0 {
		t.Errorf("%v of a replica that is gone", seen)
	}
}

// TestVersionsOfLongTextsGoToFastReplicas: after a few versions the fast replicas have the newest
// of the model with the longest texts.
func TestVersionsOfLongTextsGoToFastReplicas(t *testing.T) {
	b := newBench(16)
	b.longest = map[string]int64{"a": 160, "b": 90}
	for i, e := range b.endpoints {
		e.Versions = map[string]int64{"a": 1, "b": 1}
		b.generators[e.ID].Versions = map[string]int64{"a": 1, "b": 1}
		e.UpdatePace(b.now, []time.Duration{50 * time.Millisecond, 65 * time.Millisecond}[i/2%2])
	}
	const versions = 10
	for version := int64(2); version <= versions; version++ {
		b.rollout.Name(port.VersionTarget{Model: "a", Version: version})
		b.rollout.Name(port.VersionTarget{Model: "b", Version: version})
		b.run(4 * time.Second)
	}
	for i, e := range b.endpoints {
		if fresh := e.Versions["a"] >= versions-1; fresh != (i/2%2 == 0) {
			t.Errorf("replica %s of kind %d has version %d of the long texts' model and %d of the other", e.ID, i/2%2, e.Versions["a"], e.Versions["b"])
		}
	}
}

// TestReplicasThatLoadStay: the load that is under way would be for nothing.
func TestReplicasThatLoadStay(t *testing.T) {
	g, list, seen, targets := exchangeBench(1)
	ordered := map[string]bool{}
	for _, e := range list[:8] {
		ordered[e.ID] = true
	}
	x := exchanges{groups: g, members: list, targets: targets, longest: map[string]int64{"a": 160, "b": 90}, nature: seen, ordered: ordered}
	x.run()
	for i, e := range list {
		if want := []string{"a", "b"}[i/8]; g.modelOf[e.ID] != want {
			t.Errorf("replica %s follows %s, should follow %s", e.ID, g.modelOf[e.ID], want)
		}
	}
}
