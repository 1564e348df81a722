package recordlease

import "time"

const (
	// takeoverStep is the time from one node that would take something over to the next: in the third of a
	// second until all have heard of the first, some 13 more try. Within 250 ms 986 nodes would all try, at
	// a part of the store that takes 200 writes a second.
	takeoverStep = 25 * time.Millisecond
	// longestSpread bounds the wait of the few that are left when most are lost. From 160 nodes on more try
	// before they hear: 81 of 986, 163 of twice as many.
	longestSpread = 4 * time.Second
)

// SpreadOver returns the time over which nodes spread that would take over a lease or a job: at least so
// long, and longer the more nodes there are. nodes is nil, or returns 0, where that is not known.
func SpreadOver(least time.Duration, nodes func() int) time.Duration {
	if nodes == nil {
		return least
	}
	return max(least, min(time.Duration(nodes())*takeoverStep, longestSpread))
}
