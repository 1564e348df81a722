package batch

import (
	"strings"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// reader is a client as the users describe it: it reads again half a second after the start of
// its last read, or at its answer, and a read that finds nothing is held for a second.
type pollingClient struct {
	startAt time.Time
	waiting bool
}

// step lets time pass up to now, with results listed at that moment or none.
func (r *pollingClient) step(now time.Time, listed bool) (got bool) {
	switch {
	case !r.waiting && !now.Before(r.startAt):
		r.waiting = true
		return listed
	case r.waiting && listed, r.waiting && now.Sub(r.startAt) >= time.Second:
		r.waiting = false
		r.startAt = r.startAt.Add(500 * time.Millisecond)
		if r.startAt.Before(now) {
			r.startAt = now
		}
		return listed
	}
	return false
}

// TestPulsesLeaveAReadThatBeganEarly: in whatever rhythm the client reads at first, the read that
// is open when the last result is listed began at least half a second before.
func TestPulsesLeaveAReadThatBeganEarly(t *testing.T) {
	const due, tick = 7500 * time.Millisecond, 10 * time.Millisecond
	for phase := time.Duration(0); phase < time.Second; phase += 50 * time.Millisecond {
		for _, whole := range []time.Duration{7900 * time.Millisecond, 8050 * time.Millisecond} {
			client, p := pollingClient{startAt: epoch.Add(5*time.Second + phase)}, flushSchedule{}
			for at := 5 * time.Second; at < whole; at += tick {
				now := epoch.Add(at)
				client.step(now, at >= due-due/holdbackDivisor && p.next(now, epoch.Add(whole), epoch.Add(due-releaseMargin)) != noFlush)
			}
			if began := epoch.Add(whole).Sub(client.startAt); !client.waiting || began < 450*time.Millisecond {
				t.Errorf("phase %s, whole after %s: the last read began %s before (open %t)", phase, whole, began, client.waiting)
			}
		}
	}
}

func TestPulse(t *testing.T) {
	const due = 7400 * time.Millisecond
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	for _, c := range []struct {
		name             string
		now, whole, last time.Duration
		want             flush
	}{
		{"the last before the groups are whole", 6200 * time.Millisecond, 7 * time.Second, 0, fullFlush},
		{"the one before that", 5300 * time.Millisecond, 7 * time.Second, 0, partialFlush},
		{"between two", 5800 * time.Millisecond, 7 * time.Second, 0, noFlush},
		{"the groups are about to be whole", 6900 * time.Millisecond, 7 * time.Second, 0, noFlush},
		{"what is ready is listed when it is due", 7400 * time.Millisecond, 8500 * time.Millisecond, 0, fullFlush},
		{"what is ready is listed by the next tick", 7420 * time.Millisecond, 7900 * time.Millisecond, 0, fullFlush},
		{"what is ready is listed once clients have rested", 7420 * time.Millisecond, 7900 * time.Millisecond, 6930 * time.Millisecond, noFlush},
		{"what is ready is listed after they have", 7440 * time.Millisecond, 7900 * time.Millisecond, 6930 * time.Millisecond, fullFlush},
		{"it was just now, before the forecast moved", 6200 * time.Millisecond, 7 * time.Second, 6100 * time.Millisecond, noFlush},
	} {
		p := flushSchedule{lastFlushAt: at(c.last)}
		if got := p.next(at(c.now), at(c.whole), at(due)); got != c.want {
			t.Errorf("%s: pulse %d, should be %d", c.name, got, c.want)
		}
	}
}

// TestPulseIsRepeatedWhenTheStoreFailed: what the last pulse was to list isn't held until the end
// because the store refused it once.
func TestPulseIsRepeatedWhenTheStoreFailed(t *testing.T) {
	n, runs := newProgressNode(t, 4, 6500*time.Millisecond)
	for _, run := range runs[1:] {
		n.finish(run, task.RunCompleted, 2, 20)
	}
	n.reportProgress(runs[0], 113)
	refused := false
	n.commitHook = func(commit task.Commit) (port.RecordResult, bool) {
		refused = refused || len(commit.Transaction.Puts) > 1
		return port.RecordResult{Status: port.RecordRefused}, len(commit.Transaction.Puts) > 1 && n.now.Sub(epoch) < 7100*time.Millisecond
	}
	n.elapse(900 * time.Millisecond)
	if got := len(n.results(t, "j")); !refused || got != 15 {
		t.Errorf("%d results are listed after a pulse that was refused (%t), should be 15", got, refused)
	}
}

// TestHeldBackResultsAreListedInPulses: what is held back for a text that ends in 1.35 s is listed
// 0.85 s before that, and what comes after then with the last.
func TestHeldBackResultsAreListedInPulses(t *testing.T) {
	n, runs := newProgressNode(t, 4, 6500*time.Millisecond)
	for _, run := range runs[2:] {
		n.finish(run, task.RunCompleted, 2, 20)
	}
	for _, run := range runs[:2] {
		n.reportProgress(run, 113)
	}
	for _, c := range []struct {
		until  time.Duration
		listed int
	}{{6900 * time.Millisecond, 0}, {7200 * time.Millisecond, 14}, {7700 * time.Millisecond, 14}} {
		n.elapse(c.until - n.now.Sub(epoch))
		if got := len(n.results(t, "j")); got != c.listed {
			t.Errorf("%d results are listed after %s, should be %d", got, c.until, c.listed)
		}
		if c.listed > 0 && n.jobs.owned["j"].items[0].state == itemRunning {
			n.finish(runs[0], task.RunCompleted, 2, 140)
		}
	}
	n.finish(runs[1], task.RunCompleted, 2, 140)
	n.elapse(50 * time.Millisecond)
	if got := len(n.results(t, "j")); got != 16 {
		t.Errorf("%d results are listed with the last", got)
	}
}

// TestStepsInGoodTimeArentHeldBack: where the longest texts end well before the results are due,
// results are listed as they come.
func TestStepsInGoodTimeArentHeldBack(t *testing.T) {
	for _, c := range []struct {
		name         string
		made, listed int
	}{{"whole after 5.6 s", 110, 15}, {"whole after 7.5 s", 72, 0}} {
		n, runs := newProgressNode(t, 4, 4100*time.Millisecond)
		for _, run := range runs[1:] {
			n.finish(run, task.RunCompleted, 2, 20)
		}
		n.reportProgress(runs[0], c.made)
		n.elapse(200 * time.Millisecond)
		if got := len(n.results(t, "j")); got != c.listed {
			t.Errorf("%s: %d results are listed, should be %d", c.name, got, c.listed)
		}
	}
}

// TestPulseListsAllThatIsReady: what is ready at the last pulse isn't held until the groups are whole,
// though it came just now, or is more than one transaction takes.
func TestPulseListsAllThatIsReady(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int
	}{{"just finished", 10}, {"of two transactions", maxTransactionBytes / 10}} {
		n, runs := newProgressNode(t, 4, 6500*time.Millisecond)
		for _, run := range runs[:2] {
			n.reportProgress(run, 113)
		}
		n.now = epoch.Add(7050 * time.Millisecond)
		for _, run := range runs[2:] {
			run.Done(n.now, task.RunResult{Outcome: task.RunCompleted, Events: []port.ReplicaEvent{{ID: 1, Data: strings.Repeat("x", c.bytes), Version: 2}}})
			n.runTasks()
		}
		n.elapse(100 * time.Millisecond)
		if got := n.jobs.heads["j"].Listed; got != 14 {
			t.Errorf("%s: %d results are listed, should be 14", c.name, got)
		}
	}
}
