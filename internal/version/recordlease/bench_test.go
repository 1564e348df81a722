package recordlease

import (
	"testing"
	"time"

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

func actsWithin(b *bench, index int, length time.Duration) bool {
	for end := b.now.Add(length); b.now.Before(end); {
		if b.leases[index].Act(b.now, target) {
			return true
		}
		b.run(50 * time.Millisecond)
	}
	return false
}
