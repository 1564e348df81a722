package distance

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

var topology = port.Topology{Zone: "a", Region: "north", Regions: map[string]string{"a": "north", "b": "north", "c": "south", "d": "south", "e": "west"}}

func TestExtraLatency(t *testing.T) {
	d := New(topology)
	if got := d.ExtraLatency("c"); got != defaultDistance {
		t.Errorf("unmeasured region: got %s, want the default", got)
	}
	d.Observe("a", 2*time.Millisecond)
	d.Observe("b", 4*time.Millisecond)
	d.Observe("c", 42*time.Millisecond)
	for zone, want := range map[string]time.Duration{
		"a": 0, "b": 0, "c": 40 * time.Millisecond, "d": 40 * time.Millisecond, "e": defaultDistance, "nowhere": defaultDistance,
	} {
		if got := d.ExtraLatency(zone); got != want {
			t.Errorf("zone %s: got %s, want %s", zone, got, want)
		}
	}
}

// A single slow connection has little effect, while a lasting change is followed.
func TestEstimate(t *testing.T) {
	d := New(topology)
	d.Observe("a", 0)
	d.Observe("c", 40*time.Millisecond)
	d.Observe("c", 140*time.Millisecond)
	if got := d.ExtraLatency("c"); got != 50*time.Millisecond {
		t.Errorf("after one slow connection: got %s, want 50ms", got)
	}
	for range 30 {
		d.Observe("c", 140*time.Millisecond)
	}
	if got := d.ExtraLatency("c"); got < 130*time.Millisecond {
		t.Errorf("after many slow connections: got %s, want at least 130ms", got)
	}
	d.Observe("c", 40*time.Millisecond)
	if got := d.ExtraLatency("c"); got != 40*time.Millisecond {
		t.Errorf("after a fast connection: got %s, want 40ms", got)
	}
}

func TestSingleRegion(t *testing.T) {
	for _, one := range []port.Topology{{}, {Zone: "a"}, {Zone: "a", Region: "north", Regions: map[string]string{"a": "north", "b": "north"}}} {
		d := New(one)
		d.Observe("b", time.Second)
		if d.MultiRegion() || d.ExtraLatency("b") != 0 || d.ExtraLatency("unknown") != 0 {
			t.Errorf("%+v: multi-region %t, extra latency %s; want neither", one, d.MultiRegion(), d.ExtraLatency("b"))
		}
	}
}
