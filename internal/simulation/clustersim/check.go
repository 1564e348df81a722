package clustersim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/standin/model"
)

const (
	// cancelWithin bounds runs after an end, drainWithin those at a leaving replica,
	// applyWithin the old configuration.
	cancelWithin = 3 * time.Second
	drainWithin  = 2 * time.Second
	applyWithin  = 2 * time.Second
	// violationsAtMost bounds a report.
	violationsAtMost = 20
)

// Violation is a broken promise.
type Violation struct {
	Invariant string
	Detail    string
	At        time.Duration
}

func (v Violation) String() string { return fmt.Sprintf("%s at %s: %s", v.Invariant, v.At, v.Detail) }

// jobRecord is what was seen of a job.
type jobRecord struct {
	content    *doorstepv1.BatchJob
	items      map[string]int
	sentAt     time.Time
	acceptedAt time.Time
	endedAt    time.Time
	// maybe is set once any node may have taken it; pending counts the tries that
	// have no outcome yet.
	maybe   bool
	pending int
	// positions are the results as first read; seen counts them.
	positions map[int]string
	byItem    map[string]int
	seen      int
	starts    map[string]int
	scoring   map[string]*scoringRecord
}

// wholeGroups counts the groups of which every item was read.
func (k *jobRecord) wholeGroups() int {
	missing := map[string]int{}
	for _, one := range k.content.Items {
		if _, read := k.byItem[one.Id]; read {
			missing[one.Group] += 0
		} else {
			missing[one.Group]++
		}
	}
	whole := 0
	for _, items := range missing {
		if items == 0 {
			whole++
		}
	}
	return whole
}

// orderRecord is the last order that a replica got.
type orderRecord struct {
	holder string
	fence  int64
	at     time.Time
}

type checker struct {
	violations   []Violation
	jobs         map[string]*jobRecord
	itemJobs     map[string]*jobRecord
	orders       map[string]orderRecord
	poison       map[string]*poisonRecord
	evacuations  evacuations
	homes        homesRecord
	incarnations int
	resultCount  int
	orderCount   int
	readCount    int
	scoreCount   int
}

func newChecker() *checker {
	return &checker{jobs: map[string]*jobRecord{}, itemJobs: map[string]*jobRecord{}, orders: map[string]orderRecord{}, poison: map[string]*poisonRecord{}, evacuations: newEvacuations(), homes: newHomesRecord()}
}

func (c *checker) violate(w *World, invariant, format string, values ...any) {
	w.trace("violation of "+invariant+": "+format, values...)
	if len(c.violations) < violationsAtMost {
		c.violations = append(c.violations, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, values...), At: w.Now.Sub(epoch)})
	}
}

func (c *checker) job(content *doorstepv1.BatchJob) *jobRecord {
	known := &jobRecord{content: content, items: map[string]int{}, positions: map[int]string{}, byItem: map[string]int{}, starts: map[string]int{}, scoring: map[string]*scoringRecord{}}
	for i, one := range content.Items {
		known.items[one.Id] = i
		c.itemJobs[one.Id] = known
	}
	c.jobs[content.Id] = known
	return known
}

// arrival is a request of an item's that reaches a replica.
type arrival struct {
	id, replica, zone string
	from              *node
	// sentAt is when the node sent it, drainedAt when the replica said that it leaves.
	sentAt, drainedAt time.Time
}

// sentSince reports whether the request was sent since a moment. What was under way then arrives when
// the link lets it: over a full one between the regions that takes longer than the bounds on drains and
// evacuations, and nothing can call it back.
func (a arrival) sentSince(at time.Time) bool { return !a.sentAt.Before(at) }

// reached checks an arrival that belongs to a job.
func (c *checker) reached(w *World, known *jobRecord, a arrival) {
	if !known.maybe && known.pending == 0 {
		c.violate(w, "refusals-true", "%s runs though its job was refused everywhere", a.id)
	}
	c.evacuated(w, a)
	healthy := a.from.healthy(w.Now)
	if !known.endedAt.IsZero() && healthy && w.Now.Sub(known.endedAt) > cancelWithin {
		c.violate(w, "ends-respected", "%s runs %s after its job's end", a.id, w.Now.Sub(known.endedAt))
	}
	if !a.drainedAt.IsZero() && healthy && a.sentSince(a.drainedAt) && w.Now.Sub(a.drainedAt) > drainWithin {
		c.violate(w, "drains-respected", "%s runs at %s, which leaves since %s", a.id, a.replica, w.Now.Sub(a.drainedAt))
	}
}

// arrived checks a run that reaches a replica.
func (c *checker) arrived(w *World, one *run) {
	known := c.itemJobs[one.task.Item]
	if known == nil {
		c.violate(w, "nothing-unasked", "%s runs and belongs to no job", one.task.Item)
		return
	}
	c.reached(w, known, arrival{id: one.task.Item, replica: one.replica.ID, zone: one.replica.zone, from: one.node, sentAt: one.sentAt, drainedAt: one.replica.drainedAt})
	if one.task.Tenant != known.content.Tenant {
		c.violate(w, "tenant-true", "%s runs for tenant %q, its job's is %q", one.task.Item, one.task.Tenant, known.content.Tenant)
	}
	known.starts[one.task.Item]++
	failing := strings.HasPrefix(one.task.Item, failingItem) || strings.HasPrefix(one.task.Item, impossibleItem)
	if failing && known.starts[one.task.Item] > 3*maxAttempts {
		c.violate(w, "attempts-bounded", "%s was run %d times", one.task.Item, known.starts[one.task.Item])
	}
}

