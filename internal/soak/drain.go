package soak

import (
	"slices"
	"sync"
	"time"
)

const (
	// drainWithin is how soon nodes in touch send nothing more to a leaving replica.
	drainWithin = 2 * time.Second
	drainSlack  = 500 * time.Millisecond
	// lingerFor is how long a drained replica goes on serving.
	lingerFor = 4 * time.Second
)

// replace takes a replica away, with a word before or without, and starts another.
func (s *Soak) replace(r *replica, drained bool) {
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
		s.check.Violate("no replica can be started: %s", err)
	}
	if drained {
		s.drain(r)
	} else {
		r.link.SetMode(LinkSilent)
		time.Sleep(lingerFor)
	}
	r.Stop()
	r.link.Close()
	s.store.Remove("servers", r.ID)
}

// drain announces that a replica leaves, and holds what it runs afterwards against the
// bound if nothing disturbed the nodes.
func (s *Soak) drain(r *replica) {
	calm := s.calmFor() > inTouch
	r.Drain()
	time.Sleep(drainWithin + drainSlack)
	before := r.TotalRuns()
	time.Sleep(lingerFor)
	if late := r.TotalRuns() - before; late > 0 && calm && s.calmFor() > inTouch+drainWithin+drainSlack+lingerFor {
		s.check.Violate("replica %s got %d requests later than %s after it said that it leaves", r.ID, late, drainWithin+drainSlack)
	}
}

// drainEach drains a replica of each service once nothing has disturbed the nodes for a
// while: between faults the calm is too short to hold a drain against its bound.
func (s *Soak) drainEach() {
	time.Sleep(max(inTouch+time.Second-s.calmFor(), 0))
	s.mu.Lock()
	leaving := map[string]*replica{}
	for _, r := range s.replicas {
		leaving[r.Service] = r
	}
	s.mu.Unlock()
	var drains sync.WaitGroup
	for _, r := range leaving {
		drains.Go(func() { s.replace(r, true) })
	}
	drains.Wait()
}
