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
	// doubtReview paces it while no two nodes agreed on the clock that is set.
	doubtReview = 5 * time.Second
	retryReview = time.Second
	// adjustFrom is by how much the median must differ for the clock to be set anew: a step of
	// less moves hardly a request into another window.
	adjustFrom = 10 * time.Millisecond
	// agreeWithin is how near to the median most nodes' clocks must be for it to count: those that
	// are kept in time differ by some tens of milliseconds, those that jumped by seconds.
	agreeWithin = 100 * time.Millisecond
	// looksToAdjust is how many looks in a row must find the same for the clock to be set anew.
	// What a node told of its clock is looked at for as long as it stands, and clocks that jumped
	// come back within seconds.
	looksToAdjust = 3
	// disagreeFor is how long after its first look a node waits for most nodes to agree.
	disagreeFor = 15 * time.Second
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
	// candidate is an offset off the clock's that so many looks in a row have found.
	candidate time.Duration
	looks     int
	// confirmed is the most nodes that were seen to agree with the clock.
	confirmed int
	// firstLookAt is when the nodes' clocks were first looked at while the clock is not set, told how many
	// nodes told of theirs at the last of these looks.
	firstLookAt time.Time
	told        int
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
	if !k.Lease.Held(now) {
		k.looks = 0
		return
	}
	if k.busy || now.Before(k.nextAt) || now.Sub(k.StartedAt) < settleFor {
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
		k.review(now, at, offsets)
	}})
}

// majority returns the middle one of offsets, and how many agree with it, 0 if these are not most
// of them. One alone agrees with nobody.
func majority(offsets []time.Duration) (middle time.Duration, agreed int) {
	slices.Sort(offsets)
	middle = offsets[len(offsets)/2]
	for _, one := range offsets {
		if (one - middle).Abs() <= agreeWithin {
			agreed++
		}
	}
	if agreed < 2 || 2*agreed <= len(offsets) {
		return middle, 0
	}
	return middle, agreed
}

// review sets the clock if it is not set, or if most nodes agree that it is off: for long, or more
// of them than ever agreed with it.
func (k *ClockKeeper) review(now time.Time, at time.Duration, offsets []time.Duration) {
	middle, agreed := majority(offsets)
	if !k.Clock.known {
		k.first(now, at, middle, agreed, len(offsets))
		return
	}
	k.confirmed = max(k.confirmed, k.Clock.agreed)
	if k.confirmed == 0 {
		k.nextAt = now.Add(doubtReview)
	}
	switch {
	case agreed == 0:
		k.looks = 0
	case (middle - k.Clock.offset).Abs() < adjustFrom:
		k.looks = 0
		k.confirmed = max(k.confirmed, agreed)
	case agreed > k.confirmed || k.lasts(middle):
		k.set(now, at, middle, agreed)
	}
}

// first sets the clock for the first time, once most nodes agree, and as many told of their clocks as at the look
// before: after an outage the first that do may all be off. It waits for neither for long.
func (k *ClockKeeper) first(now time.Time, at, middle time.Duration, agreed, told int) {
	if k.firstLookAt.IsZero() {
		k.firstLookAt = now
	}
	more := told != k.told
	k.told = told
	if (agreed == 0 || more) && now.Sub(k.firstLookAt) < disagreeFor {
		k.nextAt = now.Add(retryReview)
		return
	}
	k.nextAt = now.Add(doubtReview)
	k.set(now, at, middle, agreed)
}

// lasts notes an offset off the clock's, and reports whether enough looks in a row have found it.
func (k *ClockKeeper) lasts(offset time.Duration) bool {
	if k.looks > 0 && (offset-k.candidate).Abs() > agreeWithin {
		k.looks = 0
	}
	k.candidate = offset
	k.looks++
	return k.looks >= looksToAdjust
}

// set writes the clock.
func (k *ClockKeeper) set(now time.Time, at, offset time.Duration, agreed int) {
	k.looks, k.confirmed = 0, 0
	next := &doorstepv1.UsageClock{
		OffsetMs: offset.Milliseconds(), FirstWindow: k.Clock.first, SetAtMs: k.Clock.setAt.Milliseconds(), Agreed: int32(agreed),
	}
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
				k.Queue.Log(event.UsageClockSet, "offset_ms", next.OffsetMs, "agreed", agreed, "first_window", next.FirstWindow)
			case port.RecordConflict:
				k.OnRecord(firstOf(result, k.Key))
			default:
				k.nextAt = now.Add(retryReview)
			}
		},
	})
}
