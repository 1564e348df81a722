package batch

import (
	"fmt"
	"math"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/process/task"
)

// learned returns the lengths of a hundred texts: of those with a hint of 100 tokens none has
// more than 20 events, of those with 1000 the half is cut at 160.
func newLengthHistory(texts int) *lengthHistory {
	h := &lengthHistory{}
	for i := range texts {
		switch i % 4 {
		case 0:
			h.add(lengthSample{hint: 1000, events: 160})
		case 1:
			h.add(lengthSample{hint: 1000, events: 60})
		default:
			h.add(lengthSample{hint: 100, events: 20})
		}
	}
	return h
}

func TestSurvive(t *testing.T) {
	for _, c := range []struct {
		name             string
		texts            int
		hint, made, most int
		want             lengthEstimate
	}{
		{"too few texts are known", minLengthSamples - 1, 1000, 0, 150, lengthEstimate{}},
		{"a long hint: the longest were cut, so that they say nothing of longer ones", 100, 900, 0, 150, lengthEstimate{probability: 51.0 / 77, meanRemaining: (25*54 + 50*160) / 75.0, known: true}},
		{"a long hint, and it has passed the others", 100, 900, 60, 150, lengthEstimate{probability: 51.0 / 52, meanRemaining: 100, known: true}},
		{"a short hint", 100, 120, 0, 150, lengthEstimate{probability: 1.0 / 77, meanRemaining: (25*7 + 50*24) / 75.0, known: true}},
		{"a short hint, and it has passed some", 100, 120, 20, 150, lengthEstimate{probability: 1.0 / 52, meanRemaining: 4, known: true}},
		{"a short hint, but it has passed all whose callers were as far off", 100, 120, 24, 150, lengthEstimate{}},
		{"no hint", 100, 0, 30, 150, lengthEstimate{probability: 26.0 / 52, meanRemaining: 80, known: true}},
		{"longer than any", 100, 900, 160, 170, lengthEstimate{}},
	} {
		got := newLengthHistory(c.texts).estimate(c.hint, c.made, c.most)
		if got.known != c.want.known || math.Abs(got.probability-c.want.probability) > 1e-9 || math.Abs(got.meanRemaining-c.want.meanRemaining) > 1e-9 {
			t.Errorf("%s: %+v, should be %+v", c.name, got, c.want)
		}
	}
}

// TestLengthsForget: what a model's texts become may change while it is trained.
func TestLengthsForget(t *testing.T) {
	h := newLengthHistory(maxLengthSamples)
	for range maxLengthSamples {
		h.add(lengthSample{hint: 100, events: 30})
	}
	if got := h.longest(); got != 30 {
		t.Errorf("%d events in the longest text, should be 30", got)
	}
	if got := len(h.samples); got != maxLengthSamples {
		t.Errorf("%d texts kept", got)
	}
}

// TestHeadTellsLongest: the head of a new job tells what its items may have, and once enough
// texts were finished what they came to.
func TestHeadTellsLongest(t *testing.T) {
	n := newTestNode("a", newStore())
	n.mostEvents = 140
	n.accept(newJob("j", minLengthSamples+1))
	if got := n.jobs.Longest(n.now)["m"]; got != 140 {
		t.Errorf("%d events are told of a new job, should be 140", got)
	}
	runs := n.takeRuns()
	for i, run := range runs[:minLengthSamples] {
		n.finish(run, task.RunCompleted, 2, 10+i)
	}
	n.elapse(heartbeatInterval)
	if got := n.jobs.Longest(n.now)["m"]; got != 140 {
		t.Errorf("%d events are told while the longer texts are still made, should be 140", got)
	}
	n.finish(runs[minLengthSamples], task.RunCompleted, 2, 10)
	n.elapse(heartbeatInterval)
	n.accept(newJob("i", 1))
	if got := n.jobs.Longest(n.now)["m"]; got != 10+minLengthSamples-1 {
		t.Errorf("%d events are told, should be %d", got, 10+minLengthSamples-1)
	}
	n.jobs.setHead(n.now, "k", &doorstepv1.BatchJobHead{Model: "m", LongestEvents: 90, AcceptedAtMs: n.now.Sub(epoch).Milliseconds()}, 1000)
	if got := n.jobs.Longest(n.now)["m"]; got != 90 {
		t.Errorf("%d events are told, should be the newest job's 90", got)
	}
	if got := n.jobs.Longest(n.now.Add(demandWindow))["m"]; got != 0 {
		t.Errorf("%d events are told by jobs of long ago", got)
	}
}

// TestEndedJobsLengthsAreLearned: a client that waits for a part of the groups ends the job while
// the longest texts are made.
func TestEndedJobsLengthsAreLearned(t *testing.T) {
	n := newTestNode("a", newStore())
	n.accept(newJob("j", minLengthSamples))
	runs := n.takeRuns()
	for _, run := range runs[1:] {
		n.finish(run, task.RunCompleted, 2, 10)
	}
	n.reportProgress(runs[0], 90)
	n.elapse(heartbeatInterval)
	n.jobs.End(n.now, "j", func(time.Time, Outcome) {})
	n.runTasks()
	if got := n.jobs.lengthHistoryOf("m").longest(); got != 90 {
		t.Errorf("%d events in the longest text, should be 90", got)
	}
}

// TestLengthsOfFewModelsAreKept: jobs may name any model, and new ones are trained all the time.
func TestLengthsOfFewModelsAreKept(t *testing.T) {
	n := newTestNode("a", newStore())
	for i := range maxLengthHistories + 10 {
		n.jobs.lengthHistoryOf(fmt.Sprint("read", i))
		o := &ownedJob{jobs: n.jobs, job: &doorstepv1.BatchJob{Model: fmt.Sprint("m", i)}, items: []item{{state: itemListed, finalEvents: 10}}}
		o.recordLengths(n.now.Add(time.Duration(i) * time.Second))
	}
	if got := len(n.jobs.lengthHistories); got != maxLengthHistories {
		t.Errorf("lengths of %d models are kept, should be of %d", got, maxLengthHistories)
	}
	if n.jobs.lengthHistories["m9"] != nil || n.jobs.lengthHistories["m10"] == nil {
		t.Error("others are kept than those of late")
	}
}

// TestCancelledJobsTeachNoLengths: what a job has that was ended soon after its start says nothing of
// how long its texts would have become.
func TestCancelledJobsTeachNoLengths(t *testing.T) {
	n := newTestNode("a", newStore())
	n.accept(newJob("j", minLengthSamples))
	for _, run := range n.takeRuns() {
		n.reportProgress(run, 5)
	}
	n.jobs.End(n.now, "j", func(time.Time, Outcome) {})
	n.runTasks()
	if got := n.jobs.lengthHistoryOf("m"); got.sufficient() {
		t.Errorf("%d texts are known, the longest of %d events", len(got.samples), got.longest())
	}
}
