package recordlease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

func TestSingleHolder(t *testing.T) {
	b := newTestBench(3)
	b.run(2 * time.Second)
	first := b.onlyHolder(t)
	fence := b.leases[first].Fence()
	b.run(10 * time.Second)
	if b.onlyHolder(t) != first || b.leases[first].Fence() != fence {
		t.Error("a holder that renews its lease was replaced")
	}
}

func TestDisconnectedHolderIsReplaced(t *testing.T) {
	b := newTestBench(3)
	b.run(2 * time.Second)
	first := b.onlyHolder(t)
	b.disconnected[first] = true
	b.run(FastTiming.Validity + 100*time.Millisecond)
	if len(b.holders()) != 0 {
		t.Error("a holder that cannot renew still holds the lease after its validity")
	}
	b.run(4 * time.Second)
	second := b.onlyHolder(t)
	if second == first || b.leases[second].Fence() <= b.leases[first].Fence() {
		t.Error("the lease was not taken over under a higher fence")
	}
	b.disconnected[first] = false
	b.run(5 * time.Second)
	if b.onlyHolder(t) != second {
		t.Error("the previous holder took the lease back")
	}
}

func TestPauseBetweenActsOfTwoHolders(t *testing.T) {
	b := newTestBench(2)
	b.run(2 * time.Second)
	first := b.onlyHolder(t)
	for !b.leases[first].TryAct(b.now, target) {
		b.run(50 * time.Millisecond)
	}
	acted := b.now
	b.disconnected[first] = true
	for !b.leases[1-first].TryAct(b.now, target) {
		if b.leases[first].TryAct(b.now, target) {
			acted = b.now
		}
		b.run(50 * time.Millisecond)
		if b.now.Sub(acted) > time.Minute {
			t.Fatal("the next holder was never able to act")
		}
	}
	if apart := b.now.Sub(acted); apart < 3*time.Second {
		t.Errorf("acts of two holders are %s apart, want at least 3s", apart)
	}
}

func TestHolderContinuesAfterStoreOutage(t *testing.T) {
	b, first := newTestBenchWithActingHolder(t, 2)
	b.disconnected[0], b.disconnected[1] = true, true
	b.run(4 * time.Second)
	b.disconnected[0], b.disconnected[1] = false, false
	b.run(time.Second)
	if b.onlyHolder(t) != first || !actsWithin(b, first, 100*time.Millisecond) {
		t.Error("the last holder does not act immediately after a store outage")
	}
}

// The pause after the first holder's act must continue when the second holder loses the lease.
func TestPauseOutlivesALostLease(t *testing.T) {
	b, first := newTestBenchWithActingHolder(t, 2)
	second, acted := 1-first, b.now
	b.leases[first].Resign(b.now)
	for !b.leases[second].Held(b.now) {
		b.run(50 * time.Millisecond)
	}
	b.disconnected[second] = true
	b.run(FastTiming.Validity + 100*time.Millisecond)
	b.disconnected[second] = false
	b.assertPause(t, second, acted)
}

// An act in flight when its holder resigns must not arrive during the pause of the next holder.
func TestPauseCountsFromTheEndOfActs(t *testing.T) {
	b, first := newTestBenchWithActingHolder(t, 2)
	arrived := b.now.Add(maxActDuration)
	b.leases[first].Resign(b.now)
	b.assertPause(t, 1-first, arrived)
}

func TestResignedLeaseIsTakenOverImmediately(t *testing.T) {
	b := newTestBench(2)
	b.run(2 * time.Second)
	first := b.onlyHolder(t)
	b.leases[first].Resign(b.now)
	b.run(time.Second)
	second := b.onlyHolder(t)
	if second == first || !b.leases[second].TryAct(b.now, target) && !actsWithin(b, second, time.Second) {
		t.Error("a resigned lease without acts was not taken over immediately")
	}
}

func TestLostAnswers(t *testing.T) {
	b := newTestBench(2)
	b.loseAnswers[0], b.loseAnswers[1] = true, true
	b.run(3 * time.Second)
	b.loseAnswers[0], b.loseAnswers[1] = false, false
	b.run(6 * time.Second)
	b.onlyHolder(t)
}

// The pause must be observed even if the answer to the acquisition is lost and the record already
// names the new holder.
func TestPauseOutlivesALostAcquisition(t *testing.T) {
	b, first := newTestBenchWithActingHolder(t, 2)
	second, acted := 1-first, b.now
	b.loseAnswers[second] = true
	b.leases[first].Resign(b.now)
	b.run(300 * time.Millisecond)
	b.loseAnswers[second] = false
	b.assertPause(t, second, acted)
}

// A restarted node that still holds the lease must act without a pause.
func TestRestartedHolderGoesOnAtOnce(t *testing.T) {
	b, first := newTestBenchWithActingHolder(t, 2)
	b.restart(first)
	if !actsWithin(b, first, 500*time.Millisecond) {
		t.Error("a restarted holder does not act immediately")
	}
}

