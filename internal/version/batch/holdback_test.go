package batch

import (
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/process/task"
)

// newGroupedJob returns a job with groups of four items, of which the client requests a number.
func newGroupedJob(groups, desired int) *doorstepv1.BatchJob {
	job := newJob("j", 4*groups)
	job.DesiredGroups = int32(desired)
	for i, batchItem := range job.Items {
		batchItem.Group = string(rune('a' + i/4))
	}
	return job
}

func TestHoldback(t *testing.T) {
	const deadline = 8 * time.Second
	for _, c := range []struct {
		name string
		// at is the job's age when all items except unfinished ones finish.
		at         time.Duration
		unfinished []int
		// desired is the number of groups requested by the client.
		desired int
		// after is the delay before the results are read.
		after  time.Duration
		listed int
	}{
		{"early: listed immediately", 2 * time.Second, []int{0}, 4, 500 * time.Millisecond, 15},
		{"late: held until the last item", 6500 * time.Millisecond, []int{0}, 4, 500 * time.Millisecond, 0},
		{"late, but many items are missing", 6500 * time.Millisecond, []int{0, 1, 2, 3, 4}, 4, 500 * time.Millisecond, 11},
		{"late, and the requested groups are complete", 6500 * time.Millisecond, []int{0}, 3, 500 * time.Millisecond, 15},
		{"late, and one of the requested groups is incomplete", 6500 * time.Millisecond, []int{0, 4}, 3, 500 * time.Millisecond, 0},
		{"deadline reached", 6500 * time.Millisecond, []int{0}, 4, 1600 * time.Millisecond, 15},
		{"no groups requested", 6500 * time.Millisecond, []int{0}, 0, 500 * time.Millisecond, 15},
		{"all items are finished", 6500 * time.Millisecond, nil, 4, 500 * time.Millisecond, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNode("a", newStore())
			n.route.ResultDeadline = deadline
			n.accept(newGroupedJob(4, c.desired))
			n.elapse(200 * time.Millisecond)
			n.now = epoch.Add(c.at)
			missing := map[string]bool{}
			for _, index := range c.unfinished {
				missing[n.jobs.owned["j"].job.Items[index].Id] = true
			}
			for _, run := range n.takeRuns() {
				if !missing[run.Item] {
					n.finish(run, task.RunCompleted, 2, 10)
				}
			}
			n.elapse(c.after)
			if got := len(n.results(t, "j")); got != c.listed {
				t.Errorf("%d results listed, want %d", got, c.listed)
			}
		})
	}
}

// TestHeldResultsAreListedTogether tests that the last item releases all held results in one
// write.
func TestHeldResultsAreListedTogether(t *testing.T) {
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
		t.Errorf("%d results listed with the last one, want 16", got)
	}
}

// TestHeldResultsSurviveOwner tests that a new owner lists the checkpointed texts of held
// results.
func TestHeldResultsSurviveOwner(t *testing.T) {
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
		t.Fatalf("%d results listed, want all held back", got)
	}
	other := newTestNode("b", owner.store)
	other.route.ResultDeadline = 8 * time.Second
	other.now = owner.now
	syncHeads(other)
	other.elapse(2 * time.Second)
	runs, calls := other.takeRuns(), other.takeCalls()
	if len(runs) != 1 || len(calls) != 0 {
		t.Errorf("%d runs and %d scoring calls, want 1 and 0", len(runs), len(calls))
	}
	got := other.results(t, "j")
	if len(got) != 15 || got[0].Score != "signed" || got[0].Message == "" {
		t.Errorf("%d results listed, want 15 with text and score", len(got))
	}
}
