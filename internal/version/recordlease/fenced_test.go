package recordlease

import (
	"testing"
	"time"
)

// enableFencing configures the leases for targets that reject older fences.
func (b *testBench) enableFencing() {
	for _, lease := range b.leases {
		lease.options.Fenced = true
		lease.options.StartedAt = b.now.Add(-time.Minute)
	}
}

// TestFencedLeaseNeedsNoPause checks that a new holder that has not acted recently does not pause,
// since delayed acts of the previous holder are rejected.
func TestFencedLeaseNeedsNoPause(t *testing.T) {
	b, first := newTestBenchWithActingHolder(t, 2)
	b.enableFencing()
	second := 1 - first
	b.disconnected[first] = true
	for !b.leases[second].Held(b.now) {
		b.run(50 * time.Millisecond)
	}
	if !actsWithin(b, second, 300*time.Millisecond) {
		t.Error("the new holder pauses although older fences are rejected")
	}
}

// TestFencedLeaseDoesNotAlternate checks that a holder that acted, lost the lease and acquired it
// again completes the pause, also after a restart.
func TestFencedLeaseDoesNotAlternate(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		b, first := newTestBenchWithActingHolder(t, 2)
		b.enableFencing()
		second := 1 - first
		actsWithin(b, first, time.Second)
		lastAct := b.now
		b.leases[first].Resign(b.now)
		for !b.leases[second].Held(b.now) {
			b.run(50 * time.Millisecond)
		}
		actsWithin(b, second, 300*time.Millisecond)
		b.leases[second].Resign(b.now)
		b.run(time.Second)
		b.leases[second].Resign(b.now)
		if restarted {
			b.restart(first)
			b.leases[first].options.StartedAt = b.now
			lastAct = b.now
		} else {
			b.leases[first].resigned = false
		}
		for end := b.now.Add(10 * time.Second); b.now.Before(end); b.run(50 * time.Millisecond) {
			if b.leases[first].TryAct(b.now, target) {
				break
			}
		}
		if waited := b.now.Sub(lastAct); waited < b.leases[first].options.Pause {
			t.Errorf("restarted %t: acts again %s after its last act, with another holder in between", restarted, waited)
		}
	}
}
