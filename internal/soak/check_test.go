package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/platform/platformtest"
)

var job = platformtest.Job{ID: "j", Items: 2, MinVersion: 2}

// acceptedAt is when the jobs of these tests were accepted.
var acceptedAt = time.Unix(1000, 0)

var scoredJob = platformtest.Job{ID: "j", Items: 2, MinVersion: 2, Scored: true}

func text(item string, version int64) string {
	var events []string
	for id := int64(1); id <= model.ItemEvents(item); id++ {
		events = append(events, platformtest.VersionedEvent(item, id, version))
	}
	return strings.Join(events, "\n")
}

func result(item string, version int64) platformtest.Result {
	return platformtest.Result{ID: item, State: platformtest.Completed, Message: text(item, version), Versions: []int64{version}}
}

// TestCheckerSees shows the checker a history for each promise, kept and broken.
func TestCheckerSees(t *testing.T) {
	for _, c := range []struct {
		name   string
		broken string
		play   func(c *Checker)
	}{
		{"whole answer", "", func(c *Checker) { c.Answered("r", "b", platformtest.SignedResponse(200, "b")) }},
		{"foreign answer", "not \"b\"", func(c *Checker) { c.Answered("r", "b", platformtest.SignedResponse(200, "a")) }},
		{"unsigned success", "signed false", func(c *Checker) { c.Answered("r", "b", platformtest.Response{Status: 200, Body: []byte("b")}) }},
		{"repeatable twice", "", func(c *Checker) { c.Ran("x", "r"); c.Ran("y", "r") }},
		{"unsafe twice", "ran 2 times", func(c *Checker) { c.AtMostOnce("r"); c.Ran("x", "r"); c.Ran("y", "r") }},
		{"refused after its run", "was answered 503", func(c *Checker) {
			c.AtMostOnce("r")
			c.Ran("x", "r")
			c.Answered("r", "b", platformtest.SignedResponse(503, ""))
		}},
		{"run after its refusal", "after it was answered 429", func(c *Checker) {
			c.AtMostOnce("r")
			c.Answered("r", "b", platformtest.SignedResponse(429, ""))
			c.Ran("x", "r")
		}},
		{"502 promises nothing", "", func(c *Checker) {
			c.AtMostOnce("r")
			c.Ran("x", "r")
			c.Answered("r", "b", platformtest.SignedResponse(502, ""))
		}},
		{"job as promised", "", func(c *Checker) {
			c.Accepted(job, acceptedAt)
			c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{result("j-0", 2), result("j-1", 3)}})
			c.Read("j", 1, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{result("j-1", 3)}})
		}},
		{"position changed", "position 0 held", func(c *Checker) {
			c.Accepted(job, acceptedAt)
			c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{result("j-0", 2)}})
			c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{result("j-1", 2)}})
		}},
		{"two positions", "stands at positions 0 and 1", func(c *Checker) {
			c.Accepted(job, acceptedAt)
			c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{result("j-0", 2), result("j-0", 2)}})
		}},
		{"wrong total", "a read says 3", func(c *Checker) { c.Accepted(job, acceptedAt); c.Read("j", 0, platformtest.ResultsPage{Total: 3}) }},
		{"old version", "below 2", func(c *Checker) {
			c.Accepted(job, acceptedAt)
			c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{result("j-0", 1)}})
		}},
		{"false version", "was made by versions [2] and names [3]", func(c *Checker) {
			c.Accepted(job, acceptedAt)
			one := result("j-0", 2)
			one.Versions = []int64{3}
			c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{one}})
		}},
		{"cut text", "events", func(c *Checker) {
			c.Accepted(job, acceptedAt)
			one := result("j-0", 2)
			one.Message = one.Message[:strings.LastIndexByte(one.Message, '\n')]
			c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{one}})
		}},
		{"given up early", "was given up", func(c *Checker) {
			c.Accepted(job, acceptedAt)
			c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{{ID: "j-0", State: platformtest.Terminated}}})
		}},
		{"given up after the end", "", func(c *Checker) {
			c.Accepted(job, acceptedAt)
			c.Ended("j")
			c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{{ID: "j-0", State: platformtest.Terminated}}})
		}},
		{"scored after its text", "", func(c *Checker) { c.MadeWhole("j-0"); c.Ran("x", "j-0.score") }},
		{"scored before its text is whole", "before its text is whole", func(c *Checker) { c.Ran("x", "j-0.score") }},
		{"score of another item", "has the score", func(c *Checker) {
			c.Accepted(scoredJob, acceptedAt)
			one := result("j-0", 2)
			one.Score = "x.j-1.score"
			c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{one}})
		}},
		{"no score", "has the score", func(c *Checker) {
			c.Accepted(scoredJob, acceptedAt)
			c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{result("j-0", 2)}})
		}},
		{"score changed", "position 0 held", func(c *Checker) {
			c.Accepted(scoredJob, acceptedAt)
			for _, replica := range []string{"x", "y"} {
				one := result("j-0", 2)
				one.Score = replica + ".j-0.score"
				c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{one}})
			}
		}},
		{"given up as its scoring failed", "", func(c *Checker) {
			c.Accepted(scoredJob, acceptedAt)
			for range platformtest.ScoringAttempts {
				c.Failed("j-0.score")
			}
			c.Read("j", 0, platformtest.ResultsPage{Total: 2, Results: []platformtest.Result{{ID: "j-0", State: platformtest.Terminated}}})
		}},
		{"refused job ran before", "at every try", func(c *Checker) { c.Ran("x", "j-1"); c.Refused(job, 503) }},
		{"refused job runs", "though its job", func(c *Checker) { c.Refused(job, 503); c.Ran("x", "j-1") }},
		{"refused job, other job's item", "", func(c *Checker) { c.Refused(job, 503); c.Ran("x", "j2-1") }},
		{"two holders of a fence", "fence 7 was used by", func(c *Checker) {
			c.Ordered(port.VersionOrder{Fence: 7, Holder: "a"}, 0)
			c.Ordered(port.VersionOrder{Fence: 7, Holder: "b"}, 0)
		}},
		{"an order that takes a replica back", "back from version 5 to 3", func(c *Checker) {
			c.Ordered(port.VersionOrder{Fence: 7, Holder: "a", Version: 3}, 5)
		}},
		{"cut stream", "ended whole with 1 of", func(c *Checker) {
			c.Streamed("r", platformtest.SignedResponse(200, "data: "+model.ItemEvent("r", 1)+"\n\n"))
		}},
	} {
		checker := NewChecker()
		c.play(checker)
		seen := strings.Join(checker.Violations(), "; ")
		if c.broken == "" && seen != "" || c.broken != "" && !strings.Contains(seen, c.broken) {
			t.Errorf("%s: saw %q, should see %q", c.name, seen, c.broken)
		}
	}
}

