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

// scoringPath is that of the scoring calls of newScoredJob.
const scoringPath = "/score"

func newScoredJob(id string, items int) *doorstepv1.BatchJob {
	job := newJob(id, items)
	for _, one := range job.Items {
		one.Scoring = &doorstepv1.ScoringCall{Id: "score-" + one.Id, Host: "h", Path: scoringPath, Body: []byte("s")}
	}
	return job
}

func (b *bench) takeCalls() []task.ScoringCall {
	calls := b.calls
	b.calls = nil
	return calls
}

// answerCall ends an attempt of a scoring call.
func (b *bench) answerCall(call task.ScoringCall, result task.ScoringResult) {
	call.Done(b.now, result)
	b.settle()
}

var (
	scoreLost    = task.ScoringResult{Outcome: relay.Broken, Err: http.ErrAbortHandler}
	scoreRefused = task.ScoringResult{Outcome: relay.NotRun, Status: http.StatusServiceUnavailable}
	scoreFailed  = task.ScoringResult{Outcome: relay.Errored, Status: http.StatusInternalServerError}
	scoreLate    = task.ScoringResult{Outcome: relay.Errored, Status: http.StatusGatewayTimeout}
	scoreUnknown = task.ScoringResult{Outcome: relay.Answered, Status: http.StatusNotFound, Score: "signed"}
	scoreGiven   = task.ScoringResult{Outcome: relay.Answered, Status: http.StatusOK, Score: "signed"}
)

// scoredBench returns a bench with a job of one item whose text is whole.
func scoredBench(t *testing.T) *bench {
	t.Helper()
	b := newBench("a", newStore())
	b.accept(newScoredJob("j", 1))
	b.pass(200 * time.Millisecond)
	if calls := b.takeCalls(); len(calls) != 0 {
		t.Fatalf("%d scoring calls before the text is whole", len(calls))
	}
	b.finish(b.takeRuns()[0], task.RunCompleted, 2, 10)
	return b
}

func TestScoringCalls(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []task.ScoringResult
		// completed says that the item gets its score, else it is given up.
		completed bool
	}{
		{"scored at once", []task.ScoringResult{scoreGiven}, true},
		{"lost, then scored", []task.ScoringResult{scoreLost, scoreLost, scoreLost, scoreGiven}, true},
		{"refused, then scored", []task.ScoringResult{scoreRefused, scoreRefused, scoreRefused, scoreRefused, scoreGiven}, true},
		{"out of time at the replica is no failure that counts", []task.ScoringResult{scoreLate, scoreLate, scoreLate, scoreLate, scoreGiven}, true},
		{"an answer that is no success has no score", []task.ScoringResult{scoreUnknown, scoreUnknown, scoreUnknown, scoreUnknown, scoreGiven}, true},
		{"failed less often than either route allows", []task.ScoringResult{scoreFailed, scoreFailed, scoreGiven}, true},
		{"failed at every attempt", []task.ScoringResult{scoreFailed, scoreLost, scoreFailed, scoreRefused, scoreFailed}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := scoredBench(t)
			for i, answer := range c.answers {
				b.pass(500 * time.Millisecond)
				calls := b.takeCalls()
				if len(calls) != 1 {
					t.Fatalf("%d calls for answer %d", len(calls), i)
				}
				if one := calls[0]; one.Request != "score-j-0" || one.Replica != "q" || one.Target != scoringPath || one.Limit <= 0 || one.Limit > b.scoringRoute.Timeout {
					t.Fatalf("%+v", one)
				}
				if got := b.results(t, "j"); len(got) != 0 {
					t.Fatalf("listed before answer %d: %v", i, got)
				}
				b.answerCall(calls[0], answer)
			}
			b.pass(500 * time.Millisecond)
			got := b.results(t, "j")
			if len(got) != 1 || got[0].Completed != c.completed || c.completed && (got[0].Score != "signed" || got[0].Message == "") {
				t.Errorf("%v", got)
			}
			if len(b.takeCalls()) != 0 || b.scorer.InFlight != 0 {
				t.Errorf("calls go on, %d in flight", b.scorer.InFlight)
			}
		})
	}
}

