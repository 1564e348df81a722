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
	// reportLag is how old the state in a replica's report may be: the platform's pages say
	// some hundred milliseconds.
	reportLag = 250 * time.Millisecond
	// raiseAfter is how many rounds of loads raise the limit by one once it has been found.
	raiseAfter = 2
)

// load is what was seen of one load.
type load struct {
	orderedAt time.Time
	// loadingAt is when the replica last told that it loads, zero if it never did; doneAt
	// is when it was seen with its new weights.
	loadingAt, doneAt time.Time
}

// least returns a bound below the load's duration. When the end was seen says more of when
// the replica was looked at than of the load.
func (l *load) least() time.Duration {
	if l.loadingAt.IsZero() {
		return 0
	}
	return max(l.loadingAt.Sub(l.orderedAt)-reportLag, 0)
}

// loadLimit finds how many replicas may load at once: replicas share the source of the
// weights, so that loads take longer beyond some number that nobody tells. Loads are judged
// by rounds of as many as the limit allows, so that one slow replica, or one moment, decides
// nothing. The limit starts low, so that the shortest load is known, and doubles after each
// round that was not stretched; later it rises by one after two such rounds, and falls in
// proportion after a round that was.
type loadLimit struct {
	learned  int
	shortest time.Duration
	// whole and long count the loads of the present round at the limit: those that were not
	// stretched and those that were. mildest is the least stretch of the latter.
	whole, long int
	mildest     float64
	// clean counts the rounds since the limit changed.
	clean   int
	ramping bool
}

// atOnce returns how many of n replicas may load at once.
func (l *loadLimit) atOnce(n int) int {
	if l.learned == 0 {
		l.learned, l.ramping = max(leastLoads, int(firstPart*float64(n))), true
	}
	if l.whole+l.long >= l.learned {
		l.endRound(n)
	}
	l.learned = max(leastLoads, min(l.learned, int(mostLoadPart*float64(n))))
	return l.learned
}

// endRound judges a round of loads.
func (l *loadLimit) endRound(n int) {
	ramp := int(rampPart * float64(n))
	switch {
	case l.long > l.whole:
		l.learned = min(l.learned-1, int(float64(l.learned)/l.mildest))
		l.ramping, l.clean = false, 0
	case l.ramping:
		l.learned = min(2*l.learned, ramp)
		l.ramping = l.learned < ramp
	default:
		l.clean++
		if l.clean >= raiseAfter {
			l.learned, l.clean = l.learned+1, 0
		}
	}
	l.whole, l.long, l.mildest = 0, 0, 0
}

// finished takes a load and the most replicas that were loading at once with it.
func (l *loadLimit) finished(done load, loading int) {
	if took := done.doneAt.Sub(done.orderedAt); l.shortest == 0 || took < l.shortest {
		l.shortest = took
	}
	if loading < l.learned {
		return
	}
	stretch := float64(done.least()) / float64(l.shortest)
	if stretch <= stretched {
		l.whole++
		return
	}
	l.long++
	if l.mildest == 0 || stretch < l.mildest {
		l.mildest = stretch
	}
}
