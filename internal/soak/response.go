package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
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
	// breaking makes all other model replicas break off their streams, so that the replica has to resume some.
	breaking bool
}{
	{name: "malformed events", set: func(r *platformtest.Replica, faulty bool) { r.MalformedEvents.Store(faulty) }},
	// Complete events behind the last one could not be told from those of the text.
	{name: "comments without end", set: endless(platformtest.EndlessComments)},
	{name: "an event without end", set: endless(platformtest.EndlessEvent)},
	{name: "resumed with status 200", set: resumeStatus(http.StatusOK), breaking: true},
	{name: "resumed with status 500", set: resumeStatus(http.StatusInternalServerError), breaking: true},
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

// resumeStatus returns a function that sets or clears the status of a replica's answers to resumed streams.
func resumeStatus(status int32) func(r *platformtest.Replica, faulty bool) {
	return func(r *platformtest.Replica, faulty bool) {
		if faulty {
			r.ResumeStatus.Store(status)
			return
		}
		r.ResumeStatus.Store(0)
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
		if fault.breaking {
			s.breakOtherStreams(r, true)
		}
		sleep(ctx, duration)
		fault.set(r.Replica, false)
		if fault.breaking {
			s.breakOtherStreams(r, false)
		}
	}
}

// breakOtherStreams makes all model replicas but one break off their streams, or stops that.
func (s *Soak) breakOtherStreams(except *replica, broken bool) {
	for _, r := range s.modelReplicas() {
		if r != except {
			r.BreakStreams.Store(broken)
		}
	}
}

// modelReplicas returns the replicas that serve a model.
func (s *Soak) modelReplicas() []*replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*replica
	for _, r := range s.replicas {
		if r.Model != "" {
			list = append(list, r)
		}
	}
	return list
}

// modelReplica returns a random replica that serves a model, nil if there is none.
func (s *Soak) modelReplica(random *rand.Rand) *replica {
	number, list := random.IntN(1<<20), s.modelReplicas()
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
