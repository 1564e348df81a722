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

// Checker holds what callers and replicas saw against what is promised. It may be used
// by several goroutines.
type Checker struct {
	mu         sync.Mutex
	violations []string
	runs       map[string]int
	notRun     map[string]string
	atMostOnce map[string]bool
	refused    map[string]string
	jobs       map[string]*jobRecord
	fences     map[int64]string
	counts     map[string]int
	crash      crashRecord
	// whole holds the items whose last event was made, failed counts failures by request.
	whole  map[string]bool
	failed map[string]int
}

// jobRecord is what is known of a job whose acceptance was told.
type jobRecord struct {
	job        platformtest.Job
	acceptedAt time.Time
	results    []platformtest.Result
	indexOf    map[string]int
	ended      bool
}

// NewChecker returns a checker that saw nothing.
func NewChecker() *Checker {
	return &Checker{
		runs: map[string]int{}, notRun: map[string]string{}, atMostOnce: map[string]bool{}, refused: map[string]string{},
		jobs: map[string]*jobRecord{}, fences: map[int64]string{}, counts: map[string]int{},
		whole: map[string]bool{}, failed: map[string]int{},
	}
}

// Violations returns the broken promises.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Counts returns how often each thing was seen.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for name, n := range c.counts {
		counts[name] = n
	}
	return counts
}

// Count adds one to a thing seen.
func (c *Checker) Count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// Add notes that a thing was seen so many times.
func (c *Checker) Add(name string, times int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name] += times
}

// Head takes the head of a request that runs at a replica: it names the callers' tenant and
// holds no key.
func (c *Checker) Head(id string, header http.Header) {
	if got := header.Get("X-Tenant"); got != tenant {
		c.Violate("request %s runs for tenant %q", id, got)
	}
	if header.Get("Authorization") != "" {
		c.Violate("the key of request %s was passed on", id)
	}
}

// Violate notes a broken promise.
func (c *Checker) Violate(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violate(format, values...)
}

func (c *Checker) violate(format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, values...))
}

// Ran takes a request that a replica runs.
func (c *Checker) Ran(replica, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	if item, scoring := platformtest.ScoredItem(id); scoring {
		c.counts["scoring calls"]++
		if !c.whole[item] {
			c.violate("item %s is scored at %s before its text is whole", item, replica)
		}
	}
	if c.atMostOnce[id] && c.runs[id] > 1 {
		c.violate("request %s, which is unsafe to repeat, ran %d times, last at %s", id, c.runs[id], replica)
	}
	if reason := c.notRun[id]; reason != "" {
		c.violate("request %s ran at %s after it was answered %s", id, replica, reason)
	}
	for job, reason := range c.refused {
		if len(id) > len(job) && id[:len(job)] == job && id[len(job)] == '-' {
			c.violate("item %s ran at %s though its job was answered %s", id, replica, reason)
		}
	}
}

// MadeWhole takes an item whose last event a replica makes.
func (c *Checker) MadeWhole(item string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole[item] = true
}

// Failed takes a request that a replica answers with a failure.
func (c *Checker) Failed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed[id]++
}

// Ordered takes a version order that a replica took, and the version that it had before.
func (c *Checker) Ordered(order port.VersionOrder, before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["orders"]++
	if holder := c.fences[order.Fence]; holder != "" && holder != order.Holder {
		c.violate("fence %d was used by %s and by %s", order.Fence, holder, order.Holder)
	}
	c.fences[order.Fence] = order.Holder
	if order.Version < before {
		c.violate("%s goes back from version %d to %d by an order of %s at count %d", order.Replica, before, order.Version, order.Holder, order.ExpectedSequence)
	}
}

// AtMostOnce notes a request that is unsafe to repeat, before it is sent.
func (c *Checker) AtMostOnce(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atMostOnce[id] = true
}

// Answered takes the answer to a plain request and the body that it should have.
func (c *Checker) Answered(id, want string, answer platformtest.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.Err != nil {
		c.counts["broken"]++
		return
	}
	c.counts[fmt.Sprint("status ", answer.Status)]++
	if answer.Status == 200 && (!answer.IsSigned() || string(answer.Body) != want) {
		c.violate("request %s was answered %q (signed %t), not %q", id, answer.Body, answer.IsSigned(), want)
	}
	c.checkNotRun(id, answer)
}

// checkNotRun holds a promise that a request did not run against the replicas' runs.
func (c *Checker) checkNotRun(id string, answer platformtest.Response) {
	if !answer.NotExecuted() || !c.atMostOnce[id] {
		return
	}
	c.notRun[id] = fmt.Sprint(answer.Status)
	if c.runs[id] > 0 {
		c.violate("request %s ran and was answered %d", id, answer.Status)
	}
}

