package batch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// maxListingTime is within what time a finished item must be readable while the store accepts writes: the
// delay for shared writes and a tick.
const maxListingTime = listingDelay + 25*time.Millisecond

// TestFinishedResultsAreListed guards against finished results that are kept from clients, at whatever age of
// the job and however many groups and items are missing.
func TestFinishedResultsAreListed(t *testing.T) {
	random := rand.New(rand.NewPCG(59, 1))
	for range 1200 {
		deadline := time.Duration(1+random.IntN(24)) * time.Second
		age := time.Duration(random.Int64N(int64(deadline + deadline/4)))
		groups := 1 + random.IntN(12)
		desired := random.IntN(groups + 1)
		running := random.IntN(4*groups + 1)
		progress := random.IntN(140)
		n := newTestNode("a", newStore())
		n.route.ResultDeadline = deadline
		n.maxEvents = 140
		n.accept(newGroupedJob(groups, desired))
		n.elapse(50 * time.Millisecond)
		n.now = epoch.Add(max(age, 50*time.Millisecond))
		runs := n.takeRuns()
		for _, run := range runs[:running] {
			n.reportProgress(run, progress)
		}
		for _, run := range runs[running:] {
			n.finish(run, task.RunCompleted, 2, 10)
		}
		n.elapse(maxListingTime)
		if got, want := len(n.results(t, "j")), len(runs)-running; got != want {
			t.Errorf("deadline %s, age %s, %d groups of which %d are requested, %d items running: %d results listed, want %d",
				deadline, age, groups, desired, running, got, want)
		}
	}
}

// TestResultsShareWrites guards against a write for each of many results that finish at about the same time.
func TestResultsShareWrites(t *testing.T) {
	n, runs := newProgressNode(t, 4, time.Second)
	writes := 0
	n.commitHook = func(commit task.Commit) (port.RecordResult, bool) {
		if len(commit.Transaction.Puts) > 1 {
			writes++
		}
		return port.RecordResult{}, false
	}
	for _, run := range runs[:3] {
		n.finish(run, task.RunCompleted, 2, 10)
		n.now = n.now.Add(time.Millisecond)
	}
	n.elapse(maxListingTime)
	if got := len(n.results(t, "j")); got != 3 || writes != 1 {
		t.Errorf("%d results listed in %d writes, want 3 in one", got, writes)
	}
}

// TestListingIsRetried guards against results that stay unlisted because the store rejected a write.
func TestListingIsRetried(t *testing.T) {
	n, runs := newProgressNode(t, 4, 6500*time.Millisecond)
	rejected := 0
	n.commitHook = func(commit task.Commit) (port.RecordResult, bool) {
		reject := len(commit.Transaction.Puts) > 1 && n.now.Sub(epoch) < 7*time.Second
		if reject {
			rejected++
		}
		return port.RecordResult{Status: port.RecordRefused}, reject
	}
	for _, run := range runs[1:] {
		n.finish(run, task.RunCompleted, 2, 20)
	}
	n.elapse(500*time.Millisecond + maxBackoff + 50*time.Millisecond)
	if got := len(n.results(t, "j")); rejected == 0 || got != 15 {
		t.Errorf("%d results listed after %d rejected writes, want 15", got, rejected)
	}
}

// TestLargeResultsAreListed guards against results that stay unlisted because they exceed one transaction.
func TestLargeResultsAreListed(t *testing.T) {
	n, runs := newProgressNode(t, 4, 6500*time.Millisecond)
	text := strings.Repeat("x", maxTransactionBytes/10)
	for _, run := range runs {
		run.Done(n.now, task.RunResult{Outcome: task.RunCompleted, Events: []port.ReplicaEvent{{ID: 1, Data: text, Version: 2}}})
		n.runTasks()
	}
	n.elapse(maxListingTime)
	if got := n.jobs.heads["j"].Listed; got != 16 {
		t.Errorf("%d results listed, want 16", got)
	}
}

// TestFinishedTextsSurviveOwner guards against finished texts that a new owner generates or scores again because the
// former one could not list them.
func TestFinishedTextsSurviveOwner(t *testing.T) {
	owner := newTestNode("a", newStore())
	job := newGroupedJob(4, 4)
	for i, batchItem := range job.Items {
		batchItem.Scoring = &doorstepv1.ScoringCall{Id: fmt.Sprint("score-", i), Host: "h", Path: scoringPath}
	}
	owner.accept(job)
	owner.elapse(200 * time.Millisecond)
	owner.commitHook = func(commit task.Commit) (port.RecordResult, bool) {
		isHead := len(commit.Transaction.Preconditions) > 0
		return port.RecordResult{Status: port.RecordRefused}, isHead && len(commit.Transaction.Puts) > 1
	}
	for _, run := range owner.takeRuns()[1:] {
		owner.finish(run, task.RunCompleted, 2, 10)
	}
	owner.elapse(25 * time.Millisecond)
	for _, call := range owner.takeCalls() {
		owner.answerCall(call, scoreGiven)
	}
	owner.elapse(checkpointInterval + 100*time.Millisecond)
	if got := len(owner.results(t, "j")); got != 0 {
		t.Fatalf("%d results listed although the store rejects them", got)
	}
	other := newTestNode("b", owner.store)
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
