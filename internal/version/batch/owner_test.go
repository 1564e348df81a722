package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// An item that always fails must not get more attempts after a change of owner.
func TestFailuresSurviveOwner(t *testing.T) {
	store := newStore()
	owner, other := newTestNode("a", store), newTestNode("b", store)
	owner.accept(newJob("j", 1))
	owner.elapse(200 * time.Millisecond)
	owner.finish(owner.takeRuns()[0], task.RunFailed, 0, 0)
	other.now = owner.now
	syncHeads(other)
	other.elapse(2 * time.Second)
	runs := 1
	for range 20 {
		for _, run := range other.takeRuns() {
			runs++
			other.finish(run, task.RunFailed, 0, 0)
		}
		other.elapse(200 * time.Millisecond)
	}
	if got := other.results(t, "j"); runs != 3 || len(got) != 1 || got[0].Completed {
		t.Errorf("%d runs, results %v", runs, got)
	}
}

func TestTakeover(t *testing.T) {
	for _, c := range []struct {
		name     string
		prepare  func(owner, other *testNode)
		within   time.Duration
		takes    bool
		observes bool
	}{
		{"an unresponsive owner", func(_, _ *testNode) {}, takeoverTimeout + 2*takeoverSpread, true, true},
		{"an unresponsive owner, too early", func(_, _ *testNode) {}, takeoverTimeout - 100*time.Millisecond, false, true},
		{"an unresponsive owner, but the store is slow", func(_, other *testNode) { other.latency = time.Second }, takeoverTimeout + 2*takeoverSpread, false, true},
		{"an unresponsive owner, but the watch is behind", func(_, other *testNode) { other.watchLag = 10 * time.Second }, 10 * time.Second, false, true},
		{"an unresponsive owner, but the watch is interrupted", func(_, _ *testNode) {}, 10 * time.Second, false, false},
		{"handed over", func(owner, _ *testNode) { owner.jobs.Stop(owner.now); owner.runTasks(); interruptAll(owner) }, takeoverSpread, true, true},
		{"ended", func(owner, _ *testNode) {
			owner.jobs.End(owner.now, "j", time.Time{}, func(time.Time, Outcome) {})
			owner.runTasks()
		}, 10 * time.Second, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := newStore()
			owner, other := newTestNode("a", store), newTestNode("b", store)
			owner.accept(newJob("j", 2))
			owner.elapse(100 * time.Millisecond)
			c.prepare(owner, other)
			other.now = owner.now
			syncHeads(other)
			other.jobs.SetObserving(other.now, c.observes)
			other.elapse(c.within)
			if got := other.jobs.OwnedCount() == 1; got != c.takes {
				t.Errorf("taken %t, want %t", got, c.takes)
			}
		})
	}
}

// Texts of an owner that stops must be resumed, including the events since the last checkpoint.
func TestTextsAreHandedOver(t *testing.T) {
	store := newStore()
	owner, other := newTestNode("a", store), newTestNode("b", store)
	owner.accept(newJob("j", 1))
	owner.elapse(200 * time.Millisecond)
	owner.jobs.Stop(owner.now)
	owner.runTasks()
	interruptAll(owner)
	other.now = owner.now
	syncHeads(other)
	other.elapse(time.Second)
	if runs := other.takeRuns(); len(runs) != 1 || runs[0].After != 12 {
		t.Errorf("runs %+v, want one that resumes after event 12", runs)
	}
}

// Texts of a failed owner must be resumed from their checkpoints.
func TestTextsOutliveTheirOwner(t *testing.T) {
	store := newStore()
	owner, other := newTestNode("a", store), newTestNode("b", store)
	owner.accept(newJob("j", 1))
	owner.elapse(200 * time.Millisecond)
	run := owner.takeRuns()[0]
	var events []port.ReplicaEvent
	for id := int64(1); id <= 40; id++ {
		events = append(events, port.ReplicaEvent{ID: id, Data: "x", Version: 2})
		if id%8 == 0 {
			run.Progress(owner.now, events, 40*time.Millisecond)
			owner.elapse(checkpointInterval)
		}
	}
	other.now = owner.now
	syncHeads(other)
	other.elapse(3 * time.Second)
	if runs := other.takeRuns(); len(runs) != 1 || runs[0].After != 40 {
		t.Errorf("runs %+v, want one that resumes after event 40", runs)
	}
}

func TestFormerOwnerIsRejected(t *testing.T) {
	store := newStore()
	owner, other := newTestNode("a", store), newTestNode("b", store)
	owner.accept(newJob("j", 1))
	owner.elapse(200 * time.Millisecond)
	other.now = owner.now
	syncHeads(other)
	other.elapse(3 * time.Second)
	runs := other.takeRuns()
	other.finish(runs[0], task.RunCompleted, 2, 2)
	other.elapse(200 * time.Millisecond)
	for _, run := range owner.takeRuns() {
		owner.finish(run, task.RunCompleted, 2, 5)
	}
	owner.elapse(200 * time.Millisecond)
	if got := owner.results(t, "j"); len(got) != 1 || got[0].Message != "j-0#1\nj-0#2" || owner.jobs.OwnedCount() != 0 {
		t.Errorf("results %v, want the one listed by the new owner", got)
	}
}

// TestTakersSpreadByTheirNumber tests that the number of nodes that attempt a takeover, before
// they can observe the first one, does not exceed the write rate of a partition.
func TestTakersSpreadByTheirNumber(t *testing.T) {
	const watchDelay, partitionWrites = time.Second / 3, 200
	for _, c := range []struct{ nodes, maxTries int }{{10, 10}, {100, 40}, {986, partitionWrites}, {1972, partitionWrites}} {
		var spreads []time.Duration
		for i := range c.nodes {
			j := newTestNode(fmt.Sprintf("node-%d", i), newStore()).jobs
			j.options.NodeCount = func() int { return c.nodes }
			spreads = append(spreads, j.spread("j"))
		}
		first, tries := slices.Min(spreads), 0
		for _, each := range spreads {
			if each <= first+watchDelay {
				tries++
			}
		}
		if tries > c.maxTries || first > takeoverSpread {
			t.Errorf("%d of %d nodes attempt a takeover, the first after %s", tries, c.nodes, first)
		}
	}
}

// TestJobsThatBeginDuringAStopAreHandedOver tests jobs accepted or taken over by a call that
// was in progress when a planned stop began. They must be released, or the next owner would
// have to wait for the takeover timeout.
func TestJobsThatBeginDuringAStopAreHandedOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		begin func(n *testNode)
	}{
		{"accepted", func(n *testNode) {
			n.jobs.Stop(n.now)
			n.accept(newJob("j", 2))
		}},
		{"taken over", func(n *testNode) {
			former := newTestNode("a", n.store)
			former.accept(newJob("j", 2))
			syncHeads(n)
			n.now = n.now.Add(takeoverTimeout + 2*takeoverSpread)
			n.jobs.Tick(n.now)
			n.jobs.Stop(n.now)
			n.runTasks()
		}},
	} {
		n := newTestNode("b", newStore())
		c.begin(n)
		n.elapse(time.Second)
		if head := n.jobs.heads["j"]; head == nil || head.Owner != "" || n.jobs.OwnedCount() != 0 {
			t.Errorf("%s: head record %v, %d jobs owned", c.name, head, n.jobs.OwnedCount())
		}
		if runs := n.takeRuns(); len(runs) > 0 {
			t.Errorf("%s: %d runs started", c.name, len(runs))
		}
	}
}
