package batch

import (
	"strings"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// pollingClient starts a read half a second after it started the previous one or when that one
// is answered, whichever is later. A read without results is held for a second.
type pollingClient struct {
	startAt time.Time
	waiting bool
}

// step advances the client to now; listed is set if results are listed at that time.
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

// TestFlushesAlignReads tests that the read that is open when the last result is listed started
// at least half a second earlier, regardless of the client's initial phase.
func TestFlushesAlignReads(t *testing.T) {
	const deadline, tick = 7500 * time.Millisecond, 10 * time.Millisecond
	for phase := time.Duration(0); phase < time.Second; phase += 50 * time.Millisecond {
		for _, completeAfter := range []time.Duration{7900 * time.Millisecond, 8050 * time.Millisecond} {
			client, schedule := pollingClient{startAt: epoch.Add(5*time.Second + phase)}, flushSchedule{}
			for at := 5 * time.Second; at < completeAfter; at += tick {
				now := epoch.Add(at)
				client.step(now, at >= deadline-deadline/holdbackDivisor && schedule.next(now, epoch.Add(completeAfter), epoch.Add(deadline-releaseMargin)) != noFlush)
			}
			if began := epoch.Add(completeAfter).Sub(client.startAt); !client.waiting || began < 450*time.Millisecond {
				t.Errorf("phase %s, complete after %s: the last read started %s before (open %t)", phase, completeAfter, began, client.waiting)
			}
		}
	}
}

func TestFlushSchedule(t *testing.T) {
	const release = 7400 * time.Millisecond
	at := func(d time.Duration) time.Time { return epoch.Add(d) }
	for _, c := range []struct {
		name                  string
		now, completeAt, last time.Duration
		want                  flush
	}{
		{"the last flush before completion", 6200 * time.Millisecond, 7 * time.Second, 0, fullFlush},
		{"the flush before the last", 5300 * time.Millisecond, 7 * time.Second, 0, partialFlush},
		{"between two flushes", 5800 * time.Millisecond, 7 * time.Second, 0, noFlush},
		{"shortly before completion", 6900 * time.Millisecond, 7 * time.Second, 0, noFlush},
		{"release time", 7400 * time.Millisecond, 8500 * time.Millisecond, 0, fullFlush},
		{"the tick after the release time", 7420 * time.Millisecond, 7900 * time.Millisecond, 0, fullFlush},
		{"release time, too soon after the last flush", 7420 * time.Millisecond, 7900 * time.Millisecond, 6930 * time.Millisecond, noFlush},
		{"release time, long enough after the last flush", 7440 * time.Millisecond, 7900 * time.Millisecond, 6930 * time.Millisecond, fullFlush},
		{"too soon after the last flush, as the forecast changed", 6200 * time.Millisecond, 7 * time.Second, 6100 * time.Millisecond, noFlush},
	} {
		schedule := flushSchedule{lastFlushAt: at(c.last)}
		if got := schedule.next(at(c.now), at(c.completeAt), at(release)); got != c.want {
			t.Errorf("%s: flush %d, want %d", c.name, got, c.want)
		}
	}
}

// TestFlushIsRetried tests that a flush is retried when the store rejected it.
func TestFlushIsRetried(t *testing.T) {
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
		t.Errorf("%d results listed after a rejected flush (%t), want 15", got, refused)
	}
}

// TestHeldResultsAreFlushed tests that held results are listed at the last scheduled flush, and
// later ones with the last result.
func TestHeldResultsAreFlushed(t *testing.T) {
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
			t.Errorf("%d results listed after %s, want %d", got, c.until, c.listed)
		}
		if c.listed > 0 && n.jobs.owned["j"].items[0].state == itemRunning {
			n.finish(runs[0], task.RunCompleted, 2, 140)
		}
	}
	n.finish(runs[1], task.RunCompleted, 2, 140)
	n.elapse(50 * time.Millisecond)
	if got := len(n.results(t, "j")); got != 16 {
		t.Errorf("%d results listed with the last one, want 16", got)
	}
}

// TestEarlyJobsAreNotHeldBack tests that the results of jobs that complete well before the
// deadline are not held back.
func TestEarlyJobsAreNotHeldBack(t *testing.T) {
	for _, c := range []struct {
		name           string
		events, listed int
	}{{"complete after 5.6 s", 110, 15}, {"complete after 7.5 s", 72, 0}} {
		n, runs := newProgressNode(t, 4, 4100*time.Millisecond)
		for _, run := range runs[1:] {
			n.finish(run, task.RunCompleted, 2, 20)
		}
		n.reportProgress(runs[0], c.events)
		n.elapse(200 * time.Millisecond)
		if got := len(n.results(t, "j")); got != c.listed {
			t.Errorf("%s: %d results listed, want %d", c.name, got, c.listed)
		}
	}
}

// TestFullFlush tests that the last flush lists all finished results, including recent ones and
// those that need several transactions.
func TestFullFlush(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes int
	}{{"just finished", 10}, {"more than one transaction", maxTransactionBytes / 10}} {
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
			t.Errorf("%s: %d results listed, want 14", c.name, got)
		}
	}
}
