package agent

import "time"

const (
	// pauseGap is the time between two events from which on it is a pause, such as that of a
	// load, unless the one before was as long: then the replica is that slow.
	pauseGap = 200 * time.Millisecond
	// steadyGaps is how many times between events make a pace, fewGaps how many do once they
	// took longTell: a replica that turned slow is noticed the sooner.
	steadyGaps = 8
	fewGaps    = 3
	longTell   = 400 * time.Millisecond
)

// rhythm follows how fast the events of a run come of late.
type rhythm struct {
	lastAt time.Time
	paused bool
	// gaps and total are the times between events since the pace was known last.
	gaps  int
	total time.Duration
	// known is the pace of the last few events that made one.
	known time.Duration
}

// note takes the time of an event, and reports whether the pace is known anew.
func (r *rhythm) note(now time.Time) bool {
	if !r.lastAt.IsZero() {
		r.add(now.Sub(r.lastAt))
	}
	r.lastAt = now
	if r.gaps < steadyGaps && (r.gaps < fewGaps || r.total < longTell) {
		return false
	}
	r.known = r.total / time.Duration(r.gaps)
	r.gaps, r.total = 0, 0
	return true
}

// add takes the time between two events.
func (r *rhythm) add(gap time.Duration) {
	paused := gap >= pauseGap
	if !paused || r.paused {
		r.gaps++
		r.total += gap
	}
	r.paused = paused
}

// pace returns the time between two events of late, 0 while there were too few.
func (r *rhythm) pace() time.Duration { return r.known }
