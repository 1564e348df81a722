package cluster

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

var start = time.Unix(1000, 0)

// decoder reads configurations as JSON.
type decoder struct{}

func (decoder) DeploymentTables() []string { return []string{"operator", "replicas"} }

func (decoder) LengthHint(http.Header) int { return 0 }

func (decoder) Tokens(http.Header) (prompt, most int) { return 0, 0 }

func (decoder) DecodeDeployment(records []port.Record) port.DeploymentUpdate {
	var change port.DeploymentUpdate
	for _, record := range records {
		change.Routes = &port.RouteTable{}
		if err := json.Unmarshal(record.Value, change.Routes); err != nil {
			return change
		}
	}
	return change
}

func newNode() *Node {
	return New(start, Options{Name: "n", Topology: port.Topology{Zone: "z"}, Incarnation: 1, Decoder: decoder{}, OrderPause: time.Second})
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	n := newNode()
	for _, c := range []struct{ offered, held int64 }{{5, 5}, {3, 5}, {5, 5}, {9, 9}, {8, 9}} {
		n.apply(start, &port.RouteTable{Version: c.offered})
		if n.Routes().Version() != c.held {
			t.Errorf("after %d the node goes by %d, should be %d", c.offered, n.Routes().Version(), c.held)
		}
	}
}

// answer answers all reads with an empty table, and watches with silence.
func answer(n *Node, now time.Time, status port.RecordStatus) {
	n.Tick(now)
	for tasks := n.Take(); len(tasks) > 0; tasks = n.Take() {
		for _, one := range tasks {
			if read, ok := one.(task.Range); ok {
				result := port.RecordResult{Status: status, Revision: 1}
				if read.Query.Table == "operator" {
					result.Records = []port.Record{{RecordKey: port.RecordKey{Table: "operator", Key: "c"}, Value: []byte(`{"Version":4}`), Revision: 1}}
				}
				read.Done(now, result)
			}
		}
	}
}

func TestReadiness(t *testing.T) {
	n := newNode()
	if n.Ready(start) {
		t.Error("a node that has read nothing is not ready")
	}
	answer(n, start, port.RecordUnknown)
	if n.Ready(start) {
		t.Error("nor is one that the store doesn't answer")
	}
	now := start.Add(time.Second)
	answer(n, now, port.RecordDone)
	if !n.Ready(now) {
		t.Error("one that has read all tables is ready")
	}
	if n.Ready(now.Add(unreadyAfter + time.Millisecond)) {
		t.Error("one whose store fell silent is not")
	}
	n.Stop(now)
	if n.Ready(now) || n.MayLeave(now) || !n.MayLeave(now.Add(leaveAfter)) {
		t.Error("a stopping node is not ready, and leaves once all know")
	}
}

func TestStoreClock(t *testing.T) {
	clock := storeClock{base: start}
	if _, _, known := clock.bounds(start); known {
		t.Error("unknown before the first answer")
	}
	clock.note(start.Add(time.Second), start, 100*time.Second)
	clock.note(start.Add(3*time.Second), start.Add(2900*time.Millisecond), 102*time.Second+950*time.Millisecond)
	least, most, _ := clock.bounds(start.Add(3 * time.Second))
	if least != 102*time.Second+950*time.Millisecond || most != 103*time.Second {
		t.Errorf("from %s to %s", least, most)
	}
}

// TestClockIsUsedWhenItIsKnownWell: seed 172 of the simulator. While the store is slow its clock is
// known to half a second, whose middle is off by as much; windows of use and the nodes' wall clocks
// need it better.
func TestClockIsUsedWhenItIsKnownWell(t *testing.T) {
	clock := storeClock{base: start}
	if _, known := clock.reading(start); known {
		t.Error("known before the first answer")
	}
	clock.note(start.Add(600*time.Millisecond), start, 590*time.Millisecond)
	if _, known := clock.reading(start); known {
		t.Error("known well after an answer that took 600 ms")
	}
	clock.note(start.Add(1008*time.Millisecond), start.Add(time.Second), 1004*time.Millisecond)
	if reading, known := clock.reading(start.Add(2 * time.Second)); !known || (reading-2*time.Second).Abs() > 4*time.Millisecond {
		t.Errorf("%s, known %t, after an answer that took 8 ms", reading, known)
	}
}
