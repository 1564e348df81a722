package cluster

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// TestLatencyIsTold: the log tells of the store's distance when that changes much, not of a near
// store, and seldom.
func TestLatencyIsTold(t *testing.T) {
	now := time.Unix(1000, 0)
	l := callLatency{}
	for i, c := range []struct {
		took time.Duration
		told bool
	}{
		{4 * time.Millisecond, false}, {45 * time.Millisecond, false}, {120 * time.Millisecond, true}, {130 * time.Millisecond, false},
		{600 * time.Millisecond, true}, {400 * time.Millisecond, false}, {4 * time.Millisecond, false},
	} {
		now = now.Add(tellDistanceEvery)
		l.note(c.took)
		if got := l.news(now); got != c.told {
			t.Errorf("call %d of %s: told %t", i, c.took, got)
		}
	}
	l.note(2 * time.Second)
	first := l.news(now)
	l.note(20 * time.Second)
	if !first || l.news(now) {
		t.Error("a jump is told, and two within a moment once")
	}
}

// TestOneRegionHasNoDistance: a region that has a name is still one region.
func TestOneRegionHasNoDistance(t *testing.T) {
	one := port.Topology{Zone: "a", Region: "north", Regions: map[string]string{"a": "north", "b": "north"}}
	for _, c := range []struct {
		topology port.Topology
		told     bool
	}{{port.Topology{Zone: "a"}, false}, {one, false}, {port.Topology{Zone: "a", Region: "north", Regions: map[string]string{"a": "north", "b": "south"}}, true}} {
		n := New(start, Options{Name: "n", Incarnation: 1, Decoder: decoder{}, OrderPause: time.Second, Topology: c.topology})
		if told := n.storeDistance() != nil; told != c.told {
			t.Errorf("%+v: distance told %t", c.topology, told)
		}
	}
}
