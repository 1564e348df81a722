package agent

import (
	"testing"
	"time"
)

// TestClaimsLeaveTimeForTheCaller guards against requests that wait for a claim on a cold replica until their caller has
// no time left, and against claims that are given up before a distant store can answer.
func TestClaimsLeaveTimeForTheCaller(t *testing.T) {
	for _, c := range []struct {
		name                     string
		latency, remaining, want time.Duration
	}{
		{"near store, much time", 5 * time.Millisecond, 30 * time.Second, 120 * time.Millisecond},
		{"near store, little time", 5 * time.Millisecond, 100 * time.Millisecond, 50 * time.Millisecond},
		{"distant store, much time", 80 * time.Millisecond, 30 * time.Second, 420 * time.Millisecond},
		{"distant store, little time", 80 * time.Millisecond, 300 * time.Millisecond, 150 * time.Millisecond},
	} {
		if got := claimTimeout(c.latency, c.remaining); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
