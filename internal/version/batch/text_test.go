package batch

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// TestDiscardedTextsDoNotMix tests that each generation of a text has its own key prefix, and
// that texts with a gap are rejected. Either prevents mixing parts of different texts
// (scripts/proof/3-texts.patch breaks both).
func TestDiscardedTextsDoNotMix(t *testing.T) {
	n := newTestNode("a", newStore())
	n.accept(newJob("j", 1))
	owned := n.jobs.owned["j"]
	before := owned.checkpointKey(0)
	owned.items[0].discardText()
	if after := owned.checkpointKey(0); after == before {
		t.Errorf("both texts have the key %s", after.Key)
	}
	owned.items[0].state = itemWaiting
	owned.restoreText(n.now, 0, &doorstepv1.KeptText{Events: []*doorstepv1.KeptEvent{{Id: 1, Version: 2}, {Id: 3, Version: 2}}})
	if got := len(owned.items[0].events); got != 0 {
		t.Errorf("a text with a gap was restored, %d events", got)
	}
}

// TestLateWritesDoNotCutTexts tests an old write of a part that takes effect after a newer one,
// where the following part marks the text as complete. The text must not be truncated.
func TestLateWritesDoNotCutTexts(t *testing.T) {
	owner := newScoringNode(t)
	owner.elapse(checkpointInterval + 100*time.Millisecond)
	first := port.RecordKey{}
	for _, record := range owner.store.Range(owner.now, port.RecordRange{Table: DataTable, Partition: Partition("j"), From: "j/t/", To: "j/t/~"}).Records {
		first = record.RecordKey
	}
	older, err := proto.Marshal(&doorstepv1.KeptText{Events: []*doorstepv1.KeptEvent{{Id: 1, Data: "j-0#1", Version: 2}, {Id: 2, Data: "j-0#2", Version: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	newest, err := proto.Marshal(&doorstepv1.KeptText{WholeEvents: 10, Score: "signed"})
	if err != nil {
		t.Fatal(err)
	}
	following := first
	following.Key += "z"
	owner.store.Commit(owner.now, port.RecordTransaction{Puts: []port.Record{{RecordKey: first, Value: older}, {RecordKey: following, Value: newest}}})
	other := newTestNode("b", owner.store)
	other.now = owner.now
	syncHeads(other)
	other.elapse(2 * time.Second)
	if runs := other.takeRuns(); len(runs) != 1 || runs[0].After != 2 {
		t.Errorf("%d runs, want one that resumes after event 2", len(runs))
	}
	if got := other.results(t, "j"); len(got) != 0 {
		t.Errorf("an incomplete text was listed: %v", got)
	}
}

// TestTextsThatCannotBeEncoded guards against one item's text ending the process, or holding back the results of others.
func TestTextsThatCannotBeEncoded(t *testing.T) {
	n := newTestNode("a", newStore())
	n.accept(newJob("j", 3))
	n.elapse(200 * time.Millisecond)
	runs := n.takeRuns()
	for _, outcome := range []task.RunOutcome{task.RunInterrupted, task.RunCompleted} {
		for i, run := range runs {
			events := []port.ReplicaEvent{{ID: 1, Data: "a", Version: 2}, {ID: 2, Data: "b", Version: 2}, {ID: 3, Data: "c", Version: 2}, {ID: 4, Data: "d", Version: 2}}
			if i == 1 {
				events[2].Data = "\xff"
			}
			if outcome == task.RunCompleted {
				events = []port.ReplicaEvent{{ID: 5, Data: "e", Version: 2}}
			}
			run.Done(n.now, task.RunResult{Outcome: outcome, Events: events})
			n.runTasks()
		}
		n.elapse(2 * checkpointInterval)
		runs = n.takeRuns()
	}
	if got := n.results(t, "j"); len(got) != 2 {
		t.Fatalf("results %v, want those of the two other items", got)
	}
	if len(runs) != 1 || runs[0].After != 0 {
		t.Fatalf("runs %v, want one that generates the text from its start", runs)
	}
	n.finish(runs[0], task.RunCompleted, 2, 5)
	n.elapse(time.Second)
	if got := n.results(t, "j"); len(got) != 3 || !got[2].Completed || got[2].Message != "j-1#1\nj-1#2\nj-1#3\nj-1#4\nj-1#5" {
		t.Errorf("results %v", got)
	}
}

// TestJobsThatCannotBeEncoded guards against a job whose submission ends the process.
func TestJobsThatCannotBeEncoded(t *testing.T) {
	n := newTestNode("a", newStore())
	job := newJob("j", 1)
	job.Path = "/p/\xff"
	if outcome, answered := n.accept(job); !answered || outcome != Invalid {
		t.Errorf("outcome %d, answered %t", outcome, answered)
	}
}

// TestTooLongTextsAreNotRestored guards against a text that holds events of an answer without end, at this owner or at
// the next one.
func TestTooLongTextsAreNotRestored(t *testing.T) {
	store := newStore()
	n := newTestNode("a", store)
	n.maxEvents = 5
	n.accept(newJob("j", 1))
	n.elapse(200 * time.Millisecond)
	run := n.takeRuns()[0]
	if run.MaxEventID != 10 || run.MaxBytes <= 0 {
		t.Fatalf("limits: event %d, %d bytes", run.MaxEventID, run.MaxBytes)
	}
	var events []port.ReplicaEvent
	for id := int64(1); id <= 8; id++ {
		events = append(events, port.ReplicaEvent{ID: id, Data: "more", Version: 2})
	}
	run.Progress(n.now, events, 0)
	n.elapse(2 * checkpointInterval)
	run.Done(n.now, task.RunResult{Outcome: task.RunTooLong})
	n.elapse(2 * checkpointInterval)
	if again := n.takeRuns(); len(again) != 1 || again[0].After != 0 {
		t.Fatalf("runs %v, want one from the start", again)
	}
	next := newTestNode("b", store)
	syncHeads(next)
	next.elapse(takeoverTimeout + 5*time.Second)
	if taken := next.takeRuns(); len(taken) == 0 || taken[0].After != 0 {
		t.Errorf("runs of the next owner %v, want one from the start", taken)
	}
}

// TestRunsThatExceedTheTextLimitFail guards against a text that grows by the runs that continue it.
func TestRunsThatExceedTheTextLimitFail(t *testing.T) {
	n := newTestNode("a", newStore())
	n.accept(newJob("j", 1))
	n.elapse(200 * time.Millisecond)
	first := n.takeRuns()[0]
	first.Done(n.now, task.RunResult{Outcome: task.RunInterrupted, Events: []port.ReplicaEvent{{ID: 1, Data: strings.Repeat("x", 1000), Version: 2}}})
	n.elapse(time.Second)
	if second := n.takeRuns()[0]; second.After != 1 || second.MaxBytes > first.MaxBytes-1000 {
		t.Errorf("after event %d: %d bytes of %d are left", second.After, second.MaxBytes, first.MaxBytes)
	}
}

// TestLastEventIsCheckedIfTheEndWasLost guards against events that a replica sent behind the end of a text, and that
// become part of it if the answer breaks off.
func TestLastEventIsCheckedIfTheEndWasLost(t *testing.T) {
	event := func(id int64, data string) port.ReplicaEvent {
		return port.ReplicaEvent{ID: id, Data: data, Version: 2}
	}
	for name, c := range map[string]struct {
		// interrupted are the events of the first run, again those of the run that generates its last event again.
		interrupted, again []port.ReplicaEvent
		sound              bool
		text               string
	}{
		"the end was lost": {[]port.ReplicaEvent{event(1, "a"), event(2, "b")}, []port.ReplicaEvent{event(2, "b")}, true, "a\nb"},
		"the text goes on": {[]port.ReplicaEvent{event(1, "a"), event(2, "b")}, []port.ReplicaEvent{event(2, "b"), event(3, "c")}, true, "a\nb\nc"},
		"no such event":    {[]port.ReplicaEvent{event(1, "a"), event(2, "b"), event(3, "more")}, nil, false, ""},
		"other data":       {[]port.ReplicaEvent{event(1, "a"), event(2, "b")}, []port.ReplicaEvent{event(2, "c")}, true, "a\nb"},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode("a", newStore())
			n.accept(newJob("j", 1))
			next := func(after int, outcome task.RunOutcome, events []port.ReplicaEvent) {
				t.Helper()
				n.elapse(time.Second)
				runs := n.takeRuns()
				if len(runs) != 1 || runs[0].After != int64(after) {
					t.Fatalf("runs %v, want one after event %d", runs, after)
				}
				runs[0].Done(n.now, task.RunResult{Outcome: outcome, Events: events})
				n.runTasks()
			}
			next(0, task.RunInterrupted, c.interrupted)
			next(len(c.interrupted), task.RunCompleted, nil)
			next(len(c.interrupted)-1, task.RunCompleted, c.again)
			if !c.sound {
				next(0, task.RunCompleted, []port.ReplicaEvent{event(1, "x")})
				c.text = "x"
			}
			n.elapse(time.Second)
			if got := n.results(t, "j"); len(got) != 1 || !got[0].Completed || got[0].Message != c.text {
				t.Errorf("results %v, want %q", got, c.text)
			}
		})
	}
}
