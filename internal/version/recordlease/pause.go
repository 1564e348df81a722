package recordlease

import "time"

const (
	// pauseMargin is added to the pause between two holders.
	pauseMargin = 300 * time.Millisecond
	// actFor is the longest that an act may be under way.
	actFor = 900 * time.Millisecond
)

// untilActs returns how long the targets that a pause is owed to still wait, 0 if there are
// none.
func (l *Lease) untilActs(now time.Time) time.Duration {
	if l.owed.empty() {
		return 0
	}
	return l.actAfter.Sub(now)
}

// pauseLeft returns how long this node must not act on the targets of the record, as another
// may have acted on them of late. Orders of one node's two lives are one holder's: back ends
// tell nodes apart, not processes. So it goes on at once after a restart, but for what its
// former life still owed.
func (l *Lease) pauseLeft(now time.Time) time.Duration {
	if l.options.Fenced {
		return max(laterOf(l.lastAct, l.options.StartedAt).Add(l.options.Pause+pauseMargin).Sub(now), 0)
	}
	if least, _, known := l.options.Clock(now); known && l.row.Holder == l.options.Holder {
		return max(time.Duration(l.row.ActsFromMs)*time.Millisecond-least, 0)
	}
	pauseFrom := l.changedAt
	if l.row.Holder != "" {
		// The former holder may act for as long as its last renewal counts.
		pauseFrom = pauseFrom.Add(l.options.Cadence.Validity)
	}
	return max(pauseFrom.Add(l.options.Pause+pauseMargin).Sub(now), 0)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// clockAt returns the most that the store's clock may show at a time to come, in
// milliseconds.
func (l *Lease) clockAt(now, at time.Time) int64 {
	_, most, _ := l.options.Clock(now)
	return (most + at.Sub(now)).Milliseconds() + 1
}
