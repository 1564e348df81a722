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
		n.applyRoutes(start, &port.RouteTable{Version: c.offered})
		if n.Routes().Version() != c.held {
			t.Errorf("after version %d the active version is %d, want %d", c.offered, n.Routes().Version(), c.held)
		}
	}
}

// answer answers all reads with empty tables and leaves watches pending.
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
		t.Error("ready before the first read")
	}
	answer(n, start, port.RecordUnknown)
	if n.Ready(start) {
		t.Error("ready although the store does not answer")
	}
	now := start.Add(time.Second)
	answer(n, now, port.RecordDone)
	if !n.Ready(now) {
		t.Error("not ready after reading all tables")
	}
	if n.Ready(now.Add(readinessTimeout + time.Millisecond)) {
		t.Error("ready although the store has stopped answering")
	}
	n.Stop(now)
	if n.Ready(now) || n.CanExit(now) || !n.CanExit(now.Add(shutdownDelay)) {
		t.Error("a stopping node must not be ready, and may leave only after shutdownDelay")
	}
}

// TestShutdownFitsIntoTheGracePeriod guards against a node that is killed while it still waits, and against one that
// gives up requests long before.
func TestShutdownFitsIntoTheGracePeriod(t *testing.T) {
	for _, c := range []struct{ grace, canExit, mustExit time.Duration }{
		{0, shutdownDelay, DefaultGracePeriod - stopMargin},
		{30 * time.Second, shutdownDelay, 30*time.Second - stopMargin},
		{4 * time.Second, 2 * time.Second, 4*time.Second - stopMargin},
		{600 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond},
	} {
		n := newNode()
		n.options.GracePeriod = c.grace
		n.Stop(start)
		const tick = time.Millisecond
		if n.CanExit(start.Add(c.canExit-tick)) || !n.CanExit(start.Add(c.canExit)) {
			t.Errorf("grace period %s: the node must be able to exit after %s", c.grace, c.canExit)
		}
		if n.MustExit(start.Add(c.mustExit-tick)) || !n.MustExit(start.Add(c.mustExit)) {
			t.Errorf("grace period %s: the node must exit after %s", c.grace, c.mustExit)
		}
	}
}

func TestStoreClock(t *testing.T) {
	clock := storeClock{base: start}
	if _, _, known := clock.bounds(start); known {
		t.Error("known before the first response")
	}
	clock.observe(start.Add(time.Second), start, 100*time.Second)
	clock.observe(start.Add(3*time.Second), start.Add(2900*time.Millisecond), 102*time.Second+950*time.Millisecond)
	least, most, _ := clock.bounds(start.Add(3 * time.Second))
	if least != 102*time.Second+950*time.Millisecond || most != 103*time.Second {
		t.Errorf("bounds are %s and %s", least, most)
	}
}

// TestClockNotUsedWhileUncertain checks that the clock is not used while the store is slow and the error of
// its estimate is large. Simulator seed 172.
func TestClockNotUsedWhileUncertain(t *testing.T) {
	clock := storeClock{base: start}
	if _, known := clock.estimate(start); known {
		t.Error("known before the first answer")
	}
	clock.observe(start.Add(600*time.Millisecond), start, 590*time.Millisecond)
	if _, known := clock.estimate(start); known {
		t.Error("estimate available after a response that took 600 ms")
	}
	clock.observe(start.Add(1008*time.Millisecond), start.Add(time.Second), 1004*time.Millisecond)
	if reading, known := clock.estimate(start.Add(2 * time.Second)); !known || (reading-2*time.Second).Abs() > 4*time.Millisecond {
		t.Errorf("estimate %s, known %t, after a response that took 8 ms", reading, known)
	}
}
