package batch

import (
	"fmt"
	"math"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/process/task"
)

// newLengthHistory returns a history of samples: texts with a hint of 100 tokens have 20
// events, half of those with a hint of 1000 have 60, the others are truncated at 160.
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

func TestLengthEstimate(t *testing.T) {
	for _, c := range []struct {
		name                    string
		texts                   int
		hint, generated, target int
		want                    lengthEstimate
	}{
		{"too few samples", minLengthSamples - 1, 1000, 0, 150, lengthEstimate{}},
		{"a long hint: truncated samples do not count for longer texts", 100, 900, 0, 150, lengthEstimate{probability: 51.0 / 77, meanRemaining: (25*54 + 50*160) / 75.0, known: true}},
		{"a long hint, longer than the other samples", 100, 900, 60, 150, lengthEstimate{probability: 51.0 / 52, meanRemaining: 100, known: true}},
		{"a short hint", 100, 120, 0, 150, lengthEstimate{probability: 1.0 / 77, meanRemaining: (25*7 + 50*24) / 75.0, known: true}},
		{"a short hint, longer than some samples", 100, 120, 20, 150, lengthEstimate{probability: 1.0 / 52, meanRemaining: 4, known: true}},
		{"a short hint, longer than all comparable samples", 100, 120, 24, 150, lengthEstimate{}},
		{"no hint", 100, 0, 30, 150, lengthEstimate{probability: 26.0 / 52, meanRemaining: 80, known: true}},
		{"longer than all samples", 100, 900, 160, 170, lengthEstimate{}},
	} {
		got := newLengthHistory(c.texts).estimate(c.hint, c.generated, c.target)
		if got.known != c.want.known || math.Abs(got.probability-c.want.probability) > 1e-9 || math.Abs(got.meanRemaining-c.want.meanRemaining) > 1e-9 {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestLengthHistoryEviction tests that old samples are evicted, as the lengths change during
// training.
func TestLengthHistoryEviction(t *testing.T) {
	h := newLengthHistory(maxLengthSamples)
	for range maxLengthSamples {
		h.add(lengthSample{hint: 100, events: 30})
	}
	if got := h.longest(); got != 30 {
		t.Errorf("longest text has %d events, want 30", got)
	}
	if got := len(h.samples); got != maxLengthSamples {
		t.Errorf("%d samples", got)
	}
}

// TestHeadLongestEvents tests that a new head record has the maximum number of events of the
// items, and the longest observed text once there are enough samples.
func TestHeadLongestEvents(t *testing.T) {
	n := newTestNode("a", newStore())
	n.maxEvents = 140
	n.accept(newJob("j", minLengthSamples+1))
	if got := n.jobs.LongestEvents(n.now)["m"]; got != 140 {
		t.Errorf("longest text of a new job is %d events, want 140", got)
	}
	runs := n.takeRuns()
	for i, run := range runs[:minLengthSamples] {
		n.finish(run, task.RunCompleted, 2, 10+i)
	}
	n.elapse(heartbeatInterval)
	if got := n.jobs.LongestEvents(n.now)["m"]; got != 140 {
		t.Errorf("longest text is %d events while longer ones are running, want 140", got)
	}
	n.finish(runs[minLengthSamples], task.RunCompleted, 2, 10)
	n.elapse(heartbeatInterval)
	n.accept(newJob("i", 1))
	if got := n.jobs.LongestEvents(n.now)["m"]; got != 10+minLengthSamples-1 {
		t.Errorf("longest text is %d events, want %d", got, 10+minLengthSamples-1)
	}
	n.jobs.setHead(n.now, "k", &doorstepv1.BatchJobHead{Model: "m", LongestEvents: 90, AcceptedAtMs: n.now.Sub(epoch).Milliseconds()}, 1000)
	if got := n.jobs.LongestEvents(n.now)["m"]; got != 90 {
		t.Errorf("longest text is %d events, want 90 of the newest job", got)
	}
	if got := n.jobs.LongestEvents(n.now.Add(demandWindow))["m"]; got != 0 {
		t.Errorf("longest text is %d events, want 0 without recent jobs", got)
	}
}

// TestEndedJobLengthsAreRecorded tests that running texts count when the client ends a job
// early.
func TestEndedJobLengthsAreRecorded(t *testing.T) {
	n := newTestNode("a", newStore())
	n.accept(newJob("j", minLengthSamples))
	runs := n.takeRuns()
	for _, run := range runs[1:] {
		n.finish(run, task.RunCompleted, 2, 10)
	}
	n.reportProgress(runs[0], 90)
	n.elapse(heartbeatInterval)
	n.jobs.End(n.now, "j", time.Time{}, func(time.Time, Outcome) {})
	n.runTasks()
	if got := n.jobs.lengthHistoryOf("m").longest(); got != 90 {
		t.Errorf("longest text has %d events, want 90", got)
	}
}

// TestLengthHistoriesAreLimited tests that the number of models with a history is limited.
func TestLengthHistoriesAreLimited(t *testing.T) {
	n := newTestNode("a", newStore())
	for i := range maxLengthHistories + 10 {
		n.jobs.lengthHistoryOf(fmt.Sprint("read", i))
		o := &ownedJob{jobs: n.jobs, job: &doorstepv1.BatchJob{Model: fmt.Sprint("m", i)}, items: []item{{state: itemListed, finalEvents: 10}}}
		o.recordLengths(n.now.Add(time.Duration(i) * time.Second))
	}
	if got := len(n.jobs.lengthHistories); got != maxLengthHistories {
		t.Errorf("%d models have a history, want %d", got, maxLengthHistories)
	}
	if n.jobs.lengthHistories["m9"] != nil || n.jobs.lengthHistories["m10"] == nil {
		t.Error("the most recent histories were not kept")
	}
}

// TestCancelledJobLengthsAreIgnored tests that jobs ended soon after their start are ignored.
func TestCancelledJobLengthsAreIgnored(t *testing.T) {
	n := newTestNode("a", newStore())
	n.accept(newJob("j", minLengthSamples))
	for _, run := range n.takeRuns() {
		n.reportProgress(run, 5)
	}
	n.jobs.End(n.now, "j", time.Time{}, func(time.Time, Outcome) {})
	n.runTasks()
	if got := n.jobs.lengthHistoryOf("m"); got.sufficient() {
		t.Errorf("%d samples, the longest of %d events, want none", len(got.samples), got.longest())
	}
}
