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
	// requestPause is the mean pause of one caller, jobPause that between two jobs.
	requestPause = 60 * time.Millisecond
	jobPause     = 1200 * time.Millisecond
	callers      = 4
	// keptCallers keep a connection to each node open until its process is gone.
	keptCallers = 3
	trainers    = 2
	jobItems    = 24
	groupItems  = 4
	// callDeadline is what callers wait, jobFor how long a job is handed in for.
	callDeadline = 2 * time.Second
	jobFor       = 8 * time.Second
	// endOneIn is the part of the jobs, one in so many, that are ended before they are
	// whole.
	endOneIn = 5
	// unscoredOneIn is the part of the jobs, one in so many, whose items have no scoring call.
	unscoredOneIn = 4
	// newestOneIn is the part of the jobs, one in so many, that want the newest version.
	newestOneIn = 3
	// appliedWithin is how soon a configuration is in force at nodes in touch, of which
	// inTouch of calm are asked.
	appliedWithin = 2 * time.Second
	inTouch       = 3 * time.Second
)

// startLoad starts callers, trainers and the operator's probes.
func (s *Soak) startLoad(ctx context.Context, load *sync.WaitGroup) {
	for i := range callers {
		load.Go(func() { s.caller(ctx, i) })
	}
	for i := range keptCallers {
		load.Go(func() { s.keptCaller(ctx, i) })
	}
	load.Go(func() { s.poisonCaller(ctx) })
	for i := range trainers {
		load.Go(func() { s.trainer(ctx, i) })
	}
	for _, n := range s.nodes {
		load.Go(func() { s.probe(ctx, n) })
	}
	load.Go(func() { s.operator(ctx) })
	load.Go(func() { s.turnCold(ctx) })
}

func pause(ctx context.Context, random *rand.Rand, mean time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(mean/2 + time.Duration(random.Int64N(int64(mean)))):
	}
}

func (s *Soak) pick(random *rand.Rand) *node { return s.nodes[random.IntN(len(s.nodes))] }

// caller sends plain requests, requests that are unsafe to repeat, and streams.
func (s *Soak) caller(ctx context.Context, number int) {
	random := s.random(uint64(100 + number))
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%d.%d", number, i)
		n := s.pick(random)
		switch random.IntN(4) {
		case 0:
			s.check.AtMostOnce(id)
			s.plain(ctx, n, homedPath, id)
		case 1:
			answer := s.send(ctx, n, http.MethodPost, "/stream/x", id, nil)
			if answer.Err == nil && answer.Status == http.StatusOK {
				s.check.Streamed(id, answer)
			}
		default:
			s.plain(ctx, n, "/plain/x", id)
		}
		pause(ctx, random, requestPause)
	}
}

func (s *Soak) send(ctx context.Context, n *node, method, path, id string, body []byte) platformtest.Response {
	return s.sendBy(ctx, platformtest.Client{}, n, method, path, id, body)
}

func (s *Soak) sendBy(ctx context.Context, client platformtest.Client, n *node, method, path, id string, body []byte) platformtest.Response {
	return client.Send(ctx, platformtest.Call{Address: n.address, Method: method, Path: path, ID: id, Key: lastingKey, Body: body, Deadline: callDeadline})
}

// plain sends a request whose answer follows from it. Around a planned stop, an answer
// that breaks off is a promise broken, unless something else disturbed the node.
func (s *Soak) plain(ctx context.Context, n *node, path, id string) {
	s.plainBy(ctx, platformtest.Client{}, n, path, id)
}

// plainBy is plain by a client.
func (s *Soak) plainBy(ctx context.Context, client platformtest.Client, n *node, path, id string) {
	if path == homedPath {
		s.homes.bind(id)
	}
	calm := s.calmFor() > inTouch
	body := "body of " + id
	answer := s.sendBy(ctx, client, n, http.MethodPost, path, id, []byte(body))
	if ctx.Err() != nil {
		return
	}
	s.check.Answered(id, fmt.Sprintf("POST %s %s", path, body), answer)
	if answer.Err != nil && calm && s.calmFor() > inTouch && n.planned.Load() && s.check.HasRun(id) {
		s.check.Violate("request %s was cut by the planned stop of %s: %s", id, n.name, answer.Err)
	}
}

// trainer hands jobs in, reads them from all nodes, and ends some early.
func (s *Soak) trainer(ctx context.Context, number int) {
	random := s.random(uint64(200 + number))
	var reading sync.WaitGroup
	defer reading.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		job := platformtest.Job{
			ID: fmt.Sprintf("job.%d.%d", number, i), Items: jobItems, GroupSize: groupItems, MinVersion: s.leastVersion(random),
			Scored: random.IntN(unscoredOneIn) != 0,
		}
		early := random.IntN(endOneIn) == 0
		if s.handIn(ctx, random, job) {
			stream := random.Uint64()
			reading.Go(func() { s.readAll(ctx, s.random(stream), job, early) })
		}
		pause(ctx, random, jobPause)
	}
}

// leastVersion draws the least version that may make a job: the one before the newest, as
// usual, or the newest, which only half of the replicas get.
func (s *Soak) leastVersion(random *rand.Rand) int64 {
	newest := s.version.Load()
	if random.IntN(newestOneIn) == 0 {
		return newest
	}
	return max(1, newest-1)
}

