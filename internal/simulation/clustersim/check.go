package clustersim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

const (
	// cancelGracePeriod is how long items may still start after their job was ended, drainGracePeriod
	// how long a draining replica may still receive requests, and applyGracePeriod how long a node may
	// use an old configuration.
	cancelGracePeriod = 3 * time.Second
	drainGracePeriod  = 2 * time.Second
	applyGracePeriod  = 2 * time.Second
	// maxViolations is the maximum number of violations in a Report.
	maxViolations = 20
)

// Violation is a violated invariant.
type Violation struct {
	Invariant string
	Detail    string
	At        time.Duration
}

func (v Violation) String() string { return fmt.Sprintf("%s at %s: %s", v.Invariant, v.At, v.Detail) }

// jobRecord is what clients and replicas have observed of a job.
type jobRecord struct {
	content     *doorstepv1.BatchJob
	itemIndexes map[string]int
	sentAt      time.Time
	acceptedAt  time.Time
	endedAt     time.Time
	// possiblyAccepted is set once any node may have accepted the job. pendingSubmissions counts the
	// submissions without an outcome.
	possiblyAccepted   bool
	pendingSubmissions int
	// results are the results by position as first read, resultsRead is their number.
	results       map[int]string
	itemPositions map[string]int
	resultsRead   int
	runCounts     map[string]int
	scoring       map[string]*scoringRecord
}

// completeGroups counts the groups of which every item's result has been read.
func (r *jobRecord) completeGroups() int {
	missing := map[string]int{}
	for _, item := range r.content.Items {
		if _, read := r.itemPositions[item.Id]; read {
			missing[item.Group] += 0
		} else {
			missing[item.Group]++
		}
	}
	complete := 0
	for _, items := range missing {
		if items == 0 {
			complete++
		}
	}
	return complete
}

// orderRecord is the last order that a replica received.
type orderRecord struct {
	holder string
	fence  int64
	at     time.Time
}

type checker struct {
	violations     []Violation
	jobs           map[string]*jobRecord
	itemJobs       map[string]*jobRecord
	orders         map[string]orderRecord
	poison         map[poisonOwner]*poisonRecord
	evacuations    evacuations
	allowedRegions allowedRegionsHistory
	placement      placementChecker
	textRuns       textRuns
	incarnations   int
	resultCount    int
	orderCount     int
	readCount      int
	scoreCount     int
}

func newChecker() *checker {
	return &checker{jobs: map[string]*jobRecord{}, itemJobs: map[string]*jobRecord{}, orders: map[string]orderRecord{}, poison: map[poisonOwner]*poisonRecord{}, evacuations: newEvacuations(), allowedRegions: newAllowedRegionsHistory(), placement: newPlacementChecker()}
}

func (c *checker) reportViolation(w *World, invariant, format string, arguments ...any) {
	w.trace("violation of "+invariant+": "+format, arguments...)
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, arguments...), At: w.Now.Sub(epoch)})
	}
}

func (c *checker) addJob(content *doorstepv1.BatchJob) *jobRecord {
	record := &jobRecord{content: content, itemIndexes: map[string]int{}, results: map[int]string{}, itemPositions: map[string]int{}, runCounts: map[string]int{}, scoring: map[string]*scoringRecord{}}
	for i, item := range content.Items {
		record.itemIndexes[item.Id] = i
		c.itemJobs[item.Id] = record
	}
	c.jobs[content.Id] = record
	return record
}

// arrival is a request of a job that reaches a replica.
type arrival struct {
	id, replica, zone string
	sender            *node
	// drainedAt is the time at which the replica started to drain, if it did.
	sentAt, drainedAt time.Time
}

// sentSince reports whether the request was sent at or after a time. A request that was already in
// flight is not held to the grace periods of drains and evacuations: a saturated link can delay it
// longer.
func (a arrival) sentSince(at time.Time) bool { return !a.sentAt.Before(at) }

