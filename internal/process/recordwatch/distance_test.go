package recordwatch

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

func newWatch(queue *task.Queue, jitter float64, latency time.Duration) *Watch {
	return New(Options{
		Table: "t", Partitions: []string{"p"}, Queue: queue, Wait: time.Second, Jitter: jitter, Distance: func() time.Duration { return latency },
		OnList: func(time.Time, []port.Record) {}, OnChange: func(time.Time, []port.Record) {}, OnHealth: func(time.Time, bool) {},
	})
}

// Changes from a distant store arrive after its latency, so the observed time lags by that much.
func TestObservedUntilDistantStore(t *testing.T) {
	start := time.Unix(1000, 0)
	for latency, want := range map[time.Duration]time.Time{
		4 * time.Millisecond: start.Add(900 * time.Millisecond), 45 * time.Millisecond: start.Add(900 * time.Millisecond),
		600 * time.Millisecond: start.Add(300 * time.Millisecond), time.Second: start,
	} {
		queue := &task.Queue{}
		w := newWatch(queue, 0, latency)
		w.Tick(start)
		nextCall(queue).(task.Range).Done(start, port.RecordResult{Status: port.RecordDone})
		if _, watches := nextCall(queue).(task.Watch); !watches {
			t.Fatal("made no watch call after the read")
		}
		if got := w.ObservedUntil(start.Add(900 * time.Millisecond)); got != want {
			t.Errorf("latency %s: observed until %s, want %s", latency, got.Sub(start), want.Sub(start))
		}
	}
}

// Without a Distance a failed call is retried after the backoff without jitter.
func TestRetryWithoutDistance(t *testing.T) {
	start := time.Unix(1000, 0)
	queue := &task.Queue{}
	w := newWatch(queue, 1, 0)
	w.options.Distance = nil
	w.Tick(start)
	nextCall(queue).(task.Range).Done(start, port.RecordResult{Status: port.RecordUnknown})
	if got := w.nextAt.Sub(start); got != minBackoff {
		t.Errorf("retry after %s, want %s", got, minBackoff)
	}
}

// Watches that lose their calls at the same moment must not retry at the same moment.
func TestRetriesAreSpread(t *testing.T) {
	start := time.Unix(1000, 0)
	const nodes = 40
	at := map[time.Time]int{}
	for i := range nodes {
		queue := &task.Queue{}
		w := newWatch(queue, float64(i)/nodes, 0)
		now := start
		for range 6 {
			w.Tick(now)
			nextCall(queue).(task.Range).Done(now, port.RecordResult{Status: port.RecordUnknown})
			now = w.nextAt
		}
		at[now.Truncate(25*time.Millisecond)]++
	}
	for when, together := range at {
		if together > nodes/4 {
			t.Errorf("%d of %d nodes retry within 25 ms, %s after the failure", together, nodes, when.Sub(start))
		}
	}
}