func TestScoringCallsThatTellTheText(t *testing.T) {
	b := newBench("a", newStore())
	job := newScoredJob("j", 1)
	job.Items[0].Scoring.SendText = true
	b.accept(job)
	b.pass(200 * time.Millisecond)
	b.finish(b.takeRuns()[0], task.RunCompleted, 2, 2)
	b.pass(100 * time.Millisecond)
	calls := b.takeCalls()
	if want := `{"prompt":"s","text":"j-0#1\nj-0#2","versions":[2]}`; len(calls) != 1 || string(calls[0].Body) != want {
		t.Errorf("%d calls, %s", len(calls), calls[0].Body)
	}
}

func TestTextsThatAreThrownAwayAreNotScored(t *testing.T) {
	b := newBench("a", newStore())
	b.accept(newScoredJob("j", 1))
	b.pass(200 * time.Millisecond)
	b.finish(b.takeRuns()[0], task.RunCompleted, 1, 10)
	b.pass(200 * time.Millisecond)
	if calls := b.takeCalls(); len(calls) != 0 {
		t.Errorf("%d calls for a text by weights that are too old", len(calls))
	}
}

// TestScoringGoesElsewhereAfterAFailure: a replica that fails part of its requests answers
// quickly, which makes it look fast; it may not use up an item's attempts alone.
func TestScoringGoesElsewhereAfterAFailure(t *testing.T) {
	b := scoredBench(t)
	other := *b.scorer
	other.ID = "q2"
	b.jobs.options.PlaceScoring = func(_ time.Time, _ *port.Route, _ string, exclude map[string]bool) *endpoint.Endpoint {
		for _, one := range []*endpoint.Endpoint{b.scorer, &other} {
			if !exclude[one.ID] {
				return one
			}
		}
		return nil
	}
	var replicas []string
	for range 3 {
		b.pass(500 * time.Millisecond)
		for _, call := range b.takeCalls() {
			replicas = append(replicas, call.Replica)
			b.answerCall(call, scoreFailed)
		}
	}
	if want := []string{"q", "q2", "q"}; !slices.Equal(replicas, want) {
		t.Errorf("called at %v, should be %v: elsewhere first, then wherever there is room", replicas, want)
	}
}

// TestScoringWaits: without a route or room the call waits, and goes once there is one.
func TestScoringWaits(t *testing.T) {
	for _, c := range []struct {
		name      string
		take, put func(b *bench)
	}{
		{"no route", func(b *bench) { b.scoringRoute = nil }, func(b *bench) { b.scoringRoute = b.route }},
		{"no room", func(b *bench) { b.scorer = nil }, func(b *bench) { b.scorer = b.one }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench("a", newStore())
			c.take(b)
			b.accept(newScoredJob("j", 1))
			b.pass(200 * time.Millisecond)
			b.finish(b.takeRuns()[0], task.RunCompleted, 2, 10)
			b.pass(2 * time.Second)
			if calls := b.takeCalls(); len(calls) != 0 {
				t.Fatalf("%d calls", len(calls))
			}
			c.put(b)
			b.pass(400 * time.Millisecond)
			if calls := b.takeCalls(); len(calls) != 1 {
				t.Errorf("%d calls", len(calls))
			}
		})
	}
}

func TestUnscoredItemsAreGivenUpByAge(t *testing.T) {
	b := scoredBench(t)
	b.pass(500 * time.Millisecond)
	calls := b.takeCalls()
	b.now = epoch.Add(b.route.MaxQueue + 2*queueMargin)
	b.pass(500 * time.Millisecond)
	if got := b.results(t, "j"); len(got) != 1 || got[0].Completed || !b.stopped[calls[0].ID] {
		t.Errorf("%v, stopped %v", got, b.stopped)
	}
}

func TestEndStopsScoring(t *testing.T) {
	b := scoredBench(t)
	b.pass(100 * time.Millisecond)
	calls := b.takeCalls()
	b.jobs.End(b.now, "j", func(time.Time, Outcome) {})
	b.settle()
	if len(calls) != 1 || !b.stopped[calls[0].ID] {
		t.Errorf("%d calls, stopped %v", len(calls), b.stopped)
	}
	b.answerCall(calls[0], scoreLost)
	b.pass(time.Second)
	if calls := b.takeCalls(); len(calls) != 0 {
		t.Errorf("%d calls after the end", len(calls))
	}
}