// checkArrival checks a request that reaches a replica.
func (c *checker) checkArrival(w *World, record *jobRecord, a arrival) {
	if !record.possiblyAccepted && record.pendingSubmissions == 0 {
		c.reportViolation(w, "refusals-true", "%s runs although all submissions of its job were rejected", a.id)
	}
	c.checkEvacuation(w, a)
	healthy := a.sender.healthy(w.Now)
	if !record.endedAt.IsZero() && healthy && w.Now.Sub(record.endedAt) > cancelGracePeriod {
		c.reportViolation(w, "ends-respected", "%s runs %s after its job was ended", a.id, w.Now.Sub(record.endedAt))
	}
	if !a.drainedAt.IsZero() && healthy && a.sentSince(a.drainedAt) && w.Now.Sub(a.drainedAt) > drainGracePeriod {
		c.reportViolation(w, "drains-respected", "%s runs at %s, which has been draining for %s", a.id, a.replica, w.Now.Sub(a.drainedAt))
	}
}

// checkRun checks a run that reaches a replica.
func (c *checker) checkRun(w *World, run *itemRun) {
	record := c.itemJobs[run.task.Item]
	if record == nil {
		c.reportViolation(w, "nothing-unasked", "%s runs but belongs to no job", run.task.Item)
		return
	}
	c.checkArrival(w, record, arrival{id: run.task.Item, replica: run.replica.ID, zone: run.replica.zone, sender: run.node, sentAt: run.sentAt, drainedAt: run.replica.drainedAt})
	if run.task.Tenant != record.content.Tenant {
		c.reportViolation(w, "tenant-true", "%s runs for tenant %q, its job belongs to tenant %q", run.task.Item, run.task.Tenant, record.content.Tenant)
	}
	record.runCounts[run.task.Item]++
	failing := strings.HasPrefix(run.task.Item, failingItem) || strings.HasPrefix(run.task.Item, impossibleItem)
	if failing && record.runCounts[run.task.Item] > 3*maxAttempts {
		c.reportViolation(w, "attempts-bounded", "%s was run %d times", run.task.Item, record.runCounts[run.task.Item])
	}
}

// checkOrder checks an order that reaches a replica.
func (c *checker) checkOrder(w *World, n *node, order port.VersionOrder) {
	c.orderCount++
	last, ok := c.orders[order.Replica]
	if ok && last.holder != order.Holder && w.Now.Sub(last.at) < orderPause {
		c.reportViolation(w, "one-holder", "%s received orders from %s and %s within %s", order.Replica, last.holder, order.Holder, w.Now.Sub(last.at))
	}
	if ok && last.holder != order.Holder && last.fence == order.Fence {
		c.reportViolation(w, "one-holder", "%s received fence %d from both %s and %s", order.Replica, order.Fence, last.holder, order.Holder)
	}
	c.orders[order.Replica] = orderRecord{holder: n.name, fence: order.Fence, at: w.Now}
}

// checkConfiguration checks the configuration version that a node uses.
func (c *checker) checkConfiguration(w *World, n *node) {
	version := int64(0)
	if n.node.Routes() != nil {
		version = n.node.Routes().Version()
	}
	if version < n.version {
		c.reportViolation(w, "no-regress", "%s went back from configuration version %d to %d", n.name, n.version, version)
	}
	n.version = version
	c.allowedRegions.recordVersion(n, version, w.Now)
	if !n.healthy(w.Now) {
		return
	}
	for _, change := range w.operator.changes {
		if change.version > version && w.Now.Sub(change.at) > applyGracePeriod {
			c.reportViolation(w, "in-force", "%s uses configuration version %d %s after version %d was written", n.name, version, w.Now.Sub(change.at), change.version)
			return
		}
	}
}

