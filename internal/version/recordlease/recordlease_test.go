package recordlease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

func TestOneHolder(t *testing.T) {
	b := newBench(3)
	b.run(2 * time.Second)
	first := b.only(t)
	fence := b.leases[first].Fence()
	b.run(10 * time.Second)
	if b.only(t) != first || b.leases[first].Fence() != fence {
		t.Error("a holder that renews stays")
	}
}

func TestCutHolderIsReplaced(t *testing.T) {
	b := newBench(3)
	b.run(2 * time.Second)
	first := b.only(t)
	b.cut[first] = true
	b.run(Prompt.Validity + 100*time.Millisecond)
	if len(b.holders()) != 0 {
		t.Error("a holder that can't renew holds no longer than its validity")
	}
	b.run(4 * time.Second)
	second := b.only(t)
	if second == first || b.leases[second].Fence() <= b.leases[first].Fence() {
		t.Error("another holds, under a higher fence")
	}
	b.cut[first] = false
	b.run(5 * time.Second)
	if b.only(t) != second {
		t.Error("the former holder doesn't come back")
	}
}

func TestActsAreApart(t *testing.T) {
	b := newBench(2)
	b.run(2 * time.Second)
	first := b.only(t)
	for !b.leases[first].Act(b.now, target) {
		b.run(50 * time.Millisecond)
	}
	acted := b.now
	b.cut[first] = true
	for !b.leases[1-first].Act(b.now, target) {
		if b.leases[first].Act(b.now, target) {
			acted = b.now
		}
		b.run(50 * time.Millisecond)
		if b.now.Sub(acted) > time.Minute {
			t.Fatal("the next holder never acts")
		}
	}
	if apart := b.now.Sub(acted); apart < 3*time.Second {
		t.Errorf("acts of two holders are %s apart", apart)
	}
}

func TestFormerHolderGoesOnAtOnce(t *testing.T) {
	b, first := newActing(t, 2)
	b.cut[0], b.cut[1] = true, true
	b.run(4 * time.Second)
	b.cut[0], b.cut[1] = false, false
	b.run(time.Second)
	if b.only(t) != first || !actsWithin(b, first, 100*time.Millisecond) {
		t.Error("after an outage of the store its last holder goes on: there is no other to keep apart from")
	}
}

// Seed 336 of the cluster simulation: orders of two holders within 2 s.
func TestPauseOutlivesALostLease(t *testing.T) {
	b, first := newActing(t, 2)
	second, acted := 1-first, b.now
	b.leases[first].Resign(b.now)
	for !b.leases[second].Held(b.now) {
		b.run(50 * time.Millisecond)
	}
	b.cut[second] = true
	b.run(Prompt.Validity + 100*time.Millisecond)
	b.cut[second] = false
	b.actsApart(t, second, acted)
}

// Seed 183 of the simulation: an order was under way for most of a second when its holder
// resigned, and reached its replica within the pause of the next holder.
func TestPauseCountsFromTheEndOfActs(t *testing.T) {
	b, first := newActing(t, 2)
	arrived := b.now.Add(actFor)
	b.leases[first].Resign(b.now)
	b.actsApart(t, 1-first, arrived)
}

func TestResignedLeasePassesQuickly(t *testing.T) {
	b := newBench(2)
	b.run(2 * time.Second)
	first := b.only(t)
	b.leases[first].Resign(b.now)
	b.run(time.Second)
	second := b.only(t)
	if second == first || !b.leases[second].Act(b.now, target) && !actsWithin(b, second, time.Second) {
		t.Error("a lease that was given up, and under which nobody acted, passes at once")
	}
}

func TestLostAnswers(t *testing.T) {
	b := newBench(2)
	b.lost[0], b.lost[1] = true, true
	b.run(3 * time.Second)
	b.lost[0], b.lost[1] = false, false
	b.run(6 * time.Second)
	b.only(t)
}

// Seed 49 of the simulation: the answer to an acquisition was lost, and the holder took its
// own record for proof that nobody else had acted of late.
func TestPauseOutlivesALostAcquisition(t *testing.T) {
	b, first := newActing(t, 2)
	second, acted := 1-first, b.now
	b.lost[second] = true
	b.leases[first].Resign(b.now)
	b.run(300 * time.Millisecond)
	b.lost[second] = false
	b.actsApart(t, second, acted)
}

// Incident 9eec: after the loss of all machines the holder's node was back at once, and
// ordered nothing for 4.8 s.
func TestRestartedHolderGoesOnAtOnce(t *testing.T) {
	b, first := newActing(t, 2)
	b.restart(first)
	if !actsWithin(b, first, 500*time.Millisecond) {
		t.Error("a node that returns as the holder acts at once: there is no other to keep apart from")
	}
}

