package recordlease

import "time"

const (
	// pauseMargin is added to the pause between the acts of two holders.
	pauseMargin = 300 * time.Millisecond
	// maxActDuration is the maximum time that an act is in flight.
	maxActDuration = 900 * time.Millisecond
)

// pauseRemaining returns how long the paused targets still have to wait, or 0 if there are none.
func (l *Lease) pauseRemaining(now time.Time) time.Duration {
	if l.pausedTargets.empty() {
		return 0
	}
	return l.pauseEnd.Sub(now)
}

// takeoverPause returns how long this node must not act on the targets that the previous holder may
// have acted on. Replicas identify holders by node, so a restarted node only has to wait out a
// pause that its previous incarnation had not completed.
func (l *Lease) takeoverPause(now time.Time) time.Duration {
	if l.options.Fenced {
		return max(laterOf(l.lastAct, l.options.StartedAt).Add(l.options.Pause+pauseMargin).Sub(now), 0)
	}
	if earliest, _, known := l.options.Clock(now); known && l.record.Holder == l.options.Holder {
		return max(time.Duration(l.record.ActsFromMs)*time.Millisecond-earliest, 0)
	}
	start := l.changedAt
	if l.record.Holder != "" {
		// The previous holder may act until its last renewal expires.
		start = start.Add(l.options.Timing.Validity)
	}
	return max(start.Add(l.options.Pause+pauseMargin).Sub(now), 0)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// storeTimeAt returns the upper bound of the store's clock at a future time, in milliseconds.
func (l *Lease) storeTimeAt(now, at time.Time) int64 {
	_, latest, _ := l.options.Clock(now)
	return (latest + at.Sub(now)).Milliseconds() + 1
}