// checkResults checks results that were read starting at a position.
func (c *checker) checkResults(w *World, record *jobRecord, from int, results []*doorstepv1.BatchResult) {
	c.readCount++
	for i, result := range results {
		position := from + i
		summary := fmt.Sprintf("%s %t %s %v %s", result.Id, result.Completed, result.Message, result.Versions, result.Score)
		before, ok := record.results[position]
		if ok {
			if before != summary {
				c.reportViolation(w, "positions-fixed", "%s: position %d changed", record.content.Id, position)
			}
			continue
		}
		if other, twice := record.itemPositions[result.Id]; twice && other != position {
			c.reportViolation(w, "positions-fixed", "%s: %s is at positions %d and %d", record.content.Id, result.Id, other, position)
		}
		record.results[position] = summary
		record.itemPositions[result.Id] = position
		record.resultsRead = max(record.resultsRead, position+1)
		c.resultCount++
		c.checkResult(w, record, result)
	}
}

// checkResult checks a result's text and versions.
func (c *checker) checkResult(w *World, record *jobRecord, result *doorstepv1.BatchResult) {
	if _, ok := record.itemIndexes[result.Id]; !ok {
		c.reportViolation(w, "results-true", "%s lists %s, which belongs to another job", record.content.Id, result.Id)
		return
	}
	impossible, failing := strings.HasPrefix(result.Id, impossibleItem), strings.HasPrefix(result.Id, failingItem)
	if !result.Completed {
		tooEarly := w.Now.Sub(record.sentAt) < maxQueue && record.endedAt.IsZero()
		unscorable := record.scoringFor(result.Id).failures >= maxAttempts
		if !impossible && tooEarly && !unscorable && !(failing && record.runCounts[result.Id] >= maxAttempts) {
			c.reportViolation(w, "results-true", "%s was terminated too early", result.Id)
		}
		return
	}
	events, err := parseText(result)
	if err != nil {
		c.reportViolation(w, "results-true", "%s: %s", result.Id, err)
		return
	}
	c.checkTextRuns(w, result.Id, events)
	var versions []int64
	var version int64
	for _, generated := range events {
		version = generated.version
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
		if version < record.content.MinVersion {
			c.reportViolation(w, "versions-true", "%s was generated by version %d, the minimum is %d", result.Id, version, record.content.MinVersion)
		}
	}
	c.checkScore(w, record, result, version)
	if record.content.Model == singleVersionModel && len(versions) > 1 {
		c.reportViolation(w, "versions-true", "%s was generated by versions %v, must be a single one", result.Id, versions)
	}
	listed := slices.Clone(result.Versions)
	slices.Sort(versions)
	slices.Sort(listed)
	if !slices.Equal(versions, listed) {
		c.reportViolation(w, "versions-true", "%s lists versions %v, was generated by %v", result.Id, listed, versions)
	}
}

// finalChecks reads all results of every accepted job after faults have stopped.
func (w *World) finalChecks() {
	for _, record := range w.check.jobs {
		if !record.possiblyAccepted && len(record.runCounts) > 0 {
			w.check.reportViolation(w, "refusals-true", "%s ran although all its submissions were rejected", record.content.Id)
		}
		if record.acceptedAt.IsZero() {
			continue
		}
		before := record.resultsRead
		w.readAllResults(record)
		if record.resultsRead < before {
			w.check.reportViolation(w, "nothing-lost", "%s: %d results were read earlier, %d remain", record.content.Id, before, record.resultsRead)
		}
		if record.endedAt.IsZero() && record.resultsRead < len(record.content.Items) {
			w.check.reportViolation(w, "all-done", "%s: %d of %d items have results", record.content.Id, record.resultsRead, len(record.content.Items))
		}
	}
}

func (w *World) readAllResults(record *jobRecord) {
	answered := false
	n := w.nodes[0]
	n.invoke(n.incarnation, func(time.Time) {
		n.node.Jobs().ReadResults(record.content.Id, 0, func(_ time.Time, results []*doorstepv1.BatchResult, ok bool) {
			answered = ok
			if len(results) < record.resultsRead {
				w.check.reportViolation(w, "nothing-lost", "%s: %d results were read earlier, %d remain", record.content.Id, record.resultsRead, len(results))
			}
			w.check.checkResults(w, record, 0, results)
		})
	})
	w.runUntil(w.Now.Add(time.Second))
	if !answered {
		w.check.reportViolation(w, "nothing-lost", "%s cannot be read", record.content.Id)
	}
}
