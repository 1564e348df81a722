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
		run   slowRun
		want  moveReason
	}{
		{"it may be one of the longest, which end too late here", 100, slowRun{pace: slow, best: fast, made: 8, hint: 1000, left: 7 * time.Second, timed: true}, decidesStep},
		{"the longest end in time here", 100, slowRun{pace: slow, best: fast, made: 8, hint: 1000, left: 12 * time.Second, timed: true}, stays},
		{"nothing like it is that long", 100, slowRun{pace: slow, best: fast, made: 8, hint: 100, left: 7 * time.Second, timed: true}, stays},
		{"it outgrew its hint by more than any", 100, slowRun{pace: slow, best: fast, made: 24, last: 24, hint: 100, left: 7 * time.Second, timed: true}, unknownLength},
		{"it ends at any moment", 100, slowRun{pace: slow, best: fast, made: 158, hint: 1000, left: 0, timed: true}, stays},
		{"the results are due", 100, slowRun{pace: slow, best: fast, made: 100, hint: 1000, left: -time.Second, timed: true}, decidesStep},
		{"nothing is ever due", 100, slowRun{pace: slow, best: fast, made: 8, hint: 1000}, decidesStep},
		{"as fast as others", 100, slowRun{pace: 58 * time.Millisecond, best: fast, made: 8, hint: 1000, left: 7 * time.Second, timed: true}, stays},
		{"in trouble, with time left", 100, slowRun{pace: troubled, best: fast, made: 8, hint: 100, left: 30 * time.Second, timed: true}, troubledReplica},
		{"in trouble, about to end", 100, slowRun{pace: 90 * time.Millisecond, best: fast, made: 19, last: 19, hint: 100, left: 7 * time.Second, timed: true}, stays},
		{"no texts are known: a short one", 0, slowRun{pace: slow, best: fast, made: 8, last: 8, hint: 100, left: 7 * time.Second, timed: true}, stays},
		{"no texts are known: one that is not short any more", 0, slowRun{pace: slow, best: fast, made: 16, last: 16, hint: 100, left: 7 * time.Second, timed: true}, unknownLength},
		{"no texts are known: one that was expected to be long", 0, slowRun{pace: slow, best: fast, made: 8, last: 8, long: true, left: 7 * time.Second, timed: true}, unknownLength},
		{"no texts are known, but the most that it may have ends in time", 0, slowRun{pace: slow, best: fast, made: 16, last: 16, most: 90, left: 7 * time.Second, timed: true}, stays},
		{"no texts are known, and the most that it may have does not", 0, slowRun{pace: slow, best: fast, made: 16, last: 16, most: 140, left: 7 * time.Second, timed: true}, unknownLength},
		{"no texts are known: in trouble", 0, slowRun{pace: troubled, best: fast, made: 3, last: 3, left: 7 * time.Second, timed: true}, troubledReplica},
	} {
		if got := c.run.move(learned(c.texts)); got != c.want {
			t.Errorf("%s: %q, should be %q", c.name, got, c.want)
		}
	}
}

// TestMoveIsLogged: the log tells which group's item was moved, and why.
func TestMoveIsLogged(t *testing.T) {
	b, runs := progressBench(t, 4, time.Second)
	b.one.UpdatePace(b.now, 50*time.Millisecond)
	if stop := runs[0].Progress(b.now, nil, 200*time.Millisecond); !stop {
		t.Fatal("a run at a replica in trouble is not moved")
	}
	for _, one := range b.queue.Take() {
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
		b := newBench("a", newStore())
		b.jobs.lengths["m"] = learned(c.texts)
		o := &ownedJob{jobs: b.jobs, job: newJob("j", len(c.hints)), items: make([]item, len(c.hints))}
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
	b, runs := progressBench(t, 4, time.Second)
	b.jobs.options.ExpectedTokens = func(*port.Route, http.Header, int) int { return 700 }
	one := &b.jobs.owned["j"].items[0]
	for i := range quarantine.CrashLimit - 1 {
		b.jobs.options.Quarantine.Crashed(b.now, one.request, fmt.Sprint("gone-", i))
	}
	b.jobs.apart["taken"] = 1
	var wanted Placement
	b.jobs.options.Place = func(_ time.Time, got Placement) *endpoint.Endpoint {
		wanted = got
		return nil
	}
	runs[0].Progress(b.now, nil, 200*time.Millisecond)
	if !wanted.Look || wanted.Tokens != 700 || !wanted.Exclude["taken"] {
		t.Errorf("looked for %+v", wanted)
	}
}
