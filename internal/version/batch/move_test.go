package batch

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/quarantine"
	"github.com/doorstep/doorstep/internal/process/task"
)

// TestMove: texts are those of learned: of those with a hint of 1000 tokens half is cut at 160
// events and half ends at 60, those with one of 100 end at 20.
func TestMove(t *testing.T) {
	const fast, slow, troubled = 50 * time.Millisecond, 65 * time.Millisecond, 200 * time.Millisecond
	for _, c := range []struct {
		name  string
		texts int
		run   moveCandidate
		want  moveReason
	}{
		{"it may be one of the longest, which end too late here", 100, moveCandidate{pace: slow, bestPace: fast, events: 8, lengthHint: 1000, timeLeft: 7 * time.Second, hasDeadline: true}, delaysStep},
		{"the longest end in time here", 100, moveCandidate{pace: slow, bestPace: fast, events: 8, lengthHint: 1000, timeLeft: 12 * time.Second, hasDeadline: true}, noMove},
		{"nothing like it is that long", 100, moveCandidate{pace: slow, bestPace: fast, events: 8, lengthHint: 100, timeLeft: 7 * time.Second, hasDeadline: true}, noMove},
		{"it outgrew its hint by more than any", 100, moveCandidate{pace: slow, bestPace: fast, events: 24, runEvents: 24, lengthHint: 100, timeLeft: 7 * time.Second, hasDeadline: true}, unknownLength},
		{"it ends at any moment", 100, moveCandidate{pace: slow, bestPace: fast, events: 158, lengthHint: 1000, timeLeft: 0, hasDeadline: true}, noMove},
		{"the results are due", 100, moveCandidate{pace: slow, bestPace: fast, events: 100, lengthHint: 1000, timeLeft: -time.Second, hasDeadline: true}, delaysStep},
		{"nothing is ever due", 100, moveCandidate{pace: slow, bestPace: fast, events: 8, lengthHint: 1000}, delaysStep},
		{"as fast as others", 100, moveCandidate{pace: 58 * time.Millisecond, bestPace: fast, events: 8, lengthHint: 1000, timeLeft: 7 * time.Second, hasDeadline: true}, noMove},
		{"in trouble, with time left", 100, moveCandidate{pace: troubled, bestPace: fast, events: 8, lengthHint: 100, timeLeft: 30 * time.Second, hasDeadline: true}, degradedReplica},
		{"in trouble, about to end", 100, moveCandidate{pace: 90 * time.Millisecond, bestPace: fast, events: 19, runEvents: 19, lengthHint: 100, timeLeft: 7 * time.Second, hasDeadline: true}, noMove},
		{"no texts are known: a short one", 0, moveCandidate{pace: slow, bestPace: fast, events: 8, runEvents: 8, lengthHint: 100, timeLeft: 7 * time.Second, hasDeadline: true}, noMove},
		{"no texts are known: one that is not short any more", 0, moveCandidate{pace: slow, bestPace: fast, events: 16, runEvents: 16, lengthHint: 100, timeLeft: 7 * time.Second, hasDeadline: true}, unknownLength},
		{"no texts are known: one that was expected to be long", 0, moveCandidate{pace: slow, bestPace: fast, events: 8, runEvents: 8, long: true, timeLeft: 7 * time.Second, hasDeadline: true}, unknownLength},
		{"no texts are known, but the most that it may have ends in time", 0, moveCandidate{pace: slow, bestPace: fast, events: 16, runEvents: 16, maxEvents: 90, timeLeft: 7 * time.Second, hasDeadline: true}, noMove},
		{"no texts are known, and the most that it may have does not", 0, moveCandidate{pace: slow, bestPace: fast, events: 16, runEvents: 16, maxEvents: 140, timeLeft: 7 * time.Second, hasDeadline: true}, unknownLength},
		{"no texts are known: in trouble", 0, moveCandidate{pace: troubled, bestPace: fast, events: 3, runEvents: 3, timeLeft: 7 * time.Second, hasDeadline: true}, degradedReplica},
	} {
		if got := c.run.decide(newLengthHistory(c.texts)); got != c.want {
			t.Errorf("%s: %q, should be %q", c.name, got, c.want)
		}
	}
}

// TestMoveIsLogged: the log tells which group's item was moved, and why.
func TestMoveIsLogged(t *testing.T) {
	n, runs := newProgressNode(t, 4, time.Second)
	n.replica.LearnPace(n.now, 50*time.Millisecond)
	if stop := runs[0].Progress(n.now, nil, 200*time.Millisecond); !stop {
		t.Fatal("a run at a replica in trouble is not moved")
	}
	for _, one := range n.queue.Take() {
		if line, ok := one.(task.Log); ok && line.Event == event.RunMoved {
			return
		}
	}
	t.Error("the move is not logged")
}

// TestMarkLong: what a text may become goes by the model's texts, once these are known.
func TestMarkLong(t *testing.T) {
	for _, c := range []struct {
		name  string
		texts int
		hints []int
		want  []bool
	}{
		{"too few texts are known: a part of the items", 0, []int{1000, 900, 800, 100, 100}, []bool{true, false, false, false, false}},
		{"all that may become the longest", 100, []int{1000, 900, 800, 100, 100}, []bool{true, true, true, false, false}},
		{"none may", 100, []int{100, 100, 100, 100, 100}, []bool{false, false, false, false, false}},
		{"no hints", 100, []int{0, 0, 0, 0, 0}, []bool{false, false, false, false, false}},
	} {
		n := newTestNode("a", newStore())
		n.jobs.lengthHistories["m"] = newLengthHistory(c.texts)
		o := &ownedJob{jobs: n.jobs, job: newJob("j", len(c.hints)), items: make([]item, len(c.hints))}
		o.markLong([]int{0, 1, 2, 3, 4}, c.hints)
		for i, want := range c.want {
			if o.items[i].long != want {
				t.Errorf("%s: item %d is long: %t", c.name, i, o.items[i].long)
			}
		}
	}
}

// TestMovesLookForWhatTheRunNeeds: a replica without the memory for the text, or one that the item must
// not run at, is no reason to move it: it would begin anew at a slow one.
func TestMovesLookForWhatTheRunNeeds(t *testing.T) {
	n, runs := newProgressNode(t, 4, time.Second)
	n.jobs.options.ExpectedTokens = func(*port.Route, http.Header, int) int { return 700 }
	it := &n.jobs.owned["j"].items[0]
	for i := range quarantine.CrashLimit - 1 {
		n.jobs.options.Quarantine.Crashed(n.now, it.request, fmt.Sprint("gone-", i))
	}
	n.jobs.isolatedRuns["taken"] = 1
	var wanted Placement
	n.jobs.options.Place = func(_ time.Time, got Placement) *endpoint.Endpoint {
		wanted = got
		return nil
	}
	runs[0].Progress(n.now, nil, 200*time.Millisecond)
	if !wanted.Look || wanted.Tokens != 700 || !wanted.Exclude["taken"] {
		t.Errorf("looked for %+v", wanted)
	}
}
