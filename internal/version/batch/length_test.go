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
func learned(texts int) *lengths {
	l := &lengths{}
	for i := range texts {
		switch i % 4 {
		case 0:
			l.learn(textLength{hint: 1000, events: 160})
		case 1:
			l.learn(textLength{hint: 1000, events: 60})
		default:
			l.learn(textLength{hint: 100, events: 20})
		}
	}
	return l
}

func TestSurvive(t *testing.T) {
	for _, c := range []struct {
		name             string
		texts            int
		hint, made, most int
		want             survival
	}{
		{"too few texts are known", lengthsKnown - 1, 1000, 0, 150, survival{}},
		{"a long hint: the longest were cut, so that they say nothing of longer ones", 100, 900, 0, 150, survival{chance: 51.0 / 77, left: (25*54 + 50*160) / 75.0, known: true}},
		{"a long hint, and it has passed the others", 100, 900, 60, 150, survival{chance: 51.0 / 52, left: 100, known: true}},
		{"a short hint", 100, 120, 0, 150, survival{chance: 1.0 / 77, left: (25*7 + 50*24) / 75.0, known: true}},
		{"a short hint, and it has passed some", 100, 120, 20, 150, survival{chance: 1.0 / 52, left: 4, known: true}},
		{"a short hint, but it has passed all whose callers were as far off", 100, 120, 24, 150, survival{}},
		{"no hint", 100, 0, 30, 150, survival{chance: 26.0 / 52, left: 80, known: true}},
		{"longer than any", 100, 900, 160, 170, survival{}},
	} {
		got := learned(c.texts).survive(c.hint, c.made, c.most)
		if got.known != c.want.known || math.Abs(got.chance-c.want.chance) > 1e-9 || math.Abs(got.left-c.want.left) > 1e-9 {
			t.Errorf("%s: %+v, should be %+v", c.name, got, c.want)
		}
	}
}

// TestLengthsForget: what a model's texts become may change while it is trained.
func TestLengthsForget(t *testing.T) {
	l := learned(lengthsKept)
	for range lengthsKept {
		l.learn(textLength{hint: 100, events: 30})
	}
	if got := l.longest(); got != 30 {
		t.Errorf("%d events in the longest text, should be 30", got)
	}
	if got := len(l.finished); got != lengthsKept {
		t.Errorf("%d texts kept", got)
	}
}

// TestHeadTellsLongest: the head of a new job tells what its items may have, and once enough
// texts were finished what they came to.
func TestHeadTellsLongest(t *testing.T) {
	b := newBench("a", newStore())
	b.mostEvents = 140
	b.accept(newJob("j", lengthsKnown+1))
	if got := b.jobs.Longest(b.now)["m"]; got != 140 {
		t.Errorf("%d events are told of a new job, should be 140", got)
	}
	runs := b.takeRuns()
	for i, run := range runs[:lengthsKnown] {
		b.finish(run, task.RunCompleted, 2, 10+i)
	}
	b.pass(beatEvery)
	if got := b.jobs.Longest(b.now)["m"]; got != 140 {
		t.Errorf("%d events are told while the longer texts are still made, should be 140", got)
	}
	b.finish(runs[lengthsKnown], task.RunCompleted, 2, 10)
	b.pass(beatEvery)
	b.accept(newJob("i", 1))
	if got := b.jobs.Longest(b.now)["m"]; got != 10+lengthsKnown-1 {
		t.Errorf("%d events are told, should be %d", got, 10+lengthsKnown-1)
	}
	b.jobs.setHead(b.now, "k", &doorstepv1.BatchJobHead{Model: "m", LongestEvents: 90, AcceptedAtMs: b.now.Sub(epoch).Milliseconds()}, 1000)
	if got := b.jobs.Longest(b.now)["m"]; got != 90 {
		t.Errorf("%d events are told, should be the newest job's 90", got)
	}
	if got := b.jobs.Longest(b.now.Add(demandFor))["m"]; got != 0 {
		t.Errorf("%d events are told by jobs of long ago", got)
	}
}

// TestEndedJobsLengthsAreLearned: a client that waits for a part of the groups ends the job while
// the longest texts are made.
func TestEndedJobsLengthsAreLearned(t *testing.T) {
	b := newBench("a", newStore())
	b.accept(newJob("j", lengthsKnown))
	runs := b.takeRuns()
	for _, run := range runs[1:] {
		b.finish(run, task.RunCompleted, 2, 10)
	}
	b.made(runs[0], 90)
	b.pass(beatEvery)
	b.jobs.End(b.now, "j", func(time.Time, Outcome) {})
	b.settle()
	if got := b.jobs.lengthsOf("m").longest(); got != 90 {
		t.Errorf("%d events in the longest text, should be 90", got)
	}
}

// TestLengthsOfFewModelsAreKept: jobs may name any model, and new ones are trained all the time.
func TestLengthsOfFewModelsAreKept(t *testing.T) {
	b := newBench("a", newStore())
	for i := range modelsKept + 10 {
		b.jobs.lengthsOf(fmt.Sprint("read", i))
		o := &ownedJob{jobs: b.jobs, job: &doorstepv1.BatchJob{Model: fmt.Sprint("m", i)}, items: []item{{state: itemListed, length: 10}}}
		o.learnLengths(b.now.Add(time.Duration(i) * time.Second))
	}
	if got := len(b.jobs.lengths); got != modelsKept {
		t.Errorf("lengths of %d models are kept, should be of %d", got, modelsKept)
	}
	if b.jobs.lengths["m9"] != nil || b.jobs.lengths["m10"] == nil {
		t.Error("others are kept than those of late")
	}
}

// TestCancelledJobsTeachNoLengths: what a job has that was ended soon after its start says nothing of
// how long its texts would have become.
func TestCancelledJobsTeachNoLengths(t *testing.T) {
	b := newBench("a", newStore())
	b.accept(newJob("j", lengthsKnown))
	for _, run := range b.takeRuns() {
		b.made(run, 5)
	}
	b.jobs.End(b.now, "j", func(time.Time, Outcome) {})
	b.settle()
	if got := b.jobs.lengthsOf("m"); got.known() {
		t.Errorf("%d texts are known, the longest of %d events", len(got.finished), got.longest())
	}
}
