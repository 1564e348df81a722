package recordwatch

import (
	"slices"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// step is an expected call and its answer.
type step struct {
	// list is the partition of a read, empty for a watch call.
	list   string
	after  int64
	answer port.RecordResult
	// wait is the time until the next call is due.
	wait time.Duration
}

// rereadEvery is the interval of full reads.
const rereadEvery = 4 * time.Second

func TestWatch(t *testing.T) {
	done := func(revision int64, keys ...string) port.RecordResult {
		result := port.RecordResult{Status: port.RecordDone, Revision: revision}
		for _, key := range keys {
			result.Records = append(result.Records, port.Record{RecordKey: port.RecordKey{Key: key}, Revision: revision})
		}
		return result
	}
	cases := []struct {
		name            string
		steps           []step
		listed, changed []string
		healthy         bool
	}{
		{"reads all partitions, then watches from the revision of the first read", []step{
			{list: "p0", answer: done(5, "a")}, {list: "p1", answer: done(7, "b")}, {after: 5, answer: done(8, "c")}, {after: 8, answer: done(8)},
		}, []string{"a", "b"}, []string{"c"}, true},
		{"continues from the answer's revision without a change", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5)}, {after: 5, answer: done(9)}, {after: 9, answer: done(9)},
		}, nil, nil, true},
		{"reads again at once after a compaction", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5)}, {after: 5, answer: port.RecordResult{Status: port.RecordCompacted}},
			{list: "p0", answer: done(30, "x")}, {list: "p1", answer: done(30)}, {after: 30, answer: done(30)},
		}, []string{"x"}, nil, true},
		{"unanswered watch call makes the watch unhealthy", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5)}, {after: 5, answer: port.RecordResult{Status: port.RecordUnknown}, wait: maxBackoff},
			{list: "p0", answer: port.RecordResult{Status: port.RecordUnknown}, wait: maxBackoff},
		}, nil, nil, false},
		{"refused watch call resumes at the same revision", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5)}, {after: 5, answer: port.RecordResult{Status: port.RecordRefused}, wait: maxBackoff},
			{after: 5, answer: done(7, "w"), wait: maxBackoff}, {after: 7, answer: done(7)},
		}, nil, []string{"w"}, true},
		{"refused read resumes at the same partition", []step{
			{list: "p0", answer: done(5, "a")}, {list: "p1", answer: port.RecordResult{Status: port.RecordRefused}, wait: maxBackoff},
			{list: "p1", answer: done(6, "b"), wait: maxBackoff}, {after: 5, answer: done(6)},
		}, []string{"a", "b"}, nil, true},
		{"persistent refusals make the watch unhealthy", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5), wait: refusalTimeout + time.Millisecond}, {after: 5, answer: port.RecordResult{Status: port.RecordRefused}, wait: maxBackoff},
		}, nil, nil, false},
		{"healthy again after a read", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5)}, {after: 5, answer: port.RecordResult{Status: port.RecordUnknown}, wait: maxBackoff},
			{list: "p0", answer: done(9, "y")}, {list: "p1", answer: done(9)}, {after: 9, answer: done(9)},
		}, []string{"y"}, nil, true},
		{"reads a range in several calls", []step{
			{list: "p0", answer: port.RecordResult{Status: port.RecordDone, Revision: 4, More: true, Records: done(4, "a").Records}},
			{list: "p0", answer: done(6, "b")}, {list: "p1", answer: done(6)}, {after: 4, answer: done(6)},
		}, []string{"a", "b"}, nil, true},
		{"reads the table again periodically", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5), wait: rereadEvery}, {after: 5, answer: done(5)}, {list: "p0", answer: done(6, "z")}, {list: "p1", answer: done(6)},
		}, []string{"z"}, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			queue := &task.Queue{}
			var listed, changed []string
			healthy := false
			names := func(records []port.Record) []string {
				var keys []string
				for _, one := range records {
					keys = append(keys, one.Key)
				}
				return keys
			}
			w := New(Options{
				Table: "t", Partitions: []string{"p0", "p1"}, Queue: queue, Wait: time.Second, RereadInterval: rereadEvery,
				OnList:   func(_ time.Time, records []port.Record) { listed = names(records) },
				OnChange: func(_ time.Time, records []port.Record) { changed = append(changed, names(records)...) },
				OnHealth: func(_ time.Time, isHealthy bool) { healthy = isHealthy },
			})
			for i, s := range c.steps {
				w.Tick(now)
				call := nextCall(queue)
				switch one := call.(type) {
				case task.Range:
					if one.Query.Partition != s.list {
						t.Fatalf("step %d reads partition %q, want %q", i, one.Query.Partition, s.list)
					}
					one.Done(now, s.answer)
				case task.Watch:
					if s.list != "" || one.After != s.after {
						t.Fatalf("step %d watches after revision %d, want %d", i, one.After, s.after)
					}
					one.Done(now, s.answer)
				default:
					t.Fatalf("step %d made no call", i)
				}
				now = now.Add(s.wait)
			}
			if !slices.Equal(listed, c.listed) || !slices.Equal(changed, c.changed) || healthy != c.healthy {
				t.Errorf("listed %v, changed %v, healthy %t", listed, changed, healthy)
			}
		})
	}
}