// handIn sends a job until it is taken; each try goes to another node.
func (s *Soak) handIn(ctx context.Context, random *rand.Rand, job platformtest.Job) bool {
	body := platformtest.EncodeJob(job)
	refusals, last := true, 0
	for end := time.Now().Add(jobFor); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, random, 2*requestPause) {
		answer := s.send(ctx, s.pick(random), http.MethodPost, "/batch/x", job.ID, body)
		if answer.Err == nil && answer.Status == http.StatusAccepted {
			s.check.Accepted(job, time.Now())
			return true
		}
		refusals = refusals && answer.NotExecuted()
		last = answer.Status
	}
	if refusals && last != 0 && ctx.Err() == nil {
		s.check.Refused(job, last)
	}
	return false
}

// readAll reads a job until it is whole, each time at another node, at times from an
// earlier position.
func (s *Soak) readAll(ctx context.Context, random *rand.Rand, job platformtest.Job, early bool) {
	acceptedAt := time.Now()
	for from := 0; ctx.Err() == nil; pause(ctx, random, 3*requestPause) {
		start := from
		if random.IntN(3) == 0 {
			start = random.IntN(from + 1)
		}
		if early && from >= jobItems/2 {
			s.endJob(ctx, random, job)
			return
		}
		calm := s.calmFor() > inTouch && time.Since(acceptedAt) > 2*time.Second
		answer := s.send(ctx, s.pick(random), http.MethodGet, platformtest.ResultsPath(job.ID, start), "", nil)
		if answer.Err != nil {
			continue
		}
		if answer.Status == http.StatusNotFound && calm {
			s.check.Violate("job %s was accepted and is not found", job.ID)
		}
		reading, ok := platformtest.DecodeResults(answer.Body)
		if answer.Status != http.StatusOK || !ok {
			continue
		}
		s.check.Read(job.ID, start, reading)
		from = max(from, start+len(reading.Results))
		if from >= job.Items {
			s.endJob(ctx, random, job)
			return
		}
		s.readBody(ctx, random, job, calm)
	}
}

// readBody asks for the body of an item.
func (s *Soak) readBody(ctx context.Context, random *rand.Rand, job platformtest.Job, calm bool) {
	item := job.ItemID(random.IntN(job.Items))
	answer := s.send(ctx, s.pick(random), http.MethodGet, platformtest.ItemPath(job.ID, item), "", nil)
	switch {
	case answer.Err != nil:
	case answer.Status == http.StatusOK && string(answer.Body) != platformtest.ItemBody:
		s.check.Violate("item %s has the body %q", item, answer.Body)
	case answer.Status == http.StatusNotFound && calm && !s.check.Listed(job.ID, item):
		s.check.Violate("item %s is not listed and its body is not found", item)
	}
}

func (s *Soak) endJob(ctx context.Context, random *rand.Rand, job platformtest.Job) {
	for end := time.Now().Add(jobFor); time.Now().Before(end) && ctx.Err() == nil; pause(ctx, random, 2*requestPause) {
		answer := s.send(ctx, s.pick(random), http.MethodDelete, platformtest.JobPath(job.ID), "", nil)
		if answer.Err == nil && answer.Status == http.StatusOK {
			s.check.Ended(job.ID)
			return
		}
	}
}

// probe asks one node for the routes of the newest configuration and of the one before.
func (s *Soak) probe(ctx context.Context, n *node) {
	random := s.random(300 + uint64(len(n.name)))
	served, life := int64(0), int32(0)
	for i := 0; ctx.Err() == nil; i++ {
		if now := n.lives.Load(); now != life {
			served, life = 0, now
		}
		version, writtenAt := s.config.Load(), time.Now()
		pause(ctx, random, appliedWithin/4)
		newest := s.generation(ctx, n, version, i)
		if life != n.lives.Load() {
			continue
		}
		if newest == http.StatusOK {
			served = max(served, version)
		}
		settled := s.calmFor() > inTouch && s.config.Load() == version && time.Since(writtenAt) < inTouch
		if newest == http.StatusNotFound && served >= version && s.config.Load() == version {
			s.check.Violate("%s went back behind configuration %d", n.name, version)
		}
		if newest == http.StatusNotFound && settled && s.sinceConfig() > appliedWithin+time.Second {
			s.check.Violate("%s does not know configuration %d %s after it was written", n.name, version, s.sinceConfig())
		}
	}
}

func (s *Soak) generation(ctx context.Context, n *node, version int64, attempt int) int {
	id := fmt.Sprintf("probe-%s-%d-%d-%d", n.name, n.lives.Load(), version, attempt)
	answer := platformtest.Client{}.Send(ctx, platformtest.Call{
		Address: n.address, Method: http.MethodPost, Path: platformtest.ProbePath(int(version)), ID: id, Key: generationKey(version), Deadline: callDeadline,
	})
	if answer.Err != nil {
		return 0
	}
	return answer.Status
}

// operator changes the configuration and names versions, as a trainer does.
func (s *Soak) operator(ctx context.Context) {
	random := s.random(400)
	for ctx.Err() == nil {
		pause(ctx, random, 3*time.Second)
		if random.IntN(2) == 0 {
			s.configure()
			s.configuredAt.Store(int64(time.Since(s.started)))
		}
		s.store.SetTargetVersion(int(s.version.Add(1)))
	}
}

// sinceConfig returns the age of the newest configuration.
func (s *Soak) sinceConfig() time.Duration {
	return time.Since(s.started) - time.Duration(s.configuredAt.Load())
}