func TestMissingJobsAreTold(t *testing.T) {
	checker := NewChecker()
	checker.Accepted(job, acceptedAt)
	if missing := checker.Missing(acceptedAt.Add(time.Second)); len(missing) != 1 {
		t.Errorf("missing %v", missing)
	}
	checker.Ended(job.ID)
	if missing := checker.Missing(acceptedAt.Add(time.Second)); len(missing) != 0 {
		t.Errorf("an ended job needs no more results: %v", missing)
	}
}

// Seed 887712: a job that was accepted just as the settling time ended was told as missing,
// 1.5 s before it was whole.
func TestJobsHaveTheirTimeFromAcceptance(t *testing.T) {
	const within = 30 * time.Second
	for _, c := range []struct {
		name      string
		healed    time.Duration
		asked     time.Duration
		violation bool
	}{
		{"accepted before the last fault, in time", 10 * time.Second, 39 * time.Second, false},
		{"accepted before the last fault, overdue", 10 * time.Second, 40 * time.Second, true},
		{"accepted as the time ended", -29 * time.Second, time.Second, false},
		{"accepted after the last fault, overdue", -29 * time.Second, 30 * time.Second, true},
	} {
		checker := NewChecker()
		checker.Accepted(job, acceptedAt)
		checker.CheckWhole(acceptedAt.Add(c.asked+time.Millisecond), acceptedAt.Add(c.healed), within)
		if got := len(checker.Violations()) > 0; got != c.violation {
			t.Errorf("%s: %v", c.name, checker.Violations())
		}
	}
}

func TestCrashesAreBounded(t *testing.T) {
	c := NewChecker()
	now := time.Unix(1000, 0)
	for range crashLimit {
		c.Crashed(now, true)
	}
	now = now.Add(inTouch)
	c.Crashed(now, true)
	now = now.Add(time.Second)
	c.Crashed(now, false)
	for range lateRuns {
		c.Crashed(now, true)
	}
	if violations := c.Violations(); len(violations) != 0 {
		t.Errorf("%v: these are borne", violations)
	}
	c.Crashed(now, true)
	if violations := c.Violations(); len(violations) != 1 {
		t.Errorf("%v: one too many", violations)
	}
}
