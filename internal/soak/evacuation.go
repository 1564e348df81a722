package soak

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// zones are the zones to which nodes and replicas are assigned.
var zones = []string{"zone-a", "zone-b"}

const (
	// maxEvacuationDelay is the maximum time until undisturbed nodes stop sending to the replicas of an
	// evacuated zone.
	maxEvacuationDelay = maxDrainDelay + drainSlack
	// meanEvacuationPause is the mean pause between evacuations of a zone, maxEvacuationDuration bounds their
	// random duration.
	meanEvacuationPause   = 6 * time.Second
	maxEvacuationDuration = 6 * time.Second
	// finalEvacuationDuration is the duration of the evacuation after the last fault.
	finalEvacuationDuration = maxEvacuationDelay + 3*time.Second
)

// linkFaultCounter counts faults of replica links. A disrupted link may deliver requests late, so evacuations
// during such a fault are not checked.
type linkFaultCounter struct{ started, active atomic.Int32 }

func (c *linkFaultCounter) during(do func()) {
	c.started.Add(1)
	c.active.Add(1)
	defer c.active.Add(-1)
	do()
}

// zoneFor returns the zone with the fewest replicas of a service.
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

// startEvacuations repeatedly evacuates each zone until fault injection ends. The returned function waits for
// the last evacuation to end and returns their number.
func (s *Soak) startEvacuations(ctx context.Context) (wait func() int) {
	var series sync.WaitGroup
	var count atomic.Int32
	for i, zone := range zones {
		random := s.newRand(uint64(700 + i))
		series.Go(func() {
			for {
				sleepRandom(ctx, random, meanEvacuationPause)
				if time.Since(s.startedAt) >= s.Duration || ctx.Err() != nil {
					return
				}
				count.Add(1)
				s.evacuate(zone, randomDuration(random, maxEvacuationDuration))
			}
		})
	}
	return func() int {
		series.Wait()
		return int(count.Load())
	}
}

// evacuate evacuates a zone for a while and checks that its replicas receive no requests after
// maxEvacuationDelay, provided that no fault affected the nodes or the links to replicas.
func (s *Soak) evacuate(zone string, duration time.Duration) {
	undisturbed := s.undisturbedFor() > minUndisturbed && s.linkFaults.active.Load() == 0
	faultsBefore := s.linkFaults.started.Load()
	s.Logf("%6.2f s  evacuation of %s for %s", time.Since(s.startedAt).Seconds(), zone, duration)
	s.store.Evacuate(zone)
	defer s.store.LiftEvacuation(zone)
	if duration <= maxEvacuationDelay {
		time.Sleep(duration)
		return
	}
	time.Sleep(maxEvacuationDelay)
	before := s.requestsByReplica(zone)
	time.Sleep(duration - maxEvacuationDelay)
	late := int64(0)
	for id, received := range s.requestsByReplica(zone) {
		late += received - before[id]
	}
	if !undisturbed || s.undisturbedFor() < minUndisturbed+duration || s.linkFaults.started.Load() != faultsBefore {
		return
	}
	s.checker.Increment("evacuations held against their bound")
	if late > 0 {
		s.checker.AddViolation("replicas in %s received %d requests more than %s after the evacuation", zone, late, maxEvacuationDelay)
	}
}

// requestsByReplica returns the number of requests received by each replica of a zone.
func (s *Soak) requestsByReplica(zone string) map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	received := map[string]int64{}
	for _, r := range s.replicas {
		if r.Zone == zone {
			received[r.ID] = r.TotalRuns()
		}
	}
	return received
}

// evacuateUndisturbed evacuates a zone when no faults are active. The pauses between faults are too short to
// check most evacuations.
func (s *Soak) evacuateUndisturbed() {
	time.Sleep(max(minUndisturbed+time.Second-s.undisturbedFor(), 0))
	s.evacuate(zones[len(zones)-1], finalEvacuationDuration)
}
