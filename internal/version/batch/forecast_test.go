package batch

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	forecastDeadline = 8 * time.Second
	forecastPace     = 50 * time.Millisecond
)

// newProgressNode returns a node with a running job of four groups of four items, at an age at
// which its completion is forecast.
func newProgressNode(t *testing.T, desired int, age time.Duration) (*testNode, []task.Run) {
	t.Helper()
	n := newTestNode("a", newStore())
	n.route.ResultDeadline = forecastDeadline
	n.maxEvents = 140
	n.accept(newGroupedJob(4, desired))
	n.elapse(200 * time.Millisecond)
	n.now = epoch.Add(age)
	return n, n.takeRuns()
}

// reportProgress reports the progress of a run to its owner.
func (n *testNode) reportProgress(run task.Run, count int) {
	run.Progress(n.now, make([]port.ReplicaEvent, count), forecastPace)
	n.runTasks()
}

func TestForecastCompletion(t *testing.T) {
	for _, c := range []struct {
		name    string
		age     time.Duration
		desired int
		// events returns the number of events of an item's text; -1 for a complete text.
		events func(item int) int
		// maxEvents is the maximum number of events, remaining the expected time to completion, or 0 if
		// unknown.
		maxEvents int
		remaining time.Duration
	}{
		{"the slowest of all groups", 6 * time.Second, 4, func(item int) int { return 100 + item }, 140, 40 * forecastPace},
		{"the slowest of the requested groups", 6 * time.Second, 3, func(item int) int { return 100 + item }, 140, 36 * forecastPace},
		{"one item is missing", 6 * time.Second, 4, func(item int) int {
			if item == 7 {
				return 130
			}
			return -1
		}, 140, 10 * forecastPace},
		{"a text beyond its maximum length", 6 * time.Second, 4, func(int) int { return 150 }, 140, time.Nanosecond},
		{"too early for a forecast", 3 * time.Second, 4, func(int) int { return 50 }, 140, 0},
		{"unknown maximum length", 6 * time.Second, 4, func(int) int { return 50 }, 0, 0},
		{"no groups requested", 6 * time.Second, 0, func(int) int { return 50 }, 140, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, runs := newProgressNode(t, c.desired, c.age)
			n.maxEvents = c.maxEvents
			for _, run := range runs {
				item := 0
				for i, batchItem := range n.jobs.owned["j"].job.Items {
					if batchItem.Id == run.Item {
						item = i
					}
				}
				if events := c.events(item); events >= 0 {
					n.reportProgress(run, events)
				} else {
					n.finish(run, task.RunCompleted, 2, 20)
				}
			}
			got := n.jobs.owned["j"].forecastCompletion(n.now)
			if got.IsZero() != (c.remaining == 0) {
				t.Fatalf("complete at %s, want known %t", got, c.remaining != 0)
			}
			if left := got.Sub(n.now); c.remaining != 0 && (left-c.remaining).Abs() > time.Millisecond {
				t.Errorf("complete in %s, want %s", left, c.remaining)
			}
		})
	}
}

// TestHoldPastDeadline tests that results are held past the deadline only if the missing ones
// are about to complete.
func TestHoldPastDeadline(t *testing.T) {
	for _, c := range []struct {
		name   string
		events int
		listed int
	}{
		{"complete shortly after the deadline", 131, 0},
		{"complete much later", 100, 15},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, runs := newProgressNode(t, 4, 7600*time.Millisecond)
			for _, run := range runs[1:] {
				n.finish(run, task.RunCompleted, 2, 20)
			}
			n.reportProgress(runs[0], c.events)
			n.elapse(500 * time.Millisecond)
			if got := len(n.results(t, "j")); got != c.listed {
				t.Errorf("%d results listed shortly after the deadline, want %d", got, c.listed)
			}
			n.elapse(500 * time.Millisecond)
			if got := len(n.results(t, "j")); got != 15 {
				t.Errorf("%d results listed in the end, want 15", got)
			}
		})
	}
}
