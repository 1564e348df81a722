package coldstart

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Sender is who asks to send to a replica.
type Sender struct {
	// Items says that it is for an item of a batch job, not for a caller.
	Items bool
	// Share is how many nodes send items to the replica: each has its part of the bucket. 0 is for a
	// node that can't know, as it is out of touch with the store.
	Share int
}

// countedFor is the span over which sends count against the bound on any second, with a margin as requests
// may arrive closer together than they are sent.
const countedFor = windowLength + 50*time.Millisecond

// allowance bounds what a node sends to a replica that it holds for warm, with no word of the replica. A
// token bucket bounds what comes in the long run, so that a node which takes jobs over finds room beside the
// former owner's last second; the count of the last second bounds bursts beyond that.
type allowance struct {
	bucket *rate.Limiter
	sent   []time.Time
}

// fit has the allowance go by one of several shares of a bound.
func (a *allowance) fit(now time.Time, bound Bound, share int) {
	burst, refill := bound.bucket(share)
	switch {
	case a.bucket == nil:
		a.bucket = rate.NewLimiter(refill, burst)
	case a.bucket.Limit() != refill || a.bucket.Burst() != burst:
		a.bucket.SetLimitAt(now, refill)
		a.bucket.SetBurstAt(now, burst)
	}
}

// allows reports whether one more may be sent of so many in any second.
func (a *allowance) allows(now time.Time, most int) bool {
	a.forget(now)
	return len(a.sent) < most && a.bucket.TokensAt(now) >= 1
}

// use notes that one is sent.
func (a *allowance) use(now time.Time) {
	a.forget(now)
	a.sent = append(a.sent, now)
	if a.bucket != nil {
		a.bucket.AllowN(now, 1)
	}
}

func (a *allowance) forget(now time.Time) {
	a.sent = slices.DeleteFunc(a.sent, func(at time.Time) bool { return now.Sub(at) > countedFor })
}

// Allows reports whether a replica's allowance has room for a request.
//
// It guards what nobody has heard yet: a replica may have turned cold since its last record, and a node
// that is cut off hears of nothing.
func (g *Gate) Allows(now time.Time, id, service string, bound Bound, sender Sender) bool {
	if g.replica(id, service, bound).allowance(now, sender).allows(now, bound.inAnySecond(sender.Share)) {
		return true
	}
	g.figures.Held++
	return false
}

// Sent notes that a request is sent to a replica. For a cold one it uses up a request of its window.
// A caller's request counts against the items' allowance as well, so that items make room for it.
func (g *Gate) Sent(now time.Time, id, service string, bound Bound, sender Sender, cold bool) {
	r := g.replica(id, service, bound)
	r.allowance(now, sender).use(now)
	if !sender.Items {
		r.items.use(now)
	}
	if cold {
		r.window.mine--
		g.figures.Sent++
	}
}

// allowance returns that of a sender, fitted to its share.
func (r *replica) allowance(now time.Time, sender Sender) *allowance {
	one := &r.callers
	if sender.Items {
		one = &r.items
	}
	one.fit(now, r.bound, sender.Share)
	return one
}
