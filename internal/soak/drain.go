package soak

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxDrainDelay is the maximum time until undisturbed nodes stop sending to a draining replica, drainSlack a
	// tolerance for the check.
	maxDrainDelay = 2 * time.Second
	drainSlack    = 500 * time.Millisecond
	// lingerDuration is how long a removed replica keeps running.
	lingerDuration = 4 * time.Second
)

// replaceReplica starts a new replica and removes the old one, either drained or without notice.
func (s *Soak) replaceReplica(r *replica, drained bool) {
	s.mu.Lock()
	at := slices.Index(s.replicas, r)
	if at >= 0 {
		s.replicas = slices.Delete(s.replicas, at, at+1)
	}
	s.mu.Unlock()
	if at < 0 {
		return
	}
	if err := s.addReplica(r.Service, r.Model); err != nil {
		s.checker.AddViolation("starting a replica: %s", err)
	}
	if drained {
		s.drain(r)
	} else {
		r.link.SetMode(LinkHoldBoth)
		time.Sleep(lingerDuration)
	}
	r.Stop()
	r.link.Close()
	s.store.Remove("servers", r.ID)
}

// drain drains a replica and checks that it receives no requests after maxDrainDelay, provided that no fault
// affected the nodes.
func (s *Soak) drain(r *replica) {
	undisturbed := s.undisturbedFor() > minUndisturbed
	r.Drain()
	time.Sleep(maxDrainDelay + drainSlack)
	before := r.TotalRuns()
	time.Sleep(lingerDuration)
	if late := r.TotalRuns() - before; late > 0 && undisturbed && s.undisturbedFor() > minUndisturbed+maxDrainDelay+drainSlack+lingerDuration {
		s.checker.AddViolation("replica %s received %d requests more than %s after it started draining", r.ID, late, maxDrainDelay+drainSlack)
	}
}

// drainOnePerService drains a replica of each service when no faults are active. The pauses between faults
// are too short to check the drain delay.
func (s *Soak) drainOnePerService() {
	time.Sleep(max(minUndisturbed+time.Second-s.undisturbedFor(), 0))
	s.mu.Lock()
	leaving := map[string]*replica{}
	for _, r := range s.replicas {
		leaving[r.Service] = r
	}
	s.mu.Unlock()
	var drains sync.WaitGroup
	for _, r := range leaving {
		drains.Go(func() { s.replaceReplica(r, true) })
	}
	drains.Wait()
}
