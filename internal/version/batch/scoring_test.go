package batch

import (
	"net/http"
	"slices"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/request/relay"
)

// scoringPath is the path of the scoring calls of newScoredJob.
const scoringPath = "/score"

func newScoredJob(id string, items int) *doorstepv1.BatchJob {
	job := newJob(id, items)
	for _, batchItem := range job.Items {
		batchItem.Scoring = &doorstepv1.ScoringCall{Id: "score-" + batchItem.Id, Host: "h", Path: scoringPath, Body: []byte("s")}
	}
	return job
}

func (n *testNode) takeCalls() []task.ScoringCall {
	calls := n.calls
	n.calls = nil
	return calls
}

// answerCall ends an attempt of a scoring call.
func (n *testNode) answerCall(call task.ScoringCall, result task.ScoringResult) {
	call.Done(n.now, result)
	n.runTasks()
}

var (
	scoreLost    = task.ScoringResult{Outcome: relay.Broken, Err: http.ErrAbortHandler}
	scoreRefused = task.ScoringResult{Outcome: relay.NotRun, Status: http.StatusServiceUnavailable}
	scoreFailed  = task.ScoringResult{Outcome: relay.Errored, Status: http.StatusInternalServerError}
	scoreLate    = task.ScoringResult{Outcome: relay.Errored, Status: http.StatusGatewayTimeout}
	scoreUnknown = task.ScoringResult{Outcome: relay.Answered, Status: http.StatusNotFound, Score: "signed"}
	scoreGiven   = task.ScoringResult{Outcome: relay.Answered, Status: http.StatusOK, Score: "signed"}
)

// newScoringNode returns a node with a job of one item whose text is complete.
func newScoringNode(t *testing.T) *testNode {
	t.Helper()
	n := newTestNode("a", newStore())
	n.accept(newScoredJob("j", 1))
	n.elapse(200 * time.Millisecond)
	if calls := n.takeCalls(); len(calls) != 0 {
		t.Fatalf("%d scoring calls before the text is complete", len(calls))
	}
	n.finish(n.takeRuns()[0], task.RunCompleted, 2, 10)
	return n
}

func TestScoringCalls(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []task.ScoringResult
		// completed is set if the item is scored, unset if it is terminated.
		completed bool
	}{
		{"scored at once", []task.ScoringResult{scoreGiven}, true},
		{"lost, then scored", []task.ScoringResult{scoreLost, scoreLost, scoreLost, scoreGiven}, true},
		{"refused, then scored", []task.ScoringResult{scoreRefused, scoreRefused, scoreRefused, scoreRefused, scoreGiven}, true},
		{"a timeout at the replica does not count as a failure", []task.ScoringResult{scoreLate, scoreLate, scoreLate, scoreLate, scoreGiven}, true},
		{"an unsuccessful response has no score", []task.ScoringResult{scoreUnknown, scoreUnknown, scoreUnknown, scoreUnknown, scoreGiven}, true},
		{"fewer failures than the routes allow", []task.ScoringResult{scoreFailed, scoreFailed, scoreGiven}, true},
		{"failed in every attempt", []task.ScoringResult{scoreFailed, scoreLost, scoreFailed, scoreRefused, scoreFailed}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newScoringNode(t)
			for i, answer := range c.answers {
				n.elapse(500 * time.Millisecond)
				calls := n.takeCalls()
				if len(calls) != 1 {
					t.Fatalf("%d calls for answer %d", len(calls), i)
				}
				if call := calls[0]; call.Request != "score-j-0" || call.Replica != "q" || call.Target != scoringPath || call.Limit <= 0 || call.Limit > n.scoringRoute.Timeout {
					t.Fatalf("%+v", call)
				}
				if got := n.results(t, "j"); len(got) != 0 {
					t.Fatalf("listed before answer %d: %v", i, got)
				}
				n.answerCall(calls[0], answer)
			}
			n.elapse(500 * time.Millisecond)
			got := n.results(t, "j")
			if len(got) != 1 || got[0].Completed != c.completed || c.completed && (got[0].Score != "signed" || got[0].Message == "") {
				t.Errorf("%v", got)
			}
			if len(n.takeCalls()) != 0 || n.scorer.InFlight != 0 {
				t.Errorf("further calls, or %d in flight", n.scorer.InFlight)
			}
		})
	}
}

