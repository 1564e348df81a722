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
	// coldDuration is how long a replica is cold after its start.
	coldDuration = 2 * time.Second
	// coldRequestRate is the number of requests per second that a cold replica accepts, maxColdRequests the
	// maximum that nodes may send within a second with their settings. The rate exceeds the normal load of a
	// replica, because the nodes' token buckets apply it to warm replicas as well.
	coldRequestRate = 40.0
	maxColdRequests = 65
	// coldCountWindow is the window in which requests are counted. It is shorter than a second because
	// requests may arrive closer together than they were sent. Requests within linkSettleTime after a link
	// fault are not counted.
	coldCountWindow = 800 * time.Millisecond
	linkSettleTime  = 3 * time.Second
	// meanColdPause is the mean pause between two replicas becoming cold without a restart.
	meanColdPause = 4 * time.Second
)

// withColdLimits limits the request rate of cold replicas in a configuration.
func withColdLimits(content []byte) []byte {
	return platformtest.WithColdStart(content, coldRequestRate, coldDuration)
}

// coldDurationAtStart returns how long a new replica is cold. Initial replicas are warm because they start
// before there is load.
func (s *Soak) coldDurationAtStart() time.Duration {
	if len(s.nodes) == 0 {
		return 0
	}
	return coldDuration
}

// makeReplicasCold repeatedly makes a replica cold, or all replicas of a service.
func (s *Soak) makeReplicasCold(ctx context.Context) {
	random := s.newRand(700)
	for ctx.Err() == nil {
		sleepRandom(ctx, random, meanColdPause)
		victim, all := s.replicaAt(random.IntN(1<<20)), random.IntN(4) == 0
		if victim == nil {
			continue
		}
		s.mu.Lock()
		affected := []*replica{victim}
		if all {
			affected = slices.DeleteFunc(slices.Clone(s.replicas), func(r *replica) bool { return r.Service != victim.Service })
		}
		s.mu.Unlock()
		for _, r := range affected {
			s.checker.Increment("replicas turned cold")
			r.MakeCold(coldDuration)
		}
	}
}

// coldReplica counts the requests that a replica receives while it is cold.
type coldReplica struct {
	id       string
	link     *Proxy
	replica  atomic.Pointer[platformtest.Replica]
	mu       sync.Mutex
	arrivals []time.Time
}

// recordArrival records a request and returns the number of requests within coldCountWindow.
func (r *coldReplica) recordArrival(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if started := r.replica.Load(); started == nil || !started.IsCold() || !r.link.Steady(linkSettleTime) {
		r.arrivals = nil
		return 0
	}
	r.arrivals = slices.DeleteFunc(append(r.arrivals, now), func(at time.Time) bool { return now.Sub(at) > coldCountWindow })
	return len(r.arrivals)
}

// RecordColdArrival checks the rate of requests that reach a cold replica, whether or not they run.
func (c *Checker) RecordColdArrival(r *coldReplica) {
	count := r.recordArrival(time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if count > 0 {
		c.counts["requests at cold replicas"]++
		c.counts["most requests at a cold replica"] = max(c.counts["most requests at a cold replica"], count)
	}
	if count > maxColdRequests {
		c.addViolation("replica %s received %d requests within %s while it was cold", r.id, count, coldCountWindow)
	}
}
