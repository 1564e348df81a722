package recordwatch

import (
	"slices"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// step is one call that a watch is expected to make, and its answer.
type step struct {
	// list is the partition of a read, empty for a watch after the revision.
	list   string
	after  int64
	answer port.RecordResult
	// wait passes before the next call is due.
	wait time.Duration
}

// rereadEvery is the interval of whole reads in these tests.
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
		{"reads all partitions, then watches from the first read", []step{
			{list: "p0", answer: done(5, "a")}, {list: "p1", answer: done(7, "b")}, {after: 5, answer: done(8, "c")}, {after: 8, answer: done(8)},
		}, []string{"a", "b"}, []string{"c"}, true},
		{"goes on from the answer's revision without a change", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5)}, {after: 5, answer: done(9)}, {after: 9, answer: done(9)},
		}, nil, nil, true},
		{"history that is gone is read again at once", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5)}, {after: 5, answer: port.RecordResult{Status: port.RecordCompacted}},
			{list: "p0", answer: done(30, "x")}, {list: "p1", answer: done(30)}, {after: 30, answer: done(30)},
		}, []string{"x"}, nil, true},
		{"a watch without an answer breaks", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5)}, {after: 5, answer: port.RecordResult{Status: port.RecordUnknown}, wait: longestPause},
			{list: "p0", answer: port.RecordResult{Status: port.RecordUnknown}, wait: longestPause},
		}, nil, nil, false},
		{"a refused watch goes on from where it stands", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5)}, {after: 5, answer: port.RecordResult{Status: port.RecordRefused}, wait: longestPause},
			{after: 5, answer: done(7, "w"), wait: longestPause}, {after: 7, answer: done(7)},
		}, nil, []string{"w"}, true},
		{"so does a refused read", []step{
			{list: "p0", answer: done(5, "a")}, {list: "p1", answer: port.RecordResult{Status: port.RecordRefused}, wait: longestPause},
			{list: "p1", answer: done(6, "b"), wait: longestPause}, {after: 5, answer: done(6)},
		}, []string{"a", "b"}, nil, true},
		{"a watch that is refused for long is broken", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5), wait: refusedFor + time.Millisecond}, {after: 5, answer: port.RecordResult{Status: port.RecordRefused}, wait: longestPause},
		}, nil, nil, false},
		{"and is whole again after a read", []step{
			{list: "p0", answer: done(5)}, {list: "p1", answer: done(5)}, {after: 5, answer: port.RecordResult{Status: port.RecordUnknown}, wait: longestPause},
			{list: "p0", answer: done(9, "y")}, {list: "p1", answer: done(9)}, {after: 9, answer: done(9)},
		}, []string{"y"}, nil, true},
		{"a long range is read on", []step{
			{list: "p0", answer: port.RecordResult{Status: port.RecordDone, Revision: 4, More: true, Records: done(4, "a").Records}},
			{list: "p0", answer: done(6, "b")}, {list: "p1", answer: done(6)}, {after: 4, answer: done(6)},
		}, []string{"a", "b"}, nil, true},
		{"reads all now and then, as a watch may miss changes", []step{
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
				Table: "t", Partitions: []string{"p0", "p1"}, Queue: queue, Wait: time.Second, Reread: rereadEvery,
				OnList:   func(_ time.Time, records []port.Record) { listed = names(records) },
				OnChange: func(_ time.Time, records []port.Record) { changed = append(changed, names(records)...) },
				OnHealth: func(_ time.Time, whole bool) { healthy = whole },
			})
			for i, s := range c.steps {
				w.Tick(now)
				call := nextCall(queue)
				switch one := call.(type) {
				case task.Range:
					if one.Query.Partition != s.list {
						t.Fatalf("step %d reads %q", i, one.Query.Partition)
					}
					one.Done(now, s.answer)
				case task.Watch:
					if s.list != "" || one.After != s.after {
						t.Fatalf("step %d watches after %d", i, one.After)
					}
					one.Done(now, s.answer)
				default:
					t.Fatalf("step %d makes no call", i)
				}
				now = now.Add(s.wait)
			}
			if !slices.Equal(listed, c.listed) || !slices.Equal(changed, c.changed) || healthy != c.healthy {
				t.Errorf("listed %v, changed %v, healthy %t", listed, changed, healthy)
			}
		})
	}
}

// nextCall returns the next task that is no log line; what follows stays queued.
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

