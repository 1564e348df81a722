package batch

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// runLimit is the time granted to one run of an item.
const runTimeout = 30 * time.Second

// Silences after which a run is continued at another replica. Continuing costs little,
// while a silent replica may load a version, or be gone. Each interruption doubles the
// patience with an item, so that a deployment that is slow as a whole is waited for.
const (
	firstEventTimeout = 1000 * time.Millisecond
	nextEventTimeout  = 300 * time.Millisecond
	maxEventTimeout   = 4 * time.Second
)

func (o *ownedJob) startItems(now time.Time) {
	route := o.route()
	if route == nil {
		return
	}
	full := false
	for _, i := range o.startOrder {
		it := &o.items[i]
		if it.state != itemWaiting || it.failureUnrecorded || now.Before(it.notBefore) || !o.permitted(now, it.request, &it.runTrial) {
			continue
		}
		if !o.startRun(now, i, route) {
			if o.runsIsolated(it) {
				continue
			}
			// Without room for one there is none for the next, but for items that
			// must avoid an endpoint.
			if full {
				return
			}
			full = true
		}
	}
}

func (o *ownedJob) startRun(now time.Time, index int, route *port.Route) bool {
	it, content := &o.items[index], o.job.Items[index]
	tokens := o.jobs.options.ExpectedTokens(route, it.header, len(it.events))
	chosen := o.jobs.options.Place(now, Placement{
		Route: route, Tenant: o.job.Tenant, Model: o.job.Model, MinVersion: o.job.MinVersion,
		Prefer: o.promptEndpoints[content.Group], Avoid: it.avoidEndpoint, Exclude: o.isolationExcludes(it), Long: it.long, Tokens: tokens,
	})
	if chosen == nil {
		return false
	}
	leave := o.isolate(it, chosen.ID)
	it.runTrial = trial{}
	if content.Group != "" && !it.long {
		o.promptEndpoints[content.Group] = chosen.ID
	}
	o.jobs.lastRunID++
	it.runID = o.jobs.lastRunID
	it.state = itemRunning
	it.endpoint = chosen.ID
	chosen.InFlight++
	o.openRuns++
	it.runs++
	if it.runs == 1 {
		it.startedAt = now
	}
	run := it.runID
	sentAt := now
	reservation := &tokenReservation{endpoint: chosen}
	reservation.set(tokens)
	it.reservation = reservation
	o.jobs.options.Queue.Add(task.Run{
		ID: run, Item: content.Id, Replica: chosen.ID, Address: chosen.Address, Target: content.Path, Host: o.job.Host,
		Header: it.header.Clone(), Body: content.Body, Tenant: o.job.Tenant, Limit: runTimeout, Waited: now.Sub(it.waitingSince), After: lastEvent(it.events), Urgent: it.long,
		FirstWithin: firstEventLimit(now, chosen, it.interruptions), NextWithin: o.nextEventLimit(it, route),
		Progress: func(now time.Time, events []port.ReplicaEvent, pace time.Duration) bool {
			return o.onProgress(now, index, run, events, pace)
		},
		SendBy: chosen.SendBy,
		Done: func(now time.Time, result task.RunResult) {
			o.jobs.recordOutcome(now, chosen, o.job.Model, result, now.Sub(sentAt))
			leave()
			o.recordCrash(now, it.request, chosen, result.Crashed)
			chosen.InFlight--
			reservation.set(0)
			o.openRuns--
			o.onRunEnded(now, index, run, result)
		},
	})
	return true
}

// heldTokens is the memory that a run is expected to take at its endpoint.
type tokenReservation struct {
	endpoint *endpoint.Endpoint
	tokens   int
}

func (h *tokenReservation) set(tokens int) {
	h.endpoint.Tokens += tokens - h.tokens
	h.tokens = tokens
}

// firstWithin is how long a run may wait for its first event. Behind a full batch it
// waits in the replica's queue, whose place would be lost by going elsewhere.
func firstEventLimit(now time.Time, chosen *endpoint.Endpoint, interruptions int) time.Duration {
	if chosen.Load(now) > chosen.Slots {
		return maxEventTimeout
	}
	return extendedTimeout(firstEventTimeout, interruptions)
}

// patience doubles a silence with each interruption.
func extendedTimeout(timeout time.Duration, interruptions int) time.Duration {
	return min(timeout<<min(interruptions, 4), maxEventTimeout)
}

// nextSilence is how long a run may be silent between two events. A text that one
// version has to make can't be continued elsewhere with any certainty.
func (o *ownedJob) nextEventLimit(it *item, route *port.Route) time.Duration {
	if route.SingleVersion {
		return maxEventTimeout
	}
	return extendedTimeout(nextEventTimeout, it.interruptions)
}

