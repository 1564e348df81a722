package recordlease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
)

// bench drives leases over one store, with no time between call and answer.
type bench struct {
	now    time.Time
	store  *model.Records
	leases []*Lease
	queues []*task.Queue
	// cut leases get no answers; lost ones' writes are done and not answered.
	cut, lost map[int]bool
	// seenAt is when each lease last saw the record.
	seenAt map[int]time.Time
	// blind leases were cut when they looked last.
	blind map[int]bool
}

func newBench(count int) *bench {
	b := &bench{now: time.Unix(1000, 0), cut: map[int]bool{}, lost: map[int]bool{}, seenAt: map[int]time.Time{}, blind: map[int]bool{}}
	b.store = model.NewRecords(b.now, model.RecordsOptions{})
	for i := range count {
		queue := &task.Queue{}
		b.queues = append(b.queues, queue)
		b.leases = append(b.leases, New(Options{
			Key: port.RecordKey{Table: "leases", Key: "l"}, Holder: string(rune('a' + i)), Incarnation: 1, Queue: queue, Pause: 3 * time.Second,
			Observed: func(now time.Time) time.Time { return b.observe(i, now) }, Clock: b.clock,
		}))
	}
	return b
}

// target is what the leases act on unless a test says otherwise; other is in another bucket.
const target, other = "replica-1", "replica-2"

// run lets time pass, with a tick each 50 ms.
func (b *bench) run(length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(50 * time.Millisecond) {
		for i := range b.leases {
			b.tick(i)
		}
	}
}

func (b *bench) tick(i int) {
	b.leases[i].Tick(b.now)
	for {
		tasks := b.queues[i].Take()
		if len(tasks) == 0 {
			return
		}
		for _, one := range tasks {
			b.carryOut(i, one)
		}
	}
}

func (b *bench) carryOut(i int, one task.Task) {
	unknown := port.RecordResult{Status: port.RecordUnknown}
	switch t := one.(type) {
	case task.Commit:
		if b.cut[i] {
			t.Done(b.now, unknown)
			return
		}
		result := b.store.Commit(b.now, t.Transaction)
		if b.lost[i] {
			result = unknown
		}
		t.Done(b.now, result)
	case task.Range:
		if b.cut[i] {
			t.Done(b.now, unknown)
			return
		}
		t.Done(b.now, b.store.Range(b.now, t.Query))
	}
}

// clock is the store's, known to 20 ms.
func (b *bench) clock(now time.Time) (least, most time.Duration, known bool) {
	shown := now.Sub(time.Unix(1000, 0))
	return shown - 10*time.Millisecond, shown + 10*time.Millisecond, true
}

// restart gives a node's lease a new life.
func (b *bench) restart(i int) {
	options := b.leases[i].options
	options.Incarnation++
	b.leases[i] = New(options)
}

// observe feeds a lease the record as a watch does, unless the lease is cut.
func (b *bench) observe(i int, now time.Time) time.Time {
	if b.cut[i] {
		b.blind[i] = true
		return b.seenAt[i]
	}
	if b.blind[i] {
		b.blind[i] = false
		b.leases[i].Observing(now, true)
	}
	for _, record := range b.store.Range(now, port.RecordRange{Table: "leases"}).Records {
		b.leases[i].OnRecord(now, record)
	}
	b.seenAt[i] = now
	return now
}

// newActing returns leases of which the first holder acts.
func newActing(t *testing.T, count int) (b *bench, first int) {
	t.Helper()
	b = newBench(count)
	b.run(2 * time.Second)
	first = b.only(t)
	if !actsWithin(b, first, time.Second) {
		t.Fatal("the holder does not act")
	}
	return b, first
}

func (b *bench) holders() []int {
	var held []int
	for i, lease := range b.leases {
		if lease.Held(b.now) {
			held = append(held, i)
		}
	}
	return held
}

func (b *bench) only(t *testing.T) int {
	t.Helper()
	held := b.holders()
	if len(held) != 1 {
		t.Fatalf("held by %v", held)
	}
	return held[0]
}

// actsApart waits until a lease may act, and holds the time since another's last act
// against the pause that is asked between two holders.
func (b *bench) actsApart(t *testing.T, i int, acted time.Time) {
	t.Helper()
	for !b.leases[i].Act(b.now, target) {
		b.run(50 * time.Millisecond)
		if b.now.Sub(acted) > time.Minute {
			t.Fatal("the next holder never acts")
		}
	}
	if apart := b.now.Sub(acted); apart < 3*time.Second {
		t.Errorf("acts of two holders are %s apart", apart)
	}
}

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

func actsWithin(b *bench, index int, length time.Duration) bool {
	for end := b.now.Add(length); b.now.Before(end); {
		if b.leases[index].Act(b.now, target) {
			return true
		}
		b.run(50 * time.Millisecond)
	}
	return false
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
