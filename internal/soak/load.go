package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/doorstep/doorstep/platform/platformtest"
)

const (
	// meanRequestPause is the mean pause between requests of a client, meanJobPause the one between jobs of a
	// trainer.
	meanRequestPause = 60 * time.Millisecond
	meanJobPause     = 1200 * time.Millisecond
	callers          = 4
	// persistentCallers is the number of clients that keep a connection to each node open.
	persistentCallers = 3
	trainers          = 2
	jobItems          = 24
	groupItems        = 4
	// requestTimeout is the deadline of a request. jobTimeout limits the attempts to submit or end a job.
	requestTimeout = 2 * time.Second
	jobTimeout     = 8 * time.Second
	// One in endOneIn jobs is ended before it is complete.
	endOneIn = 5
	// One in unscoredOneIn jobs has no scoring calls.
	unscoredOneIn = 4
	// One in newestOneIn jobs requires the latest version.
	newestOneIn = 3
	// maxConfigDelay is the maximum delay until an undisturbed node applies a configuration. A node counts as
	// undisturbed after minUndisturbed without faults.
	maxConfigDelay = 2 * time.Second
	minUndisturbed = 3 * time.Second
)

// startLoad starts the clients, trainers, the operator and the configuration probes.
func (s *Soak) startLoad(ctx context.Context, load *sync.WaitGroup) {
	for i := range callers {
		load.Go(func() { s.caller(ctx, i) })
	}
	for i := range persistentCallers {
		load.Go(func() { s.persistentCaller(ctx, i) })
	}
	load.Go(func() { s.poisonCaller(ctx) })
	for i := range trainers {
		load.Go(func() { s.trainer(ctx, i) })
	}
	for _, n := range s.nodes {
		load.Go(func() { s.probeConfiguration(ctx, n) })
	}
	load.Go(func() { s.operator(ctx) })
	load.Go(func() { s.makeReplicasCold(ctx) })
	load.Go(func() { s.injectResponseFaults(ctx) })
}

// sleepRandom sleeps for 0.5 to 1.5 times the mean, or until the context ends.
func sleepRandom(ctx context.Context, random *rand.Rand, mean time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(mean/2 + time.Duration(random.Int64N(int64(mean)))):
	}
}

func (s *Soak) randomNode(random *rand.Rand) *node { return s.nodes[random.IntN(len(s.nodes))] }

// caller sends idempotent, non-idempotent and streaming requests.
func (s *Soak) caller(ctx context.Context, number int) {
	random := s.newRand(uint64(100 + number))
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%d.%d", number, i)
		n := s.randomNode(random)
		switch random.IntN(4) {
		case 0:
			s.checker.MarkNonIdempotent(id)
			s.sendPlain(ctx, n, restrictedPath, id)
		case 1:
			response := s.send(ctx, n, http.MethodPost, "/stream/x", id, nil)
			if response.Err == nil && response.Status == http.StatusOK {
				s.checker.RecordStream(id, response)
			}
		default:
			s.sendPlain(ctx, n, "/plain/x", id)
		}
		sleepRandom(ctx, random, meanRequestPause)
	}
}

func (s *Soak) send(ctx context.Context, n *node, method, path, id string, body []byte) platformtest.Response {
	return s.sendWith(ctx, platformtest.Client{}, n, method, path, id, body)
}

func (s *Soak) sendWith(ctx context.Context, client platformtest.Client, n *node, method, path, id string, body []byte) platformtest.Response {
	return client.Send(ctx, platformtest.Call{Address: n.address, Method: method, Path: path, ID: id, Key: permanentKey, Body: body, Deadline: requestTimeout})
}

// sendPlain sends a request and checks that the response belongs to it.
func (s *Soak) sendPlain(ctx context.Context, n *node, path, id string) {
	s.sendPlainWith(ctx, platformtest.Client{}, n, path, id)
}