// onProgress learns how fast a run makes events, and whether it is to go on elsewhere: only if
// there is a clearly faster replica with room, and a few times at most.
func (o *ownedJob) onProgress(now time.Time, index int, run uint64, events []port.ReplicaEvent, pace time.Duration) bool {
	it := &o.items[index]
	if it.runID == run && it.state == itemRunning {
		it.progress, it.progressAt = events, now
		if route := o.route(); route != nil {
			it.reservation.set(o.jobs.options.ExpectedTokens(route, it.header, len(it.events)+len(events)))
		}
	}
	if pace <= 0 {
		return false
	}
	if chosen := o.currentEndpoint(it); chosen != nil && it.runID == run {
		chosen.LearnPace(now, pace)
	}
	route := o.route()
	if it.state != itemRunning || it.runID != run || route == nil || route.SingleVersion || it.moves >= maxMoves {
		return false
	}
	better := o.jobs.options.Place(now, Placement{
		Route: route, Tenant: o.job.Tenant, Model: o.job.Model, MinVersion: o.job.MinVersion, Avoid: it.endpoint, Exclude: o.isolationExcludes(it), Long: true, Paced: true,
		Look: true, Tokens: it.reservation.tokens,
	})
	if better == nil || better.Pace(now) == 0 {
		return false
	}
	candidate := moveCandidate{
		pace: pace, bestPace: better.Pace(now), events: len(it.events) + len(events), runEvents: len(events),
		lengthHint: it.lengthHint, maxEvents: o.jobs.options.MostEvents(route, it.header), long: it.long,
		timeLeft: route.ResultDeadline - o.jobs.age(now, o.head.AcceptedAtMs), hasDeadline: route.ResultDeadline > 0,
	}
	reason := candidate.decide(o.jobs.lengthHistoryOf(o.job.Model))
	if reason == noMove {
		return false
	}
	o.jobs.options.Queue.Log(event.RunMoved, "job", o.id, "item", o.job.Items[index].Id, "group", o.job.Items[index].Group, "reason", string(reason),
		"replica", it.endpoint, "events", candidate.events, "pace_us", pace.Microseconds(), "best_us", candidate.bestPace.Microseconds(), "left_ms", candidate.timeLeft.Milliseconds())
	return true
}

func lastEvent(events []port.ReplicaEvent) int64 {
	if len(events) == 0 {
		return 0
	}
	return events[len(events)-1].ID
}

// account tells the endpoint how its run fared.
func (j *Jobs) recordOutcome(now time.Time, chosen *endpoint.Endpoint, model string, result task.RunResult, took time.Duration) {
	id := chosen.ID
	switch result.Outcome {
	case task.RunCompleted:
		chosen.Succeeded(result.FirstEvent)
	case task.RunRefused:
		chosen.Refused(now, model)
	case task.RunSilent:
		j.logEjection(id, took, chosen.Silent(now))
	case task.RunUnreachable:
		// A replica that resets connections fails at once, so that it always has room: unless it
		// is taken out, it draws all items that wait.
		j.logEjection(id, took, chosen.Failed(now))
	case task.RunInterrupted, task.RunFailed, task.RunImpossible, task.RunSlow:
	}
	if result.Pace > 0 {
		chosen.LearnPace(now, result.Pace)
	}
}

// noteFailure tells that a failure took an endpoint out, if it did.
func (j *Jobs) logEjection(id string, took time.Duration, ejected bool) {
	if ejected {
		j.options.Queue.Log(event.ReplicaEjected, "replica", id, "after_ms", took.Milliseconds())
	}
}

// onRun takes the end of a run.
func (o *ownedJob) onRunEnded(now time.Time, index int, run uint64, result task.RunResult) {
	it := &o.items[index]
	if it.state != itemRunning || it.runID != run {
		o.finishStopping(now)
		return
	}
	it.state = itemWaiting
	it.waitingSince = now
	it.avoidEndpoint = ""
	it.progress, it.progressAt = nil, time.Time{}
	it.events = append(it.events, result.Events...)
	o.recordVersions(it, result)
	o.discardInvalidText(index)
	if o.closing || o.releasing && result.Outcome != task.RunCompleted {
		o.finishStopping(now)
		return
	}
	switch result.Outcome {
	case task.RunCompleted:
		o.onRunCompleted(now, index, result)
	case task.RunInterrupted, task.RunSilent:
		it.avoidEndpoint = it.endpoint
		it.interruptions++
		it.notBefore = now.Add(refusedBackoff / 2)
	case task.RunUnreachable:
		it.avoidEndpoint = it.endpoint
		it.notBefore = now.Add(refusedBackoff)
	case task.RunSlow:
		it.avoidEndpoint = it.endpoint
		it.moves++
		it.long = true
	case task.RunRefused:
		it.avoidEndpoint = it.endpoint
		it.notBefore = now.Add(refusedBackoff)
	case task.RunImpossible:
		o.terminate(now, index, "impossible")
	case task.RunFailed:
		o.onRunFailed(now, index)
	}
	if result.Outcome != task.RunCompleted && result.Outcome != task.RunSlow {
		o.jobs.options.Queue.Log(event.ItemRetried, "job", o.id, "item", o.job.Items[index].Id, "replica", it.endpoint,
			"outcome", int(result.Outcome), "status", result.Status, "events", len(it.events))
	}
	// A run may come to its end just as it is stopped: the job is handed over all the same.
	o.finishStopping(now)
	o.advance(now)
}

// runsAt returns the endpoint of an item's newest run, nil if it is not listed any more: a replica that
// started again under the same ID is another one.
func (o *ownedJob) currentEndpoint(it *item) *endpoint.Endpoint {
	if it.reservation == nil || o.jobs.options.Find(it.endpoint) != it.reservation.endpoint {
		return nil
	}
	return it.reservation.endpoint
}

func (o *ownedJob) recordVersions(it *item, result task.RunResult) {
	chosen := o.currentEndpoint(it)
	if chosen == nil {
		return
	}
	for _, generated := range result.Events {
		chosen.LearnVersion(o.job.Model, generated.Version)
	}
}
