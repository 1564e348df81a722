package coldstart

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Sender describes the origin of a request to a replica.
type Sender struct {
	// Items is set for items of batch jobs and unset for callers' requests.
	Items bool
	// Nodes is the number of nodes that send items to the replica and share its token bucket. 0 means
	// that this node is isolated from the store and cannot know the number.
	Nodes int
}

// sendWindow is the window of the limit on requests per second. The margin allows for requests that arrive
// closer together than they were sent.
const sendWindow = windowLength + 50*time.Millisecond

// sendLimiter limits a node's requests to a replica that it believes to be warm. A token bucket limits the
// average rate, so that a node that takes over jobs fits in beside their former owner. A count of the last
// second limits bursts.
type sendLimiter struct {
	bucket *rate.Limiter
	sent   []time.Time
}

// configure sets the token bucket for a number of nodes that share the limit.
func (l *sendLimiter) configure(now time.Time, limit Limit, nodes int) {
	burst, refill := limit.bucket(nodes)
	switch {
	case l.bucket == nil:
		l.bucket = rate.NewLimiter(refill, burst)
	case l.bucket.Limit() != refill || l.bucket.Burst() != burst:
		l.bucket.SetLimitAt(now, refill)
		l.bucket.SetBurstAt(now, burst)
	}
}

// allows reports whether a request may be sent without exceeding most requests in any second.
func (l *sendLimiter) allows(now time.Time, most int) bool {
	l.prune(now)
	return len(l.sent) < most && l.bucket.TokensAt(now) >= 1
}

// record accounts for a sent request.
func (l *sendLimiter) record(now time.Time) {
	l.prune(now)
	l.sent = append(l.sent, now)
	if l.bucket != nil {
		l.bucket.AllowN(now, 1)
	}
}

func (l *sendLimiter) prune(now time.Time) {
	l.sent = slices.DeleteFunc(l.sent, func(at time.Time) bool { return now.Sub(at) > sendWindow })
}

// Allows reports whether the replica's rate limit allows a request. It protects replicas that have turned cold
// without this node's knowledge.
func (g *Gate) Allows(now time.Time, id, service string, limit Limit, sender Sender) bool {
	if g.replica(id, service, limit).limiter(now, sender).allows(now, limit.nodeMaxPerSecond(sender.Nodes)) {
		return true
	}
	g.stats.Throttled++
	return false
}

// RecordSend accounts for a request sent to a replica. A request to a cold replica uses up a grant of its window.
// Callers' requests also count against the limit of items, so that items make room for them.
func (g *Gate) RecordSend(now time.Time, id, service string, limit Limit, sender Sender, cold bool) {
	r := g.replica(id, service, limit)
	r.limiter(now, sender).record(now)
	if !sender.Items {
		r.items.record(now)
	}
	if cold {
		r.window.granted--
		g.stats.Sent++
	}
}

// limiter returns the sender's limiter, configured for its number of nodes.
func (r *replica) limiter(now time.Time, sender Sender) *sendLimiter {
	one := &r.callers
	if sender.Items {
		one = &r.items
	}
	one.configure(now, r.limit, sender.Nodes)
	return one
}
