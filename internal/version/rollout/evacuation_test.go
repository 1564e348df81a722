package rollout

import (
	"maps"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
)

// TestVersionsReachEvacuatedReplicas checks that evacuated replicas stay at most one version
// behind, and that serving replicas load first.
func TestVersionsReachEvacuatedReplicas(t *testing.T) {
	b := newTestBench(24)
	for _, e := range b.endpoints[:8] {
		e.Evacuated = true
	}
	b.run(time.Second)
	for version := int64(2); version <= 5; version++ {
		b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: version})
		b.run(6 * time.Second)
		serving := 0
		for _, e := range b.endpoints[8:] {
			if b.generators[e.ID].Version(b.now, "m") == version {
				serving++
			}
		}
		// Half of the serving replicas have the newest version, regardless of the evacuated ones.
		if serving < 8 {
			t.Errorf("6 s after version %d, %d of 16 serving replicas have it", version, serving)
		}
		for _, e := range b.endpoints {
			if got := b.generators[e.ID].Version(b.now, "m"); got < version-1 {
				t.Errorf("6 s after version %d, %s has %d", version, e.ID, got)
			}
		}
	}
}

// TestServingReplicasLoadFirst checks that the first orders go to serving replicas.
func TestServingReplicasLoadFirst(t *testing.T) {
	b := newTestBench(8)
	for _, e := range b.endpoints[:4] {
		e.Evacuated = true
	}
	b.run(time.Second)
	b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 4})
	b.run(500 * time.Millisecond)
	if len(b.sent) == 0 {
		t.Fatal("no order was sent")
	}
	for _, order := range b.sent {
		for _, e := range b.endpoints[:4] {
			if order.Order.Replica == e.ID {
				t.Errorf("%s is ordered to load before serving replicas", e.ID)
			}
		}
	}
}

// TestEvacuatedReplicasDoNotCountAsCapacity checks that groups are balanced among the serving
// replicas alone, and that evacuated replicas keep their model.
func TestEvacuatedReplicasDoNotCountAsCapacity(t *testing.T) {
	list := replicas(40, "a", "b")
	targets := map[string]int64{"a": 2, "b": 2}
	var g groups
	for i, e := range list {
		e.Versions["a"], e.Versions["b"] = 1, 1
		if i < 20 {
			e.Versions["a"] = 2
		} else {
			e.Versions["b"] = 2
		}
	}
	g.assign(list, targets, nil)
	before := maps.Clone(g.modelOf)
	for _, e := range list[:16] {
		e.Evacuated = true
	}
	serving, evacuated := filterWithheld(list, endpoint.Schedulable), filterWithheld(list, endpoint.UnschedulableEvacuated)
	g.assign(serving, targets, nil)
	g.assignEvacuated(evacuated, targets, nil)
	counts := map[string]int{}
	for _, e := range serving {
		counts[g.modelOf[e.ID]]++
	}
	if counts["a"] != 12 || counts["b"] != 12 {
		t.Errorf("serving replicas are assigned %v", counts)
	}
	for _, e := range evacuated {
		if g.modelOf[e.ID] != before[e.ID] {
			t.Errorf("%s moved from %s to %s while its zone was evacuated", e.ID, before[e.ID], g.modelOf[e.ID])
		}
	}
	fresh := replicas(41, "a", "b")[40]
	fresh.Evacuated = true
	g.assignEvacuated(append(evacuated, fresh), targets, nil)
	if g.modelOf[fresh.ID] == "" {
		t.Error("a replica added to an evacuated zone has no model")
	}
}

// TestAllReplicasEvacuatedWithoutGroups checks that with too few replicas for groups, each follows
// all models even while all of them are evacuated.
func TestAllReplicasEvacuatedWithoutGroups(t *testing.T) {
	b := newTestBench(6)
	for _, e := range b.endpoints {
		e.Evacuated = true
		e.Versions["other"], b.generators[e.ID].Versions["other"] = 1, 1
	}
	for version := int64(2); version <= 4; version++ {
		for _, name := range []string{"m", "other"} {
			b.rollout.SetTarget(port.VersionTarget{Model: name, Version: version})
		}
		b.run(16 * time.Second)
	}
	for _, e := range b.endpoints {
		for _, name := range []string{"m", "other"} {
			if got := b.generators[e.ID].Version(b.now, name); got < 3 {
				t.Errorf("%s has version %d of %s, want 3", e.ID, got, name)
			}
		}
	}
}