// nextCall returns the next task that is not a log line and leaves the rest in the queue.
func nextCall(queue *task.Queue) task.Task {
	var call task.Task
	for _, one := range queue.Take() {
		if _, isLog := one.(task.Log); isLog {
			continue
		}
		if call != nil {
			queue.Add(one)
			continue
		}
		call = one
	}
	return call
}

// TestDelayUnderRefusals checks that refusals increase the delay between calls up to its maximum and
// that answered calls reduce it again.
func TestDelayUnderRefusals(t *testing.T) {
	const gather, most = 40 * time.Millisecond, 800 * time.Millisecond
	for _, c := range []struct {
		name string
		most time.Duration
		// rounds is the number of rounds, each of which consists of refused calls and one answered
		// call.
		rounds, refused int
		least, bound    time.Duration
	}{
		{"no refusals", most, 1, 0, gather, gather},
		{"every second call is refused", most, 30, 1, most / 2, most},
		{"fixed delay", gather, 30, 1, gather, gather},
		// An outage must not slow down the watch after the store has returned.
		{"outage", most, 1, 30, gather, gather + delayStep},
	} {
		now := time.Unix(1000, 0)
		queue := &task.Queue{}
		w := New(Options{
			Table: "t", Queue: queue, MinDelay: gather, MaxDelay: c.most, OnList: func(time.Time, []port.Record) {},
			OnChange: func(time.Time, []port.Record) {}, OnHealth: func(time.Time, bool) {},
		})
		answer := func(status port.RecordStatus) time.Duration {
			w.Tick(now)
			for {
				if one, ok := nextCall(queue).(task.Watch); ok {
					one.Done(now, port.RecordResult{Status: status, Records: []port.Record{{Revision: 1}}})
					break
				}
				now = now.Add(time.Millisecond)
				w.Tick(now)
			}
			return w.delay
		}
		answer(port.RecordDone)
		for range c.rounds {
			for range c.refused {
				answer(port.RecordRefused)
			}
			answer(port.RecordDone)
		}
		if got := w.delay; got < c.least || got > c.bound {
			t.Errorf("%s: delay is %s, want %s to %s", c.name, got, c.least, c.bound)
		}
		for range 60 {
			answer(port.RecordDone)
		}
		if w.delay != gather {
			t.Errorf("%s: delay remains at %s", c.name, w.delay)
		}
	}
}

func TestObservedUntil(t *testing.T) {
	start := time.Unix(1000, 0)
	queue := &task.Queue{}
	w := New(Options{
		Table: "t", Queue: queue, MinDelay: time.Second, OnList: func(time.Time, []port.Record) {},
		OnChange: func(time.Time, []port.Record) {}, OnHealth: func(time.Time, bool) {},
	})
	w.Tick(start)
	first := nextCall(queue).(task.Watch)
	if got := w.ObservedUntil(start.Add(maxChangeLatency / 2)); !got.IsZero() {
		t.Errorf("a call that was just sent confirms nothing: %s", got)
	}
	if got := w.ObservedUntil(start.Add(time.Second)); got != start.Add(time.Second) {
		t.Errorf("a call that waits at the store confirms the current time: %s", got)
	}
	first.Done(start.Add(time.Second), port.RecordResult{Status: port.RecordDone, Records: []port.Record{{Revision: 1}}})
	if got := w.ObservedUntil(start.Add(1500 * time.Millisecond)); got != start.Add(time.Second) {
		t.Errorf("nothing is confirmed between two calls: %s", got)
	}
}

// records returns an answer with the given number of records.
func records(count int) port.RecordResult {
	return port.RecordResult{Status: port.RecordDone, Revision: 5, Records: make([]port.Record, count)}
}

func largeWatch(queue *task.Queue, relaxed func(time.Time) bool) *Watch {
	return New(Options{
		Table: "t", Partitions: []string{""}, Queue: queue, Wait: time.Second, RereadInterval: rereadEvery, MinDelay: 20 * time.Millisecond, Relaxed: relaxed,
		OnList: func(time.Time, []port.Record) {}, OnChange: func(time.Time, []port.Record) {}, OnHealth: func(time.Time, bool) {},
	})
}