// TestPaceUnderRefusals drives a watch whose table always changes against a store that
// refuses some calls: it slows down up to its bound, and returns to its own pace.
func TestPaceUnderRefusals(t *testing.T) {
	const gather, most = 40 * time.Millisecond, 800 * time.Millisecond
	for _, c := range []struct {
		name string
		most time.Duration
		// rounds of so many refusals, each with an answer behind it.
		rounds, refused int
		least, bound    time.Duration
	}{
		{"no refusal", most, 1, 0, gather, gather},
		{"every second call is refused", most, 30, 1, most / 2, most},
		{"a watch that yields to none", gather, 30, 1, gather, gather},
		// ovc-plovdiv-large, trouble-2: after 5 s without the store each node heard of new jobs
		// and versions up to 1.2 s late, for more than 10 s.
		{"an outage", most, 1, 30, gather, gather + gatherStep},
	} {
		now := time.Unix(1000, 0)
		queue := &task.Queue{}
		w := New(Options{
			Table: "t", Queue: queue, Gather: gather, MostGather: c.most, OnList: func(time.Time, []port.Record) {},
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
			return w.gather
		}
		answer(port.RecordDone)
		for range c.rounds {
			for range c.refused {
				answer(port.RecordRefused)
			}
			answer(port.RecordDone)
		}
		if got := w.gather; got < c.least || got > c.bound {
			t.Errorf("%s: the pause is %s, should be from %s to %s", c.name, got, c.least, c.bound)
		}
		for range 60 {
			answer(port.RecordDone)
		}
		if w.gather != gather {
			t.Errorf("%s: the pause stays at %s", c.name, w.gather)
		}
	}
}

func TestObservedUntil(t *testing.T) {
	start := time.Unix(1000, 0)
	queue := &task.Queue{}
	w := New(Options{
		Table: "t", Queue: queue, Gather: time.Second, OnList: func(time.Time, []port.Record) {},
		OnChange: func(time.Time, []port.Record) {}, OnHealth: func(time.Time, bool) {},
	})
	w.Tick(start)
	first := nextCall(queue).(task.Watch)
	if got := w.ObservedUntil(start.Add(answerWithin / 2)); !got.IsZero() {
		t.Errorf("a call that was just sent says nothing yet: %s", got)
	}
	if got := w.ObservedUntil(start.Add(time.Second)); got != start.Add(time.Second) {
		t.Errorf("a call that waits at the store has heard of everything: %s", got)
	}
	first.Done(start.Add(time.Second), port.RecordResult{Status: port.RecordDone, Records: []port.Record{{Revision: 1}}})
	if got := w.ObservedUntil(start.Add(1500 * time.Millisecond)); got != start.Add(time.Second) {
		t.Errorf("between two calls nothing is heard: %s", got)
	}
}

// records returns an answer with so many records.
func records(count int) port.RecordResult {
	return port.RecordResult{Status: port.RecordDone, Revision: 5, Records: make([]port.Record, count)}
}

func largeWatch(queue *task.Queue, relaxed func(time.Time) bool) *Watch {
	return New(Options{
		Table: "t", Partitions: []string{""}, Queue: queue, Wait: time.Second, Reread: rereadEvery, Gather: 20 * time.Millisecond, Relaxed: relaxed,
		OnList: func(time.Time, []port.Record) {}, OnChange: func(time.Time, []port.Record) {}, OnHealth: func(time.Time, bool) {},
	})
}

// TestWholeReadingsCostTheSame: over ten minutes a node reads as many records a second of a table of 10,000
// as of one twice as large, and all of a small one each few seconds.
func TestWholeReadingsCostTheSame(t *testing.T) {
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
			t.Errorf("%.0f records a second of a table of %d, should be up to %.0f", got, c.size, c.most)
		}
	}
}

// TestALargeTableIsWatchedOn: after a call without an answer a large table is not read again, a small one
// and one whose history is gone are.
func TestALargeTableIsWatchedOn(t *testing.T) {
	for _, c := range []struct {
		size   int
		status port.RecordStatus
		whole  bool
	}{{LargeTable - 1, port.RecordUnknown, true}, {LargeTable, port.RecordUnknown, false}, {LargeTable, port.RecordCompacted, true}} {
		now, queue := time.Unix(1000, 0), &task.Queue{}
		w := largeWatch(queue, nil)
		w.Tick(now)
		nextCall(queue).(task.Range).Done(now, records(c.size))
		nextCall(queue).(task.Watch).Done(now, port.RecordResult{Status: c.status})
		w.Tick(now.Add(longestPause))
		_, whole := nextCall(queue).(task.Range)
		if whole != c.whole || w.Healthy() && c.status == port.RecordUnknown {
			t.Errorf("%d records, status %d: read whole %t, healthy %t", c.size, c.status, whole, w.Healthy())
		}
	}
}

// TestRelaxedCallsAreSpaced: a table that changes all the time costs a relaxed watch a few calls a second,
// whatever the rate of changes; one that is waited for is heard of at once.
func TestRelaxedCallsAreSpaced(t *testing.T) {
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
	w.Hasten(now)
	if got := run(3 * time.Millisecond); got != 1 {
		t.Errorf("%d calls right after a caller began to wait", got)
	}
	relaxed = false
	if got := run(time.Second); got < 20 {
		t.Errorf("%d calls a second while changes are of use", got)
	}
}

// TestAnUnfinishedReadingConfirmsNothing: a watch broke, and the store answers only some of the calls by which the
// table is read anew. What is known of the rest is as old as the watch; taken for newer, two owners that hadn't
// heard of one another each sent a cold replica all that it bears. Seed 702106 of the simulator showed it.
func TestAnUnfinishedReadingConfirmsNothing(t *testing.T) {
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
		t.Errorf("a reading confirms what stood at its first answer, not %s after it", got.Sub(start))
	}
	answer(port.RecordDone)
	heard := now
	answer(port.RecordUnknown)
	for range 5 {
		now = now.Add(time.Second)
		answer(port.RecordDone)
		answer(port.RecordUnknown)
		if got := w.ObservedUntil(now); got != heard {
			t.Errorf("%s after the watch broke changes count as heard of until %s after it", now.Sub(heard), got.Sub(heard))
		}
	}
	now = now.Add(time.Second)
	began := now
	answer(port.RecordDone)
	now = now.Add(time.Second)
	answer(port.RecordDone)
	if got := w.ObservedUntil(now); got != began {
		t.Errorf("the table that is read whole is known as of its first answer, not %s after it", got.Sub(began))
	}
}
