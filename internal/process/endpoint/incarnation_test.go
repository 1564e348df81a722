package endpoint

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

func newRecord(startedMs, revision, version int64) port.ReplicaRecord {
	record := port.ReplicaRecord{ID: "r", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 4, Revision: revision, Versions: map[string]int64{"m": version}}
	if startedMs != 0 {
		record.StartedAt = time.UnixMilli(startedMs)
	}
	return record
}

// A replica that restarts with the same ID is a new endpoint without state.
func TestRestartCreatesNewEndpoint(t *testing.T) {
	for _, c := range []struct {
		name   string
		second port.ReplicaRecord
		fresh  bool
		// version is the endpoint's model version after the second record.
		version int64
	}{
		{"same incarnation", newRecord(1000, 2, 3), false, 5},
		{"later start", newRecord(9000, 2, 3), true, 3},
		{"earlier start after a clock step", newRecord(500, 2, 3), true, 3},
		{"late older record", newRecord(500, 1, 9), false, 5},
		{"start time missing from the record", newRecord(0, 2, 3), true, 3},
		{"same ID in another service", port.ReplicaRecord{ID: "r", Service: "t", Address: "10.0.0.1:1", StartedAt: time.UnixMilli(1000), Revision: 2}, true, 0},
		{"same ID at another address", port.ReplicaRecord{ID: "r", Service: "s", Address: "10.0.0.2:1", StartedAt: time.UnixMilli(1000), Revision: 2}, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			registry := NewRegistry()
			first := registry.Put(newRecord(1000, 1, 5)).Endpoint
			first.Revision = 2
			if c.second.Revision == 2 {
				first.Revision = 1
			}
			first.InFlight, first.Tokens = 3, 900
			first.UpdatePace(now, time.Second)
			first.RecordFailure(now)
			first.RecordFailure(now)
			change := registry.Put(c.second)
			e := registry.Find("r")
			if fresh := e != first; fresh != c.fresh || change.Added != c.fresh || (change.Previous == first) != c.fresh {
				t.Fatalf("new endpoint %t, want %t; change %+v", fresh, c.fresh, change)
			}
			if e.Versions["m"] != c.version {
				t.Errorf("version %d, want %d", e.Versions["m"], c.version)
			}
			if c.fresh && (e.InFlight != 0 || e.Tokens != 0 || e.Pace(now) != 0 || e.Ejected(now) || !first.Unschedulable()) {
				t.Errorf("the new incarnation inherited state: %+v", e)
			}
			if listed := len(registry.Service("s")) + len(registry.Service("t")); listed != 1 {
				t.Errorf("%d endpoints are listed, want 1", listed)
			}
		})
	}
}

// A late removal of a previous incarnation does not remove the current one.
func TestRegistryHasNewerRecord(t *testing.T) {
	registry := NewRegistry()
	registry.Put(newRecord(1000, 5, 1))
	for revision, outlives := range map[int64]bool{4: true, 5: false, 6: false, 0: false} {
		if got := registry.HasNewerRecord(port.RemovedReplica{ID: "r", Revision: revision}); got != outlives {
			t.Errorf("removal at revision %d: newer record %t, want %t", revision, got, outlives)
		}
	}
}
