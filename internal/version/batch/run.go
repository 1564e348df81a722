package batch

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// runTimeout limits the duration of one run of an item.
const runTimeout = 30 * time.Second

// maxTextBytes limits the size of a text. Its result must fit into one transaction of the store.
const maxTextBytes = 1 << 20

// placementPatience is how long an item waits for a replica that suits it better than others with capacity.
const placementPatience = 500 * time.Millisecond

// Timeouts after which a run without new events is resumed on another replica. Resuming is
// cheap, and the replica may be loading a version or be gone. The timeouts double with each
// interruption of an item, in case the whole deployment is slow.
const (
	firstEventTimeout = 1000 * time.Millisecond
	nextEventTimeout  = 300 * time.Millisecond
	maxEventTimeout   = 4 * time.Second
)

// maxWithoutCapacity is the number of items that are tried in vain before the rest of a job is left for the next tick.
// It is not one, as long items may be placed differently.
const maxWithoutCapacity = 2

func (o *ownedJob) startItems(now time.Time) {
	route := o.route()
	if route == nil {
		o.waitForAll(WaitNoRoute)
		return
	}
	withoutCapacity := 0
	for _, i := range o.startOrder {
		it := &o.items[i]
		// Without capacity for some items there is none for the next.
		if it.state != itemWaiting || !o.mayStart(now, it) || withoutCapacity == maxWithoutCapacity {
			continue
		}
		if o.startRun(now, i, route) {
			continue
		}
		it.waitReason = it.placementReason(now)
		if it.waitReason == WaitNoReplica {
			withoutCapacity++
		}
	}
}

// mayStart reports whether an item may be placed, and sets its wait reason if not.
func (o *ownedJob) mayStart(now time.Time, it *item) bool {
	switch {
	case it.failureUnrecorded:
		it.waitReason = WaitUnrecorded
	case now.Before(it.notBefore):
		it.waitReason = WaitBackoff
	case it.runCrashes.paused(now):
		it.waitReason = WaitCrashPause
	default:
		// This is the reason for items that are not tried because others found no capacity.
		it.waitReason = WaitNoReplica
		return true
	}
	return false
}

// selective reports whether a waiting item still waits for a replica that suits it better. After a burst of crashes
// there may be none, while all others have capacity.
func (it *item) selective(now time.Time) bool {
	placeableSince := it.waitingSince
	for _, delayedUntil := range []time.Time{it.notBefore, it.runCrashes.retryAt} {
		if delayedUntil.After(placeableSince) {
			placeableSince = delayedUntil
		}
	}
	return now.Sub(placeableSince) < placementPatience
}

func (o *ownedJob) startRun(now time.Time, index int, route *port.Route) bool {
	it, content := &o.items[index], o.job.Items[index]
	tokens := o.jobs.options.ExpectedTokens(route, it.header, len(it.events))
	avoid, exclude := "", map[string]bool(nil)
	if it.selective(now) {
		avoid, exclude = it.avoidEndpoint, o.isolationExcludes(it)
	}
	prefer := o.promptEndpoints[content.Group]
	if it.checkingEnd {
		// This replica found no event behind the last one, so it did not generate events that do not exist.
		prefer = it.endpoint
	}
	chosen := o.jobs.options.Place(now, Placement{
		Route: route, Tenant: o.job.Tenant, Model: o.job.Model, MinVersion: o.job.MinVersion,
		Prefer: prefer, Avoid: avoid, Exclude: exclude, Long: it.long, Tokens: tokens,
	})
	if chosen == nil {
		return false
	}
	release := o.isolate(it, chosen.ID)
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
	run, checkingEnd := it.runID, it.checkingEnd
	sentAt := now
	reservation := &tokenReservation{endpoint: chosen}
	reservation.set(tokens)
	it.reservation = reservation
	o.jobs.options.Queue.Add(task.Run{
		ID: run, Item: content.Id, Replica: chosen.ID, Address: chosen.Address, Target: content.Path, Host: o.job.Host,
		Header: it.header.Clone(), Body: content.Body, Tenant: o.job.Tenant, Limit: runTimeout, Waited: now.Sub(it.waitingSince), After: it.resumeAfter(), Priority: route.Priority,
		FirstEventTimeout: firstEventLimit(now, chosen, it.interruptions), NextEventTimeout: o.nextEventLimit(it, route),
		Progress: func(now time.Time, events []port.ReplicaEvent, pace time.Duration) bool {
			if checkingEnd {
				// The first event is already part of the text.
				events = nil
			}
			return o.onProgress(now, index, run, events, pace)
		},
		MaxEventID: int64(o.jobs.options.MaxTextEvents(route, it.header)), MaxBytes: maxTextBytes - sizeOfEvents(it.events),
		SendBy: chosen.SendBy,
		Done: func(now time.Time, result task.RunResult) {
			o.jobs.recordOutcome(now, chosen, o.job.Model, result, now.Sub(sentAt))
			release()
			if result.Crashed {
				o.recordCrash(now, index, &it.runCrashes, it.request, chosen)
			}
			chosen.InFlight--
			reservation.set(0)
			o.openRuns--
			o.onRunEnded(now, index, run, result)
		},
	})
	return true
}

// tokenReservation is the memory that a run is expected to use at its endpoint.
type tokenReservation struct {
	endpoint *endpoint.Endpoint
	tokens   int
}

func (r *tokenReservation) set(tokens int) {
	r.endpoint.Tokens += tokens - r.tokens
	r.tokens = tokens
}

