package cluster

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// TestLatencyIsLogged checks that significant latency changes of a distant store are logged, at a limited rate.
func TestLatencyIsLogged(t *testing.T) {
	now := time.Unix(1000, 0)
	l := callLatency{}
	for i, c := range []struct {
		took   time.Duration
		logged bool
	}{
		{4 * time.Millisecond, false}, {45 * time.Millisecond, false}, {120 * time.Millisecond, true}, {130 * time.Millisecond, false},
		{600 * time.Millisecond, true}, {400 * time.Millisecond, false}, {4 * time.Millisecond, false},
	} {
		now = now.Add(latencyLogInterval)
		l.observe(c.took)
		if got := l.shouldLog(now); got != c.logged {
			t.Errorf("call %d of %s: logged %t", i, c.took, got)
		}
	}
	l.observe(2 * time.Second)
	first := l.shouldLog(now)
	l.observe(20 * time.Second)
	if !first || l.shouldLog(now) {
		t.Error("want one log line for two jumps within the log interval")
	}
}

// TestSingleRegionHasNoStoreLatency checks that a single named region counts as a single-region deployment.
func TestSingleRegionHasNoStoreLatency(t *testing.T) {
	one := port.Topology{Zone: "a", Region: "north", Regions: map[string]string{"a": "north", "b": "north"}}
	for _, c := range []struct {
		topology  port.Topology
		available bool
	}{{port.Topology{Zone: "a"}, false}, {one, false}, {port.Topology{Zone: "a", Region: "north", Regions: map[string]string{"a": "north", "b": "south"}}, true}} {
		n := New(start, Options{Name: "n", Incarnation: 1, Decoder: decoder{}, OrderPause: time.Second, Topology: c.topology})
		if available := n.storeLatency() != nil; available != c.available {
			t.Errorf("%+v: latency available %t", c.topology, available)
		}
	}
}
