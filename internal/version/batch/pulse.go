package batch

import "time"

// A client's next call begins half a second after the start of its last read, or at that read's
// answer, whichever is later; a read that finds nothing is held for a second. So a read that
// began less than half a second before the last result was listed costs the rest of that, and
// one that began earlier nothing. The owner doesn't see reads, as any node may answer them, but
// what it lists ends them: if it lists in pulses that are further apart than clients rest and
// closer than reads are held, each read begins at a pulse, and so does the last one.
const (
	// pulseEvery is the time between two pulses.
	flushInterval = 900 * time.Millisecond
	// pulseLead is how long before the groups that the client waits for are expected to be whole
	// the last pulse is: less than a read is held, and as much more than clients rest as there is
	// to spare, as some read a position again first.
	flushLead = 850 * time.Millisecond
	// pulseWidth is how long a pulse lasts, leastPulse the least time between two, and between the
	// last and when the groups are whole: the forecast that they are counted from moves.
	flushWindow = 100 * time.Millisecond
	minFlushGap = 500 * time.Millisecond
	// pulseReserve is how many results each pulse but the last leaves for those to come: one that
	// lists nothing ends no read.
	flushReserve = 2
)

// pulse says what is listed now of the results that are ready.
type flush int

const (
	// noPulse lists none, partPulse leaves some for later pulses, wholePulse lists all.
	noFlush flush = iota
	partialFlush
	fullFlush
	// notHeld: no result is held back, each is listed once it has waited for others.
	notHeld
)

// pulses are the moments at which results that are held back are listed all the same.
type flushSchedule struct{ lastFlushAt time.Time }

// now returns whether there is a pulse. They are counted back from when the groups are expected
// to be whole; the last of them is at release, when all that is ready is to be listed, if it leaves
// clients time to rest.
func (p *flushSchedule) next(now, completeAt, release time.Time) flush {
	last, until := completeAt.Add(-flushLead), completeAt.Add(-minFlushGap)
	if completeAt.Sub(release) >= minFlushGap {
		// What is ready is due, however late the tick is or lately there was a pulse.
		last, until = release, completeAt
	}
	kind, at := fullFlush, last
	if now.Before(last) {
		kind = partialFlush
		at = last.Add(-(last.Sub(now) + flushInterval - 1) / flushInterval * flushInterval)
		until = at.Add(flushWindow)
	}
	if now.After(until) || !p.lastFlushAt.Before(at) || now.Sub(p.lastFlushAt) < minFlushGap {
		return noFlush
	}
	p.lastFlushAt = now
	return kind
}