func TestScoringCallsWithText(t *testing.T) {
	n := newTestNode("a", newStore())
	job := newScoredJob("j", 1)
	job.Items[0].Scoring.SendText = true
	n.accept(job)
	n.elapse(200 * time.Millisecond)
	n.finish(n.takeRuns()[0], task.RunCompleted, 2, 2)
	n.elapse(100 * time.Millisecond)
	calls := n.takeCalls()
	if want := `{"prompt":"s","text":"j-0#1\nj-0#2","versions":[2]}`; len(calls) != 1 || string(calls[0].Body) != want {
		t.Errorf("%d calls, %s", len(calls), calls[0].Body)
	}
}

func TestDiscardedTextsAreNotScored(t *testing.T) {
	n := newTestNode("a", newStore())
	n.accept(newScoredJob("j", 1))
	n.elapse(200 * time.Millisecond)
	n.finish(n.takeRuns()[0], task.RunCompleted, 1, 10)
	n.elapse(200 * time.Millisecond)
	if calls := n.takeCalls(); len(calls) != 0 {
		t.Errorf("%d calls for a text of an outdated version", len(calls))
	}
}

// TestScoringGoesElsewhereAfterAFailure tests that a replica that fails fast, and so appears to
// be the fastest, does not use up an item's attempts.
func TestScoringGoesElsewhereAfterAFailure(t *testing.T) {
	n := newScoringNode(t)
	other := *n.scorer
	other.ID = "q2"
	n.jobs.options.PlaceScoring = func(_ time.Time, _ *port.Route, _ string, exclude map[string]bool) *endpoint.Endpoint {
		for _, candidate := range []*endpoint.Endpoint{n.scorer, &other} {
			if !exclude[candidate.ID] {
				return candidate
			}
		}
		return nil
	}
	var replicas []string
	for range 3 {
		n.elapse(500 * time.Millisecond)
		for _, call := range n.takeCalls() {
			replicas = append(replicas, call.Replica)
			n.answerCall(call, scoreFailed)
		}
	}
	if want := []string{"q", "q2", "q"}; !slices.Equal(replicas, want) {
		t.Errorf("called at %v, want %v", replicas, want)
	}
}

// TestScoringWaits tests that scoring waits for a route and for capacity.
func TestScoringWaits(t *testing.T) {
	for _, c := range []struct {
		name      string
		take, put func(n *testNode)
	}{
		{"no route", func(n *testNode) { n.scoringRoute = nil }, func(n *testNode) { n.scoringRoute = n.route }},
		{"no capacity", func(n *testNode) { n.scorer = nil }, func(n *testNode) { n.scorer = n.replica }},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTestNode("a", newStore())
			c.take(n)
			n.accept(newScoredJob("j", 1))
			n.elapse(200 * time.Millisecond)
			n.finish(n.takeRuns()[0], task.RunCompleted, 2, 10)
			n.elapse(2 * time.Second)
			if calls := n.takeCalls(); len(calls) != 0 {
				t.Fatalf("%d calls", len(calls))
			}
			c.put(n)
			n.elapse(400 * time.Millisecond)
			if calls := n.takeCalls(); len(calls) != 1 {
				t.Errorf("%d calls", len(calls))
			}
		})
	}
}

func TestUnscoredItemsExpire(t *testing.T) {
	n := newScoringNode(t)
	n.elapse(500 * time.Millisecond)
	calls := n.takeCalls()
	n.now = epoch.Add(n.route.MaxQueue + 2*queueMargin)
	n.elapse(500 * time.Millisecond)
	if got := n.results(t, "j"); len(got) != 1 || got[0].Completed || !n.stopped[calls[0].ID] {
		t.Errorf("%v, stopped %v", got, n.stopped)
	}
}

func TestEndStopsScoring(t *testing.T) {
	n := newScoringNode(t)
	n.elapse(100 * time.Millisecond)
	calls := n.takeCalls()
	n.jobs.End(n.now, "j", time.Time{}, func(time.Time, Outcome) {})
	n.runTasks()
	if len(calls) != 1 || !n.stopped[calls[0].ID] {
		t.Errorf("%d calls, stopped %v", len(calls), n.stopped)
	}
	n.answerCall(calls[0], scoreLost)
	n.elapse(time.Second)
	if calls := n.takeCalls(); len(calls) != 0 {
		t.Errorf("%d calls after the job ended", len(calls))
	}
}

