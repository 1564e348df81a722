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

// TestAFarStoreIsHeardOfLater: what the store tells is under way for its latency, so that much of
// the time counts as not heard of; a near store is heard of at once, as before.
func TestAFarStoreIsHeardOfLater(t *testing.T) {
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
			t.Fatal("does not watch")
		}
		if got := w.ObservedUntil(start.Add(900 * time.Millisecond)); got != want {
			t.Errorf("%s: heard of all until %s, should be %s", latency, got.Sub(start), want.Sub(start))
		}
	}
}

// TestOneRegionRepeatsOnTime: without a distance a failed call is repeated after the plain pause.
func TestOneRegionRepeatsOnTime(t *testing.T) {
	start := time.Unix(1000, 0)
	queue := &task.Queue{}
	w := newWatch(queue, 1, 0)
	w.options.Distance = nil
	w.Tick(start)
	nextCall(queue).(task.Range).Done(start, port.RecordResult{Status: port.RecordUnknown})
	if got := w.nextAt.Sub(start); got != firstPause {
		t.Errorf("after %s", got)
	}
}

// TestNodesComeBackApart: watches that lose their calls at one moment, as those of a region that is
// cut off do, don't come back at one.
func TestNodesComeBackApart(t *testing.T) {
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
			t.Errorf("%d of %d come back within 25 ms, %s after the cut", together, nodes, when.Sub(start))
		}
	}
}