// A node that took the lease from another owes the pause to it over a restart.
func TestPauseOutlivesARestart(t *testing.T) {
	b, first := newActing(t, 2)
	second, acted := 1-first, b.now
	b.leases[first].Resign(b.now)
	b.run(actFor + 500*time.Millisecond)
	if !b.leases[second].Held(b.now) {
		t.Fatal("the lease is not taken")
	}
	b.restart(second)
	b.actsApart(t, second, acted)
}

// Incident 0004: the next holder owed the pause to all replicas, also to those that its
// predecessor had not ordered, and no version was ordered for 3.3 s.
func TestOtherTargetsNeedNoPause(t *testing.T) {
	for _, planned := range []bool{true, false} {
		b, first := newActing(t, 2)
		second, acted := 1-first, b.now
		if planned {
			b.leases[first].Resign(b.now)
		} else {
			b.cut[first] = true
		}
		for !b.leases[second].Held(b.now) {
			b.run(50 * time.Millisecond)
		}
		held := b.now
		for !b.leases[second].Act(b.now, other) {
			b.run(50 * time.Millisecond)
		}
		if waited := b.now.Sub(held); waited > 100*time.Millisecond {
			t.Errorf("planned %t: a target that the former holder left alone waits %s", planned, waited)
		}
		b.actsApart(t, second, acted)
	}
}

// The third holder owes the pause to the first one's targets, though the second never acted.
func TestPauseOutlivesAHolderThatDidNotAct(t *testing.T) {
	b, first := newActing(t, 3)
	acted := b.now
	b.leases[first].Resign(b.now)
	for len(b.holders()) == 0 || b.only(t) == first {
		b.run(50 * time.Millisecond)
	}
	second := b.only(t)
	b.leases[second].Resign(b.now)
	for len(b.holders()) == 0 || b.only(t) == second {
		b.run(50 * time.Millisecond)
	}
	b.actsApart(t, b.only(t), acted)
}

// A renewal that drops a target and whose answer is lost may stand: until the next answer
// the holder must not act on that target.
func TestLostRenewalDeclaresNothing(t *testing.T) {
	b, first := newActing(t, 2)
	b.run(b.leases[first].options.Pause + actFor + pauseMargin - 100*time.Millisecond)
	b.lost[first] = true
	b.run(Prompt.RenewEvery + 100*time.Millisecond)
	if !b.leases[first].Held(b.now) {
		t.Fatal("the lease is not held")
	}
	if b.leases[first].Act(b.now, target) {
		t.Error("acts on a target that the record may no longer tell of")
	}
}

// A record of a node that kept no targets says only that its holder acts.
func TestRecordWithoutTargetsMeansAll(t *testing.T) {
	set := targetsOf(&doorstepv1.OrderLease{Ordering: true})
	for bucket := range targetBuckets {
		if !set.has(bucket) {
			t.Fatalf("bucket %d may have been acted on", bucket)
		}
	}
	if set := targetsOf(&doorstepv1.OrderLease{}); !set.empty() {
		t.Error("a holder that does not act has no targets")
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
		if row.Ordering != (len(names) > 0) || read != set || !set.within(&read) {
			t.Fatalf("%v reads as %v", set, read)
		}
	})
}

// TestUnansweredActsAreToldOn: a holder's act without an answer may take effect for seconds. The next holders know the
// targets of such acts until then, also the one after the next, and of no others.
func TestUnansweredActsAreToldOn(t *testing.T) {
	const lateFor = 10 * time.Second
	b := newBench(3)
	for i, lease := range b.leases {
		lease.options.LateFor = lateFor
		if i == 0 {
			lease.options.Unanswered = func(time.Time) []string { return []string{target} }
		}
	}
	hold := func(i int) {
		for other := range b.leases {
			b.cut[other] = other != i
		}
		for end := b.now.Add(time.Minute); !b.leases[i].Held(b.now) && b.now.Before(end); {
			b.run(50 * time.Millisecond)
		}
		b.run(time.Second)
	}
	hold(0)
	b.run(lateFor)
	for _, next := range []int{1, 2} {
		hold(next)
		if !b.leases[next].Inherited(b.now, target) {
			t.Errorf("holder %d does not know of the act without an answer", next)
		}
		if b.leases[next].Inherited(b.now, other) {
			t.Errorf("holder %d holds a target that nobody acted on for one", next)
		}
	}
	b.run(lateFor)
	if b.leases[2].Inherited(b.now, target) {
		t.Error("an act that can't take effect any more is told of")
	}
}
