package rollout

import "time"

const (
	// leastLoads is how many replicas of a service may always load at once.
	leastLoads = 2
	// firstPart is the part of a service's replicas that load at once at first,
	// rampPart that up to which the limit doubles, mostLoadPart the largest part ever.
	firstPart    = 0.1
	rampPart     = 0.2
	mostLoadPart = 0.34
	// stretched, times the shortest load, is where a load took longer as too many
	// ran beside it.
	stretched = 1.3
)

// loadLimit finds how many replicas may load at once: replicas share the source of the
// weights, so that loads take longer beyond some number that nobody tells. The limit
// starts low, so that the shortest load is known, and doubles after each round of loads
// that were not stretched; later it rises by one after two such rounds, and falls by one
// after a load that was.
type loadLimit struct {
	learned  int
	shortest time.Duration
	// whole counts the loads at the limit that were not stretched.
	whole   int
	ramping bool
}

// atOnce returns how many of n replicas may load at once.
func (l *loadLimit) atOnce(n int) int {
	if l.learned == 0 {
		l.learned, l.ramping = max(leastLoads, int(firstPart*float64(n))), true
	}
	if l.ramping && l.whole >= l.learned {
		l.learned, l.whole = min(2*l.learned, int(rampPart*float64(n))), 0
		l.ramping = l.learned < int(rampPart*float64(n))
	}
	if l.whole >= 2*l.learned {
		l.learned, l.whole = l.learned+1, 0
	}
	l.learned = max(leastLoads, min(l.learned, int(mostLoadPart*float64(n))))
	return l.learned
}

// finished takes how long a load took, and how many replicas were loading at its end.
func (l *loadLimit) finished(took time.Duration, loading int) {
	if l.shortest == 0 || took < l.shortest {
		l.shortest = took
	}
	full := loading >= l.learned
	if float64(took) > stretched*float64(l.shortest) {
		if full {
			l.learned--
			l.ramping = false
		}
		l.whole = 0
		return
	}
	if full {
		l.whole++
	}
}
