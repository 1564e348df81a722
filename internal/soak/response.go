package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/doorstep/doorstep/platform/platformtest"
)

const (
	// meanResponseFaultPause is the mean pause between two faults of model replicas' responses, and
	// maxResponseFault how long one lasts at most.
	meanResponseFaultPause = 2 * time.Second
	maxResponseFault       = 1500 * time.Millisecond
	// responseFaultStream is the random stream of these faults, so that they do not change the schedule of others.
	responseFaultStream = 900
)

// responseFaults are the faults of a model replica's responses.
var responseFaults = []struct {
	name string
	set  func(r *platformtest.Replica, faulty bool)
}{
	{"malformed events", func(r *platformtest.Replica, faulty bool) { r.MalformedEvents.Store(faulty) }},
	// Complete events behind the last one could not be told from those of the text.
	{"comments without end", endless(platformtest.EndlessComments)},
	{"an event without end", endless(platformtest.EndlessEvent)},
}

// endless returns a function that starts and ends answers without end of a kind.
func endless(kind int32) func(r *platformtest.Replica, faulty bool) {
	return func(r *platformtest.Replica, faulty bool) {
		if faulty {
			r.Endless.Store(kind)
			return
		}
		r.Endless.Store(platformtest.NotEndless)
	}
}

// injectResponseFaults makes model replicas send faulty responses, one replica at a time.
func (s *Soak) injectResponseFaults(ctx context.Context) {
	random := s.newRand(responseFaultStream)
	for time.Since(s.startedAt) < s.Duration && ctx.Err() == nil {
		sleepRandom(ctx, random, meanResponseFaultPause)
		fault, duration := responseFaults[random.IntN(len(responseFaults))], randomDuration(random, maxResponseFault)
		r := s.modelReplica(random)
		if r == nil {
			continue
		}
		s.checker.Increment("response fault: " + fault.name)
		s.Logf("%6.2f s  response fault of %s: %s for %s", time.Since(s.startedAt).Seconds(), r.ID, fault.name, duration)
		fault.set(r.Replica, true)
		sleep(ctx, duration)
		fault.set(r.Replica, false)
	}
}

// modelReplica returns a random replica that serves a model, nil if there is none.
func (s *Soak) modelReplica(random *rand.Rand) *replica {
	number := random.IntN(1 << 20)
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*replica
	for _, r := range s.replicas {
		if r.Model != "" {
			list = append(list, r)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[number%len(list)]
}

// sleep sleeps for a duration, or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
