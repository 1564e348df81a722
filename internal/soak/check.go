package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/platform/platformtest"
)

// Checker compares the observations of clients and replicas with the guarantees. It is safe for concurrent use.
type Checker struct {
	mu            sync.Mutex
	violations    []string
	runs          map[string]int
	notRun        map[string]string
	nonIdempotent map[string]bool
	refused       map[string]string
	jobs          map[string]*jobRecord
	fences        map[int64]string
	counts        map[string]int
	crash         crashRecord
	// completedItems holds the items whose last event was generated, failed the number of failures by request.
	completedItems map[string]bool
	failed         map[string]int
	// Runs numbers the runs of texts at replicas.
	Runs *platformtest.TextRuns
}

// jobRecord holds the observations of an accepted job.
type jobRecord struct {
	job        platformtest.Job
	acceptedAt time.Time
	results    []platformtest.Result
	indexOf    map[string]int
	ended      bool
}

// NewChecker returns a checker without observations.
func NewChecker() *Checker {
	return &Checker{
		runs: map[string]int{}, notRun: map[string]string{}, nonIdempotent: map[string]bool{}, refused: map[string]string{},
		jobs: map[string]*jobRecord{}, fences: map[int64]string{}, counts: map[string]int{},
		completedItems: map[string]bool{}, failed: map[string]int{}, Runs: &platformtest.TextRuns{},
	}
}

// Violations returns the violated guarantees.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Counts returns the number of observations by name.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for name, n := range c.counts {
		counts[name] = n
	}
	return counts
}

// Increment adds one to a counter.
func (c *Checker) Increment(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// Add adds a number to a counter.
func (c *Checker) Add(name string, times int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name] += times
}

// CheckHeader checks that a request at a replica names the tenant and does not contain the API key.
func (c *Checker) CheckHeader(id string, header http.Header) {
	if got := header.Get("X-Tenant"); got != tenant {
		c.AddViolation("request %s ran with tenant %q", id, got)
	}
	if header.Get("Authorization") != "" {
		c.AddViolation("the API key of request %s was forwarded", id)
	}
}

// AddViolation records a violated guarantee.
func (c *Checker) AddViolation(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, values...)
}

func (c *Checker) addViolation(format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, values...))
}

// RecordRun records that a replica runs a request.
func (c *Checker) RecordRun(replica, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	if item, scoring := platformtest.ScoredItem(id); scoring {
		c.counts["scoring calls"]++
		if !c.completedItems[item] {
			c.addViolation("item %s was scored on %s before its text was complete", item, replica)
		}
	}
	if c.nonIdempotent[id] && c.runs[id] > 1 {
		c.addViolation("non-idempotent request %s ran %d times, last on %s", id, c.runs[id], replica)
	}
	if reason := c.notRun[id]; reason != "" {
		c.addViolation("request %s ran on %s after it was refused with status %s", id, replica, reason)
	}
	for job, reason := range c.refused {
		if len(id) > len(job) && id[:len(job)] == job && id[len(job)] == '-' {
			c.addViolation("item %s ran on %s although its job was refused with status %s", id, replica, reason)
		}
	}
}

// RecordCompletedItem records that a replica generates the last event of an item.
func (c *Checker) RecordCompletedItem(item string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completedItems[item] = true
}

// RecordFailure records that a replica responds to a request with an error.
func (c *Checker) RecordFailure(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[id]++
}

// RecordOrder records a version order that a replica accepted, and the version before it.
func (c *Checker) RecordOrder(order port.VersionOrder, before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["orders"]++
	if holder := c.fences[order.Fence]; holder != "" && holder != order.Holder {
		c.addViolation("fence %d was used by %s and by %s", order.Fence, holder, order.Holder)
	}
	c.fences[order.Fence] = order.Holder
	if order.Version < before {
		c.addViolation("%s was ordered back from version %d to %d by %s with sequence %d", order.Replica, before, order.Version, order.Holder, order.ExpectedSequence)
	}
}

// MarkNonIdempotent marks a request as non-idempotent. It must be called before the request is sent.
func (c *Checker) MarkNonIdempotent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonIdempotent[id] = true
}

// RecordResponse records the response to a plain request and the expected body.
func (c *Checker) RecordResponse(id, want string, response platformtest.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if response.Err != nil {
		c.counts["broken"]++
		return
	}
	c.counts[fmt.Sprint("status ", response.Status)]++
	if response.Status == 200 && (!response.IsSigned() || string(response.Body) != want) {
		c.addViolation("request %s: got body %q (signed %t), want %q", id, response.Body, response.IsSigned(), want)
	}
	c.checkNotRun(id, response)
}

// checkNotRun checks that a non-idempotent request that was reported as not run did not run.
func (c *Checker) checkNotRun(id string, response platformtest.Response) {
	if !response.NotExecuted() || !c.nonIdempotent[id] {
		return
	}
	c.notRun[id] = fmt.Sprint(response.Status)
	if c.runs[id] > 0 {
		c.addViolation("request %s ran but was refused with status %d", id, response.Status)
	}
}

