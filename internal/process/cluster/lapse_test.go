package cluster

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// TestLapsedReplicas: what went while the store was away is kept until it is surely gone.
func TestLapsedReplicas(t *testing.T) {
	const later = time.Second
	for _, c := range []struct {
		name string
		// away and back are told before the record goes.
		away, back bool
		// goes is when the record goes after that, listed whether it comes back by itself.
		goes   time.Duration
		listed bool
		// at is when the replica is looked for, and kept whether it should be there.
		at   time.Duration
		kept bool
	}{
		{"the store was there all the while", false, false, 0, false, 0, false},
		{"the store is away", true, false, 0, false, 5 * time.Second, true},
		{"just back", true, true, 0, false, lapseGrace - time.Millisecond, true},
		{"missing for long after the return", true, true, 0, false, lapseGrace + time.Millisecond, false},
		{"back in time", true, true, 0, true, lapseGrace + time.Millisecond, true},
		{"gone later", true, true, lapseGrace + later, false, lapseGrace + later, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode()
			record := port.ReplicaRecord{ID: "r", Service: "s"}
			n.putReplica(start, n.endpoints.Put(record))
			n.onReplicaHealth(start, true)
			if c.away {
				n.onReplicaHealth(start, false)
			}
			if c.back {
				n.onReplicaHealth(start, true)
			}
			n.removeReplica(start.Add(c.goes), "r")
			if c.listed {
				n.putReplica(start, n.endpoints.Put(record))
			}
			n.tickLapses(start.Add(c.at))
			if kept := n.endpoints.Find("r") != nil; kept != c.kept {
				t.Errorf("kept %t, should be %t", kept, c.kept)
			}
		})
	}
}

// replicaDecoder reads a record of the list of replicas by its key alone.
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

// TestListedReplicas: a whole reading drops what it does not list, a change what it names.
func TestListedReplicas(t *testing.T) {
	n := New(start, Options{Name: "n", Topology: port.Topology{Zone: "z"}, Incarnation: 1, Decoder: replicaDecoder{}, OrderPause: time.Second})
	record := func(key string, deleted bool) port.Record {
		return port.Record{RecordKey: port.RecordKey{Table: "replicas", Key: key}, Deleted: deleted}
	}
	n.onDeployment(start, "replicas", []port.Record{record("a", false), record("b", false), record("c", false)}, true)
	n.onDeployment(start, "replicas", []port.Record{record("a", false), record("b", false)}, true)
	n.onDeployment(start, "replicas", []port.Record{record("b", true)}, false)
	if left := n.endpoints.All(); len(left) != 1 || left[0].ID != "a" {
		t.Errorf("%d replicas are left", len(left))
	}
}