// Streamed takes a stream that came to its proper end.
func (c *Checker) Streamed(id string, answer platformtest.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["streams"]++
	if want := model.ItemEvents(id); int64(len(answer.Events())) != want {
		c.violate("stream %s ended whole with %d of %d events", id, len(answer.Events()), want)
	}
	for i, event := range answer.Events() {
		text, _, _ := strings.Cut(event, "@")
		if text != model.ItemEvent(id, int64(i+1)) {
			c.violate("stream %s has %q as event %d", id, event, i+1)
			return
		}
	}
}

// Accepted notes a job that was answered as taken.
func (c *Checker) Accepted(job platformtest.Job, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["jobs accepted"]++
	if c.jobs[job.ID] == nil {
		c.jobs[job.ID] = &jobRecord{job: job, acceptedAt: at, indexOf: map[string]int{}}
	}
}

// Refused notes a job whose every try was answered that none of it runs.
func (c *Checker) Refused(job platformtest.Job, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["jobs refused"]++
	c.refused[job.ID] = fmt.Sprint(status)
	for i := range job.Items {
		if c.runs[job.ItemID(i)] > 0 {
			c.violate("item %s ran though its job was answered %d at every try", job.ItemID(i), status)
		}
	}
}

// Ended notes a job whose end was acknowledged.
func (c *Checker) Ended(job string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.jobs[job]; known != nil {
		known.ended = true
	}
}

// Read takes results that were read from a position on.
func (c *Checker) Read(job string, from int, reading platformtest.ResultsPage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.jobs[job]
	if known == nil {
		return
	}
	if reading.Total != known.job.Items {
		c.violate("job %s has %d items, a read says %d", job, known.job.Items, reading.Total)
	}
	for i, result := range reading.Results {
		c.readOne(known, from+i, result)
	}
}

func (c *Checker) readOne(known *jobRecord, position int, result platformtest.Result) {
	if position < len(known.results) {
		if had := known.results[position]; had.ID != result.ID || had.State != result.State || had.Message != result.Message || had.Score != result.Score {
			c.violate("job %s: position %d held %s (%s) and holds %s (%s)", known.job.ID, position, had.ID, had.State, result.ID, result.State)
		}
		return
	}
	if position > len(known.results) {
		return
	}
	if at, listed := known.indexOf[result.ID]; listed {
		c.violate("job %s: item %s stands at positions %d and %d", known.job.ID, result.ID, at, position)
	}
	known.results = append(known.results, result)
	known.indexOf[result.ID] = position
	c.counts["results"]++
	c.checkResult(known, result)
}

// checkResult holds a result's text and versions against what its events say of
// themselves.
func (c *Checker) checkResult(known *jobRecord, result platformtest.Result) {
	if result.State != platformtest.Completed {
		if !known.ended && c.failed[platformtest.ScoringID(result.ID)] < platformtest.ScoringAttempts {
			c.violate("job %s: item %s was given up", known.job.ID, result.ID)
		}
		return
	}
	versions, err := versionsOf(result)
	if err != nil {
		c.violate("job %s: item %s: %s", known.job.ID, result.ID, err)
		return
	}
	told := slices.Clone(result.Versions)
	slices.Sort(told)
	if !slices.Equal(told, versions) {
		c.violate("job %s: item %s was made by versions %v and names %v", known.job.ID, result.ID, versions, told)
	}
	if known.job.Scored && !result.Scored() {
		c.violate("job %s: item %s has the score %q", known.job.ID, result.ID, result.Score)
	}
	if versions[0] < known.job.MinVersion {
		c.violate("job %s: item %s was made by version %d, below %d", known.job.ID, result.ID, versions[0], known.job.MinVersion)
	}
}

// HasRun reports whether a replica ran a request.
func (c *Checker) HasRun(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id] > 0
}

// Listed reports whether an item of a job was read as listed.
func (c *Checker) Listed(job, item string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.jobs[job]
	if known == nil {
		return false
	}
	_, listed := known.indexOf[item]
	return listed || known.ended
}

// Missing returns the jobs that were accepted before a time, lack results and were not ended.
func (c *Checker) Missing(before time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for id, known := range c.jobs {
		if known.acceptedAt.Before(before) && !known.ended && len(known.results) < known.job.Items {
			list = append(list, fmt.Sprintf("%s (%d of %d)", id, len(known.results), known.job.Items))
		}
	}
	slices.Sort(list)
	return list
}

// CheckWhole holds the jobs against the time in which they must be whole: it counts from
// their acceptance, or from the end of the last fault if that is later.
func (c *Checker) CheckWhole(now, healedAt time.Time, within time.Duration) {
	if now.Sub(healedAt) < within {
		return
	}
	for _, job := range c.Missing(now.Add(-within)) {
		c.Violate("job %s is not whole %s after its acceptance and the last fault", job, within)
	}
}
