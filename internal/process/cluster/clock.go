package cluster

import "time"

// storeClock bounds the store's steady clock. An answer names the clock's reading at
// some moment between the sending of its call and its coming, so each answer bounds the
// difference to this node's clock from both sides.
type storeClock struct {
	base  time.Time
	known bool
	// least and most bound the store's reading at base.
	least, most time.Duration
}

func (c *storeClock) note(now, sentAt time.Time, reading time.Duration) {
	least, most := reading-now.Sub(c.base), reading-sentAt.Sub(c.base)
	if !c.known {
		c.known, c.least, c.most = true, least, most
		return
	}
	c.least = max(c.least, least)
	c.most = min(c.most, most)
}

// bounds returns the least and the most that the store's clock may show now; known is
// false before the first answer.
func (c *storeClock) bounds(now time.Time) (least, most time.Duration, known bool) {
	since := now.Sub(c.base)
	return c.least + since, c.most + since, c.known
}

// knownWell is how far apart the bounds may be for their middle to stand for the clock: half of
// it is the error. The platform's stores answer in 4 ms; one that is slow takes hundreds.
const knownWell = 100 * time.Millisecond

// reading returns the clock's reading at a time, false while it is not known well.
func (c *storeClock) reading(at time.Time) (time.Duration, bool) {
	least, most, known := c.bounds(at)
	return (least + most) / 2, known && most-least <= knownWell
}
