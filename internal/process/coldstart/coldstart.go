// Package coldstart limits the requests sent to cold replicas. For some seconds after its start a replica
// handles only a low request rate and fails well above it, whichever nodes send the requests. Nodes do not
// communicate directly and do not learn at once that a replica has turned cold.
//
// Two mechanisms keep the total of all nodes within the limit. A request to a replica known to be cold
// requires a grant from the replica's window, a record that nodes update with compare-and-swap. Replicas
// not yet known to be cold are protected by a limiter per replica, a token bucket and a count of the last
// second, that applies to all items of batch jobs at all times.
package coldstart

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// Limit is the request limit of a service's cold replicas.
type Limit struct {
	// PerSecond is the sustained request rate of a cold replica, MaxPerSecond the maximum number of requests in
	// any second.
	PerSecond, MaxPerSecond float64
	// Duration is how long a replica is cold after its start.
	Duration time.Duration
}

// NewLimit returns the limit of a service, which allows overshoot times its rate plus slack in any second.
func NewLimit(cold port.ColdStart, overshoot, slack float64) Limit {
	return Limit{PerSecond: cold.PerSecond, MaxPerSecond: cold.PerSecond*max(overshoot, 1) + slack, Duration: cold.Duration}
}

// WindowCapacity returns the number of requests that a window grants. Any second overlaps at most two windows, so each
// grants half of the limit.
func (l Limit) WindowCapacity() int { return int(l.MaxPerSecond / 2) }

// isolatedRate is the burst and the rate per second of a node that may not know the other senders. It is
// reserved from the other nodes' bucket.
const isolatedRate = 1

// bucket returns the burst and the rate of a single node's token bucket, given the number of sending nodes.
// 0 stands for an isolated node.
func (l Limit) bucket(nodes int) (burst int, refill rate.Limit) {
	if nodes == 0 {
		return isolatedRate, rate.Limit(min(l.PerSecond, isolatedRate))
	}
	whole := max(math.Floor(l.MaxPerSecond-l.PerSecond)-isolatedRate, 1)
	perSecond := min(l.PerSecond, max(l.MaxPerSecond-whole, 0))
	return max(int(whole)/nodes, 1), rate.Limit(perSecond / float64(nodes))
}

// nodeMaxPerSecond returns a single node's maximum number of requests in any second, given the number of
// sending nodes. 0 stands for an isolated node.
func (l Limit) nodeMaxPerSecond(nodes int) int {
	if nodes == 0 {
		return isolatedRate
	}
	return max((int(l.MaxPerSecond)-isolatedRate)/nodes, 1)
}

// Options configure a Gate.
type Options struct {
	Self        string
	Incarnation uint64
	Queue       *task.Queue
	// Clock returns the bounds of the store's monotonic clock; known is false before the store's first
	// response.
	Clock func(now time.Time) (least, most time.Duration, known bool)
}

// Gate decides whether one node may send requests to replicas that may be cold. It is used from the node's
// loop only.
type Gate struct {
	options  Options
	replicas map[string]*replica
	// claiming counts the pending claims.
	claiming  int
	stats     Stats
	collector collector
}

// replica is the state of one incarnation of a replica.
type replica struct {
	id, service string
	limit       Limit
	// items and callers limit the two kinds of requests.
	items, callers sendLimiter
	window         window
}

// New returns a gate with empty state.
func New(options Options) *Gate { return &Gate{options: options, replicas: map[string]*replica{}} }

func (g *Gate) replica(id, service string, limit Limit) *replica {
	r := g.replicas[id]
	if r == nil {
		r = &replica{id: id, service: service}
		g.replicas[id] = r
	}
	r.limit = limit
	return r
}

// Forget removes a replica that is gone. Its window stays in the store in case it returns under the same ID.
func (g *Gate) Forget(now time.Time, id string) {
	r := g.replicas[id]
	if r == nil {
		return
	}
	delete(g.replicas, id)
	if !r.window.claiming {
		r.failWaiting(now)
	}
}

// Stats are the gate's statistics.
type Stats struct {
	// Granted and Denied count claims by outcome, Sent the requests sent to cold replicas, and Throttled the
	// requests rejected by a replica's limiter.
	Granted, Denied, Sent, Throttled int
}

// Stats returns the gate's statistics.
func (g *Gate) Stats() Stats { return g.stats }
