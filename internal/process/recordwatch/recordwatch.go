// Package recordwatch follows a table of the record store: it reads the table and then watches it for
// changes. A watch may miss changes and its history may be compacted, so the table is read again after
// failures and periodically.
package recordwatch

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// minBackoff and maxBackoff bound the delay before a failed call is retried.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// refusalTimeout is how long calls may be refused before the watch is considered unhealthy.
	refusalTimeout = 1200 * time.Millisecond
	// delayStep is the minimum by which a refusal increases the delay between calls. Each answered call
	// multiplies the delay by delayDecay.
	delayStep  = 80 * time.Millisecond
	delayDecay = 0.9
	// maxChangeLatency is how soon a nearby store answers a watch call if changes precede it.
	maxChangeLatency = 100 * time.Millisecond
	// rereadPerRecord limits the load of periodic reads on the store to a fixed number of records per
	// second and node, regardless of the table's size. If 986 nodes read 10,000 replicas every 8 s, that
	// would be 2,465 reads and some 370 MB per second; at this limit it is 30 KB per second and node.
	rereadPerRecord = 10 * time.Millisecond
	// LargeTable is the number of records that no longer fit into one call. A large table is not read
	// again after a failed watch call: when all nodes lose the store at the same time, their full reads
	// would overload it on its return.
	LargeTable = 500
	// relaxedRate and relaxedBurst limit the watch calls per second that return changes while the watch
	// is relaxed. Without the limit, 986 nodes would make 25 calls per second each. Changes arrive up to a
	// third of a second later, out of the seconds within which a leaving replica must be known.
	relaxedRate  = 3
	relaxedBurst = 1
)

// Options configures a Watch.
type Options struct {
	Table      string
	Partitions []string
	Queue      *task.Queue
	// Wait is how long the store may hold a watch call.
	Wait time.Duration
	// RereadInterval is the interval of full reads, which detect changes that the watch missed. With 0,
	// the table is only read again after failures.
	RereadInterval time.Duration
	// MinDelay is the delay between calls, which batches changes. Refusals increase it up to MaxDelay,
	// as all nodes share the store's capacity. If both are equal, the delay is fixed.
	MinDelay, MaxDelay time.Duration
	// Relaxed, if set, reports whether the node can tolerate late changes. Calls that return changes
	// are then rate limited.
	Relaxed func(now time.Time) bool
	// Partial, if set, allows following only a part of the table.
	Partial *PartialOptions
	// Jitter, from 0 to 1, spreads the nodes' calls after refusals and, with a Distance, after
	// failures.
	Jitter float64
	// Distance returns the recent latency of calls to the store. It is nil in a single-region
	// deployment.
	Distance func() time.Duration
	// OnList receives the whole table, OnChange changed records.
	OnList   func(now time.Time, records []port.Record)
	OnChange func(now time.Time, records []port.Record)
	// OnHealth is called when the watch becomes unhealthy or healthy.
	OnHealth func(now time.Time, healthy bool)
}

// Watch follows one table. It must only be used from the node's event loop.
type Watch struct {
	options Options
	busy    bool
	nextAt  time.Time
	backoff time.Duration
	// delay is the current delay between calls. refusing is set from the first refusal of a call until
	// a call is answered.
	delay    time.Duration
	refusing bool
	// watching is set while a watch call, sent at sentAt, is in progress. Only the answer to the call
	// numbered watchCalls is processed.
	watching   bool
	sentAt     time.Time
	watchCalls uint64
	// partition is the index of the partition being read, or the number of partitions if no read is in
	// progress. target is the extent of the read and startKey its first key. firstRead is set until its
	// first answer, wrapped after it has passed the end of the table.
	partition      int
	target         Extent
	startKey       string
	firstRead      bool
	wrapped        bool
	nextKey        string
	records        []port.Record
	revision       int64
	readFinishedAt time.Time
	everRead       bool
	// known is the extent of the last read, and current is set while its changes are followed.
	// wholeSince is since when the whole table has been followed. failing is set while the store does
	// not answer.
	known      Extent
	current    bool
	wholeSince time.Time
	failing    bool
	// recordCount is the number of records in the last full read.
	recordCount int
	relaxed     *rate.Limiter
	healthy     bool
	// lastAnswerAt is the time of the store's last answer to any call. observedAt is the time up to
	// which the known records are confirmed. firstAnswerAt is the time of the first answer to the
	// current read, which becomes observedAt when the read completes.
	lastAnswerAt, observedAt, firstAnswerAt time.Time
}