// firstEventLimit returns how long a run may wait for its first event. If the replica's batch
// is full the run is queued there, and would lose its place by moving.
func firstEventLimit(now time.Time, chosen *endpoint.Endpoint, interruptions int) time.Duration {
	if chosen.Load(now) > chosen.Slots {
		return maxEventTimeout
	}
	return extendedTimeout(firstEventTimeout, interruptions)
}

// extendedTimeout doubles a timeout with each interruption, up to maxEventTimeout.
func extendedTimeout(timeout time.Duration, interruptions int) time.Duration {
	return min(timeout<<min(interruptions, 4), maxEventTimeout)
}

// nextEventLimit returns how long a run may wait between two events. A text that must be
// generated by a single version may not be resumable elsewhere.
func (o *ownedJob) nextEventLimit(it *item, route *port.Route) time.Duration {
	if route.SingleVersion {
		return maxEventTimeout
	}
	return extendedTimeout(nextEventTimeout, it.interruptions)
}

// onProgress records the progress and pace of a run, and reports whether the run should stop
// and move to a faster replica.
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
		chosen.UpdatePace(now, pace)
	}
	route := o.route()
	if it.state != itemRunning || it.runID != run || route == nil || route.SingleVersion || it.moves >= maxMoves {
		return false
	}
	better := o.jobs.options.Place(now, Placement{
		Route: route, Tenant: o.job.Tenant, Model: o.job.Model, MinVersion: o.job.MinVersion, Avoid: it.endpoint, Exclude: o.isolationExcludes(it), Long: true, PreferKnownPace: true,
		DryRun: true, Tokens: it.reservation.tokens,
	})
	if better == nil || better.Pace(now) == 0 {
		return false
	}
	candidate := moveCandidate{
		pace: pace, bestPace: better.Pace(now), events: len(it.events) + len(events), runEvents: len(events),
		lengthHint: it.lengthHint, maxEvents: o.jobs.options.MaxEvents(route, it.header), long: it.long,
		timeLeft: route.ResultDeadline - o.jobs.age(now, o.head.AcceptedAtMs) - o.jobs.deliveryTime(), hasDeadline: route.ResultDeadline > 0,
	}
	reason := candidate.decide(o.jobs.lengthHistoryOf(o.job.Model))
	if reason == noMove {
		return false
	}
	o.jobs.options.Queue.Log(event.RunMoved, "job", o.id, "item", o.job.Items[index].Id, "group", o.job.Items[index].Group, "reason", string(reason),
		"replica", it.endpoint, "events", candidate.events, "pace_us", pace.Microseconds(), "best_us", candidate.bestPace.Microseconds(), "left_ms", candidate.timeLeft.Milliseconds())
	return true
}

// sizeOfEvents returns the memory of events in bytes.
func sizeOfEvents(events []port.ReplicaEvent) int {
	total := 0
	for i := range events {
		total += events[i].Size()
	}
	return total
}

func lastEvent(events []port.ReplicaEvent) int64 {
	if len(events) == 0 {
		return 0
	}
	return events[len(events)-1].ID
}

// recordOutcome reports the outcome of a run to its endpoint.
func (j *Jobs) recordOutcome(now time.Time, chosen *endpoint.Endpoint, model string, result task.RunResult, took time.Duration) {
	id := chosen.ID
	switch result.Outcome {
	case task.RunCompleted:
		chosen.RecordSuccess(result.FirstEvent)
	case task.RunRefused:
		chosen.RecordRefusal(now, model)
	case task.RunTimedOut:
		j.logEjection(id, took, chosen.RecordTimeout(now))
	case task.RunUnreachable:
		// A replica that resets connections fails immediately and so appears idle. Unless it is
		// ejected it attracts all waiting items.
		j.logEjection(id, took, chosen.RecordFailure(now))
	case task.RunInterrupted, task.RunFailed, task.RunImpossible, task.RunSlow, task.RunTooLong:
	}
	if result.Pace > 0 {
		chosen.UpdatePace(now, result.Pace)
	}
}

// logEjection logs that a failure ejected an endpoint.
func (j *Jobs) logEjection(id string, took time.Duration, ejected bool) {
	if ejected {
		j.options.Queue.Log(event.ReplicaEjected, "replica", id, "after_ms", took.Milliseconds())
	}
}

// onRunEnded processes the end of a run.
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
	if !it.appendRun(&result) {
		o.jobs.options.Queue.Log(event.TextNotSound, "job", o.id, "item", o.job.Items[index].Id, "replica", it.endpoint, "outcome", int(result.Outcome))
	}
	o.recordVersions(it, result)
	o.discardInvalidText(index)
	if o.closing || o.releasing && result.Outcome != task.RunCompleted {
		o.finishStopping(now)
		return
	}
	switch result.Outcome {
	case task.RunCompleted:
		o.onRunCompleted(now, index, result)
	case task.RunInterrupted, task.RunTimedOut:
		it.avoidEndpoint = it.endpoint
		it.interruptions++
		it.notBefore = now.Add(refusedBackoff / 2)
	case task.RunTooLong:
		it.avoidEndpoint = it.endpoint
		it.interruptions++
		it.notBefore = now.Add(failureBackoff)
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
	// A run may complete just as it is stopped; the job must be handed over regardless.
	o.finishStopping(now)
	o.advance(now)
}

// currentEndpoint returns the endpoint of an item's latest run, or nil if it is no longer
// listed. A replica that restarted under the same ID is a different endpoint.
func (o *ownedJob) currentEndpoint(it *item) *endpoint.Endpoint {
	if it.reservation == nil || o.jobs.options.FindEndpoint(it.endpoint) != it.reservation.endpoint {
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
		chosen.UpdateVersion(o.job.Model, generated.Version)
	}
}
