package agent

import "time"

const (
	// pauseThreshold is the gap between events that counts as a pause, such as a weight load, and
	// is ignored. A pause that directly follows another counts, because the replica may be this slow.
	pauseThreshold = 200 * time.Millisecond
	// minGaps is the number of gaps needed for an estimate. minSlowGaps suffice once they total
	// slowGapsTotal, so that a slow replica is detected sooner.
	minGaps       = 8
	minSlowGaps   = 3
	slowGapsTotal = 400 * time.Millisecond
)

// paceEstimator estimates the time between a run's events.
type paceEstimator struct {
	lastAt time.Time
	paused bool
	// gaps and total are the number and sum of the gaps since the last estimate.
	gaps  int
	total time.Duration
	// latest is the most recent estimate.
	latest time.Duration
}

// observe records an event and reports whether there is a new estimate.
func (e *paceEstimator) observe(now time.Time) bool {
	if !e.lastAt.IsZero() {
		e.addGap(now.Sub(e.lastAt))
	}
	e.lastAt = now
	if e.gaps < minGaps && (e.gaps < minSlowGaps || e.total < slowGapsTotal) {
		return false
	}
	e.latest = e.total / time.Duration(e.gaps)
	e.gaps, e.total = 0, 0
	return true
}

func (e *paceEstimator) addGap(gap time.Duration) {
	paused := gap >= pauseThreshold
	if !paused || e.paused {
		e.gaps++
		e.total += gap
	}
	e.paused = paused
}

// pace returns the latest estimate of the time between events; 0 if there is none.
func (e *paceEstimator) pace() time.Duration { return e.latest }
