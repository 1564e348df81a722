package usage

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/version/recordlease"
)

const (
	// gatherPart is the part of a report's lateness that passes before counts are added up:
	// nodes that can't reach the store deliver them until then, and the rest is for the report
	// itself.
	gatherPart = 0.55
	// clockHeardWithin is how long after the clock was first set a holder waits before it adds
	// counts up: other nodes hear of the clock by their watches, and only then write what they
	// counted before.
	clockHeardWithin = 3 * time.Second
	// retryPause and mostRetryPause bound the pause after a call that brought nothing.
	retryPause     = 100 * time.Millisecond
	mostRetryPause = time.Second
	// sendLimit bounds a call to the platform.
	sendLimit = 900 * time.Millisecond
	// reportsKept is how many reports stay in the store.
	reportsKept = 40
	// leaseTarget is the one matter that the lease's holder acts on.
	leaseTarget = "usage"
)

// ReporterOptions configure a Reporter.
type ReporterOptions struct {
	Self  string
	Queue *task.Queue
	Lease *recordlease.Lease
	Clock *Clock
	// StoreClock returns the reading of the record store's clock at a time, false before its
	// first answer.
	StoreClock func(at time.Time) (time.Duration, bool)
}

// Reporter reports windows while its node holds the lease; it belongs to the node's loop.
type Reporter struct {
	options ReporterOptions
	// fence is that of the tenure in which next was read.
	fence int64
	// next is the window to be reported next.
	next   int64
	loaded bool
	busy   bool
	nextAt time.Time
	pause  time.Duration
	report *report
	// Reported counts the windows that the platform took from this node, Late those of them
	// that were overdue.
	Reported, Late int
}

// report is that of the window at hand.
type report struct {
	window   int64
	requests map[string]int64
	// rows are the counts that it is made of, to be deleted once it is accepted.
	rows []port.RecordKey
	// parts is how many partitions of counts were read, readAt when the first was asked.
	parts    int
	fixed    bool
	accepted bool
	revision int64
}

// NewReporter returns a reporter that knows of no report.
func NewReporter(options ReporterOptions) *Reporter {
	return &Reporter{options: options, pause: retryPause}
}

// Tick takes the next step of the report at hand.
func (r *Reporter) Tick(now time.Time) {
	lease := r.options.Lease
	at, known := r.options.StoreClock(now)
	if !lease.Held(now) || !known || !r.options.Clock.heard(at) {
		return
	}
	if lease.Fence() != r.fence {
		*r = Reporter{options: r.options, fence: lease.Fence(), pause: retryPause, Reported: r.Reported, Late: r.Late}
	}
	if r.busy || now.Before(r.nextAt) {
		return
	}
	switch {
	case !r.loaded:
		r.load(r.fence)
	case r.report == nil:
		if at >= r.options.Clock.end(r.next)+r.gatherAfter() {
			r.report = &report{window: r.next, requests: map[string]int64{}}
			r.gather(r.fence, "")
		}
	case !r.report.fixed && r.report.parts < countPartitions:
		r.gather(r.fence, "")
	case !r.report.fixed:
		r.fix(r.fence)
	case !r.report.accepted:
		r.send(now)
	default:
		r.settle(r.fence)
	}
}

func (r *Reporter) gatherAfter() time.Duration {
	return time.Duration(gatherPart * float64(r.options.Clock.Late))
}

// do marks the reporter busy until the task's outcome comes, which is passed over if another
// tenure has begun meanwhile.
func (r *Reporter) do(fence int64, done func(now time.Time, result port.RecordResult)) func(now time.Time, result port.RecordResult) {
	r.busy = true
	return func(now time.Time, result port.RecordResult) {
		if r.fence != fence {
			return
		}
		r.busy = false
		if result.Status != port.RecordDone && result.Status != port.RecordConflict {
			r.back(now)
			return
		}
		r.pause = retryPause
		done(now, result)
		r.Tick(now)
	}
}

// back waits after a call that brought nothing.
func (r *Reporter) back(now time.Time) {
	r.nextAt = now.Add(r.pause)
	r.pause = min(2*r.pause, mostRetryPause)
}

// load reads which windows were reported.
func (r *Reporter) load(fence int64) {
	r.options.Queue.Add(task.Range{
		Query: port.RecordRange{Table: Table, Partition: ReportPartition},
		Done: r.do(fence, func(_ time.Time, result port.RecordResult) {
			r.loaded = true
			r.next = r.options.Clock.first
			for _, record := range result.Records {
				r.loadReport(record)
			}
		}),
	})
}

// loadReport takes a report that stands in the store: one that was not accepted is sent again.
func (r *Reporter) loadReport(record port.Record) {
	window, err := strconv.ParseInt(record.Key, 10, 64)
	if err != nil || window < r.next {
		return
	}
	r.next = window + 1
	if held := r.decodeReport(record); held != nil && !held.Accepted {
		r.next = window
	}
}

// decodeReport returns a report that stands in the store, nil if it can't be read: what was sent
// of it is not known then, so that its window is passed over.
func (r *Reporter) decodeReport(record port.Record) *doorstepv1.UsageReport {
	held := &doorstepv1.UsageReport{}
	if err := proto.Unmarshal(record.Value, held); err != nil {
		r.options.Queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
		return nil
	}
	return held
}

