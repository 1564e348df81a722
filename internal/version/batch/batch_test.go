package batch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

func TestJobRunsToItsEnd(t *testing.T) {
	b := newBench("a", newStore())
	if outcome, _ := b.accept(newJob("j", 3)); outcome != Done {
		t.Fatalf("outcome %d", outcome)
	}
	b.pass(200 * time.Millisecond)
	for _, run := range b.takeRuns() {
		b.finish(run, task.RunCompleted, 2, 4)
	}
	b.pass(200 * time.Millisecond)
	got := b.results(t, "j")
	if len(got) != 3 || !got[0].Completed || got[0].Message != "j-0#1\nj-0#2\nj-0#3\nj-0#4" || got[0].Versions[0] != 2 {
		t.Errorf("%v", got)
	}
	if state, ok := b.jobs.Known("j"); !ok || state.Listed != 3 || b.jobs.Owned() != 0 {
		t.Errorf("%+v, %d owned", state, b.jobs.Owned())
	}
}

// Seeds 94, 181 and 197 of the cluster simulation: an item stood at two positions.
func TestTriesAnsweredOutOfOrderBeginOnce(t *testing.T) {
	b := newBench("a", newStore())
	var held []func()
	b.answer = func(commit task.Commit) (port.RecordResult, bool) { return port.RecordResult{}, false }
	job := newJob("j", 2)
	outcomes := 0
	for range 2 {
		b.jobs.Accept(b.now, job, func(time.Time, Outcome) { outcomes++ })
	}
	for _, one := range b.queue.Take() {
		if commit, ok := one.(task.Commit); ok {
			result := b.store.Commit(b.now, commit.Transaction)
			held = append([]func(){func() { commit.Done(b.now, result) }}, held...)
		}
	}
	for _, answer := range held {
		answer()
		b.settle()
	}
	b.pass(200 * time.Millisecond)
	if runs := b.takeRuns(); len(runs) != 2 || outcomes != 2 {
		t.Errorf("%d runs of 2 items, %d outcomes", len(runs), outcomes)
	}
}

// Found by the cluster simulation: items were given up at once.
func TestNoJobWithoutTheStoresClock(t *testing.T) {
	b := newBench("a", newStore())
	b.clock = false
	if outcome, _ := b.accept(newJob("j", 1)); outcome != NotDone {
		t.Errorf("outcome %d", outcome)
	}
}

func TestAcceptOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []port.RecordStatus
		done    bool
		want    Outcome
	}{
		{"refused, then taken", []port.RecordStatus{port.RecordRefused, port.RecordDone}, true, Done},
		{"refused for good", []port.RecordStatus{port.RecordRefused}, false, NotDone},
		{"no answer at all", []port.RecordStatus{port.RecordUnknown}, false, Unsure},
		{"no answer, then refused: it may yet take effect", []port.RecordStatus{port.RecordUnknown, port.RecordRefused}, false, Unsure},
		{"done without an answer, found on repeating", []port.RecordStatus{port.RecordUnknown, port.RecordConflict}, true, Done},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench("a", newStore())
			tries := 0
			b.answer = func(commit task.Commit) (port.RecordResult, bool) {
				status := c.answers[min(tries, len(c.answers)-1)]
				tries++
				if status == port.RecordUnknown && c.done {
					b.store.Commit(b.now, commit.Transaction)
				}
				return port.RecordResult{Status: status}, status != port.RecordDone && status != port.RecordConflict
			}
			if outcome, answered := b.accept(newJob("j", 1)); !answered || outcome != c.want {
				t.Errorf("outcome %d, should be %d", outcome, c.want)
			}
		})
	}
}

func TestItemsThatFail(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome task.RunOutcome
		runs    int
	}{
		{"impossible", task.RunImpossible, 1},
		{"failed at each attempt", task.RunFailed, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench("a", newStore())
			b.accept(newJob("j", 1))
			runs := 0
			for range 40 {
				b.pass(100 * time.Millisecond)
				for _, run := range b.takeRuns() {
					runs++
					b.finish(run, c.outcome, 0, 0)
				}
			}
			got := b.results(t, "j")
			if runs != c.runs || len(got) != 1 || got[0].Completed {
				t.Errorf("%d runs, results %v", runs, got)
			}
		})
	}
}

func TestTexts(t *testing.T) {
	for _, c := range []struct {
		name string
		// first is how the first run ends, version made its events.
		first   task.RunOutcome
		version int64
		after   int64
	}{
		{"broken off: gone on from", task.RunInterrupted, 2, 3},
		{"slow: gone on from", task.RunSlow, 2, 3},
		{"made by weights that are too old: begun anew", task.RunInterrupted, 1, 0},
		{"whole, by weights that are too old: begun anew", task.RunCompleted, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench("a", newStore())
			b.accept(newJob("j", 1))
			b.pass(200 * time.Millisecond)
			first := b.takeRuns()
			b.finish(first[0], c.first, c.version, 3)
			b.pass(300 * time.Millisecond)
			second := b.takeRuns()
			if len(second) != 1 || second[0].After != c.after || second[0].Urgent != (c.first == task.RunSlow) {
				t.Fatalf("%+v", second)
			}
			b.finish(second[0], task.RunCompleted, 3, 2)
			b.pass(200 * time.Millisecond)
			if got := b.results(t, "j"); len(got) != 1 || !got[0].Completed {
				t.Errorf("%v", got)
			}
		})
	}
}