// sendPlainWith is sendPlain with a given client. A connection that is closed before the response is a
// violation if the node was shutting down gracefully and was not affected by faults.
func (s *Soak) sendPlainWith(ctx context.Context, client platformtest.Client, n *node, path, id string) {
	if path == restrictedPath {
		s.restricted.add(id)
	}
	undisturbed := s.undisturbedFor() > minUndisturbed
	body := "body of " + id
	response := s.sendWith(ctx, client, n, http.MethodPost, path, id, []byte(body))
	if ctx.Err() != nil {
		return
	}
	s.checker.RecordResponse(id, fmt.Sprintf("POST %s %s", path, body), response)
	s.checkInterruption(n, id, response, undisturbed)
}

// checkInterruption checks that a graceful shutdown did not close the connection of a request that was running.
// undisturbed reports whether no fault affected the node when the request was sent.
func (s *Soak) checkInterruption(n *node, id string, response platformtest.Response, undisturbed bool) {
	if response.Err != nil && undisturbed && s.undisturbedFor() > minUndisturbed && n.stopping.Load() && s.checker.HasRun(id) {
		s.checker.AddViolation("request %s was interrupted by the graceful shutdown of %s: %s", id, n.name, response.Err)
	}
}

// trainer submits jobs, reads their results from all nodes, and ends some early.
func (s *Soak) trainer(ctx context.Context, number int) {
	random := s.newRand(uint64(200 + number))
	var reading sync.WaitGroup
	defer reading.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		job := platformtest.Job{
			ID: fmt.Sprintf("job.%d.%d", number, i), Items: jobItems, GroupSize: groupItems, MinVersion: s.drawMinVersion(random),
			Scored: random.IntN(unscoredOneIn) != 0,
		}
		early := random.IntN(endOneIn) == 0
		if s.submitJob(ctx, random, job) {
			stream := random.Uint64()
			reading.Go(func() { s.readResults(ctx, s.newRand(stream), job, early) })
		}
		sleepRandom(ctx, random, meanJobPause)
	}
}

// drawMinVersion draws the minimum version of a job: usually the one before the latest, or the latest, which
// only half of the replicas load.
func (s *Soak) drawMinVersion(random *rand.Rand) int64 {
	newest := s.targetVersion.Load()
	if random.IntN(newestOneIn) == 0 {
		return newest
	}
	return max(1, newest-1)
}

// submitJob sends a job to random nodes until one accepts it.
func (s *Soak) submitJob(ctx context.Context, random *rand.Rand, job platformtest.Job) bool {
	body := platformtest.EncodeJob(job)
	refusals, last := true, 0
	for end := time.Now().Add(jobTimeout); time.Now().Before(end) && ctx.Err() == nil; sleepRandom(ctx, random, 2*meanRequestPause) {
		response := s.send(ctx, s.randomNode(random), http.MethodPost, "/batch/x", job.ID, body)
		if response.Err == nil && response.Status == http.StatusAccepted {
			s.checker.RecordAccepted(job, time.Now())
			return true
		}
		refusals = refusals && response.NotExecuted()
		last = response.Status
	}
	if refusals && last != 0 && ctx.Err() == nil {
		s.checker.RecordRefused(job, last)
	}
	return false
}

// readResults reads the results of a job from random nodes until it is complete, sometimes from an earlier
// position.
func (s *Soak) readResults(ctx context.Context, random *rand.Rand, job platformtest.Job, early bool) {
	acceptedAt := time.Now()
	for from := 0; ctx.Err() == nil; sleepRandom(ctx, random, 3*meanRequestPause) {
		start := from
		if random.IntN(3) == 0 {
			start = random.IntN(from + 1)
		}
		if early && from >= jobItems/2 {
			s.endJob(ctx, random, job)
			return
		}
		undisturbed := s.undisturbedFor() > minUndisturbed && time.Since(acceptedAt) > 2*time.Second
		response := s.send(ctx, s.randomNode(random), http.MethodGet, platformtest.ResultsPath(job.ID, start), "", nil)
		if response.Err != nil {
			continue
		}
		if response.Status == http.StatusNotFound && undisturbed {
			s.checker.AddViolation("job %s was accepted but not found", job.ID)
		}
		page, ok := platformtest.DecodeResults(response.Body)
		if response.Status != http.StatusOK || !ok {
			continue
		}
		s.checker.RecordRead(job.ID, start, page)
		from = max(from, start+len(page.Results))
		if from >= job.Items {
			s.endJob(ctx, random, job)
			return
		}
		s.readItemBody(ctx, random, job, undisturbed)
	}
}

