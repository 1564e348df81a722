package batch

import (
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/process/task"
)

// groupedJob has groups of four items, of which the client waits for some.
func newGroupedJob(groups, desired int) *doorstepv1.BatchJob {
	job := newJob("j", 4*groups)
	job.DesiredGroups = int32(desired)
	for i, batchItem := range job.Items {
		batchItem.Group = string(rune('a' + i/4))
	}
	return job
}

func TestHoldback(t *testing.T) {
	const due = 8 * time.Second
	for _, c := range []struct {
		name string
		// at is the job's age when the items before the last ones are finished, left how
		// many are not.
		at   time.Duration
		left []int
		// desired is how many of the four groups the client waits for.
		desired int
		// after is how long it takes until the results are looked for.
		after  time.Duration
		listed int
	}{
		{"early: listed as they come", 2 * time.Second, []int{0}, 4, 500 * time.Millisecond, 15},
		{"late: the last are waited for", 6500 * time.Millisecond, []int{0}, 4, 500 * time.Millisecond, 0},
		{"late, but many are missing", 6500 * time.Millisecond, []int{0, 1, 2, 3, 4}, 4, 500 * time.Millisecond, 11},
		{"late, and the groups that the client waits for are whole", 6500 * time.Millisecond, []int{0}, 3, 500 * time.Millisecond, 15},
		{"late, and one of the groups that the client waits for is missing", 6500 * time.Millisecond, []int{0, 4}, 3, 500 * time.Millisecond, 0},
		{"the results are due", 6500 * time.Millisecond, []int{0}, 4, 1600 * time.Millisecond, 15},
		{"no groups are waited for", 6500 * time.Millisecond, []int{0}, 0, 500 * time.Millisecond, 15},
		{"all are finished", 6500 * time.Millisecond, nil, 4, 500 * time.Millisecond, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNode("a", newStore())
			n.route.ResultDeadline = due
			n.accept(newGroupedJob(4, c.desired))
			n.elapse(200 * time.Millisecond)
			n.now = epoch.Add(c.at)
			missing := map[string]bool{}
			for _, index := range c.left {
				missing[n.jobs.owned["j"].job.Items[index].Id] = true
			}
			for _, run := range n.takeRuns() {
				if !missing[run.Item] {
					n.finish(run, task.RunCompleted, 2, 10)
				}
			}
			n.elapse(c.after)
			if got := len(n.results(t, "j")); got != c.listed {
				t.Errorf("%d results are listed, should be %d", got, c.listed)
			}
		})
	}
}

// TestHeldBackResultsComeTogether: the last item brings all that was held back in one write.
func TestHeldBackResultsComeTogether(t *testing.T) {
	n := newTestNode("a", newStore())
	n.route.ResultDeadline = 8 * time.Second
	n.accept(newGroupedJob(4, 4))
	n.elapse(200 * time.Millisecond)
	n.now = epoch.Add(6500 * time.Millisecond)
	runs := n.takeRuns()
	for _, run := range runs[1:] {
		n.finish(run, task.RunCompleted, 2, 10)
	}
	n.elapse(300 * time.Millisecond)
	n.finish(runs[0], task.RunCompleted, 2, 10)
	if got := len(n.results(t, "j")); got != 16 {
		t.Errorf("%d results are listed with the last", got)
	}
}

// TestHeldBackResultsOutliveTheirOwner: the next owner has the texts and lists them.
func TestHeldBackResultsOutliveTheirOwner(t *testing.T) {
	owner := newTestNode("a", newStore())
	owner.route.ResultDeadline = 8 * time.Second
	job := newGroupedJob(4, 4)
	for _, batchItem := range job.Items {
		batchItem.Scoring = &doorstepv1.ScoringCall{Id: "score-" + batchItem.Id, Host: "h", Path: scoringPath}
	}
	owner.accept(job)
	owner.elapse(200 * time.Millisecond)
	owner.now = epoch.Add(6500 * time.Millisecond)
	for _, run := range owner.takeRuns()[1:] {
		owner.finish(run, task.RunCompleted, 2, 10)
	}
	owner.elapse(25 * time.Millisecond)
	for _, call := range owner.takeCalls() {
		owner.answerCall(call, scoreGiven)
	}
	owner.elapse(checkpointInterval + 100*time.Millisecond)
	if got := len(owner.results(t, "j")); got != 0 {
		t.Fatalf("%d results are listed, should be held back", got)
	}
	other := newTestNode("b", owner.store)
	other.route.ResultDeadline = 8 * time.Second
	other.now = owner.now
	syncHeads(other)
	other.elapse(2 * time.Second)
	runs, calls := other.takeRuns(), other.takeCalls()
	if len(runs) != 1 || len(calls) != 0 {
		t.Errorf("%d runs and %d scoring calls: one item is missing", len(runs), len(calls))
	}
	got := other.results(t, "j")
	if len(got) != 15 || got[0].Score != "signed" || got[0].Message == "" {
		t.Errorf("%d results are listed", len(got))
	}
}
