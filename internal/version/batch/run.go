package batch

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// runLimit is the time granted to one run of an item.
const runLimit = 30 * time.Second

// Silences after which a run is continued at another replica. Continuing costs little,
// while a silent replica may load a version, or be gone. Each interruption doubles the
// patience with an item, so that a deployment that is slow as a whole is waited for.
const (
	firstSilence   = 1000 * time.Millisecond
	nextSilence    = 300 * time.Millisecond
	longestSilence = 4 * time.Second
)

func (o *ownedJob) startItems(now time.Time) {
	route := o.route()
	if route == nil {
		return
	}
	full := false
	for _, i := range o.order {
		one := &o.items[i]
		if one.state != itemWaiting || one.unsaved || now.Before(one.notAt) || !o.permitted(now, one.request, &one.runTrial) {
			continue
		}
		if !o.start(now, i, route) {
			if o.runsApart(one) {
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

func (o *ownedJob) start(now time.Time, index int, route *port.Route) bool {
	one, content := &o.items[index], o.job.Items[index]
	tokens := o.jobs.options.ExpectedTokens(route, one.header, len(one.events))
	chosen := o.jobs.options.Place(now, Placement{
		Route: route, Tenant: o.job.Tenant, Model: o.job.Model, MinVersion: o.job.MinVersion,
		Prefer: o.prompts[content.Group], Avoid: one.avoid, Exclude: o.apartFrom(one), Long: one.long, Tokens: tokens,
	})
	if chosen == nil {
		return false
	}
	leave := o.enterApart(one, chosen.ID)
	one.runTrial = trial{}
	if content.Group != "" && !one.long {
		o.prompts[content.Group] = chosen.ID
	}
	o.jobs.runs++
	one.run = o.jobs.runs
	one.state = itemRunning
	one.endpoint = chosen.ID
	chosen.InFlight++
	o.openRuns++
	one.runs++
	if one.runs == 1 {
		one.startedAt = now
	}
	run := one.run
	sentAt := now
	held := &heldTokens{endpoint: chosen}
	held.set(tokens)
	one.held = held
	o.jobs.options.Queue.Add(task.Run{
		ID: run, Item: content.Id, Replica: chosen.ID, Address: chosen.Address, Target: content.Path, Host: o.job.Host,
		Header: one.header.Clone(), Body: content.Body, Tenant: o.job.Tenant, Limit: runLimit, Waited: now.Sub(one.waitsSince), After: lastEvent(one.events), Urgent: one.long,
		FirstEventTimeout: firstWithin(now, chosen, one.interruptions), NextEventTimeout: o.nextSilence(one, route),
		Progress: func(now time.Time, events []port.ReplicaEvent, pace time.Duration) bool {
			return o.onProgress(now, index, run, events, pace)
		},
		SendBy: chosen.SendBy,
		Done: func(now time.Time, result task.RunResult) {
			o.jobs.account(now, chosen, o.job.Model, result, now.Sub(sentAt))
			leave()
			o.noteCrash(now, one.request, chosen, result.Crashed)
			chosen.InFlight--
			held.set(0)
			o.openRuns--
			o.onRun(now, index, run, result)
		},
	})
	return true
}

// heldTokens is the memory that a run is expected to take at its endpoint.
type heldTokens struct {
	endpoint *endpoint.Endpoint
	tokens   int
}

func (h *heldTokens) set(tokens int) {
	h.endpoint.Tokens += tokens - h.tokens
	h.tokens = tokens
}

// firstWithin is how long a run may wait for its first event. Behind a full batch it
// waits in the replica's queue, whose place would be lost by going elsewhere.
func firstWithin(now time.Time, chosen *endpoint.Endpoint, interruptions int) time.Duration {
	if chosen.Load(now) > chosen.Slots {
		return longestSilence
	}
	return patience(firstSilence, interruptions)
}

// patience doubles a silence with each interruption.
func patience(silence time.Duration, interruptions int) time.Duration {
	return min(silence<<min(interruptions, 4), longestSilence)
}

// nextSilence is how long a run may be silent between two events. A text that one
// version has to make can't be continued elsewhere with any certainty.
func (o *ownedJob) nextSilence(one *item, route *port.Route) time.Duration {
	if route.SingleVersion {
		return longestSilence
	}
	return patience(nextSilence, one.interruptions)
}

// onProgress learns how fast a run makes events, and whether it is to go on elsewhere: only if
// there is a clearly faster replica with room, and a few times at most.
func (o *ownedJob) onProgress(now time.Time, index int, run uint64, events []port.ReplicaEvent, pace time.Duration) bool {
	one := &o.items[index]
	if one.run == run && one.state == itemRunning {
		one.progress, one.progressAt = events, now
		if route := o.route(); route != nil {
			one.held.set(o.jobs.options.ExpectedTokens(route, one.header, len(one.events)+len(events)))
		}
	}
	if pace <= 0 {
		return false
	}
	if chosen := o.runsAt(one); chosen != nil && one.run == run {
		chosen.UpdatePace(now, pace)
	}
	route := o.route()
	if one.state != itemRunning || one.run != run || route == nil || route.SingleVersion || one.moves >= movesAtMost {
		return false
	}
	better := o.jobs.options.Place(now, Placement{
		Route: route, Tenant: o.job.Tenant, Model: o.job.Model, MinVersion: o.job.MinVersion, Avoid: one.endpoint, Exclude: o.apartFrom(one), Long: true, Paced: true,
		Look: true, Tokens: one.held.tokens,
	})
	if better == nil || better.Pace(now) == 0 {
		return false
	}
	slow := slowRun{
		pace: pace, best: better.Pace(now), made: len(one.events) + len(events), last: len(events),
		hint: one.hint, most: o.jobs.options.MostEvents(route, one.header), long: one.long,
		left: route.ResultDeadline - o.jobs.age(now, o.head.AcceptedAtMs), timed: route.ResultDeadline > 0,
	}
	reason := slow.move(o.jobs.lengthsOf(o.job.Model))
	if reason == stays {
		return false
	}
	o.jobs.options.Queue.Log(event.RunMoved, "job", o.id, "item", o.job.Items[index].Id, "group", o.job.Items[index].Group, "reason", string(reason),
		"replica", one.endpoint, "events", slow.made, "pace_us", pace.Microseconds(), "best_us", slow.best.Microseconds(), "left_ms", slow.left.Milliseconds())
	return true
}

func lastEvent(events []port.ReplicaEvent) int64 {
	if len(events) == 0 {
		return 0
	}
	return events[len(events)-1].ID
}

// account tells the endpoint how its run fared.
func (j *Jobs) account(now time.Time, chosen *endpoint.Endpoint, model string, result task.RunResult, took time.Duration) {
	id := chosen.ID
	switch result.Outcome {
	case task.RunCompleted:
		chosen.RecordSuccess(result.FirstEvent)
	case task.RunRefused:
		chosen.RecordRefusal(now, model)
	case task.RunTimedOut:
		j.noteFailure(id, took, chosen.RecordTimeout(now))
	case task.RunUnreachable:
		// A replica that resets connections fails at once, so that it always has room: unless it
		// is taken out, it draws all items that wait.
		j.noteFailure(id, took, chosen.RecordFailure(now))
	case task.RunInterrupted, task.RunFailed, task.RunImpossible, task.RunSlow:
	}
	if result.Pace > 0 {
		chosen.UpdatePace(now, result.Pace)
	}
}

// noteFailure tells that a failure took an endpoint out, if it did.
func (j *Jobs) noteFailure(id string, took time.Duration, ejected bool) {
	if ejected {
		j.options.Queue.Log(event.ReplicaEjected, "replica", id, "after_ms", took.Milliseconds())
	}
}

// onRun takes the end of a run.
func (o *ownedJob) onRun(now time.Time, index int, run uint64, result task.RunResult) {
	one := &o.items[index]
	if one.state != itemRunning || one.run != run {
		o.finishStop(now)
		return
	}
	one.state = itemWaiting
	one.waitsSince = now
	one.avoid = ""
	one.progress, one.progressAt = nil, time.Time{}
	one.events = append(one.events, result.Events...)
	o.learnVersions(one, result)
	o.checkVersions(index)
	if o.closing || o.releasing && result.Outcome != task.RunCompleted {
		o.finishStop(now)
		return
	}
	switch result.Outcome {
	case task.RunCompleted:
		o.completed(now, index, result)
	case task.RunInterrupted, task.RunTimedOut:
		one.avoid = one.endpoint
		one.interruptions++
		one.notAt = now.Add(busyPause / 2)
	case task.RunUnreachable:
		one.avoid = one.endpoint
		one.notAt = now.Add(busyPause)
	case task.RunSlow:
		one.avoid = one.endpoint
		one.moves++
		one.long = true
	case task.RunRefused:
		one.avoid = one.endpoint
		one.notAt = now.Add(busyPause)
	case task.RunImpossible:
		o.terminate(now, index, "impossible")
	case task.RunFailed:
		o.failed(now, index)
	}
	if result.Outcome != task.RunCompleted && result.Outcome != task.RunSlow {
		o.jobs.options.Queue.Log(event.ItemRetried, "job", o.id, "item", o.job.Items[index].Id, "replica", one.endpoint,
			"outcome", int(result.Outcome), "status", result.Status, "events", len(one.events))
	}
	// A run may come to its end just as it is stopped: the job is handed over all the same.
	o.finishStop(now)
	o.advance(now)
}

// runsAt returns the endpoint of an item's newest run, nil if it is not listed any more: a replica that
// started again under the same ID is another one.
func (o *ownedJob) runsAt(one *item) *endpoint.Endpoint {
	if one.held == nil || o.jobs.options.Find(one.endpoint) != one.held.endpoint {
		return nil
	}
	return one.held.endpoint
}

func (o *ownedJob) learnVersions(one *item, result task.RunResult) {
	chosen := o.runsAt(one)
	if chosen == nil {
		return
	}
	for _, single := range result.Events {
		chosen.UpdateVersion(o.job.Model, single.Version)
	}
}