// New returns a watch that has not read its table yet.
func New(options Options) *Watch {
	options.MaxDelay = max(options.MaxDelay, options.MinDelay)
	w := &Watch{options: options, backoff: minBackoff, delay: options.MinDelay, relaxed: rate.NewLimiter(relaxedRate, relaxedBurst)}
	w.startRead(ExtentFull)
	if options.Partial != nil {
		w.startRead(ExtentPart)
	}
	return w
}

// HasRead reports whether the table has been read at least once.
func (w *Watch) HasRead() bool { return w.everRead }

// Healthy reports whether the last call succeeded.
func (w *Watch) Healthy() bool { return w.healthy }

// LastAnswerAt returns the time of the store's last answer.
func (w *Watch) LastAnswerAt() time.Time { return w.lastAnswerAt }

// Tick makes the next call if it is due.
func (w *Watch) Tick(now time.Time) {
	w.interruptWait(now)
	if w.busy || now.Before(w.nextAt) || w.adjust(now) {
		return
	}
	w.busy = true
	if w.partition < len(w.options.Partitions) {
		w.readRange()
		return
	}
	w.watching, w.sentAt = true, now
	w.watchCalls++
	number := w.watchCalls
	w.options.Queue.Add(task.Watch{Table: w.options.Table, After: w.revision, Wait: w.options.Wait, Done: func(now time.Time, result port.RecordResult) {
		if number == w.watchCalls {
			w.onChanges(now, result)
		}
	}})
}

// ObservedUntil returns the time up to which all changes are known: the current time while a watch call
// waits at the store, otherwise the time of the last change or full read. An unfinished read confirms
// nothing. The changes of a store farther away than maxChangeLatency arrive later by its latency: at 600 ms, a
// change that was 300 ms old would count as not made (TestObservedUntilDistantStore).
func (w *Watch) ObservedUntil(now time.Time) time.Time {
	distance := w.distance()
	if !w.watching || now.Sub(w.sentAt) <= max(maxChangeLatency, distance) {
		return w.observedAt
	}
	if distance <= maxChangeLatency {
		return now
	}
	if observed := now.Add(-distance); observed.After(w.observedAt) {
		return observed
	}
	return w.observedAt
}

func (w *Watch) distance() time.Duration {
	if w.options.Distance == nil {
		return 0
	}
	return w.options.Distance()
}

func (w *Watch) readRange() {
	w.options.Queue.Add(task.Range{Query: w.nextRange(), Done: w.onRange})
}

func (w *Watch) onRange(now time.Time, result port.RecordResult) {
	w.busy = false
	if result.Status == port.RecordRefused {
		w.handleRefusal(now)
		return
	}
	if result.Status != port.RecordDone {
		w.handleFailure(now, result.Status)
		return
	}
	w.lastAnswerAt, w.failing = now, false
	if w.firstRead {
		// The watch starts here, so changes made during the rest of the read are seen.
		w.revision, w.firstRead, w.firstAnswerAt = result.Revision, false, now
	}
	w.records = append(w.records, result.Records...)
	if w.continueRead(result) {
		w.Tick(now)
		return
	}
	w.nextKey = ""
	w.partition++
	if w.partition == len(w.options.Partitions) {
		w.finishRead(now)
	}
	w.Tick(now)
}

func (w *Watch) finishRead(now time.Time) {
	records := w.records
	w.records = nil
	w.readFinishedAt, w.observedAt = now, w.firstAnswerAt
	w.recordCount = len(records)
	w.everRead = true
	if w.target == ExtentFull && !w.Follows(ExtentFull) {
		w.wholeSince = now
	}
	w.known, w.current = w.target, true
	if w.known == ExtentPart {
		w.options.Partial.OnPart(now)
	} else {
		w.options.OnList(now, records)
	}
	w.setHealthy(now, true)
}

// setHealthy updates the health and reports a change of it.
func (w *Watch) setHealthy(now time.Time, healthy bool) {
	if w.healthy == healthy {
		return
	}
	w.healthy = healthy
	if healthy {
		w.options.Queue.Log(event.StoreRecovered, "table", w.options.Table, "revision", w.revision)
	}
	w.options.OnHealth(now, healthy)
}

