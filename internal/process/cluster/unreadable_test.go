package cluster

import (
	"strings"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// strangeDecoder takes records that begin with a question mark for those of other writers.
type strangeDecoder struct{ replicaDecoder }

func (d strangeDecoder) DecodeDeployment(records []port.Record) port.DeploymentUpdate {
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

// TestEntryTurnsUnreadable: a replica whose record can't be read any more gets nothing from that moment on,
// also while the store was away just now, and the log tells it once.
func TestEntryTurnsUnreadable(t *testing.T) {
	n := New(start, Options{Name: "n", Topology: port.Topology{Zone: "z"}, Incarnation: 1, Decoder: strangeDecoder{}, OrderPause: time.Second})
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
	for range 3 {
		n.onDeployment(start, "replicas", record("?", 2), true)
	}
	lines := 0
	for _, one := range n.Take() {
		if logged, ok := one.(task.Log); ok && logged.Event == event.RecordUnreadable {
			lines++
		}
	}
	if lines != 1 {
		t.Errorf("%d lines tell of it, should be one", lines)
	}
	n.onDeployment(start, "replicas", record("sound", 3), false)
	if n.endpoints.Find("r") == nil {
		t.Error("the replica did not come back with a sound record")
	}
}

// TestRemovalOfAFormerLife: a removal that is older than the record leaves the replica, one without a revision
// takes it out.
func TestRemovalOfAFormerLife(t *testing.T) {
	for _, c := range []struct {
		revision int64
		kept     bool
	}{{4, true}, {6, false}, {0, false}} {
		n := newNode()
		n.putReplica(start, n.endpoints.Put(port.ReplicaRecord{ID: "r", Service: "s", Revision: 5}))
		n.removeGone(start, port.RemovedReplica{ID: "r", Revision: c.revision}, false)
		if kept := n.endpoints.Find("r") != nil; kept != c.kept {
			t.Errorf("kept %t after a removal at revision %d", kept, c.revision)
		}
	}
}
