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
	// collectFraction is the fraction of the report delay that passes before counts are added up.
	// Nodes that cannot reach the store have until then to write theirs; the rest is for reading
	// them, for the report and its retries, and for another holder of the lease.
	collectFraction = 0.55
	// clockPropagationDelay is how long after the clock was first set the holder waits before it
	// adds up counts. Nodes write their earlier counts only once they have seen the clock.
	clockPropagationDelay = 3 * time.Second
	// The retry delay starts at retryDelay and doubles up to maxRetryDelay.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// sendTimeout bounds a call to the platform.
	sendTimeout = 900 * time.Millisecond
	// retainedReports is the number of reports retained in the store.
	retainedReports = 40
	// leaseTarget is the lease's only target.
	leaseTarget = "usage"
)

// ReporterOptions configures a Reporter.
type ReporterOptions struct {
	Self  string
	Queue *task.Queue
	Lease *recordlease.Lease
	Clock *Clock
	// StoreClock returns the reading of the record store's clock at a given time. It returns false
	// before the store's first answer.
	StoreClock func(at time.Time) (time.Duration, bool)
}

// Reporter reports windows while its node holds the lease. It must only be used from the node's
// event loop.
type Reporter struct {
	options ReporterOptions
	// fence is the fence of the lease under which next was read.
	fence int64
	// next is the next window to report.
	next           int64
	loaded         bool
	requestPending bool
	nextTick       time.Time
	retryDelay     time.Duration
	report         *report
	// Reported is the number of windows that the platform accepted from this node. LateReports is the
	// number of those reported after the deadline.
	Reported, LateReports int
}

// report is the report of one window.
type report struct {
	window   int64
	requests map[string]int64
	// countKeys holds the keys of the counts included, which are deleted once the report is accepted.
	countKeys []port.RecordKey
	// partitionsRead is the number of count partitions that were read.
	partitionsRead int
	persisted      bool
	accepted       bool
	revision       int64
}

// NewReporter returns a Reporter that has not read any reports.
func NewReporter(options ReporterOptions) *Reporter {
	return &Reporter{options: options, retryDelay: retryDelay}
}

// Tick performs the next step of the current report.
func (r *Reporter) Tick(now time.Time) {
	lease := r.options.Lease
	at, known := r.options.StoreClock(now)
	if !lease.Held(now) || !known || !r.options.Clock.propagated(at) {
		return
	}
	if lease.Fence() != r.fence {
		*r = Reporter{options: r.options, fence: lease.Fence(), retryDelay: retryDelay, Reported: r.Reported, LateReports: r.LateReports}
	}
	if r.requestPending || now.Before(r.nextTick) {
		return
	}
	switch {
	case !r.loaded:
		r.load(r.fence)
	case r.report == nil:
		if at >= r.options.Clock.end(r.next)+r.collectDelay() {
			r.report = &report{window: r.next, requests: map[string]int64{}}
			r.collectCounts(r.fence, "")
		}
	case !r.report.persisted && r.report.partitionsRead < countPartitions:
		r.collectCounts(r.fence, "")
	case !r.report.persisted:
		r.persist(r.fence)
	case !r.report.accepted:
		r.send(now)
	default:
		r.markAccepted(r.fence)
	}
}

func (r *Reporter) collectDelay() time.Duration {
	return time.Duration(collectFraction * float64(r.options.Clock.ReportDelay))
}

// onResult marks the reporter as waiting and returns a callback for the task's result. The result
// is ignored if the lease was acquired again in the meantime.
func (r *Reporter) onResult(fence int64, done func(now time.Time, result port.RecordResult)) func(now time.Time, result port.RecordResult) {
	r.requestPending = true
	return func(now time.Time, result port.RecordResult) {
		if r.fence != fence {
			return
		}
		r.requestPending = false
		if result.Status != port.RecordDone && result.Status != port.RecordConflict {
			r.backOff(now)
			return
		}
		r.retryDelay = retryDelay
		done(now, result)
		r.Tick(now)
	}
}

// backOff delays the next step after an unsuccessful call.
func (r *Reporter) backOff(now time.Time) {
	r.nextTick = now.Add(r.retryDelay)
	r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
}

// load reads the stored reports.
func (r *Reporter) load(fence int64) {
	r.options.Queue.Add(task.Range{
		Query: port.RecordRange{Table: Table, Partition: ReportPartition},
		Done: r.onResult(fence, func(_ time.Time, result port.RecordResult) {
			r.loaded = true
			r.next = r.options.Clock.firstWindow
			for _, record := range result.Records {
				r.loadReport(record)
			}
		}),
	})
}

// loadReport handles a stored report. One that was not accepted is sent again.
func (r *Reporter) loadReport(record port.Record) {
	window, err := strconv.ParseInt(record.Key, 10, 64)
	if err != nil || window < r.next {
		return
	}
	r.next = window + 1
	if stored := r.decodeReport(record); stored != nil && !stored.Accepted {
		r.next = window
	}
}

// decodeReport returns the stored report, or nil if it cannot be decoded. Such a window is skipped,
// because it is unknown what was sent for it.
func (r *Reporter) decodeReport(record port.Record) *doorstepv1.UsageReport {
	stored := &doorstepv1.UsageReport{}
	if err := proto.Unmarshal(record.Value, stored); err != nil {
		r.options.Queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
		return nil
	}
	return stored
}