// readItemBody requests the body of a random item.
func (s *Soak) readItemBody(ctx context.Context, random *rand.Rand, job platformtest.Job, undisturbed bool) {
	item := job.ItemID(random.IntN(job.Items))
	response := s.send(ctx, s.randomNode(random), http.MethodGet, platformtest.ItemPath(job.ID, item), "", nil)
	switch {
	case response.Err != nil:
	case response.Status == http.StatusOK && string(response.Body) != platformtest.ItemBody(item):
		s.checker.AddViolation("item %s has unexpected body %q", item, response.Body)
	case response.Status == http.StatusNotFound && undisturbed && !s.checker.IsListed(job.ID, item):
		s.checker.AddViolation("body of unlisted item %s not found", item)
	}
}

func (s *Soak) endJob(ctx context.Context, random *rand.Rand, job platformtest.Job) {
	for end := time.Now().Add(jobTimeout); time.Now().Before(end) && ctx.Err() == nil; sleepRandom(ctx, random, 2*meanRequestPause) {
		response := s.send(ctx, s.randomNode(random), http.MethodDelete, platformtest.JobPath(job.ID), "", nil)
		if response.Err == nil && response.Status == http.StatusOK {
			s.checker.RecordEnded(job.ID)
			return
		}
	}
}

// probeConfiguration checks that a node applies the latest configuration in time and never reverts to an older one.
func (s *Soak) probeConfiguration(ctx context.Context, n *node) {
	random := s.newRand(300 + uint64(len(n.name)))
	served, starts := int64(0), int32(0)
	for i := 0; ctx.Err() == nil; i++ {
		if now := n.starts.Load(); now != starts {
			served, starts = 0, now
		}
		version, writtenAt := s.configVersion.Load(), time.Now()
		sleepRandom(ctx, random, maxConfigDelay/4)
		newest := s.probeRoute(ctx, n, version, i)
		if starts != n.starts.Load() {
			continue
		}
		if newest == http.StatusOK {
			served = max(served, version)
		}
		settled := s.undisturbedFor() > minUndisturbed && s.configVersion.Load() == version && time.Since(writtenAt) < minUndisturbed
		if newest == http.StatusNotFound && served >= version && s.configVersion.Load() == version {
			s.checker.AddViolation("%s reverted to a configuration older than %d", n.name, version)
		}
		if newest == http.StatusNotFound && settled && s.configAge() > maxConfigDelay+time.Second {
			s.checker.AddViolation("%s has not applied configuration %d %s after it was written", n.name, version, s.configAge())
		}
	}
}

func (s *Soak) probeRoute(ctx context.Context, n *node, version int64, attempt int) int {
	id := fmt.Sprintf("probe-%s-%d-%d-%d", n.name, n.starts.Load(), version, attempt)
	response := platformtest.Client{}.Send(ctx, platformtest.Call{
		Address: n.address, Method: http.MethodPost, Path: platformtest.ProbePath(int(version)), ID: id, Key: generationKey(version), Deadline: requestTimeout,
	})
	if response.Err != nil {
		return 0
	}
	return response.Status
}

// operator writes configurations and publishes versions.
func (s *Soak) operator(ctx context.Context) {
	random := s.newRand(400)
	for ctx.Err() == nil {
		sleepRandom(ctx, random, 3*time.Second)
		if random.IntN(2) == 0 {
			s.writeConfiguration()
			s.configuredAt.Store(int64(time.Since(s.startedAt)))
		}
		s.store.SetTargetVersion(int(s.targetVersion.Add(1)))
	}
}

// configAge returns the age of the latest configuration.
func (s *Soak) configAge() time.Duration {
	return time.Since(s.startedAt) - time.Duration(s.configuredAt.Load())
}