// The records read per second do not depend on the size of a large table.
func TestRereadRateIndependentOfTableSize(t *testing.T) {
	const span = 10 * time.Minute
	for _, c := range []struct {
		size int
		most float64
	}{{50, 50 / (rereadEvery.Seconds() / 2)}, {10_000, 200}, {20_000, 200}} {
		now, queue, read := time.Unix(1000, 0), &task.Queue{}, 0
		w := largeWatch(queue, nil)
		for end := now.Add(span); now.Before(end); {
			w.Tick(now)
			switch one := nextCall(queue).(type) {
			case task.Range:
				read += c.size
				one.Done(now, records(c.size))
			case task.Watch:
				now = now.Add(time.Second)
				one.Done(now, port.RecordResult{Status: port.RecordDone, Revision: 5})
			}
		}
		if got := float64(read) / span.Seconds(); got > c.most {
			t.Errorf("read %.0f records per second from a table of %d, want up to %.0f", got, c.size, c.most)
		}
	}
}

// After an unanswered call a large table is not read again, unless its history is compacted.
func TestLargeTableNotRereadAfterFailure(t *testing.T) {
	for _, c := range []struct {
		size   int
		status port.RecordStatus
		reread bool
	}{{LargeTable - 1, port.RecordUnknown, true}, {LargeTable, port.RecordUnknown, false}, {LargeTable, port.RecordCompacted, true}} {
		now, queue := time.Unix(1000, 0), &task.Queue{}
		w := largeWatch(queue, nil)
		w.Tick(now)
		nextCall(queue).(task.Range).Done(now, records(c.size))
		nextCall(queue).(task.Watch).Done(now, port.RecordResult{Status: c.status})
		w.Tick(now.Add(maxBackoff))
		_, reread := nextCall(queue).(task.Range)
		if reread != c.reread || w.Healthy() && c.status == port.RecordUnknown {
			t.Errorf("%d records, status %d: full read %t, healthy %t", c.size, c.status, reread, w.Healthy())
		}
	}
}

// A relaxed watch of a busy table makes a limited number of calls per second and resumes at once when a
// caller waits.
func TestRelaxedWatchIsRateLimited(t *testing.T) {
	relaxed := true
	now, queue, calls := time.Unix(1000, 0), &task.Queue{}, 0
	w := largeWatch(queue, func(time.Time) bool { return relaxed })
	run := func(span time.Duration) int {
		calls = 0
		for end := now.Add(span); now.Before(end); now = now.Add(time.Millisecond) {
			w.Tick(now)
			switch one := nextCall(queue).(type) {
			case task.Range:
				one.Done(now, records(1))
			case task.Watch:
				calls++
				one.Done(now, records(1))
			}
		}
		return calls
	}
	if got := run(10 * time.Second); got > 10*relaxedRate+relaxedBurst {
		t.Errorf("%d calls in 10 s", got)
	}
	w.SkipDelay(now)
	if got := run(3 * time.Millisecond); got != 1 {
		t.Errorf("%d calls after SkipDelay, want 1", got)
	}
	relaxed = false
	if got := run(time.Second); got < 20 {
		t.Errorf("%d calls per second while not relaxed, want at least 20", got)
	}
}

// An unfinished read after a failure must not confirm records: they are as old as the last watch call.
func TestUnfinishedReadConfirmsNothing(t *testing.T) {
	queue := &task.Queue{}
	w := New(Options{Table: "t", Partitions: []string{"p0", "p1"}, Queue: queue, Wait: time.Second,
		OnList: func(time.Time, []port.Record) {}, OnChange: func(time.Time, []port.Record) {}, OnHealth: func(time.Time, bool) {}})
	start := time.Unix(1000, 0)
	now := start
	answer := func(status port.RecordStatus) {
		w.Tick(now)
		switch one := nextCall(queue).(type) {
		case task.Range:
			one.Done(now, port.RecordResult{Status: status, Revision: 5})
		case task.Watch:
			one.Done(now, port.RecordResult{Status: status, Revision: 5})
		default:
			t.Fatalf("no call at %s", now.Sub(start))
		}
	}
	answer(port.RecordDone)
	now = now.Add(time.Second)
	answer(port.RecordDone)
	if got := w.ObservedUntil(now); got != start {
		t.Errorf("observed until %s after the first answer of the read, want its time", got.Sub(start))
	}
	answer(port.RecordDone)
	heard := now
	answer(port.RecordUnknown)
	for range 5 {
		now = now.Add(time.Second)
		answer(port.RecordDone)
		answer(port.RecordUnknown)
		if got := w.ObservedUntil(now); got != heard {
			t.Errorf("%s after the failure: observed until %s after it, want its time", now.Sub(heard), got.Sub(heard))
		}
	}
	now = now.Add(time.Second)
	began := now
	answer(port.RecordDone)
	now = now.Add(time.Second)
	answer(port.RecordDone)
	if got := w.ObservedUntil(now); got != began {
		t.Errorf("observed until %s after the first answer of the repeated read, want its time", got.Sub(began))
	}
}
