package rollout

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
)

// newExchangeTest returns sixteen replicas in two groups of eight. Every second replica is a third
// slower.
func newExchangeTest(behind int64) (*groups, []*endpoint.Endpoint, basePaces, map[string]int64) {
	list := replicas(16, "a", "b")
	g, paces := &groups{modelOf: map[string]string{}}, basePaces{}
	for i, e := range list {
		g.modelOf[e.ID] = []string{"a", "b"}[i/8]
		paces[e] = 50 * time.Millisecond
		if i%2 == 1 {
			paces[e] = 65 * time.Millisecond
		}
	}
	return g, list, paces, map[string]int64{"a": 1 + behind, "b": 1 + behind}
}

func TestExchange(t *testing.T) {
	for _, c := range []struct {
		name    string
		longest map[string]int64
		behind  int64
		change  func(g *groups, list []*endpoint.Endpoint, paces basePaces)
		// slowA and slowB are the numbers of slow replicas that the models end up with.
		slowA, slowB int
	}{
		{"longer texts get fast replicas, a few at a time", map[string]int64{"a": 160, "b": 90}, 1, nil, 3, 5},
		{"models swapped", map[string]int64{"a": 90, "b": 160}, 1, nil, 5, 3},
		{"similar lengths", map[string]int64{"a": 100, "b": 90}, 1, nil, 4, 4},
		{"one length unknown", map[string]int64{"a": 160}, 1, nil, 4, 4},
		{"all replicas up to date", map[string]int64{"a": 160, "b": 90}, 0, nil, 4, 4},
		{"too many outdated replicas", map[string]int64{"a": 160, "b": 90}, 2, nil, 4, 4},
		{"every replica follows all models", map[string]int64{"a": 160, "b": 90}, 1, func(g *groups, _ []*endpoint.Endpoint, _ basePaces) {
			g.shared = true
		}, 4, 4},
		{"no paces known", map[string]int64{"a": 160, "b": 90}, 1, func(_ *groups, _ []*endpoint.Endpoint, paces basePaces) { clear(paces) }, 0, 0},
		{"a replica without the other model stays", map[string]int64{"a": 160, "b": 90}, 1, func(_ *groups, list []*endpoint.Endpoint, _ basePaces) {
			for _, e := range list[:8] {
				delete(e.Versions, "b")
			}
		}, 4, 4},
	} {
		g, list, paces, targets := newExchangeTest(c.behind)
		if c.change != nil {
			c.change(g, list, paces)
		}
		x := groupExchange{groups: g, members: list, targets: targets, maxLengths: c.longest, basePaces: paces}
		x.run()
		slow := map[string]int{}
		for _, e := range list {
			if paces[e] > 50*time.Millisecond {
				slow[g.modelOf[e.ID]]++
			}
		}
		if slow["a"] != c.slowA || slow["b"] != c.slowB {
			t.Errorf("%s: slow replicas %v, want %d and %d", c.name, slow, c.slowA, c.slowB)
		}
		if counts := g.counts(); counts["a"] != 8 || counts["b"] != 8 {
			t.Errorf("%s: group sizes %v after the exchange", c.name, counts)
		}
	}
}

// TestExchangeConverges checks that the model with longer texts ends up with all fast replicas, and
// that exchanges then stop.
func TestExchangeConverges(t *testing.T) {
	g, list, paces, targets := newExchangeTest(1)
	x := groupExchange{groups: g, members: list, targets: targets, maxLengths: map[string]int64{"a": 160, "b": 90}, basePaces: paces}
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
			t.Errorf("replica %s follows %s, want %s", e.ID, g.modelOf[e.ID], want)
		}
	}
}

// TestBasePaceIsFastestPace checks that a temporary slowdown does not change a replica's base pace.
func TestBasePaceIsFastestPace(t *testing.T) {
	now, list, paces := time.Unix(1000, 0), replicas(2, "a"), basePaces{}
	list[0].UpdatePace(now, 50*time.Millisecond)
	paces.update(now, list)
	for range 20 {
		list[0].UpdatePace(now, 200*time.Millisecond)
	}
	paces.update(now, list)
	if paces[list[0]] != 50*time.Millisecond || paces[list[1]] != 0 {
		t.Errorf("base paces %v", paces)
	}
	paces.removeUnlisted(map[*endpoint.Endpoint]bool{list[1]: true})
	if len(paces) != 0 {
		t.Errorf("base paces %v for an unlisted replica", paces)
	}
}

// TestVersionsOfLongTextsGoToFastReplicas checks that the fast replicas end up with the newest
// version of the model with the longest texts.
func TestVersionsOfLongTextsGoToFastReplicas(t *testing.T) {
	b := newTestBench(16)
	b.longest = map[string]int64{"a": 160, "b": 90}
	for i, e := range b.endpoints {
		e.Versions = map[string]int64{"a": 1, "b": 1}
		b.generators[e.ID].Versions = map[string]int64{"a": 1, "b": 1}
		e.UpdatePace(b.now, []time.Duration{50 * time.Millisecond, 65 * time.Millisecond}[i/2%2])
	}
	const versions = 10
	for version := int64(2); version <= versions; version++ {
		b.rollout.SetTarget(port.VersionTarget{Model: "a", Version: version})
		b.rollout.SetTarget(port.VersionTarget{Model: "b", Version: version})
		b.run(4 * time.Second)
	}
	for i, e := range b.endpoints {
		if fresh := e.Versions["a"] >= versions-1; fresh != (i/2%2 == 0) {
			t.Errorf("replica %s (slow: %d) has version %d of the model with long texts and %d of the other", e.ID, i/2%2, e.Versions["a"], e.Versions["b"])
		}
	}
}

// TestLoadingReplicasAreNotExchanged checks that replicas with a pending order are not exchanged.
func TestLoadingReplicasAreNotExchanged(t *testing.T) {
	g, list, paces, targets := newExchangeTest(1)
	ordered := map[string]bool{}
	for _, e := range list[:8] {
		ordered[e.ID] = true
	}
	x := groupExchange{groups: g, members: list, targets: targets, maxLengths: map[string]int64{"a": 160, "b": 90}, basePaces: paces, loading: ordered}
	x.run()
	for i, e := range list {
		if want := []string{"a", "b"}[i/8]; g.modelOf[e.ID] != want {
			t.Errorf("replica %s follows %s, want %s", e.ID, g.modelOf[e.ID], want)
		}
	}
}
