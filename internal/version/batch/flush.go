package batch

import "time"

// A client starts its next read half a second after it started the previous one, or when that
// one was answered, whichever is later; a read that finds no results is held for a second. A
// read that started less than half a second before the last result was listed therefore delays
// the client. Reads may be answered by any node and are not visible to the owner, but they end
// when results are listed. If held results are flushed at an interval longer than the client's
// pause and shorter than the hold time of a read, each read starts at a flush, including the
// last one.
const (
	// flushInterval is the time between two scheduled flushes.
	flushInterval = 900 * time.Millisecond
	// flushLead is the time between the last scheduled flush and the expected completion. It is
	// shorter than the hold time of a read, and exceeds the client's pause by enough to allow
	// for reads that are repeated.
	flushLead = 850 * time.Millisecond
	// flushWindow is how long after its scheduled time a partial flush is still made.
	// minFlushGap is the minimum time between two flushes, and between the last flush and the
	// expected completion, as the forecast may change.
	flushWindow = 100 * time.Millisecond
	minFlushGap = 500 * time.Millisecond
	// flushReserve is the number of results that a partial flush leaves for later ones, as a
	// flush without results ends no read.
	flushReserve = 2
)

// flush determines which finished items may be listed now.
type flush int

const (
	// noFlush lists no results, partialFlush all but a reserve, fullFlush all of them.
	noFlush flush = iota
	partialFlush
	fullFlush
	// notHeld means that results are not held back and are listed after listingDelay.
	notHeld
)

// flushSchedule tracks the scheduled flushes of held results.
type flushSchedule struct{ lastFlushAt time.Time }

// next returns the flush to make now, if any. Flushes are scheduled backwards from the expected
// completion. The last one is at the release time if that leaves enough time for the client's
// pause.
func (s *flushSchedule) next(now, completeAt, release time.Time) flush {
	last, until := completeAt.Add(-flushLead), completeAt.Add(-minFlushGap)
	if completeAt.Sub(release) >= minFlushGap {
		// All finished results are due, so the last flush has no lead time or window.
		last, until = release, completeAt
	}
	kind, at := fullFlush, last
	if now.Before(last) {
		kind = partialFlush
		at = last.Add(-(last.Sub(now) + flushInterval - 1) / flushInterval * flushInterval)
		until = at.Add(flushWindow)
	}
	if now.After(until) || !s.lastFlushAt.Before(at) || now.Sub(s.lastFlushAt) < minFlushGap {
		return noFlush
	}
	s.lastFlushAt = now
	return kind
}