// RecordStream records a stream that ended normally.
func (c *Checker) RecordStream(id string, response platformtest.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["streams"]++
	if want := model.ItemEvents(id); int64(len(response.Events())) != want {
		c.addViolation("stream %s ended normally after %d of %d events", id, len(response.Events()), want)
	}
	for i, event := range response.Events() {
		text, _, _ := strings.Cut(event, "@")
		if text != model.ItemEvent(id, int64(i+1)) {
			c.addViolation("stream %s contains %q as event %d", id, event, i+1)
			return
		}
	}
}

// RecordAccepted records that a job was accepted.
func (c *Checker) RecordAccepted(job platformtest.Job, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["jobs accepted"]++
	if c.jobs[job.ID] == nil {
		c.jobs[job.ID] = &jobRecord{job: job, acceptedAt: at, indexOf: map[string]int{}}
	}
}

// RecordRefused records that every attempt to submit a job was refused as not run.
func (c *Checker) RecordRefused(job platformtest.Job, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["jobs refused"]++
	c.refused[job.ID] = fmt.Sprint(status)
	for i := range job.Items {
		if c.runs[job.ItemID(i)] > 0 {
			c.addViolation("item %s ran although every attempt to submit its job was refused, last with status %d", job.ItemID(i), status)
		}
	}
}

// RecordEnded records that the end of a job was acknowledged.
func (c *Checker) RecordEnded(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record := c.jobs[job]; record != nil {
		record.ended = true
	}
}

// RecordRead records results that were read starting at a position.
func (c *Checker) RecordRead(job string, from int, page platformtest.ResultsPage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.jobs[job]
	if record == nil {
		return
	}
	if page.Total != record.job.Items {
		c.addViolation("job %s has %d items, but the response reports %d", job, record.job.Items, page.Total)
	}
	for i, result := range page.Results {
		c.recordResult(record, from+i, result)
	}
}

func (c *Checker) recordResult(record *jobRecord, position int, result platformtest.Result) {
	if position < len(record.results) {
		if had := record.results[position]; had.ID != result.ID || had.State != result.State || had.Message != result.Message || had.Score != result.Score {
			c.addViolation("job %s: position %d changed from %s (%s) to %s (%s)", record.job.ID, position, had.ID, had.State, result.ID, result.State)
		}
		return
	}
	if position > len(record.results) {
		return
	}
	if at, listed := record.indexOf[result.ID]; listed {
		c.addViolation("job %s: item %s is listed at positions %d and %d", record.job.ID, result.ID, at, position)
	}
	record.results = append(record.results, result)
	record.indexOf[result.ID] = position
	c.counts["results"]++
	c.checkResult(record, result)
}

// checkResult checks the text, versions and score of a result.
func (c *Checker) checkResult(record *jobRecord, result platformtest.Result) {
	if result.State != platformtest.Completed {
		if !record.ended && c.failed[platformtest.ScoringID(result.ID)] < platformtest.ScoringAttempts {
			c.addViolation("job %s: item %s was terminated without a reason", record.job.ID, result.ID)
		}
		return
	}
	versions, err := eventVersions(result, c.Runs)
	if err != nil {
		c.addViolation("job %s: item %s: %s", record.job.ID, result.ID, err)
		return
	}
	reported := slices.Clone(result.Versions)
	slices.Sort(reported)
	if !slices.Equal(reported, versions) {
		c.addViolation("job %s: item %s was generated by versions %v but reports %v", record.job.ID, result.ID, versions, reported)
	}
	if record.job.Scored && !result.Scored() {
		c.addViolation("job %s: item %s has the wrong score %q", record.job.ID, result.ID, result.Score)
	}
	if versions[0] < record.job.MinVersion {
		c.addViolation("job %s: item %s was generated by version %d, below the minimum %d", record.job.ID, result.ID, versions[0], record.job.MinVersion)
	}
}

// HasRun reports whether a replica ran a request.
func (c *Checker) HasRun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id] > 0
}

// IsListed reports whether an item was read as listed, or its job has ended.
func (c *Checker) IsListed(job, item string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.jobs[job]
	if record == nil {
		return false
	}
	_, listed := record.indexOf[item]
	return listed || record.ended
}

// IncompleteJobs returns the jobs accepted before a time that lack results and have not ended.
func (c *Checker) IncompleteJobs(before time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for id, record := range c.jobs {
		if record.acceptedAt.Before(before) && !record.ended && len(record.results) < record.job.Items {
			list = append(list, fmt.Sprintf("%s (%d of %d)", id, len(record.results), record.job.Items))
		}
	}
	slices.Sort(list)
	return list
}

// CheckCompletion records a violation for each job that is incomplete although the allowed time has passed
// since its acceptance and since the last fault.
func (c *Checker) CheckCompletion(now, clearedAt time.Time, within time.Duration) {
	if now.Sub(clearedAt) < within {
		return
	}
	for _, job := range c.IncompleteJobs(now.Add(-within)) {
		c.AddViolation("job %s is incomplete %s after its acceptance and the last fault", job, within)
	}
}