// ordered checks an order that reaches a replica.
func (c *checker) ordered(w *World, n *node, order port.VersionOrder) {
	c.orderCount++
	last, ok := c.orders[order.Replica]
	if ok && last.holder != order.Holder && w.Now.Sub(last.at) < orderPause {
		c.violate(w, "one-holder", "%s got orders of %s and %s within %s", order.Replica, last.holder, order.Holder, w.Now.Sub(last.at))
	}
	if ok && last.holder != order.Holder && last.fence == order.Fence {
		c.violate(w, "one-holder", "%s got fence %d of %s and %s", order.Replica, order.Fence, last.holder, order.Holder)
	}
	c.orders[order.Replica] = orderRecord{holder: n.name, fence: order.Fence, at: w.Now}
}

// configuration checks the version that a node goes by.
func (c *checker) configuration(w *World, n *node) {
	version := int64(0)
	if n.node.Routes() != nil {
		version = n.node.Routes().Version()
	}
	if version < n.version {
		c.violate(w, "no-regress", "%s went from version %d to %d", n.name, n.version, version)
	}
	n.version = version
	c.homes.wentBy(n, version, w.Now)
	if !n.healthy(w.Now) {
		return
	}
	for _, change := range w.operator.changes {
		if change.version > version && w.Now.Sub(change.at) > applyWithin {
			c.violate(w, "in-force", "%s goes by version %d, %s after %d", n.name, version, w.Now.Sub(change.at), change.version)
			return
		}
	}
}

// read checks results read from a position on.
func (c *checker) read(w *World, known *jobRecord, from int, results []*doorstepv1.BatchResult) {
	c.readCount++
	for i, result := range results {
		position := from + i
		shown := fmt.Sprintf("%s %t %s %v %s", result.Id, result.Completed, result.Message, result.Versions, result.Score)
		before, ok := known.positions[position]
		if ok {
			if before != shown {
				c.violate(w, "positions-fixed", "%s: position %d changed", known.content.Id, position)
			}
			continue
		}
		if other, twice := known.byItem[result.Id]; twice && other != position {
			c.violate(w, "positions-fixed", "%s: %s stands at %d and %d", known.content.Id, result.Id, other, position)
		}
		known.positions[position] = shown
		known.byItem[result.Id] = position
		known.seen = max(known.seen, position+1)
		c.resultCount++
		c.result(w, known, result)
	}
}

// result checks a result's text and versions.
func (c *checker) result(w *World, known *jobRecord, result *doorstepv1.BatchResult) {
	if _, ok := known.items[result.Id]; !ok {
		c.violate(w, "results-true", "%s lists %s, which is another job's", known.content.Id, result.Id)
		return
	}
	impossible, failing := strings.HasPrefix(result.Id, impossibleItem), strings.HasPrefix(result.Id, failingItem)
	if !result.Completed {
		tooEarly := w.Now.Sub(known.sentAt) < maxQueue && known.endedAt.IsZero()
		unscorable := known.scoringOf(result.Id).failures >= maxAttempts
		if !impossible && tooEarly && !unscorable && !(failing && known.starts[result.Id] >= maxAttempts) {
			c.violate(w, "results-true", "%s was given up too early", result.Id)
		}
		return
	}
	lines := strings.Split(result.Message, "\n")
	if int64(len(lines)) != model.ItemEvents(result.Id) {
		c.violate(w, "results-true", "%s has %d events of %d", result.Id, len(lines), model.ItemEvents(result.Id))
		return
	}
	var versions []int64
	var version int64
	for i, line := range lines {
		text, after, _ := strings.Cut(line, "@")
		_, err := fmt.Sscan(after, &version)
		if err != nil || text != model.ItemEvent(result.Id, int64(i+1)) {
			c.violate(w, "results-true", "%s: event %d is %q", result.Id, i+1, line)
			return
		}
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
		if version < known.content.MinVersion {
			c.violate(w, "versions-true", "%s was made by %d, at least %d is wanted", result.Id, version, known.content.MinVersion)
		}
	}
	c.score(w, known, result, version)
	if known.content.Model == singleVersionModel && len(versions) > 1 {
		c.violate(w, "versions-true", "%s was made by %v, one version is wanted", result.Id, versions)
	}
	named := slices.Clone(result.Versions)
	slices.Sort(versions)
	slices.Sort(named)
	if !slices.Equal(versions, named) {
		c.violate(w, "versions-true", "%s names %v, was made by %v", result.Id, named, versions)
	}
}

// finalChecks reads every accepted job whole, after all faults are over.
func (w *World) finalChecks() {
	for _, known := range w.check.jobs {
		if !known.maybe && len(known.starts) > 0 {
			w.check.violate(w, "refusals-true", "%s ran and was refused at every try", known.content.Id)
		}
		if known.acceptedAt.IsZero() {
			continue
		}
		before := known.seen
		w.readWhole(known)
		if known.seen < before {
			w.check.violate(w, "nothing-lost", "%s: %d results were read, %d stand", known.content.Id, before, known.seen)
		}
		if known.endedAt.IsZero() && known.seen < len(known.content.Items) {
			w.check.violate(w, "all-done", "%s: %d of %d items listed", known.content.Id, known.seen, len(known.content.Items))
		}
	}
}

func (w *World) readWhole(known *jobRecord) {
	answered := false
	n := w.nodes[0]
	n.do(n.life, func(time.Time) {
		n.node.Jobs().ReadResults(known.content.Id, 0, func(_ time.Time, results []*doorstepv1.BatchResult, ok bool) {
			answered = ok
			if len(results) < known.seen {
				w.check.violate(w, "nothing-lost", "%s: %d results were read, %d stand", known.content.Id, known.seen, len(results))
			}
			w.check.read(w, known, 0, results)
		})
	})
	w.runUntil(w.Now.Add(time.Second))
	if !answered {
		w.check.violate(w, "nothing-lost", "%s can't be read", known.content.Id)
	}
}
