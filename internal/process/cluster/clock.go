package cluster

import "time"

// storeClock estimates the store's monotonic clock. A response carries a reading taken between the sending
// of the call and the arrival of the response, which bounds the offset to the node's clock on both sides.
type storeClock struct {
	base  time.Time
	known bool
	// lower and upper bound the store's reading at base.
	lower, upper time.Duration
}

func (c *storeClock) observe(now, sentAt time.Time, reading time.Duration) {
	lower, upper := reading-now.Sub(c.base), reading-sentAt.Sub(c.base)
	if !c.known {
		c.known, c.lower, c.upper = true, lower, upper
		return
	}
	c.lower = max(c.lower, lower)
	c.upper = min(c.upper, upper)
}

// bounds returns the lower and upper bound of the store's clock at now; known is false before the
// first response.
func (c *storeClock) bounds(now time.Time) (lower, upper time.Duration, known bool) {
	since := now.Sub(c.base)
	return c.lower + since, c.upper + since, c.known
}

// maxClockUncertainty is the maximum distance between the bounds at which their midpoint is used as the
// clock. The error is at most half of it.
const maxClockUncertainty = 100 * time.Millisecond

// estimate returns the midpoint of the bounds at a time, false while they are too far apart.
func (c *storeClock) estimate(at time.Time) (time.Duration, bool) {
	lower, upper, known := c.bounds(at)
	return (lower + upper) / 2, known && upper-lower <= maxClockUncertainty
}
