package soak

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/doorstep/doorstep/platform/platformtest"
)

const (
	// coldLasts is how long a replica is cold after its start, coldPerSecond what it bears meanwhile;
	// with the settings of the nodes it may get coldMost requests in any second.
	coldLasts = 2 * time.Second
	// It is some more than the items that each replica gets, as token buckets hold warm ones to it.
	coldPerSecond = 40.0
	coldMost      = 65
	// coldSpan is over what time requests are counted: arrivals lie closer together than the sends do
	// on a busy machine, and links that were harmed are passed over for linkSettles.
	coldSpan    = 800 * time.Millisecond
	linkSettles = 3 * time.Second
	// coldPause is the mean pause between two replicas that turn cold without a restart.
	coldPause = 4 * time.Second
)

// coldServices has cold replicas of all services bear little.
func coldServices(content []byte) []byte {
	return platformtest.WithColdStart(content, coldPerSecond, coldLasts)
}

// coldFor returns how long a replica is cold that starts now: the first ones start before there is
// traffic.
func (s *Soak) coldFor() time.Duration {
	if len(s.nodes) == 0 {
		return 0
	}
	return coldLasts
}

// turnCold makes a replica cold now and then, or all of a service.
func (s *Soak) turnCold(ctx context.Context) {
	random := s.random(700)
	for ctx.Err() == nil {
		pause(ctx, random, coldPause)
		victim, all := s.replicaAt(random.IntN(1<<20)), random.IntN(4) == 0
		if victim == nil {
			continue
		}
		s.mu.Lock()
		turning := []*replica{victim}
		if all {
			turning = slices.DeleteFunc(slices.Clone(s.replicas), func(r *replica) bool { return r.Service != victim.Service })
		}
		s.mu.Unlock()
		for _, r := range turning {
			s.check.Count("replicas turned cold")
			r.MakeCold(coldLasts)
		}
	}
}

// coldReplica counts what a replica gets while it is cold.
type coldReplica struct {
	id       string
	link     *Proxy
	of       atomic.Pointer[platformtest.Replica]
	mu       sync.Mutex
	arrivals []time.Time
}

// arrived notes a request, and returns how many came within coldSpan.
func (r *coldReplica) arrived(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if of := r.of.Load(); of == nil || !of.IsCold() || !r.link.Steady(linkSettles) {
		r.arrivals = nil
		return 0
	}
	r.arrivals = slices.DeleteFunc(append(r.arrivals, now), func(at time.Time) bool { return now.Sub(at) > coldSpan })
	return len(r.arrivals)
}

// coldArrived checks a request that reaches a replica, whether it runs or not.
func (c *Checker) coldArrived(r *coldReplica) {
	count := r.arrived(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if count > 0 {
		c.counts["requests at cold replicas"]++
		c.counts["most requests at a cold replica"] = max(c.counts["most requests at a cold replica"], count)
	}
	if count > coldMost {
		c.violate("replica %s got %d requests within %s while it was cold", r.id, count, coldSpan)
	}
}