// resetDelays reduces the delays after an answered call.
func (w *Watch) resetDelays(now time.Time) {
	w.refusing = false
	w.backoff = max(minBackoff, w.backoff*3/4)
	w.delay = max(w.options.MinDelay, time.Duration(delayDecay*float64(w.delay)))
}

// handleRefusal retries the same call later. No changes are missed, but the watch becomes unhealthy if
// refusals persist.
func (w *Watch) handleRefusal(now time.Time) {
	w.nextAt = now.Add(w.jitteredBackoff())
	w.backoff = min(2*w.backoff, maxBackoff)
	if !w.refusing {
		// Further refusals of the same call do not increase the delay: an unavailable store refuses
		// every call.
		w.delay = min(max(2*w.delay, w.delay+delayStep), w.options.MaxDelay)
		w.refusing = true
	}
	if w.healthy && now.Sub(w.lastAnswerAt) > refusalTimeout {
		w.options.Queue.Log(event.StoreLost, "table", w.options.Table, "status", int(port.RecordRefused), "revision", w.revision)
		w.failing = true
		w.setHealthy(now, false)
	}
}

// jitteredBackoff returns the delay before the next attempt, between 0.5 and 1.5 times the backoff.
// Nodes that lose their calls at the same moment, as when connections are reset, must not retry at the same
// moment, or they would do so from then on (TestRetriesAreSpread).
func (w *Watch) jitteredBackoff() time.Duration {
	return w.backoff/2 + time.Duration(w.options.Jitter*float64(w.backoff))
}

func (w *Watch) onChanges(now time.Time, result port.RecordResult) {
	w.busy, w.watching = false, false
	if result.Status == port.RecordRefused {
		w.handleRefusal(now)
		return
	}
	if result.Status != port.RecordDone {
		w.handleFailure(now, result.Status)
		return
	}
	w.lastAnswerAt, w.observedAt, w.failing = now, now, false
	w.setHealthy(now, true)
	w.revision = max(w.revision, result.Revision)
	if len(result.Records) > 0 {
		w.options.OnChange(now, result.Records)
		w.nextAt = now.Add(max(w.delay, w.relaxedDelay(now)))
	}
	w.resetDelays(now)
	if w.options.RereadInterval > 0 && now.Sub(w.readFinishedAt) >= w.rereadAfter() {
		w.startRead(w.known)
	}
	w.Tick(now)
}

// relaxedDelay returns the delay of a relaxed watch after a call that returned changes.
func (w *Watch) relaxedDelay(now time.Time) time.Duration {
	if w.options.Relaxed == nil || !w.options.Relaxed(now) {
		return 0
	}
	return w.relaxed.ReserveN(now, 1).DelayFrom(now)
}

// SkipDelay ends the delay of a relaxed watch because a caller is waiting for changes.
func (w *Watch) SkipDelay(now time.Time) {
	if !w.busy && !w.refusing && w.healthy && now.Before(w.nextAt) {
		w.nextAt = now
	}
}

// rereadAfter returns the interval until the next full read. It spreads the nodes' reads over half of
// the interval, as nodes that reconnect at the same moment would otherwise read at the same moment. Over a
// quarter of it, 87 nodes made up to 642 reads per second (TestRegionReturns).
func (w *Watch) rereadAfter() time.Duration {
	interval := max(w.options.RereadInterval, time.Duration(w.recordCount)*rereadPerRecord)
	return interval/2 + time.Duration(w.options.Jitter*float64(interval)/2)
}

// handleFailure starts a new read, unless a large table is being watched: its watch resumes at the last
// revision. After a compaction the read follows immediately, as the store is available.
func (w *Watch) handleFailure(now time.Time, status port.RecordStatus) {
	watched := w.partition == len(w.options.Partitions)
	if status == port.RecordCompacted || !watched || w.recordCount < LargeTable {
		w.startRead(w.target)
	}
	w.failing = status != port.RecordCompacted
	if status == port.RecordCompacted {
		w.nextAt = now
		w.Tick(now)
		return
	}
	w.nextAt = now.Add(w.backoff)
	if w.options.Distance != nil {
		w.nextAt = now.Add(w.jitteredBackoff())
	}
	w.backoff = min(2*w.backoff, maxBackoff)
	if w.healthy {
		w.options.Queue.Log(event.StoreLost, "table", w.options.Table, "status", int(status), "revision", w.revision)
		w.setHealthy(now, false)
	}
}