func TestQueuedRunsAreWaitedFor(t *testing.T) {
	b := newBench("a", newStore())
	b.one.Slots = 2
	b.accept(newJob("j", 4))
	b.pass(200 * time.Millisecond)
	var waits []time.Duration
	for _, run := range b.takeRuns() {
		waits = append(waits, run.FirstEventTimeout)
	}
	if want := []time.Duration{firstSilence, firstSilence, longestSilence, longestSilence}; !slices.Equal(waits, want) {
		t.Errorf("first events are waited for %v, should be %v", waits, want)
	}
}

func TestEndStopsRuns(t *testing.T) {
	b := newBench("a", newStore())
	b.accept(newJob("j", 2))
	b.pass(200 * time.Millisecond)
	var outcome Outcome = Absent
	b.jobs.End(b.now, "j", func(_ time.Time, got Outcome) { outcome = got })
	b.settle()
	if runs := b.takeRuns(); outcome != Done || len(runs) != 2 || !b.stopped[runs[0].ID] || !b.stopped[runs[1].ID] {
		t.Errorf("outcome %d, stopped %v", outcome, b.stopped)
	}
	b.pass(time.Second)
	if len(b.takeRuns()) != 0 {
		t.Error("nothing runs after the end")
	}
}

func TestTextsOfTwoBeginningsDoNotMix(t *testing.T) {
	store := newStore()
	owner, other := newBench("a", store), newBench("b", store)
	owner.accept(newJob("j", 1))
	for _, version := range []int64{1, 2} {
		owner.pass(300 * time.Millisecond)
		run := owner.takeRuns()[0]
		var events []port.ReplicaEvent
		for id := int64(1); id <= 16*version; id++ {
			events = append(events, port.ReplicaEvent{ID: id, Data: fmt.Sprint("by ", version), Version: version})
		}
		run.Progress(owner.now, events, 40*time.Millisecond)
		owner.pass(keepEvery + 100*time.Millisecond)
		if version == 1 {
			run.Done(owner.now, task.RunResult{Outcome: task.RunInterrupted, Events: events})
			owner.settle()
		}
	}
	other.now = owner.now
	share(other)
	other.pass(3 * time.Second)
	runs := other.takeRuns()
	if len(runs) != 1 || runs[0].After != 32 {
		t.Fatalf("%+v", runs)
	}
	other.finish(runs[0], task.RunCompleted, 2, 1)
	other.pass(200 * time.Millisecond)
	if got := other.results(t, "j"); len(got) != 1 || strings.Contains(got[0].Message, "by 1") || len(got[0].Versions) != 1 {
		t.Errorf("%v", got)
	}
}

func TestLargeJobsAndResults(t *testing.T) {
	b := newBench("a", newStore())
	job := newJob("j", 2)
	job.Items[0].Body = make([]byte, 1_500_000)
	if outcome, _ := b.accept(job); outcome != Done {
		t.Fatalf("outcome %d", outcome)
	}
	fresh := newBench("b", b.store)
	var got *doorstepv1.BatchJob
	fresh.jobs.ReadContent(fresh.now, "j", func(_ time.Time, read *doorstepv1.BatchJob) { got = read })
	fresh.settle()
	if got == nil || len(got.Items) != 2 || len(got.Items[0].Body) != 1_500_000 {
		t.Fatal("the job is not read whole")
	}
	b.pass(200 * time.Millisecond)
	for _, run := range b.takeRuns() {
		b.finish(run, task.RunCompleted, 2, 10_000)
	}
	b.pass(300 * time.Millisecond)
	if results := b.results(t, "j"); len(results) != 2 || len(results[0].Message) < 70_000 {
		t.Errorf("%d results", len(results))
	}
}

// A replica that turns connections down is no busy one, even if it answered just before.
func TestUnreachableReplicaIsEjected(t *testing.T) {
	for _, c := range []struct {
		outcome task.RunOutcome
		ejected bool
	}{{task.RunUnreachable, true}, {task.RunTimedOut, false}, {task.RunInterrupted, false}} {
		b := newBench("a", newStore())
		b.accept(newJob("j", 2))
		b.pass(100 * time.Millisecond)
		b.one.UpdateLoad(b.now, 3, 0)
		for _, run := range b.takeRuns() {
			run.Done(b.now, task.RunResult{Outcome: c.outcome})
		}
		if got := b.one.Ejected(b.now); got != c.ejected {
			t.Errorf("after two runs that ended as %d: ejected: %t", c.outcome, got)
		}
	}
}

// With more running texts than one transaction takes, those of the last items were never kept.
func TestAllTextsAreKeptInTurn(t *testing.T) {
	const items = 2*keptAtOnce - 10
	store := newStore()
	owner, other := newBench("a", store), newBench("b", store)
	owner.accept(newJob("j", items))
	owner.pass(100 * time.Millisecond)
	runs := owner.takeRuns()
	for round := 1; round <= 3; round++ {
		for _, run := range runs {
			var events []port.ReplicaEvent
			for id := int64(1); id <= int64(8*round); id++ {
				events = append(events, port.ReplicaEvent{ID: id, Data: "x", Version: 2})
			}
			run.Progress(owner.now, events, 0)
		}
		owner.pass(keepEvery)
	}
	other.now = owner.now
	share(other)
	other.pass(3 * time.Second)
	kept := 0
	for _, run := range other.takeRuns() {
		if run.After > 0 {
			kept++
		}
	}
	if kept != items {
		t.Errorf("the next owner goes on from %d texts of %d", kept, items)
	}
}