// gather adds the counts of one partition up, from a key on.
func (r *Reporter) gather(fence int64, from string) {
	one := r.report
	prefix := windowPrefix(one.window)
	r.options.Queue.Add(task.Range{
		Query: port.RecordRange{Table: Table, Partition: countPartition(one.parts), From: max(prefix, from), To: prefix + "~"},
		Done: r.do(fence, func(_ time.Time, result port.RecordResult) {
			for _, record := range result.Records {
				r.add(record)
			}
			if result.More && len(result.Records) > 0 {
				r.gather(fence, result.Records[len(result.Records)-1].Key+"\x00")
				return
			}
			one.parts++
		}),
	})
}

func (r *Reporter) add(record port.Record) {
	counted := &doorstepv1.UsageCounts{}
	if err := proto.Unmarshal(record.Value, counted); err != nil {
		r.options.Queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
		return
	}
	r.report.rows = append(r.report.rows, record.RecordKey)
	for tenant, count := range counted.Requests {
		r.report.requests[tenant] += count
	}
}

// fix writes the sum, unless one stands already: that one is sent then.
func (r *Reporter) fix(fence int64) {
	one, key := r.report, reportKey(r.report.window)
	r.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: key}},
			Puts:          []port.Record{{RecordKey: key, Value: encode(&doorstepv1.UsageReport{Requests: one.requests})}},
		},
		Done: r.do(fence, func(_ time.Time, result port.RecordResult) {
			one.revision = result.Revision
			if result.Status == port.RecordConflict {
				one.revision = revisionOf(result, key)
				held := r.decodeReport(firstOf(result, key))
				if held == nil {
					r.report, r.next = nil, one.window+1
					return
				}
				one.requests, one.accepted = held.Requests, held.Accepted
			}
			one.fixed = true
			r.options.Queue.Log(event.UsageAggregated, "window", one.window, "tenants", len(one.requests), "requests", total(one.requests),
				"rows", len(one.rows), "stood", result.Status == port.RecordConflict)
		}),
	})
}

func firstOf(result port.RecordResult, key port.RecordKey) port.Record {
	for _, record := range result.Records {
		if record.RecordKey == key {
			return record
		}
	}
	return port.Record{}
}

func total(requests map[string]int64) int64 {
	sum := int64(0)
	for _, count := range requests {
		sum += count
	}
	return sum
}

// send reports the window, under the lease's fence.
func (r *Reporter) send(now time.Time) {
	lease := r.options.Lease
	if !lease.Act(now, leaseTarget) {
		return
	}
	one, fence := r.report, r.fence
	r.busy = true
	r.options.Queue.Add(task.ReportUsage{
		Report: port.UsageReport{Window: one.window, Requests: maps.Clone(one.requests), Holder: r.options.Self, Fence: fence},
		Limit:  min(lease.Left(now), sendLimit),
		Done: func(now time.Time, status port.DutyStatus) {
			if r.fence == fence {
				r.busy = false
				r.onSent(now, one, status)
			}
		},
	})
}

func (r *Reporter) onSent(now time.Time, one *report, status port.DutyStatus) {
	at, _ := r.options.StoreClock(now)
	late := at > r.options.Clock.end(one.window)+r.options.Clock.Late
	r.options.Queue.Log(event.UsageReported, "window", one.window, "requests", total(one.requests), "fence", r.fence,
		"status", status.String(), "late", late)
	switch status {
	case port.DutyDone:
		one.accepted = true
		r.Reported++
		if late {
			r.Late++
		}
		r.Tick(now)
	case port.DutyFenced:
		r.options.Lease.Fenced(r.fence)
	case port.DutyUnknown, port.DutyRefused:
		r.back(now)
	}
}

// settle notes that the platform took the report, drops the oldest one, and goes on with the
// next window. The counts are deleted beside it: rows that stay behind are never read again.
func (r *Reporter) settle(fence int64) {
	one, key := r.report, reportKey(r.report.window)
	r.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: key, Revision: one.revision}},
			Puts:          []port.Record{{RecordKey: key, Value: encode(&doorstepv1.UsageReport{Requests: one.requests, Accepted: true})}},
			Deletes:       []port.RecordKey{reportKey(one.window - reportsKept)},
		},
		Done: r.do(fence, func(_ time.Time, _ port.RecordResult) {
			// After a conflict an earlier try stands.
			r.collect(one)
			r.report = nil
			r.next = one.window + 1
		}),
	})
}

// deletesAtOnce bounds the entries of one transaction.
const deletesAtOnce = 90

// collect deletes the counts of a window that is done.
func (r *Reporter) collect(one *report) {
	byPartition := map[string][]port.RecordKey{}
	for _, key := range one.rows {
		byPartition[key.Partition] = append(byPartition[key.Partition], key)
	}
	for _, partition := range slices.Sorted(maps.Keys(byPartition)) {
		for keys := range slices.Chunk(byPartition[partition], deletesAtOnce) {
			r.options.Queue.Add(task.Commit{Transaction: port.RecordTransaction{Deletes: keys}, Done: func(time.Time, port.RecordResult) {}})
		}
	}
}
