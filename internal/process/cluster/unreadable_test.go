package cluster

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// unreadableDecoder reports records whose value starts with a question mark as unreadable.
type unreadableDecoder struct{ replicaDecoder }

func (d unreadableDecoder) DecodeDeployment(records []port.Record) port.DeploymentUpdate {
	var change port.DeploymentUpdate
	for _, record := range records {
		if !strings.HasPrefix(string(record.Value), "?") {
			part := d.replicaDecoder.DecodeDeployment([]port.Record{record})
			for i := range part.Replicas {
				part.Replicas[i].Revision = record.Revision
			}
			change.Replicas, change.Removed = append(change.Replicas, part.Replicas...), append(change.Removed, part.Removed...)
			continue
		}
		change.Removed = append(change.Removed, port.RemovedReplica{ID: record.Key, Revision: record.Revision})
		change.Unreadable = append(change.Unreadable, port.UnreadableRecord{Key: record.Key, Revision: record.Revision, Reason: "strange"})
	}
	return change
}

// TestRecordTurnsUnreadable checks that a replica is removed as soon as its record becomes unreadable, even after
// an outage of the store, and that this is logged once.
func TestRecordTurnsUnreadable(t *testing.T) {
	n := New(start, Options{Name: "n", Topology: port.Topology{Zone: "z"}, Incarnation: 1, Decoder: unreadableDecoder{}, OrderPause: time.Second})
	record := func(value string, revision int64) []port.Record {
		return []port.Record{{RecordKey: port.RecordKey{Table: "replicas", Key: "r"}, Value: []byte(value), Revision: revision}}
	}
	n.onDeployment(start, "replicas", record("sound", 1), true)
	n.onReplicaHealth(start, false)
	n.Take()
	n.onDeployment(start, "replicas", record("?", 2), false)
	if n.endpoints.Find("r") != nil {
		t.Error("the replica is still in use")
	}
	for repeated := range int64(3) {
		n.onDeployment(start, "replicas", record("?", 2), true)
		// Another writer may write the same record at each heartbeat.
		n.onDeployment(start, "replicas", record("?", 3+repeated), false)
	}
	lines := 0
	for _, one := range n.Take() {
		if logged, ok := one.(task.Log); ok && logged.Event == event.RecordUnreadable {
			lines++
		}
	}
	if lines != 1 {
		t.Errorf("%d log lines, want 1", lines)
	}
	n.onDeployment(start, "replicas", record("sound", 6), false)
	if n.endpoints.Find("r") == nil {
		t.Error("replica not added again with a readable record")
	}
	n.Take()
	n.onDeployment(start, "replicas", record("?", 7), false)
	if !slices.ContainsFunc(n.Take(), func(one task.Task) bool {
		logged, ok := one.(task.Log)
		return ok && logged.Event == event.RecordUnreadable
	}) {
		t.Error("a record that becomes unreadable again is not logged")
	}
}

// TestStaleRemovalIsIgnored checks that a removal older than the record is ignored, and that one without a revision
// is not.
func TestStaleRemovalIsIgnored(t *testing.T) {
	for _, c := range []struct {
		revision int64
		kept     bool
	}{{4, true}, {6, false}, {0, false}} {
		n := newNode()
		n.putReplica(start, n.endpoints.Put(port.ReplicaRecord{ID: "r", Service: "s", Revision: 5}))
		n.onReplicaGone(start, port.RemovedReplica{ID: "r", Revision: c.revision}, false)
		if kept := n.endpoints.Find("r") != nil; kept != c.kept {
			t.Errorf("kept %t after a removal at revision %d", kept, c.revision)
		}
	}
}