// TestCompleteTextsSurviveOwner tests that the next owner scores a complete text without
// generating it again.
func TestCompleteTextsSurviveOwner(t *testing.T) {
	for _, c := range []struct {
		name string
		// leave ends the first owner's work while its call is active.
		leave func(n *testNode, call task.ScoringCall)
	}{
		{"failed", func(n *testNode, _ task.ScoringCall) { n.elapse(checkpointInterval + 100*time.Millisecond) }},
		{"failed after a lost answer", func(n *testNode, call task.ScoringCall) { n.answerCall(call, scoreLost) }},
		{"stopped", func(n *testNode, call task.ScoringCall) {
			n.jobs.Stop(n.now)
			n.runTasks()
			n.answerCall(call, scoreLost)
		}},
		{"stopped when the answer arrives", func(n *testNode, call task.ScoringCall) {
			n.jobs.Stop(n.now)
			n.runTasks()
			n.answerCall(call, scoreGiven)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			owner := newScoringNode(t)
			owner.elapse(50 * time.Millisecond)
			calls := owner.takeCalls()
			c.leave(owner, calls[0])
			other := newTestNode("b", owner.store)
			other.now = owner.now
			syncHeads(other)
			calls = nil
			for range 30 {
				other.elapse(100 * time.Millisecond)
				if calls = other.takeCalls(); len(calls) > 0 {
					break
				}
			}
			if runs := other.takeRuns(); len(runs) != 0 || len(calls) != 1 {
				t.Fatalf("%d runs, %d calls, want only one scoring call", len(runs), len(calls))
			}
			other.answerCall(calls[0], task.ScoringResult{Outcome: relay.Answered, Status: http.StatusOK, Score: "second"})
			other.elapse(200 * time.Millisecond)
			if got := other.results(t, "j"); len(got) != 1 || got[0].Score != "second" || got[0].Message == "" || len(got[0].Versions) != 1 {
				t.Errorf("%v", got)
			}
		})
	}
}

func TestScoringFailuresSurviveOwner(t *testing.T) {
	owner := newScoringNode(t)
	owner.elapse(100 * time.Millisecond)
	owner.answerCall(owner.takeCalls()[0], scoreFailed)
	owner.elapse(100 * time.Millisecond)
	other := newTestNode("b", owner.store)
	other.now = owner.now
	syncHeads(other)
	failures := 1
	for range 20 {
		other.elapse(500 * time.Millisecond)
		for _, call := range other.takeCalls() {
			failures++
			other.answerCall(call, scoreFailed)
		}
	}
	if got := other.results(t, "j"); failures != 3 || len(got) != 1 || got[0].Completed {
		t.Errorf("%d failures, results %v", failures, got)
	}
}

// TestFailuresAreRecordedBeforeNextCall tests that no call is made while a failure can't be
// recorded.
func TestFailuresAreRecordedBeforeNextCall(t *testing.T) {
	n := newScoringNode(t)
	n.elapse(100 * time.Millisecond)
	n.commitHook = func(task.Commit) (port.RecordResult, bool) {
		return port.RecordResult{Status: port.RecordRefused}, true
	}
	n.answerCall(n.takeCalls()[0], scoreFailed)
	n.elapse(time.Second)
	if calls := n.takeCalls(); len(calls) != 0 {
		t.Errorf("%d calls before the failure was recorded", len(calls))
	}
}

// TestRunsThatEndAsTheyAreStopped tests that a job is handed over if its runs complete while
// they are being stopped.
func TestRunsThatEndAsTheyAreStopped(t *testing.T) {
	n := newTestNode("a", newStore())
	n.accept(newScoredJob("j", 2))
	n.elapse(200 * time.Millisecond)
	runs := n.takeRuns()
	n.jobs.Stop(n.now)
	n.runTasks()
	n.finish(runs[0], task.RunInterrupted, 2, 3)
	n.finish(runs[1], task.RunCompleted, 2, 10)
	n.elapse(200 * time.Millisecond)
	if n.jobs.OwnedCount() != 0 {
		t.Error("the job was not handed over")
	}
}

// Lost scoring calls count towards the limit for a failing item, as they may have failed.
func TestLostScoresAreBounded(t *testing.T) {
	n := newScoringNode(t)
	calls := 0
	for range 40 {
		n.elapse(200 * time.Millisecond)
		for _, call := range n.takeCalls() {
			calls++
			n.answerCall(call, scoreLost)
		}
	}
	if most := 3 * n.route.MaxAttempts; calls > most {
		t.Errorf("%d lost calls, want at most %d", calls, most)
	}
}
