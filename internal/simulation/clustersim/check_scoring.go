package clustersim

import (
	"strings"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// scoringRecord is what was observed of an item's scoring calls.
type scoringRecord struct {
	// scores holds the scores that were returned, with the times at which their calls arrived.
	scores map[string]time.Time
	// calls counts the calls that ran, failures those that returned an error.
	calls, failures int
	// completedAt holds the time at which each version first generated the last event of the text.
	completedAt map[int64]time.Time
}

func (r *jobRecord) scoringFor(item string) *scoringRecord {
	record := r.scoring[item]
	if record == nil {
		record = &scoringRecord{scores: map[string]time.Time{}, completedAt: map[int64]time.Time{}}
		r.scoring[item] = record
	}
	return record
}

// jobOfCall returns the job and the item of a scoring call. The job is nil if there is none.
func (c *checker) jobOfCall(call string) (record *jobRecord, item string) {
	item = strings.TrimSuffix(call, scoringSuffix)
	record = c.itemJobs[item]
	if record == nil || record.content.Items[record.itemIndexes[item]].Scoring == nil {
		return nil, item
	}
	return record, item
}

// checkScoringCall checks a scoring call that reaches a scorer.
func (c *checker) checkScoringCall(w *World, call *scoringCall, s *scorer) {
	record, item := c.jobOfCall(call.task.Request)
	if record == nil {
		c.reportViolation(w, "nothing-unasked", "%s runs but belongs to no item", call.task.Request)
		return
	}
	c.checkArrival(w, record, arrival{id: call.task.Request, replica: s.id, zone: scorerZone, sender: call.node, sentAt: call.sentAt, drainedAt: s.drainedAt})
	if call.task.Tenant != record.content.Tenant {
		c.reportViolation(w, "tenant-true", "%s runs for tenant %q, its job belongs to tenant %q", call.task.Request, call.task.Tenant, record.content.Tenant)
	}
	scoring := record.scoringFor(item)
	scoring.calls++
	if strings.HasPrefix(item, unscorableItem) && scoring.calls > 3*maxAttempts {
		c.reportViolation(w, "attempts-bounded", "%s was called %d times", call.task.Request, scoring.calls)
	}
}

func (c *checker) recordScoringFailure(call *scoringCall) {
	if record, item := c.jobOfCall(call.task.Request); record != nil {
		record.scoringFor(item).failures++
	}
}

func (c *checker) recordScore(call *scoringCall, score string, arrivedAt time.Time) {
	c.scoreCount++
	if record, item := c.jobOfCall(call.task.Request); record != nil {
		record.scoringFor(item).scores[score] = arrivedAt
	}
}

// recordCompletion records that a version generated the last event of an item's text.
func (c *checker) recordCompletion(w *World, item string, version int64) {
	record := c.itemJobs[item]
	if record == nil {
		return
	}
	if scoring := record.scoringFor(item); scoring.completedAt[version].IsZero() {
		scoring.completedAt[version] = w.Now
	}
}

// checkScore checks that the score of a completed result was returned to a call of its own item, and
// that the call arrived after the text was complete.
func (c *checker) checkScore(w *World, record *jobRecord, result *doorstepv1.BatchResult, lastVersion int64) {
	if record.content.Items[record.itemIndexes[result.Id]].Scoring == nil {
		if result.Score != "" {
			c.reportViolation(w, "scores-true", "%s has a score without a scoring call", result.Id)
		}
		return
	}
	scoring := record.scoringFor(result.Id)
	arrivedAt, given := scoring.scores[result.Score]
	wholeAt := scoring.completedAt[lastVersion]
	switch {
	case !given:
		c.reportViolation(w, "scores-true", "%s has the score %q, which no call of it returned", result.Id, result.Score)
	case wholeAt.IsZero() || arrivedAt.Before(wholeAt):
		c.reportViolation(w, "scores-true", "%s was scored before its text was complete", result.Id)
	}
}