// TestWholeTextsOutliveTheirOwner: the next owner makes the scoring call, not the text.
func TestWholeTextsOutliveTheirOwner(t *testing.T) {
	for _, c := range []struct {
		name string
		// leave ends the first owner's work while its call is under way.
		leave func(b *bench, call task.ScoringCall)
	}{
		{"dead", func(b *bench, _ task.ScoringCall) { b.pass(keepEvery + 100*time.Millisecond) }},
		{"dead after a lost answer", func(b *bench, call task.ScoringCall) { b.answerCall(call, scoreLost) }},
		{"stopped", func(b *bench, call task.ScoringCall) {
			b.jobs.Stop(b.now)
			b.settle()
			b.answerCall(call, scoreLost)
		}},
		{"stopped just as the answer comes", func(b *bench, call task.ScoringCall) {
			b.jobs.Stop(b.now)
			b.settle()
			b.answerCall(call, scoreGiven)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			owner := scoredBench(t)
			owner.pass(50 * time.Millisecond)
			calls := owner.takeCalls()
			c.leave(owner, calls[0])
			other := newBench("b", owner.store)
			other.now = owner.now
			share(other)
			calls = nil
			for range 30 {
				other.pass(100 * time.Millisecond)
				if calls = other.takeCalls(); len(calls) > 0 {
					break
				}
			}
			if runs := other.takeRuns(); len(runs) != 0 || len(calls) != 1 {
				t.Fatalf("%d runs, %d calls: the text is whole and to be scored", len(runs), len(calls))
			}
			other.answerCall(calls[0], task.ScoringResult{Outcome: relay.Answered, Status: http.StatusOK, Score: "second"})
			other.pass(200 * time.Millisecond)
			if got := other.results(t, "j"); len(got) != 1 || got[0].Score != "second" || got[0].Message == "" || len(got[0].Versions) != 1 {
				t.Errorf("%v", got)
			}
		})
	}
}

func TestScoringFailuresOutliveTheirOwner(t *testing.T) {
	owner := scoredBench(t)
	owner.pass(100 * time.Millisecond)
	owner.answerCall(owner.takeCalls()[0], scoreFailed)
	owner.pass(100 * time.Millisecond)
	other := newBench("b", owner.store)
	other.now = owner.now
	share(other)
	failures := 1
	for range 20 {
		other.pass(500 * time.Millisecond)
		for _, call := range other.takeCalls() {
			failures++
			other.answerCall(call, scoreFailed)
		}
	}
	if got := other.results(t, "j"); failures != 3 || len(got) != 1 || got[0].Completed {
		t.Errorf("%d failures, results %v", failures, got)
	}
}

// TestFailuresAreOnRecordBeforeTheNextCall: the store refuses, so no call follows.
func TestFailuresAreOnRecordBeforeTheNextCall(t *testing.T) {
	b := scoredBench(t)
	b.pass(100 * time.Millisecond)
	b.answer = func(task.Commit) (port.RecordResult, bool) {
		return port.RecordResult{Status: port.RecordRefused}, true
	}
	b.answerCall(b.takeCalls()[0], scoreFailed)
	b.pass(time.Second)
	if calls := b.takeCalls(); len(calls) != 0 {
		t.Errorf("%d calls while the failure is not on record", len(calls))
	}
}

// TestRunsThatEndAsTheyAreStopped: the job is handed over although no run was cut.
func TestRunsThatEndAsTheyAreStopped(t *testing.T) {
	b := newBench("a", newStore())
	b.accept(newScoredJob("j", 2))
	b.pass(200 * time.Millisecond)
	runs := b.takeRuns()
	b.jobs.Stop(b.now)
	b.settle()
	b.finish(runs[0], task.RunInterrupted, 2, 3)
	b.finish(runs[1], task.RunCompleted, 2, 10)
	b.pass(200 * time.Millisecond)
	if b.jobs.Owned() != 0 {
		t.Error("the job was not handed over")
	}
}

// Seed 144 of the simulator: of ten scoring calls of one item eight answers were lost. The
// service may have failed each of these calls, so they count towards what an item that fails on
// every run may be sent: three times its attempts.
func TestLostScoresAreBounded(t *testing.T) {
	b := scoredBench(t)
	calls := 0
	for range 40 {
		b.pass(200 * time.Millisecond)
		for _, call := range b.takeCalls() {
			calls++
			b.answerCall(call, scoreLost)
		}
	}
	if most := 3 * b.route.MaxAttempts; calls > most {
		t.Errorf("%d calls whose answers were lost, should be %d at most", calls, most)
	}
}
