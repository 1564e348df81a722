package usage

import (
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/version/recordlease"
)

const (
	// settleFor is how long after its start a node first sets the clock: all nodes that start
	// together have told their clocks by then.
	settleFor = 6 * time.Second
	// reviewEvery paces the look at all nodes' clocks, retryReview a look that brought nothing.
	reviewEvery = 20 * time.Second
	retryReview = time.Second
	// adjustFrom is by how much the median must differ for the clock to be set anew: a step of
	// less moves hardly a request into another window.
	adjustFrom = 10 * time.Millisecond
)

// ClockKeeper sets the clock while its node holds the lease; it belongs to the node's loop.
type ClockKeeper struct {
	Queue *task.Queue
	Lease *recordlease.Lease
	Clock *Clock
	// Key names the clock's record.
	Key port.RecordKey
	// StartedAt is when the node started.
	StartedAt time.Time
	// StoreClock returns the reading of the record store's clock at a time, false before its
	// first answer.
	StoreClock func(at time.Time) (time.Duration, bool)
	// Nodes asks for what nodes tell of themselves, OffsetOf returns the offset of a node's
	// wall clock to the store's from its record, false if it tells none.
	Nodes    port.RecordRange
	OffsetOf func(record port.Record) (time.Duration, bool)

	revision int64
	busy     bool
	nextAt   time.Time
}

// OnRecord takes the clock's record.
func (k *ClockKeeper) OnRecord(record port.Record) {
	if record.Revision <= k.revision {
		return
	}
	k.revision = record.Revision
	if err := k.Clock.Set(record); err != nil {
		k.Queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
	}
}

// Tick looks at the nodes' clocks now and then.
func (k *ClockKeeper) Tick(now time.Time) {
	if k.busy || now.Before(k.nextAt) || !k.Lease.Held(now) || now.Sub(k.StartedAt) < settleFor {
		return
	}
	k.busy = true
	k.nextAt = now.Add(reviewEvery)
	k.Queue.Add(task.Range{Query: k.Nodes, Done: func(now time.Time, result port.RecordResult) {
		k.busy = false
		var offsets []time.Duration
		for _, record := range result.Records {
			if offset, told := k.OffsetOf(record); told {
				offsets = append(offsets, offset)
			}
		}
		at, known := k.StoreClock(now)
		if len(offsets) == 0 || !known {
			k.nextAt = now.Add(retryReview)
			return
		}
		k.review(now, at, median(offsets), len(offsets))
	}})
}

func median(offsets []time.Duration) time.Duration {
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}

// review sets the clock if it is not set, or clearly off the median.
func (k *ClockKeeper) review(now time.Time, at, offset time.Duration, nodes int) {
	if k.Clock.known && (offset-k.Clock.offset).Abs() < adjustFrom {
		return
	}
	next := &doorstepv1.UsageClock{OffsetMs: offset.Milliseconds(), FirstWindow: k.Clock.first, SetAtMs: k.Clock.setAt.Milliseconds()}
	if !k.Clock.known {
		started := at - now.Sub(k.StartedAt)
		next.SetAtMs = at.Milliseconds()
		next.FirstWindow = int64((started + offset) / k.Clock.Length)
	}
	record := port.Record{RecordKey: k.Key, Value: encode(next)}
	k.busy = true
	k.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: k.Key, Revision: k.revision}},
			Puts:          []port.Record{record},
		},
		Done: func(now time.Time, result port.RecordResult) {
			k.busy = false
			switch result.Status {
			case port.RecordDone:
				record.Revision = result.Revision
				k.OnRecord(record)
				k.Queue.Log(event.UsageClockSet, "offset_ms", next.OffsetMs, "nodes", nodes, "first_window", next.FirstWindow)
			case port.RecordConflict:
				k.OnRecord(firstOf(result, k.Key))
			default:
				k.nextAt = now.Add(retryReview)
			}
		},
	})
}
