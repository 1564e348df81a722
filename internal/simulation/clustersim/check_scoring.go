package clustersim

import (
	"strings"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// scoringRecord is what was seen of an item's scoring calls.
type scoringRecord struct {
	// scores are those that were given, with the times at which their calls arrived.
	scores map[string]time.Time
	// calls counts those that ran, failures those that were answered with a failure.
	calls, failures int
	// wholeAt is when each version first made the text's last event.
	wholeAt map[int64]time.Time
}

func (k *jobRecord) scoringOf(item string) *scoringRecord {
	known := k.scoring[item]
	if known == nil {
		known = &scoringRecord{scores: map[string]time.Time{}, wholeAt: map[int64]time.Time{}}
		k.scoring[item] = known
	}
	return known
}

// jobOfCall returns the job and item of a scoring call, nil when there is none.
func (c *checker) jobOfCall(call string) (known *jobRecord, item string) {
	item = strings.TrimSuffix(call, scoringSuffix)
	known = c.itemJobs[item]
	if known == nil || known.content.Items[known.items[item]].Scoring == nil {
		return nil, item
	}
	return known, item
}

// scoringArrived checks a scoring call that reaches a scorer.
func (c *checker) scoringArrived(w *World, one *scoringCall, s *scorer) {
	known, item := c.jobOfCall(one.task.Request)
	if known == nil {
		c.violate(w, "nothing-unasked", "%s runs and belongs to no item", one.task.Request)
		return
	}
	c.reached(w, known, arrival{id: one.task.Request, replica: s.id, zone: scorerZone, from: one.node, sentAt: one.sentAt, drainedAt: s.drainedAt})
	if one.task.Tenant != known.content.Tenant {
		c.violate(w, "tenant-true", "%s runs for tenant %q, its job's is %q", one.task.Request, one.task.Tenant, known.content.Tenant)
	}
	scoring := known.scoringOf(item)
	scoring.calls++
	if strings.HasPrefix(item, unscorableItem) && scoring.calls > 3*maxAttempts {
		c.violate(w, "attempts-bounded", "%s was called %d times", one.task.Request, scoring.calls)
	}
}

func (c *checker) scoringFailed(one *scoringCall) {
	if known, item := c.jobOfCall(one.task.Request); known != nil {
		known.scoringOf(item).failures++
	}
}

func (c *checker) scoreGiven(one *scoringCall, score string, arrivedAt time.Time) {
	c.scoreCount++
	if known, item := c.jobOfCall(one.task.Request); known != nil {
		known.scoringOf(item).scores[score] = arrivedAt
	}
}

// madeWhole notes that a version makes the last event of an item's text.
func (c *checker) madeWhole(w *World, item string, version int64) {
	known := c.itemJobs[item]
	if known == nil {
		return
	}
	if scoring := known.scoringOf(item); scoring.wholeAt[version].IsZero() {
		scoring.wholeAt[version] = w.Now
	}
}

// score checks that a completed result's score was given to its own item's call, and that
// the call reached its scorer after the last event of the text was made.
func (c *checker) score(w *World, known *jobRecord, result *doorstepv1.BatchResult, lastVersion int64) {
	if known.content.Items[known.items[result.Id]].Scoring == nil {
		if result.Score != "" {
			c.violate(w, "scores-true", "%s has a score that nobody asked for", result.Id)
		}
		return
	}
	scoring := known.scoringOf(result.Id)
	arrivedAt, given := scoring.scores[result.Score]
	wholeAt := scoring.wholeAt[lastVersion]
	switch {
	case !given:
		c.violate(w, "scores-true", "%s has the score %q, which its call was never given", result.Id, result.Score)
	case wholeAt.IsZero() || arrivedAt.Before(wholeAt):
		c.violate(w, "scores-true", "%s was scored before its text was whole", result.Id)
	}
}
