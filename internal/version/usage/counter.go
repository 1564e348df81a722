package usage

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// writeDelay is how long counts are batched before they are written. A node that crashes loses
	// the counts it has not written.
	writeDelay = 100 * time.Millisecond
	// writeInterval is the minimum time between two writes of a node. It bounds the load on the
	// store.
	writeInterval = time.Second
	// writeRetryDelay is the delay after an unsuccessful write.
	writeRetryDelay = 250 * time.Millisecond
	// Counts that cannot be written are dropped after retentionFactor times the report delay, when
	// they are of no more use.
	retentionFactor = 2
	// maxPending bounds the number of requests stored while the clock is not set.
	maxPending = 20_000
)

// CounterOptions configures a Counter.
type CounterOptions struct {
	Self        string
	Incarnation uint64
	Queue       *task.Queue
	Clock       *Clock
	// StoreClock returns the reading of the record store's clock at a given time. It returns false
	// before the store's first answer.
	StoreClock func(at time.Time) (time.Duration, bool)
}

// Counter counts one node's requests. It must only be used from the node's event loop.
type Counter struct {
	options CounterOptions
	windows map[int64]*counts
	// pending holds requests that began while the clock was not set.
	pending []pendingRequest
	dropped int
	// nextWrite is the earliest time of the next write. retryAt is the earliest time after an
	// unsuccessful write.
	nextWrite, retryAt time.Time
}

// pendingRequest is a request that is not assigned to a window yet.
type pendingRequest struct {
	at     time.Time
	tenant string
}

// counts holds the counts of one window.
type counts struct {
	requests map[string]int64
	// total is the number of requests counted, written the number stored.
	total, written int64
	revision       int64
	writing        bool
	changedAt      time.Time
}

// NewCounter returns an empty Counter.
func NewCounter(options CounterOptions) *Counter {
	return &Counter{options: options, windows: map[int64]*counts{}}
}

// Count counts a request that began to run at a replica.
func (c *Counter) Count(now, beganAt time.Time, tenant string) {
	if tenant == "" {
		return
	}
	at, known := c.options.StoreClock(beganAt)
	if !known || !c.options.Clock.isSet {
		c.addPending(pendingRequest{beganAt, tenant})
		return
	}
	window := c.options.Clock.window(at)
	entry := c.windows[window]
	if entry == nil {
		entry = &counts{requests: map[string]int64{}}
		c.windows[window] = entry
	}
	if entry.total == entry.written {
		entry.changedAt = now
	}
	entry.requests[tenant]++
	entry.total++
}

// addPending stores a request until the clock is set.
func (c *Counter) addPending(request pendingRequest) {
	if len(c.pending) >= maxPending {
		c.dropped++
		return
	}
	c.pending = append(c.pending, request)
}

// Unwritten returns the number of requests that were counted but not stored.
func (c *Counter) Unwritten() int64 {
	unwritten := int64(len(c.pending))
	for _, entry := range c.windows {
		unwritten += entry.total - entry.written
	}
	return unwritten
}

// Tick writes counts when due. If flush is set, it writes all counts, because the node is stopping.
func (c *Counter) Tick(now time.Time, flush bool) {
	at, known := c.options.StoreClock(now)
	if !known || !c.options.Clock.isSet {
		return
	}
	c.countPending(now)
	for _, window := range slices.Sorted(maps.Keys(c.windows)) {
		entry := c.windows[window]
		if at > c.options.Clock.end(window)+retentionFactor*c.options.Clock.ReportDelay {
			c.discard(window, entry)
			continue
		}
		due := flush || now.Sub(entry.changedAt) >= writeDelay && !now.Before(c.nextWrite)
		if entry.total > entry.written && !entry.writing && due && !now.Before(c.retryAt) {
			c.nextWrite = now.Add(writeInterval)
			c.write(window, entry)
		}
	}
}

// countPending counts the requests from before the clock was set.
func (c *Counter) countPending(now time.Time) {
	pending := c.pending
	c.pending = nil
	for _, request := range pending {
		c.Count(now, request.at, request.tenant)
	}
	if c.dropped > 0 {
		c.options.Queue.Log(event.UsageLost, "requests", c.dropped, "reason", "too many before the clock was known")
		c.dropped = 0
	}
}

func (c *Counter) discard(window int64, entry *counts) {
	if entry.total > entry.written {
		c.options.Queue.Log(event.UsageLost, "window", window, "requests", entry.total-entry.written, "reason", "the store could not be reached in time")
	}
	delete(c.windows, window)
}

// key returns the key of this incarnation's record for a window.
func (c *Counter) key(window int64) port.RecordKey {
	partition := countPartition(int(xxhash.Sum64String(c.options.Self) % countPartitions))
	return port.RecordKey{Table: Table, Partition: partition, Key: fmt.Sprintf("%s%s/%016x", windowPrefix(window), c.options.Self, c.options.Incarnation)}
}

// write writes a window's counts. The precondition prevents a delayed write from overwriting a
// later one.
func (c *Counter) write(window int64, entry *counts) {
	key, total := c.key(window), entry.total
	entry.writing = true
	c.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: key, Revision: entry.revision}},
			Puts:          []port.Record{{RecordKey: key, Value: encode(&doorstepv1.UsageCounts{Requests: entry.requests})}},
		},
		Done: func(now time.Time, result port.RecordResult) {
			entry.writing = false
			switch result.Status {
			case port.RecordDone:
				entry.written, entry.revision = total, result.Revision
			case port.RecordConflict:
				// An earlier write of this node succeeded, but its answer was lost.
				entry.revision = revisionOf(result, key)
			default:
				c.retryAt = now.Add(writeRetryDelay)
			}
		},
	})
}

// revisionOf returns the revision of a record in the result of a conflict, or 0 if it is missing.
func revisionOf(result port.RecordResult, key port.RecordKey) int64 {
	for _, record := range result.Records {
		if record.RecordKey == key {
			return record.Revision
		}
	}
	return 0
}
