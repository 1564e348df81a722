package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/doorstep/doorstep/platform/platformtest"
)

const (
	// burstRounds is the number of times that all replicas of the model crash in a burst, burstInterval the time
	// between two of them.
	burstRounds   = 4
	burstInterval = 400 * time.Millisecond
	// maxBurstRecovery is the time from the end of a burst of crashes to the results of all items: 5 s until each item
	// is at a replica again, and the time to generate and score its text.
	maxBurstRecovery = 8 * time.Second
	burstJob         = "burst.0"
)

// crashDuringJob crashes all replicas of the model repeatedly while a job runs, without any other fault, and checks
// that the job completes soon after.
func (s *Soak) crashDuringJob(ctx context.Context) {
	random := s.newRand(800)
	job := platformtest.Job{ID: burstJob, Items: jobItems, GroupSize: groupItems, MinVersion: 1, Scored: true}
	if !s.submitJob(ctx, random, job) {
		s.checker.AddViolation("job %s was not accepted without faults", job.ID)
		return
	}
	for range burstRounds {
		s.crashModelReplicas()
		time.Sleep(burstInterval)
	}
	s.checker.Increment("bursts of crashes")
	s.awaitResults(ctx, job, time.Now().Add(maxBurstRecovery))
}

// crashModelReplicas crashes all replicas of the model at once and starts new ones.
func (s *Soak) crashModelReplicas() {
	s.mu.Lock()
	var crashing, remaining []*replica
	for _, r := range s.replicas {
		if r.Model == "" {
			remaining = append(remaining, r)
		} else {
			crashing = append(crashing, r)
		}
	}
	s.replicas = remaining
	s.mu.Unlock()
	var starts sync.WaitGroup
	for _, r := range crashing {
		// The listener is closed first, so that the nodes find that nothing listens any more.
		r.Stop()
		r.link.Close()
		time.AfterFunc(recordExpiry, func() { s.store.Remove("servers", r.ID) })
		starts.Go(func() {
			if err := s.addReplica(r.Service, r.Model); err != nil {
				s.checker.AddViolation("starting a replica: %s", err)
			}
		})
	}
	starts.Wait()
}

// awaitResults reads a job's results until all are there, and records a violation if some are missing at the deadline.
func (s *Soak) awaitResults(ctx context.Context, job platformtest.Job, deadline time.Time) {
	random := s.newRand(801)
	from := 0
	for ctx.Err() == nil && time.Now().Before(deadline) {
		response := s.send(ctx, s.randomNode(random), http.MethodGet, platformtest.ResultsPath(job.ID, from), "", nil)
		if page, ok := platformtest.DecodeResults(response.Body); response.Err == nil && response.Status == http.StatusOK && ok {
			s.checker.RecordRead(job.ID, from, page)
			from += len(page.Results)
		}
		if from >= job.Items {
			s.endJob(ctx, random, job)
			return
		}
		sleepRandom(ctx, random, meanRequestPause)
	}
	s.checker.AddViolation("%d of %d items of job %s have no result %s after a burst of crashes", job.Items-from, job.Items, job.ID, maxBurstRecovery)
}
