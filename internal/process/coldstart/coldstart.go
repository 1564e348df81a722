// Package coldstart bounds what replicas that are cold get. For some seconds after a start a replica
// bears few requests a second and falls over at well above that, whichever nodes send them; and nodes
// know nothing of one another, nor at once that a replica turned cold.
//
// Two means hold the sum of all nodes below the bound. To a replica that is known to be cold, a request
// is sent only by a node that took it from the replica's window, a row of the record store that is
// changed under a condition. What nobody has heard yet is bounded by an allowance for each replica,
// a token bucket and a count of the last second, by which every node's items of batch jobs go at all times.
package coldstart

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// Bound is what a service's cold replicas bear.
type Bound struct {
	// PerSecond is the rate of requests that a cold replica bears, Most the bound on any second.
	PerSecond, Most float64
	// Lasts is how long a replica is cold after its start.
	Lasts time.Duration
}

// NewBound returns the bound of a service: in any second overshoot times its rate, and slack more.
func NewBound(cold port.ColdStart, overshoot, slack float64) Bound {
	return Bound{PerSecond: cold.PerSecond, Most: cold.PerSecond*max(overshoot, 1) + slack, Lasts: cold.Lasts}
}

// Worth returns how many requests a window holds. Any second meets two windows at the most, so each
// holds half of the bound.
func (b Bound) Worth() int { return int(b.Most / 2) }

// outOfTouch is the burst, and the rate in a second, of a node that may not know who else sends: it
// is taken off the bucket of the others.
const outOfTouch = 1

// bucket returns the burst and the rate of the token bucket of one of so many nodes, or with a share of
// 0 of one that does not know how many there are.
func (b Bound) bucket(share int) (burst int, refill rate.Limit) {
	if share == 0 {
		return outOfTouch, rate.Limit(min(b.PerSecond, outOfTouch))
	}
	whole := max(math.Floor(b.Most-b.PerSecond)-outOfTouch, 1)
	perSecond := min(b.PerSecond, max(b.Most-whole, 0))
	return max(int(whole)/share, 1), rate.Limit(perSecond / float64(share))
}

// inAnySecond returns how many requests one of so many nodes may send in any second.
func (b Bound) inAnySecond(share int) int {
	if share == 0 {
		return outOfTouch
	}
	return max((int(b.Most)-outOfTouch)/share, 1)
}

// Options configure a Gate.
type Options struct {
	Self        string
	Incarnation uint64
	Queue       *task.Queue
	// Clock returns the least and the most that the store's steady clock may show; known is
	// false before the store's first answer.
	Clock func(now time.Time) (least, most time.Duration, known bool)
}

// Gate is what one node may send to the replicas of services whose cold replicas bear little; it
// belongs to the node's loop.
type Gate struct {
	options  Options
	replicas map[string]*replica
	// claiming counts the claims under way.
	claiming int
	figures  Figures
	collect  collection
}

// replica is what the gate knows of one incarnation of a replica.
type replica struct {
	id, service string
	bound       Bound
	// items and callers are the allowances of the two kinds of requests.
	items, callers allowance
	window         window
}

// New returns a gate that knows of no replica.
func New(options Options) *Gate { return &Gate{options: options, replicas: map[string]*replica{}} }

func (g *Gate) replica(id, service string, bound Bound) *replica {
	r := g.replicas[id]
	if r == nil {
		r = &replica{id: id, service: service}
		g.replicas[id] = r
	}
	r.bound = bound
	return r
}

// Forget drops a replica that is gone. One that comes back under its ID finds its window in the store.
func (g *Gate) Forget(now time.Time, id string) {
	r := g.replicas[id]
	if r == nil {
		return
	}
	delete(g.replicas, id)
	if !r.window.claiming {
		r.fail(now)
	}
}

// Figures count what the gate did.
type Figures struct {
	// Granted and Denied count the claims of requests to cold replicas, by outcome; Sent the requests
	// that were sent to cold ones; Held how often a replica's bucket was found empty.
	Granted, Denied, Sent, Held int
}

// Figures returns the gate's figures.
func (g *Gate) Figures() Figures { return g.figures }
