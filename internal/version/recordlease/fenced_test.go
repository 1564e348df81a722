package recordlease

import (
	"testing"
	"time"
)

// fence makes those that a bench's leases act on refuse older fences.
func (b *bench) fence() {
	for _, lease := range b.leases {
		lease.options.Fenced = true
		lease.options.StartedAt = b.now.Add(-time.Minute)
	}
}

// TestFencedLeaseActsAtOnce: what an older holder sends late is refused, so a new one that did
// not act itself of late waits for nothing.
func TestFencedLeaseActsAtOnce(t *testing.T) {
	b, first := newActing(t, 2)
	b.fence()
	second := 1 - first
	b.cut[first] = true
	for !b.leases[second].Held(b.now) {
		b.run(50 * time.Millisecond)
	}
	if !actsWithin(b, second, 300*time.Millisecond) {
		t.Error("the new holder waits although older fences are refused")
	}
}

// TestFencedLeaseTakesNoTurns: a holder that acted, lost the lease and has it back waits out the
// pause, also after a restart.
func TestFencedLeaseTakesNoTurns(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		b, first := newActing(t, 2)
		b.fence()
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
			if b.leases[first].Act(b.now, target) {
				break
			}
		}
		if waited := b.now.Sub(lastAct); waited < b.leases[first].options.Pause {
			t.Errorf("restarted %t: it acts again after %s, another holder between", restarted, waited)
		}
	}
}
