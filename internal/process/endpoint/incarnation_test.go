package endpoint

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

func entry(startedMs, revision, version int64) port.ReplicaRecord {
	record := port.ReplicaRecord{ID: "r", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 4, Revision: revision, Versions: map[string]int64{"m": version}}
	if startedMs != 0 {
		record.StartedAt = time.UnixMilli(startedMs)
	}
	return record
}

// TestIncarnations: a replica that starts again under its ID is another endpoint, of which nothing is known.
func TestIncarnations(t *testing.T) {
	for _, c := range []struct {
		name   string
		second port.ReplicaRecord
		fresh  bool
		// version is that of the model which the endpoint has after the second record.
		version int64
	}{
		{"the same life goes on", entry(1000, 2, 3), false, 5},
		{"a later start", entry(9000, 2, 3), true, 3},
		{"a start by a clock that stepped back", entry(500, 2, 3), true, 3},
		{"an older record that comes late", entry(500, 1, 9), false, 5},
		{"replicas begin to tell their start", entry(0, 2, 3), true, 3},
		{"another service under the ID", port.ReplicaRecord{ID: "r", Service: "t", Address: "10.0.0.1:1", StartedAt: time.UnixMilli(1000), Revision: 2}, true, 0},
		{"another address under the ID", port.ReplicaRecord{ID: "r", Service: "s", Address: "10.0.0.2:1", StartedAt: time.UnixMilli(1000), Revision: 2}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			registry := NewRegistry()
			first := registry.Put(entry(1000, 1, 5)).Endpoint
			first.Revision = 2
			if c.second.Revision == 2 {
				first.Revision = 1
			}
			first.InFlight, first.Tokens = 3, 900
			first.LearnPace(now, time.Second)
			first.Failed(now)
			first.Failed(now)
			change := registry.Put(c.second)
			e := registry.Find("r")
			if fresh := e != first; fresh != c.fresh || change.Added != c.fresh || (change.Former == first) != c.fresh {
				t.Fatalf("fresh %t, should be %t; change %+v", fresh, c.fresh, change)
			}
			if e.Versions["m"] != c.version {
				t.Errorf("version %d, should be %d", e.Versions["m"], c.version)
			}
			if c.fresh && (e.InFlight != 0 || e.Tokens != 0 || e.Pace(now) != 0 || e.Ejected(now) || !first.Leaving()) {
				t.Errorf("the new life has what was known of the former: %+v", e)
			}
			if listed := len(registry.Service("s")) + len(registry.Service("t")); listed != 1 {
				t.Errorf("%d endpoints are listed, should be one", listed)
			}
		})
	}
}

// TestLateRemovals: the removal of a former life that is heard of late leaves the new one.
func TestLateRemovals(t *testing.T) {
	registry := NewRegistry()
	registry.Put(entry(1000, 5, 1))
	for revision, outlives := range map[int64]bool{4: true, 5: false, 6: false, 0: false} {
		if got := registry.Outlives(port.RemovedReplica{ID: "r", Revision: revision}); got != outlives {
			t.Errorf("a removal at revision %d is outlived: %t", revision, got)
		}
	}
}
