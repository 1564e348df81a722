package soak

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// zones are those of nodes and replicas, in turn.
var zones = []string{"zone-a", "zone-b"}

const (
	// evacuateWithin is how soon nodes in touch send nothing more to the replicas of an evacuated
	// zone.
	evacuateWithin = drainWithin + drainSlack
	// evacuationPause is the mean pause between two evacuations of a zone, evacuatedMost bounds one.
	evacuationPause = 6 * time.Second
	evacuatedMost   = 6 * time.Second
	// evacuatedInCalm is for how long a zone is evacuated in the calm at the end.
	evacuatedInCalm = evacuateWithin + 3*time.Second
)

// linkHarm tells when replicas' links were harmed: what is held there reaches its replica late,
// whoever sent it when.
type linkHarm struct{ begun, open atomic.Int32 }

func (h *linkHarm) harm(do func()) {
	h.begun.Add(1)
	h.open.Add(1)
	defer h.open.Add(-1)
	do()
}

// zoneFor returns the zone that has the fewest replicas of a service.
func (s *Soak) zoneFor(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for _, r := range s.replicas {
		if r.Service == service {
			counts[r.Zone]++
		}
	}
	fewest := zones[0]
	for _, zone := range zones {
		if counts[zone] < counts[fewest] {
			fewest = zone
		}
	}
	return fewest
}

// startEvacuations evacuates each zone again and again, beside all other faults, until these end.
// It returns what waits for the last lifting and tells how many there were.
func (s *Soak) startEvacuations(ctx context.Context) (wait func() int) {
	var series sync.WaitGroup
	var count atomic.Int32
	for i, zone := range zones {
		random := s.random(uint64(700 + i))
		series.Go(func() {
			for {
				pause(ctx, random, evacuationPause)
				if time.Since(s.started) >= s.For || ctx.Err() != nil {
					return
				}
				count.Add(1)
				s.evacuate(zone, upTo(random, evacuatedMost))
			}
		})
	}
	return func() int {
		series.Wait()
		return int(count.Load())
	}
}

// evacuate takes a zone out of use for a while, and holds what its replicas run later than the bound
// against it if nothing disturbed the nodes.
func (s *Soak) evacuate(zone string, lasts time.Duration) {
	calm := s.calmFor() > inTouch && s.links.open.Load() == 0
	harmed := s.links.begun.Load()
	s.Say("%6.2f s  evacuation of %s for %s", time.Since(s.started).Seconds(), zone, lasts)
	s.store.Evacuate(zone)
	defer s.store.LiftEvacuation(zone)
	if lasts <= evacuateWithin {
		time.Sleep(lasts)
		return
	}
	time.Sleep(evacuateWithin)
	before := s.takenIn(zone)
	time.Sleep(lasts - evacuateWithin)
	late := int64(0)
	for id, taken := range s.takenIn(zone) {
		late += taken - before[id]
	}
	if !calm || s.calmFor() < inTouch+lasts || s.links.begun.Load() != harmed {
		return
	}
	s.check.Count("evacuations held against their bound")
	if late > 0 {
		s.check.Violate("replicas of %s got %d requests later than %s after its evacuation", zone, late, evacuateWithin)
	}
}

// takenIn returns how many requests each replica of a zone took, by its id.
func (s *Soak) takenIn(zone string) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := map[string]int64{}
	for _, r := range s.replicas {
		if r.Zone == zone {
			taken[r.ID] = r.TotalRuns()
		}
	}
	return taken
}

// evacuateInCalm evacuates a zone once nothing has disturbed the nodes for a while: between faults
// the calm is too short to hold most evacuations against their bound.
func (s *Soak) evacuateInCalm() {
	time.Sleep(max(inTouch+time.Second-s.calmFor(), 0))
	s.evacuate(zones[len(zones)-1], evacuatedInCalm)
}