// A pause that is not complete must continue after a restart of the holder.
func TestPauseOutlivesARestart(t *testing.T) {
	b, first := newTestBenchWithActingHolder(t, 2)
	second, acted := 1-first, b.now
	b.leases[first].Resign(b.now)
	b.run(maxActDuration + 500*time.Millisecond)
	if !b.leases[second].Held(b.now) {
		t.Fatal("the lease was not taken over")
	}
	b.restart(second)
	b.assertPause(t, second, acted)
}

// Targets that the previous holder did not act on must not be paused.
func TestOtherTargetsNeedNoPause(t *testing.T) {
	for _, planned := range []bool{true, false} {
		b, first := newTestBenchWithActingHolder(t, 2)
		second, acted := 1-first, b.now
		if planned {
			b.leases[first].Resign(b.now)
		} else {
			b.disconnected[first] = true
		}
		for !b.leases[second].Held(b.now) {
			b.run(50 * time.Millisecond)
		}
		held := b.now
		for !b.leases[second].TryAct(b.now, other) {
			b.run(50 * time.Millisecond)
		}
		if waited := b.now.Sub(held); waited > 100*time.Millisecond {
			t.Errorf("planned %t: a target without previous acts was paused for %s", planned, waited)
		}
		b.assertPause(t, second, acted)
	}
}

// A third holder must pause for the first holder's targets even if the second never acted.
func TestPauseOutlivesAHolderThatDidNotAct(t *testing.T) {
	b, first := newTestBenchWithActingHolder(t, 3)
	acted := b.now
	b.leases[first].Resign(b.now)
	for len(b.holders()) == 0 || b.onlyHolder(t) == first {
		b.run(50 * time.Millisecond)
	}
	second := b.onlyHolder(t)
	b.leases[second].Resign(b.now)
	for len(b.holders()) == 0 || b.onlyHolder(t) == second {
		b.run(50 * time.Millisecond)
	}
	b.assertPause(t, b.onlyHolder(t), acted)
}

// A renewal with a lost answer may have removed a target from the record, so the holder must not
// act on that target.
func TestLostRenewalDeclaresNothing(t *testing.T) {
	b, first := newTestBenchWithActingHolder(t, 2)
	b.run(b.leases[first].options.Pause + maxActDuration + pauseMargin - 100*time.Millisecond)
	b.loseAnswers[first] = true
	b.run(FastTiming.RenewEvery + 100*time.Millisecond)
	if !b.leases[first].Held(b.now) {
		t.Fatal("the lease is not held")
	}
	if b.leases[first].TryAct(b.now, target) {
		t.Error("acted on a target that the record may no longer declare")
	}
}

// A record written by a version without targets must be treated as declaring all of them.
func TestRecordWithoutTargetsMeansAll(t *testing.T) {
	set := targetsOf(&doorstepv1.OrderLease{Ordering: true})
	for bucket := range targetBuckets {
		if !set.has(bucket) {
			t.Fatalf("bucket %d is missing", bucket)
		}
	}
	if set := targetsOf(&doorstepv1.OrderLease{}); !set.empty() {
		t.Error("a record without acts has targets")
	}
}

func TestTargetsAreKeptInTheRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set, read targetSet
		names := rapid.SliceOf(rapid.String()).Draw(t, "targets")
		for _, name := range names {
			set.add(bucketOf(name))
		}
		row := &doorstepv1.OrderLease{}
		setTargets(row, set)
		read = targetsOf(row)
		if row.Ordering != (len(names) > 0) || read != set || !set.subsetOf(&read) {
			t.Fatalf("%v reads as %v", set, read)
		}
	})
}

// TestUnansweredActsAreInherited checks that all later holders know the targets of unanswered acts,
// and only those, for as long as the acts may take effect.
func TestUnansweredActsAreInherited(t *testing.T) {
	const lateFor = 10 * time.Second
	b := newTestBench(3)
	for i, lease := range b.leases {
		lease.options.MaxActDelay = lateFor
		if i == 0 {
			lease.options.Unanswered = func(time.Time) []string { return []string{target} }
		}
	}
	makeHolder := func(i int) {
		for other := range b.leases {
			b.disconnected[other] = other != i
		}
		for end := b.now.Add(time.Minute); !b.leases[i].Held(b.now) && b.now.Before(end); {
			b.run(50 * time.Millisecond)
		}
		b.run(time.Second)
	}
	makeHolder(0)
	b.run(lateFor)
	for _, next := range []int{1, 2} {
		makeHolder(next)
		if !b.leases[next].Inherited(b.now, target) {
			t.Errorf("holder %d does not know the unanswered act's target", next)
		}
		if b.leases[next].Inherited(b.now, other) {
			t.Errorf("holder %d inherited a target without acts", next)
		}
	}
	b.run(lateFor)
	if b.leases[2].Inherited(b.now, target) {
		t.Error("an expired act is still inherited")
	}
}
