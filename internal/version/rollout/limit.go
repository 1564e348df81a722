package rollout

import "time"

const (
	// minConcurrentLoads is the number of replicas per service that may always load concurrently.
	minConcurrentLoads = 2
	// The limit starts at initialLoadFraction of a service's replicas, doubles up to
	// rampLoadFraction, and never exceeds maxLoadFraction, so that two of three replicas go on
	// serving while the others load.
	initialLoadFraction = 0.1
	rampLoadFraction    = 0.2
	maxLoadFraction     = 0.34
	// A load is slow if it takes longer than slowLoadFactor times the shortest load.
	slowLoadFactor = 1.3
	// reportLag is the maximum age of the state in a replica's report, which the platform gives as some
	// hundred milliseconds.
	reportLag = 250 * time.Millisecond
	// roundsPerIncrease is the number of stable rounds after which the limit rises by one.
	roundsPerIncrease = 2
)

// observedLoad holds the timestamps of one load.
type observedLoad struct {
	orderedAt time.Time
	// lastLoadingAt is when the replica last reported that it is loading, or zero if it never did.
	// doneAt is when the new version was first seen.
	lastLoadingAt, doneAt time.Time
}

// minDuration returns a lower bound of the load's duration. It does not use doneAt, which depends
// on when the replica was polled.
func (l *observedLoad) minDuration() time.Duration {
	if l.lastLoadingAt.IsZero() {
		return 0
	}
	return max(l.lastLoadingAt.Sub(l.orderedAt)-reportLag, 0)
}

// loadLimit adapts the number of concurrent loads. Replicas share the source of the weights, so
// loads slow down beyond an unknown number. Loads are evaluated in rounds as large as the limit, so
// that a single slow replica has no effect. The limit starts low to measure the shortest load and
// doubles after each round that was not slow. A slow round reduces it in proportion. After the
// ramp, it rises by one after every roundsPerIncrease rounds that were not slow.
type loadLimit struct {
	limit        int
	shortestLoad time.Duration
	// normal and slow count the loads of the current round. minSlowdown is the smallest slowdown
	// among the slow ones.
	normal, slow int
	minSlowdown  float64
	// stableRounds is the number of rounds since the limit last changed.
	stableRounds int
	ramping      bool
}

// maxConcurrent returns how many of n replicas may load concurrently.
func (l *loadLimit) maxConcurrent(n int) int {
	if l.limit == 0 {
		l.limit, l.ramping = max(minConcurrentLoads, int(initialLoadFraction*float64(n))), true
	}
	if l.normal+l.slow >= l.limit {
		l.endRound(n)
	}
	l.limit = max(minConcurrentLoads, min(l.limit, int(maxLoadFraction*float64(n))))
	return l.limit
}

// endRound adjusts the limit after a round of loads.
func (l *loadLimit) endRound(n int) {
	rampLimit := int(rampLoadFraction * float64(n))
	switch {
	case l.slow > l.normal:
		l.limit = min(l.limit-1, int(float64(l.limit)/l.minSlowdown))
		l.ramping, l.stableRounds = false, 0
	case l.ramping:
		l.limit = min(2*l.limit, rampLimit)
		l.ramping = l.limit < rampLimit
	default:
		l.stableRounds++
		if l.stableRounds >= roundsPerIncrease {
			l.limit, l.stableRounds = l.limit+1, 0
		}
	}
	l.normal, l.slow, l.minSlowdown = 0, 0, 0
}

// recordLoad records a load and the maximum number of loads that ran concurrently with it.
func (l *loadLimit) recordLoad(load observedLoad, concurrent int) {
	if took := load.doneAt.Sub(load.orderedAt); l.shortestLoad == 0 || took < l.shortestLoad {
		l.shortestLoad = took
	}
	if concurrent < l.limit {
		return
	}
	slowdown := float64(load.minDuration()) / float64(l.shortestLoad)
	if slowdown <= slowLoadFactor {
		l.normal++
		return
	}
	l.slow++
	if l.minSlowdown == 0 || slowdown < l.minSlowdown {
		l.minSlowdown = slowdown
	}
}
