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

// progressBench has a job of four groups of four items, of which the client waits for some, at an
// age at which its owner tells a forecast; all of its items run.
func newProgressNode(t *testing.T, desired int, age time.Duration) (*testNode, []task.Run) {
	t.Helper()
	n := newTestNode("a", newStore())
	n.route.ResultDeadline = forecastDeadline
	n.mostEvents = 140
	n.accept(newGroupedJob(4, desired))
	n.elapse(200 * time.Millisecond)
	n.now = epoch.Add(age)
	return n, n.takeRuns()
}

// made tells the owner of the events of a run.
func (n *testNode) reportProgress(run task.Run, count int) {
	run.Progress(n.now, make([]port.ReplicaEvent, count), forecastPace)
	n.runTasks()
}

func TestForecast(t *testing.T) {
	for _, c := range []struct {
		name    string
		age     time.Duration
		desired int
		// made are the events of an item's text so far, by its number; -1 means that it is whole.
		made func(item int) int
		// most are told for a text, left is how long the job is expected to take yet, 0 if that
		// can't be told.
		most int
		left time.Duration
	}{
		{"the slowest of all groups", 6 * time.Second, 4, func(item int) int { return 100 + item }, 140, 40 * forecastPace},
		{"the slowest of those that are waited for", 6 * time.Second, 3, func(item int) int { return 100 + item }, 140, 36 * forecastPace},
		{"one is missing", 6 * time.Second, 4, func(item int) int {
			if item == 7 {
				return 130
			}
			return -1
		}, 140, 10 * forecastPace},
		{"a text beyond its most", 6 * time.Second, 4, func(int) int { return 150 }, 140, time.Nanosecond},
		{"too early to tell", 3 * time.Second, 4, func(int) int { return 50 }, 140, 0},
		{"the most is not told", 6 * time.Second, 4, func(int) int { return 50 }, 0, 0},
		{"nobody waits for groups", 6 * time.Second, 0, func(int) int { return 50 }, 140, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, runs := newProgressNode(t, c.desired, c.age)
			n.mostEvents = c.most
			for _, run := range runs {
				item := 0
				for i, batchItem := range n.jobs.owned["j"].job.Items {
					if batchItem.Id == run.Item {
						item = i
					}
				}
				if made := c.made(item); made >= 0 {
					n.reportProgress(run, made)
				} else {
					n.finish(run, task.RunCompleted, 2, 20)
				}
			}
			got := n.jobs.owned["j"].forecastCompletion(n.now)
			if got.IsZero() != (c.left == 0) {
				t.Fatalf("whole at %s, should be told %t", got, c.left != 0)
			}
			if left := got.Sub(n.now); c.left != 0 && (left-c.left).Abs() > time.Millisecond {
				t.Errorf("whole in %s, should be %s", left, c.left)
			}
		})
	}
}

// TestHeldBackBeyondDue: results that lack what comes a moment later would cost the client
// another pause; those that lack more are listed when they are due.
func TestHeldBackBeyondDue(t *testing.T) {
	for _, c := range []struct {
		name   string
		made   int
		listed int
	}{
		{"whole a moment after", 131, 0},
		{"whole much later", 100, 15},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, runs := newProgressNode(t, 4, 7600*time.Millisecond)
			for _, run := range runs[1:] {
				n.finish(run, task.RunCompleted, 2, 20)
			}
			n.reportProgress(runs[0], c.made)
			n.elapse(500 * time.Millisecond)
			if got := len(n.results(t, "j")); got != c.listed {
				t.Errorf("%d results are listed just after they are due, should be %d", got, c.listed)
			}
			n.elapse(500 * time.Millisecond)
			if got := len(n.results(t, "j")); got != 15 {
				t.Errorf("%d results are listed in the end, should be 15", got)
			}
		})
	}
}
