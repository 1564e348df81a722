package recordlease

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
)

// testBench runs leases on a shared store that answers immediately.
type testBench struct {
	now    time.Time
	store  *model.RecordStore
	leases []*Lease
	queues []*task.Queue
	// Calls of disconnected leases fail. Writes of leases in loseAnswers succeed but are not
	// answered.
	disconnected, loseAnswers map[int]bool
	// observedAt is when each lease last observed the record.
	observedAt map[int]time.Time
	// missedUpdates holds the leases that were disconnected at the last observation.
	missedUpdates map[int]bool
}

func newTestBench(count int) *testBench {
	b := &testBench{now: time.Unix(1000, 0), disconnected: map[int]bool{}, loseAnswers: map[int]bool{}, observedAt: map[int]time.Time{}, missedUpdates: map[int]bool{}}
	b.store = model.NewRecordStore(b.now, model.RecordStoreOptions{})
	for i := range count {
		queue := &task.Queue{}
		b.queues = append(b.queues, queue)
		b.leases = append(b.leases, New(Options{
			Key: port.RecordKey{Table: "leases", Key: "l"}, Holder: string(rune('a' + i)), Incarnation: 1, Queue: queue, Pause: 3 * time.Second,
			ObservedUntil: func(now time.Time) time.Time { return b.observe(i, now) }, Clock: b.clock,
		}))
	}
	return b
}

// target is the default target of acts. other falls into a different bucket.
const target, other = "replica-1", "replica-2"

// run advances the time in steps of 50 ms.
func (b *testBench) run(length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(50 * time.Millisecond) {
		for i := range b.leases {
			b.tick(i)
		}
	}
}

func (b *testBench) tick(i int) {
	b.leases[i].Tick(b.now)
	for {
		tasks := b.queues[i].Take()
		if len(tasks) == 0 {
			return
		}
		for _, next := range tasks {
			b.execute(i, next)
		}
	}
}

func (b *testBench) execute(i int, next task.Task) {
	unknown := port.RecordResult{Status: port.RecordUnknown}
	switch t := next.(type) {
	case task.Commit:
		if b.disconnected[i] {
			t.Done(b.now, unknown)
			return
		}
		result := b.store.Commit(b.now, t.Transaction)
		if b.loseAnswers[i] {
			result = unknown
		}
		t.Done(b.now, result)
	case task.Range:
		if b.disconnected[i] {
			t.Done(b.now, unknown)
			return
		}
		t.Done(b.now, b.store.Range(b.now, t.Query))
	}
}

// clock returns the store's clock with an uncertainty of 20 ms.
func (b *testBench) clock(now time.Time) (least, most time.Duration, known bool) {
	elapsed := now.Sub(time.Unix(1000, 0))
	return elapsed - 10*time.Millisecond, elapsed + 10*time.Millisecond, true
}

// restart replaces a node's lease by a new incarnation.
func (b *testBench) restart(i int) {
	options := b.leases[i].options
	options.Incarnation++
	b.leases[i] = New(options)
}

// observe delivers the record to a lease unless it is disconnected.
func (b *testBench) observe(i int, now time.Time) time.Time {
	if b.disconnected[i] {
		b.missedUpdates[i] = true
		return b.observedAt[i]
	}
	if b.missedUpdates[i] {
		b.missedUpdates[i] = false
		b.leases[i].SetObserving(now, true)
	}
	for _, record := range b.store.Range(now, port.RecordRange{Table: "leases"}).Records {
		b.leases[i].OnRecord(now, record)
	}
	b.observedAt[i] = now
	return now
}

// newTestBenchWithActingHolder returns leases whose first holder has acted on target.
func newTestBenchWithActingHolder(t *testing.T, count int) (b *testBench, first int) {
	t.Helper()
	b = newTestBench(count)
	b.run(2 * time.Second)
	first = b.onlyHolder(t)
	if !actsWithin(b, first, time.Second) {
		t.Fatal("the holder cannot act")
	}
	return b, first
}

func (b *testBench) holders() []int {
	var held []int
	for i, lease := range b.leases {
		if lease.Held(b.now) {
			held = append(held, i)
		}
	}
	return held
}

func (b *testBench) onlyHolder(t *testing.T) int {
	t.Helper()
	held := b.holders()
	if len(held) != 1 {
		t.Fatalf("lease held by %v, want one holder", held)
	}
	return held[0]
}

// assertPause waits until a lease may act and checks the time since another holder's last act
// against the required pause.
func (b *testBench) assertPause(t *testing.T, i int, acted time.Time) {
	t.Helper()
	for !b.leases[i].TryAct(b.now, target) {
		b.run(50 * time.Millisecond)
		if b.now.Sub(acted) > time.Minute {
			t.Fatal("the next holder was never able to act")
		}
	}
	if apart := b.now.Sub(acted); apart < 3*time.Second {
		t.Errorf("acts of two holders are %s apart, want at least 3s", apart)
	}
}

func actsWithin(b *testBench, index int, length time.Duration) bool {
	for end := b.now.Add(length); b.now.Before(end); {
		if b.leases[index].TryAct(b.now, target) {
			return true
		}
		b.run(50 * time.Millisecond)
	}
	return false
}
