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
	// startupDelay is how long after its start a node waits before it first sets the clock, so that
	// nodes that start together have all written their offsets.
	startupDelay = 6 * time.Second
	// The nodes' offsets are reviewed every reviewInterval, and reviewRetryDelay after an
	// unsuccessful review.
	reviewInterval = 20 * time.Second
	// unconfirmedReviewInterval is the interval while no two nodes agree with the clock.
	unconfirmedReviewInterval = 5 * time.Second
	reviewRetryDelay          = time.Second
	// minAdjustment is the minimum difference of the median from the clock's offset for an
	// adjustment.
	minAdjustment = 10 * time.Millisecond
	// agreementTolerance is the maximum difference from the median for a node to agree with it.
	agreementTolerance = 100 * time.Millisecond
	// reviewsToAdjust is the number of consecutive reviews that must find the same offset for an
	// adjustment. A node's offset is only as recent as its record, and clocks that jumped usually
	// return within seconds.
	reviewsToAdjust = 3
	// majorityTimeout is how long after its first review a node waits for a majority to agree.
	majorityTimeout = 15 * time.Second
)

// ClockKeeper sets the clock while its node holds the lease. It must only be used from the node's
// event loop.
type ClockKeeper struct {
	Queue *task.Queue
	Lease *recordlease.Lease
	Clock *Clock
	// Key is the key of the clock's record.
	Key       port.RecordKey
	StartedAt time.Time
	// StoreClock returns the reading of the record store's clock at a given time. It returns false
	// before the store's first answer.
	StoreClock func(at time.Time) (time.Duration, bool)
	// Nodes is the range of the nodes' records. OffsetOf returns the offset between a node's wall
	// clock and the store's clock from its record, or false if the record has none.
	Nodes    port.RecordRange
	OffsetOf func(record port.Record) (time.Duration, bool)

	revision       int64
	requestPending bool
	nextReview     time.Time
	// candidate is a deviating offset that candidateReviews consecutive reviews have found.
	candidate        time.Duration
	candidateReviews int
	// confirmed is the maximum number of nodes that agreed with the clock.
	confirmed int
	// firstReviewAt is the time of the first review while the clock is not set. lastNodeCount is
	// the number of nodes with an offset at the latest such review.
	firstReviewAt time.Time
	lastNodeCount int
}

// OnRecord handles a new revision of the clock's record.
func (k *ClockKeeper) OnRecord(record port.Record) {
	if record.Revision <= k.revision {
		return
	}
	k.revision = record.Revision
	if err := k.Clock.Set(record); err != nil {
		k.Queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
	}
}

// Tick reviews the nodes' offsets when due.
func (k *ClockKeeper) Tick(now time.Time) {
	if !k.Lease.Held(now) {
		k.candidateReviews = 0
		return
	}
	if k.requestPending || now.Before(k.nextReview) || now.Sub(k.StartedAt) < startupDelay {
		return
	}
	k.requestPending = true
	k.nextReview = now.Add(reviewInterval)
	k.Queue.Add(task.Range{Query: k.Nodes, Done: func(now time.Time, result port.RecordResult) {
		k.requestPending = false
		var offsets []time.Duration
		for _, record := range result.Records {
			if offset, ok := k.OffsetOf(record); ok {
				offsets = append(offsets, offset)
			}
		}
		at, known := k.StoreClock(now)
		if len(offsets) == 0 || !known {
			k.nextReview = now.Add(reviewRetryDelay)
			return
		}
		k.review(now, at, offsets)
	}})
}

// majority returns the median offset and the number of nodes that agree with it. The number is 0
// unless they are a majority of at least two.
func majority(offsets []time.Duration) (median time.Duration, agreed int) {
	slices.Sort(offsets)
	median = offsets[len(offsets)/2]
	for _, offset := range offsets {
		if (offset - median).Abs() <= agreementTolerance {
			agreed++
		}
	}
	if agreed < 2 || 2*agreed <= len(offsets) {
		return median, 0
	}
	return median, agreed
}

// review sets the clock if it is not set. It adjusts the clock if a majority agrees on another
// offset, either in several consecutive reviews or with more nodes than have agreed with the clock.
func (k *ClockKeeper) review(now time.Time, at time.Duration, offsets []time.Duration) {
	median, agreed := majority(offsets)
	if !k.Clock.isSet {
		k.setInitially(now, at, median, agreed, len(offsets))
		return
	}
	k.confirmed = max(k.confirmed, k.Clock.agreed)
	if k.confirmed == 0 {
		k.nextReview = now.Add(unconfirmedReviewInterval)
	}
	switch {
	case agreed == 0:
		k.candidateReviews = 0
	case (median - k.Clock.offset).Abs() < minAdjustment:
		k.candidateReviews = 0
		k.confirmed = max(k.confirmed, agreed)
	case agreed > k.confirmed || k.confirmCandidate(median):
		k.set(now, at, median, agreed)
	}
}

// setInitially sets the clock once a majority agrees and the number of nodes with an offset is
// stable. After an outage, the first nodes to write their offsets may all be wrong. It stops
// waiting after majorityTimeout.
func (k *ClockKeeper) setInitially(now time.Time, at, median time.Duration, agreed, nodes int) {
	if k.firstReviewAt.IsZero() {
		k.firstReviewAt = now
	}
	countChanged := nodes != k.lastNodeCount
	k.lastNodeCount = nodes
	if (agreed == 0 || countChanged) && now.Sub(k.firstReviewAt) < majorityTimeout {
		k.nextReview = now.Add(reviewRetryDelay)
		return
	}
	k.nextReview = now.Add(unconfirmedReviewInterval)
	k.set(now, at, median, agreed)
}

// confirmCandidate records a deviating offset and reports whether enough consecutive reviews have
// found it.
func (k *ClockKeeper) confirmCandidate(offset time.Duration) bool {
	if k.candidateReviews > 0 && (offset-k.candidate).Abs() > agreementTolerance {
		k.candidateReviews = 0
	}
	k.candidate = offset
	k.candidateReviews++
	return k.candidateReviews >= reviewsToAdjust
}

// set writes the clock's record.
func (k *ClockKeeper) set(now time.Time, at, offset time.Duration, agreed int) {
	k.candidateReviews, k.confirmed = 0, 0
	next := &doorstepv1.UsageClock{
		OffsetMs: offset.Milliseconds(), FirstWindow: k.Clock.firstWindow, SetAtMs: k.Clock.setAt.Milliseconds(), Agreed: int32(agreed),
	}
	if !k.Clock.isSet {
		started := at - now.Sub(k.StartedAt)
		next.SetAtMs = at.Milliseconds()
		next.FirstWindow = int64((started + offset) / k.Clock.Length)
	}
	record := port.Record{RecordKey: k.Key, Value: encode(next)}
	k.requestPending = true
	k.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: k.Key, Revision: k.revision}},
			Puts:          []port.Record{record},
		},
		Done: func(now time.Time, result port.RecordResult) {
			k.requestPending = false
			switch result.Status {
			case port.RecordDone:
				record.Revision = result.Revision
				k.OnRecord(record)
				k.Queue.Log(event.UsageClockSet, "offset_ms", next.OffsetMs, "agreed", agreed, "first_window", next.FirstWindow)
			case port.RecordConflict:
				k.OnRecord(recordOf(result, k.Key))
			default:
				k.nextReview = now.Add(reviewRetryDelay)
			}
		},
	})
}
