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
	// writeBehind is how long a count waits for others before it is written: what a node that
	// dies has counted since is lost.
	writeBehind = 100 * time.Millisecond
	// writeEvery is the least time between two writes of one node: 390 nodes make 390 writes a
	// second at the most.
	writeEvery = time.Second
	// writeRetry is the wait after a write that brought nothing.
	writeRetry = 250 * time.Millisecond
	// keepFactor, times the lateness of reports, is how long counts are kept that could not be
	// written: they are of no use after that.
	keepFactor = 2
	// pendingAtMost bounds the requests that are kept while the clock is not known.
	pendingAtMost = 20_000
)

// CounterOptions configure a Counter.
type CounterOptions struct {
	Self        string
	Incarnation uint64
	Queue       *task.Queue
	Clock       *Clock
	// StoreClock returns the reading of the record store's clock at a time, false before its
	// first answer.
	StoreClock func(at time.Time) (time.Duration, bool)
}

// Counter counts one node's requests; it belongs to the node's loop.
type Counter struct {
	options CounterOptions
	windows map[int64]*counts
	// pending are requests that began while the clock was not known.
	pending []begin
	dropped int
	// nextAt is when the node may write again, retryAt when it may after a write that brought
	// nothing.
	nextAt, retryAt time.Time
}

// begin is a request that began to run.
type begin struct {
	at     time.Time
	tenant string
}

// counts are those of one window.
type counts struct {
	requests map[string]int64
	// total and written are how many requests were counted, and how many of them are on record.
	total, written int64
	revision       int64
	writing        bool
	changedAt      time.Time
}

// NewCounter returns a counter that has counted nothing.
func NewCounter(options CounterOptions) *Counter {
	return &Counter{options: options, windows: map[int64]*counts{}}
}

// Note counts a request that began to run at a replica.
func (c *Counter) Note(now, beganAt time.Time, tenant string) {
	if tenant == "" {
		return
	}
	at, known := c.options.StoreClock(beganAt)
	if !known || !c.options.Clock.known {
		c.keep(begin{beganAt, tenant})
		return
	}
	window := c.options.Clock.window(at)
	one := c.windows[window]
	if one == nil {
		one = &counts{requests: map[string]int64{}}
		c.windows[window] = one
	}
	if one.total == one.written {
		one.changedAt = now
	}
	one.requests[tenant]++
	one.total++
}

// keep keeps a request until the clock is known.
func (c *Counter) keep(one begin) {
	if len(c.pending) >= pendingAtMost {
		c.dropped++
		return
	}
	c.pending = append(c.pending, one)
}

// Unwritten returns how many requests are counted and not on record.
func (c *Counter) Unwritten() int64 {
	unwritten := int64(len(c.pending))
	for _, one := range c.windows {
		unwritten += one.total - one.written
	}
	return unwritten
}

// Tick writes what is due. With hurry set everything is due, as the node stops.
func (c *Counter) Tick(now time.Time, hurry bool) {
	at, known := c.options.StoreClock(now)
	if !known || !c.options.Clock.known {
		return
	}
	c.countPending(now)
	for _, window := range slices.Sorted(maps.Keys(c.windows)) {
		one := c.windows[window]
		if at > c.options.Clock.end(window)+keepFactor*c.options.Clock.Late {
			c.forget(window, one)
			continue
		}
		due := hurry || now.Sub(one.changedAt) >= writeBehind && !now.Before(c.nextAt)
		if one.total > one.written && !one.writing && due && !now.Before(c.retryAt) {
			c.nextAt = now.Add(writeEvery)
			c.write(window, one)
		}
	}
}

// countPending counts what began before the clock was known.
func (c *Counter) countPending(now time.Time) {
	pending := c.pending
	c.pending = nil
	for _, one := range pending {
		c.Note(now, one.at, one.tenant)
	}
	if c.dropped > 0 {
		c.options.Queue.Log(event.UsageLost, "requests", c.dropped, "reason", "too many before the clock was known")
		c.dropped = 0
	}
}

func (c *Counter) forget(window int64, one *counts) {
	if one.total > one.written {
		c.options.Queue.Log(event.UsageLost, "window", window, "requests", one.total-one.written, "reason", "the store could not be reached in time")
	}
	delete(c.windows, window)
}

// key names the row of this life of the node for a window.
func (c *Counter) key(window int64) port.RecordKey {
	partition := countPartition(int(xxhash.Sum64String(c.options.Self) % countPartitions))
	return port.RecordKey{Table: Table, Partition: partition, Key: fmt.Sprintf("%s%s/%016x", windowPrefix(window), c.options.Self, c.options.Incarnation)}
}

// write writes a window's counts. The condition keeps a write that takes effect late from
// undoing a later one.
func (c *Counter) write(window int64, one *counts) {
	key, total := c.key(window), one.total
	one.writing = true
	c.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: key, Revision: one.revision}},
			Puts:          []port.Record{{RecordKey: key, Value: encode(&doorstepv1.UsageCounts{Requests: one.requests})}},
		},
		Done: func(now time.Time, result port.RecordResult) {
			one.writing = false
			switch result.Status {
			case port.RecordDone:
				one.written, one.revision = total, result.Revision
			case port.RecordConflict:
				// An earlier write of this node took effect, though its answer was lost.
				one.revision = revisionOf(result, key)
			default:
				c.retryAt = now.Add(writeRetry)
			}
		},
	})
}

// revisionOf returns the revision of a record in the answer to a conflict.
func revisionOf(result port.RecordResult, key port.RecordKey) int64 {
	for _, record := range result.Records {
		if record.RecordKey == key {
			return record.Revision
		}
	}
	return 0
}
