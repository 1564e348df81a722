package cluster

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// TestLapsedReplicas checks that replicas removed during an outage of the store are kept for the grace period.
func TestLapsedReplicas(t *testing.T) {
	const later = time.Second
	for _, c := range []struct {
		name string
		// outage and recovered report the store's health before the record is removed.
		outage, recovered bool
		// removedAfter is when the record is removed, listed whether it is added again.
		removedAfter time.Duration
		listed       bool
		// at is when the result is checked, kept whether the replica should still be known.
		at   time.Duration
		kept bool
	}{
		{"no outage", false, false, 0, false, 0, false},
		{"during an outage", true, false, 0, false, 5 * time.Second, true},
		{"within the grace period", true, true, 0, false, lapseGracePeriod - time.Millisecond, true},
		{"missing after the grace period", true, true, 0, false, lapseGracePeriod + time.Millisecond, false},
		{"added again in time", true, true, 0, true, lapseGracePeriod + time.Millisecond, true},
		{"removed after the grace period", true, true, lapseGracePeriod + later, false, lapseGracePeriod + later, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode()
			record := port.ReplicaRecord{ID: "r", Service: "s"}
			n.putReplica(start, n.endpoints.Put(record))
			n.onReplicaHealth(start, true)
			if c.outage {
				n.onReplicaHealth(start, false)
			}
			if c.recovered {
				n.onReplicaHealth(start, true)
			}
			n.removeReplica(start.Add(c.removedAfter), "r")
			if c.listed {
				n.putReplica(start, n.endpoints.Put(record))
			}
			n.tickLapses(start.Add(c.at))
			if kept := n.endpoints.Find("r") != nil; kept != c.kept {
				t.Errorf("kept %t, want %t", kept, c.kept)
			}
		})
	}
}

// replicaDecoder decodes replicas from their keys alone.
type replicaDecoder struct{ decoder }

func (replicaDecoder) DecodeDeployment(records []port.Record) port.DeploymentUpdate {
	var change port.DeploymentUpdate
	for _, record := range records {
		if record.Deleted {
			change.Removed = append(change.Removed, port.RemovedReplica{ID: record.Key, Revision: record.Revision})
			continue
		}
		change.Replicas = append(change.Replicas, port.ReplicaRecord{ID: record.Key, Service: "s"})
	}
	return change
}

// TestListedReplicas checks that a full read removes unlisted replicas and a change removes deleted ones.
func TestListedReplicas(t *testing.T) {
	n := New(start, Options{Name: "n", Topology: port.Topology{Zone: "z"}, Incarnation: 1, Decoder: replicaDecoder{}, OrderPause: time.Second})
	record := func(key string, deleted bool) port.Record {
		return port.Record{RecordKey: port.RecordKey{Table: "replicas", Key: key}, Deleted: deleted}
	}
	n.onDeployment(start, "replicas", []port.Record{record("a", false), record("b", false), record("c", false)}, true)
	n.onDeployment(start, "replicas", []port.Record{record("a", false), record("b", false)}, true)
	n.onDeployment(start, "replicas", []port.Record{record("b", true)}, false)
	if left := n.endpoints.All(); len(left) != 1 || left[0].ID != "a" {
		t.Errorf("%d replicas left, want only a", len(left))
	}
}
