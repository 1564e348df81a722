package coldstart

import (
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

// Allows reports whether a replica's token bucket has a token for a request.
//
// It guards what nobody has heard yet: a replica may have turned cold since its last record, and a node
// that is cut off hears of nothing.
func (g *Gate) Allows(now time.Time, id, service string, bound Bound, sender Sender) bool {
	if g.replica(id, service, bound).bucket(now, sender).TokensAt(now) >= 1 {
		return true
	}
	g.figures.Held++
	return false
}

// Sent notes that a request is sent to a replica. For a cold one it uses up a request of its window.
// A caller's request takes a token of the items' bucket as well, if there is one, so that items make
// room for it.
func (g *Gate) Sent(now time.Time, id, service string, bound Bound, sender Sender, cold bool) {
	r := g.replica(id, service, bound)
	r.bucket(now, sender).AllowN(now, 1)
	if !sender.Items && r.items != nil {
		r.items.AllowN(now, 1)
	}
	if cold {
		r.window.mine--
		g.figures.Sent++
	}
}

// bucket returns the bucket for a sender, fitted to its share.
func (r *replica) bucket(now time.Time, sender Sender) *rate.Limiter {
	burst, refill := r.bound.bucket(sender.Share)
	bucket := &r.callers
	if sender.Items {
		bucket = &r.items
	}
	switch {
	case *bucket == nil:
		*bucket = rate.NewLimiter(refill, burst)
	case (*bucket).Limit() != refill || (*bucket).Burst() != burst:
		(*bucket).SetLimitAt(now, refill)
		(*bucket).SetBurstAt(now, burst)
	}
	return *bucket
}