// collectCounts adds up the counts of one partition, starting at a key.
func (r *Reporter) collectCounts(fence int64, from string) {
	current := r.report
	prefix := windowPrefix(current.window)
	r.options.Queue.Add(task.Range{
		Query: port.RecordRange{Table: Table, Partition: countPartition(current.partitionsRead), From: max(prefix, from), To: prefix + "~"},
		Done: r.onResult(fence, func(_ time.Time, result port.RecordResult) {
			for _, record := range result.Records {
				r.addCounts(record)
			}
			if result.More && len(result.Records) > 0 {
				r.collectCounts(fence, result.Records[len(result.Records)-1].Key+"\x00")
				return
			}
			current.partitionsRead++
		}),
	})
}

func (r *Reporter) addCounts(record port.Record) {
	counted := &doorstepv1.UsageCounts{}
	if err := proto.Unmarshal(record.Value, counted); err != nil {
		r.options.Queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
		return
	}
	r.report.countKeys = append(r.report.countKeys, record.RecordKey)
	for tenant, count := range counted.Requests {
		r.report.requests[tenant] += count
	}
}

// persist stores the sum. If the window already has a stored report, that one is used instead.
func (r *Reporter) persist(fence int64) {
	current, key := r.report, reportKey(r.report.window)
	r.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: key}},
			Puts:          []port.Record{{RecordKey: key, Value: encode(&doorstepv1.UsageReport{Requests: current.requests})}},
		},
		Done: r.onResult(fence, func(_ time.Time, result port.RecordResult) {
			current.revision = result.Revision
			if result.Status == port.RecordConflict {
				current.revision = revisionOf(result, key)
				stored := r.decodeReport(recordOf(result, key))
				if stored == nil {
					r.report, r.next = nil, current.window+1
					return
				}
				current.requests, current.accepted = stored.Requests, stored.Accepted
			}
			current.persisted = true
			r.options.Queue.Log(event.UsageAggregated, "window", current.window, "tenants", len(current.requests), "requests", total(current.requests),
				"rows", len(current.countKeys), "stood", result.Status == port.RecordConflict)
		}),
	})
}

func recordOf(result port.RecordResult, key port.RecordKey) port.Record {
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

// send sends the report under the lease's fence.
func (r *Reporter) send(now time.Time) {
	lease := r.options.Lease
	if !lease.TryAct(now, leaseTarget) {
		return
	}
	current, fence := r.report, r.fence
	r.requestPending = true
	r.options.Queue.Add(task.ReportUsage{
		Report: port.UsageReport{Window: current.window, Requests: maps.Clone(current.requests), Holder: r.options.Self, Fence: fence},
		Limit:  min(lease.Remaining(now), sendTimeout),
		Done: func(now time.Time, status port.DutyStatus) {
			if r.fence == fence {
				r.requestPending = false
				r.onSent(now, current, status)
			}
		},
	})
}

func (r *Reporter) onSent(now time.Time, sent *report, status port.DutyStatus) {
	at, _ := r.options.StoreClock(now)
	late := at > r.options.Clock.end(sent.window)+r.options.Clock.ReportDelay
	r.options.Queue.Log(event.UsageReported, "window", sent.window, "requests", total(sent.requests), "fence", r.fence,
		"status", status.String(), "late", late)
	switch status {
	case port.DutyDone:
		sent.accepted = true
		r.Reported++
		if late {
			r.LateReports++
		}
		r.Tick(now)
	case port.DutyFenced:
		r.options.Lease.OnFenced(r.fence)
	case port.DutyUnknown, port.DutyRefused:
		r.backOff(now)
	}
}

// markAccepted records that the platform accepted the report, deletes the oldest report, and moves
// on to the next window. The counts are deleted separately, since remaining ones are never read
// again.
func (r *Reporter) markAccepted(fence int64) {
	current, key := r.report, reportKey(r.report.window)
	r.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: key, Revision: current.revision}},
			Puts:          []port.Record{{RecordKey: key, Value: encode(&doorstepv1.UsageReport{Requests: current.requests, Accepted: true})}},
			Deletes:       []port.RecordKey{reportKey(current.window - retainedReports)},
		},
		Done: r.onResult(fence, func(_ time.Time, _ port.RecordResult) {
			// A conflict means that an earlier attempt succeeded.
			r.deleteCounts(current)
			r.report = nil
			r.next = current.window + 1
		}),
	})
}

// maxDeletes bounds the number of deletes per transaction.
const maxDeletes = 90

// deleteCounts deletes the counts of an accepted report.
func (r *Reporter) deleteCounts(accepted *report) {
	byPartition := map[string][]port.RecordKey{}
	for _, key := range accepted.countKeys {
		byPartition[key.Partition] = append(byPartition[key.Partition], key)
	}
	for _, partition := range slices.Sorted(maps.Keys(byPartition)) {
		for keys := range slices.Chunk(byPartition[partition], maxDeletes) {
			r.options.Queue.Add(task.Commit{Transaction: port.RecordTransaction{Deletes: keys}, Done: func(time.Time, port.RecordResult) {}})
		}
	}
}
