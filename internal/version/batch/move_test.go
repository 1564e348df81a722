package batch

import (
	"net/http"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// TestMoveDecision uses the samples of newLengthHistory.
func TestMoveDecision(t *testing.T) {
	const fast, slow, degraded = 50 * time.Millisecond, 65 * time.Millisecond, 200 * time.Millisecond
	for _, c := range []struct {
		name  string
		texts int
		run   moveCandidate
		want  moveReason
	}{
		{"possibly one of the longest, which miss the deadline", 100, moveCandidate{pace: slow, bestPace: fast, events: 8, lengthHint: 1000, timeLeft: 7 * time.Second, hasDeadline: true}, delaysStep},
		{"the longest meet the deadline", 100, moveCandidate{pace: slow, bestPace: fast, events: 8, lengthHint: 1000, timeLeft: 12 * time.Second, hasDeadline: true}, noMove},
		{"no comparable text is long enough", 100, moveCandidate{pace: slow, bestPace: fast, events: 8, lengthHint: 100, timeLeft: 7 * time.Second, hasDeadline: true}, noMove},
		{"exceeds its hint by more than any sample", 100, moveCandidate{pace: slow, bestPace: fast, events: 24, runEvents: 24, lengthHint: 100, timeLeft: 7 * time.Second, hasDeadline: true}, unknownLength},
		{"about to end", 100, moveCandidate{pace: slow, bestPace: fast, events: 158, lengthHint: 1000, timeLeft: 0, hasDeadline: true}, noMove},
		{"deadline reached", 100, moveCandidate{pace: slow, bestPace: fast, events: 100, lengthHint: 1000, timeLeft: -time.Second, hasDeadline: true}, delaysStep},
		{"no deadline", 100, moveCandidate{pace: slow, bestPace: fast, events: 8, lengthHint: 1000}, delaysStep},
		{"not slow", 100, moveCandidate{pace: 58 * time.Millisecond, bestPace: fast, events: 8, lengthHint: 1000, timeLeft: 7 * time.Second, hasDeadline: true}, noMove},
		{"degraded, with time left", 100, moveCandidate{pace: degraded, bestPace: fast, events: 8, lengthHint: 100, timeLeft: 30 * time.Second, hasDeadline: true}, degradedReplica},
		{"degraded, about to end", 100, moveCandidate{pace: 90 * time.Millisecond, bestPace: fast, events: 19, runEvents: 19, lengthHint: 100, timeLeft: 7 * time.Second, hasDeadline: true}, noMove},
		{"no samples: short", 0, moveCandidate{pace: slow, bestPace: fast, events: 8, runEvents: 8, lengthHint: 100, timeLeft: 7 * time.Second, hasDeadline: true}, noMove},
		{"no samples: no longer short", 0, moveCandidate{pace: slow, bestPace: fast, events: 16, runEvents: 16, lengthHint: 100, timeLeft: 7 * time.Second, hasDeadline: true}, unknownLength},
		{"no samples: expected to be long", 0, moveCandidate{pace: slow, bestPace: fast, events: 8, runEvents: 8, long: true, timeLeft: 7 * time.Second, hasDeadline: true}, unknownLength},
		{"no samples, but the maximum length meets the deadline", 0, moveCandidate{pace: slow, bestPace: fast, events: 16, runEvents: 16, maxEvents: 90, timeLeft: 7 * time.Second, hasDeadline: true}, noMove},
		{"no samples, and the maximum length misses the deadline", 0, moveCandidate{pace: slow, bestPace: fast, events: 16, runEvents: 16, maxEvents: 140, timeLeft: 7 * time.Second, hasDeadline: true}, unknownLength},
		{"no samples: degraded", 0, moveCandidate{pace: degraded, bestPace: fast, events: 3, runEvents: 3, timeLeft: 7 * time.Second, hasDeadline: true}, degradedReplica},
	} {
		if got := c.run.decide(newLengthHistory(c.texts)); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

func TestMoveIsLogged(t *testing.T) {
	n, runs := newProgressNode(t, 4, time.Second)
	n.replica.UpdatePace(n.now, 50*time.Millisecond)
	if stop := runs[0].Progress(n.now, nil, 200*time.Millisecond); !stop {
		t.Fatal("a run on a degraded replica is not moved")
	}
	for _, queued := range n.queue.Take() {
		if line, ok := queued.(task.Log); ok && line.Event == event.RunMoved {
			return
		}
	}
	t.Error("the move was not logged")
}

// TestMarkLong guards against items that are marked as long by their number, although their texts are not expected to
// be among the longest, and against long ones that are not marked.
func TestMarkLong(t *testing.T) {
	for _, c := range []struct {
		name  string
		texts int
		hints []int
		want  []bool
	}{
		{"too few samples: hints near the longest", 0, []int{1000, 900, 800, 100, 100}, []bool{true, true, false, false, false}},
		{"too few samples: one long text", 0, []int{10, 12, 900, 11, 10}, []bool{false, false, true, false, false}},
		{"too few samples: most texts are long", 0, []int{900, 10, 880, 900, 870}, []bool{true, false, true, true, true}},
		{"too few samples: all alike", 0, []int{100, 100, 100}, []bool{false, false, false}},
		{"all that may be among the longest", 100, []int{1000, 900, 800, 100, 100}, []bool{true, true, true, false, false}},
		{"none may be long", 100, []int{100, 100, 100, 100, 100}, []bool{false, false, false, false, false}},
		{"no hints", 100, []int{0, 0, 0, 0, 0}, []bool{false, false, false, false, false}},
	} {
		n := newTestNode("a", newStore())
		n.jobs.lengthHistories["m"] = newLengthHistory(c.texts)
		o := &ownedJob{jobs: n.jobs, job: newJob("j", len(c.hints)), items: make([]item, len(c.hints))}
		o.markLong(c.hints)
		for i, want := range c.want {
			if o.items[i].long != want {
				t.Errorf("%s: item %d is long: %t", c.name, i, o.items[i].long)
			}
		}
	}
}

// TestMovePlacementRequirements tests that the dry run for a move includes the required memory
// and the excluded endpoints, as the run might otherwise restart on a slow replica.
func TestMovePlacementRequirements(t *testing.T) {
	n, runs := newProgressNode(t, 4, time.Second)
	n.jobs.options.ExpectedTokens = func(*port.Route, http.Header, int) int { return 700 }
	it := &n.jobs.owned["j"].items[0]
	it.runCrashes.crashes = isolateAfter
	n.jobs.isolatedRuns["taken"] = 1
	var wanted Placement
	n.jobs.options.Place = func(_ time.Time, got Placement) *endpoint.Endpoint {
		wanted = got
		return nil
	}
	runs[0].Progress(n.now, nil, 200*time.Millisecond)
	if !wanted.DryRun || wanted.Tokens != 700 || !wanted.Exclude["taken"] {
		t.Errorf("placement request %+v", wanted)
	}
}

// TestMovesFollowTheStore guards against runs that are moved although their results can be read in time, and against runs
// that are not moved although a slow store makes their results late.
func TestMovesFollowTheStore(t *testing.T) {
	const slow, fast, events = 100 * time.Millisecond, 50 * time.Millisecond, minEventsToMove
	for _, c := range []struct {
		name string
		// spare is the time between the end of the text and the result deadline.
		spare, latency time.Duration
		moved          bool
	}{
		{"near store, in time", 250 * time.Millisecond, 5 * time.Millisecond, false},
		{"near store, too late", -150 * time.Millisecond, 5 * time.Millisecond, true},
		{"slow store, too late", 600 * time.Millisecond, 400 * time.Millisecond, true},
		{"slow store, in time", time.Second, 400 * time.Millisecond, false},
	} {
		n, runs := newProgressNode(t, 4, time.Second)
		n.latency = c.latency
		n.replica.UpdatePace(n.now, fast)
		n.maxEvents = events + int((progressDeadline-time.Second-c.spare)/slow)
		if moved := runs[0].Progress(n.now, make([]port.ReplicaEvent, events), slow); moved != c.moved {
			t.Errorf("%s: moved %t, want %t", c.name, moved, c.moved)
		}
	}
}
