package batch

import (
	"testing"
	"time"
)

// TestStallLimitsFollowTheReplica guards against runs that are interrupted again and again at replicas whose events
// regularly take longer than a fixed limit.
func TestStallLimitsFollowTheReplica(t *testing.T) {
	for _, c := range []struct {
		name                string
		pace, latency       time.Duration
		first, next         time.Duration
		singleVersion, full bool
	}{
		{name: "nothing known", first: firstEventTimeout, next: nextEventTimeout},
		{name: "fast", pace: 40 * time.Millisecond, latency: 100 * time.Millisecond, first: firstEventTimeout, next: nextEventTimeout},
		{name: "slow", pace: 500 * time.Millisecond, latency: 2 * time.Second, first: 12 * time.Second, next: 3 * time.Second},
		{name: "slower than the longest limit", pace: time.Second, first: firstEventTimeout, next: 6 * time.Second},
		{name: "single version", pace: 40 * time.Millisecond, singleVersion: true, first: firstEventTimeout, next: maxEventTimeout},
		{name: "single version, slow", pace: time.Second, singleVersion: true, first: firstEventTimeout, next: 6 * time.Second},
		{name: "queued at a slow replica", latency: 2 * time.Second, full: true, first: 12 * time.Second, next: nextEventTimeout},
	} {
		n := newTestNode("a", newStore())
		n.route.SingleVersion = c.singleVersion
		n.replica.UpdatePace(n.now, c.pace)
		if c.latency > 0 {
			n.replica.RecordSuccess(c.latency)
		}
		if c.full {
			n.replica.InFlight = n.replica.Slots + 1
		}
		n.accept(newJob("j", 1))
		n.elapse(50 * time.Millisecond)
		runs := n.takeRuns()
		if len(runs) != 1 || runs[0].FirstEventTimeout != c.first || runs[0].NextEventTimeout != c.next {
			t.Errorf("%s: %d runs with limits %s and %s, want %s and %s", c.name, len(runs), runs[0].FirstEventTimeout, runs[0].NextEventTimeout, c.first, c.next)
		}
	}
}
