package batch

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/request/relay"
)

const (
	// maxScoringTimeout limits the duration of one scoring round.
	maxScoringTimeout = 5 * time.Second
	// unroutedBackoff is the delay before looking for a route again.
	unroutedBackoff = 250 * time.Millisecond
	// maxCallsPerAttempt limits an item's failed, lost and active scoring calls, as a multiple
	// of its attempts. Lost calls count because they may have failed, and the platform limits
	// how often a failing item may be sent.
	maxCallsPerAttempt = 3
)

// scoringRound is a scoring request with its attempts, which are retried and hedged like those
// of other requests. Scoring is repeatable, so an unsuccessful round may be followed by
// another.
type scoringRound struct {
	relay   *relay.Relay
	exclude map[string]bool
	// open holds the IDs of the active attempts.
	open map[uint64]bool
}

// queueScoring marks an item with a complete text as waiting for its score.
func (o *ownedJob) queueScoring(now time.Time, index int) {
	it := &o.items[index]
	it.state = itemScoring
	it.notBefore = now
	it.scoringRequest = o.scoringFingerprint(index)
}

// scoreItems starts and continues the scoring of all items with a complete text.
func (o *ownedJob) scoreItems(now time.Time) {
	// noCapacity holds the routes without capacity for another call.
	noCapacity := map[*port.Route]bool{}
	for _, index := range o.startOrder {
		if o.items[index].state == itemScoring {
			o.scoreItem(now, index, noCapacity)
		}
	}
}

// scoreItem starts or continues the scoring of an item.
func (o *ownedJob) scoreItem(now time.Time, index int, noCapacity map[*port.Route]bool) {
	it := &o.items[index]
	// As with runs, scoring continues only after failures are recorded.
	if it.failureUnrecorded || it.scoringRound == nil && now.Before(it.notBefore) || it.scoringCrashes.paused(now) {
		return
	}
	route := o.scoringRoute(index)
	if route == nil {
		o.endScoringRound(it, now.Add(unroutedBackoff))
		return
	}
	if it.scoringRound == nil {
		o.startScoringRound(now, index, route, noCapacity)
	}
	for it.scoringRound != nil {
		decision := it.scoringRound.relay.Next(now)
		switch decision.Action {
		case relay.Launch:
			if o.scoringExhausted(index) {
				return
			}
			chosen := o.jobs.options.PlaceScoring(now, route, o.job.Tenant, it.scoringRound.exclude)
			if chosen == nil {
				it.scoringRound.relay.RecordNoEndpoint(now)
				continue
			}
			o.sendScoring(now, index, route, chosen)
		case relay.Wait:
			return
		case relay.Fail, relay.Deliver:
			o.endScoringRound(it, now.Add(refusedBackoff))
		}
	}
}

// scoringRoute returns the route of an item's scoring call. A missing route is logged once.
func (o *ownedJob) scoringRoute(index int) *port.Route {
	it, call := &o.items[index], o.job.Items[index].Scoring
	route := o.jobs.options.Route(call.Host, call.Path)
	if route == nil && !it.unrouted {
		o.jobs.options.Queue.Log(event.ScoringWithoutRoute, "job", o.id, "item", o.job.Items[index].Id, "host", call.Host, "path", call.Path)
	}
	it.unrouted = route == nil
	return route
}

// startScoringRound starts a round with its first attempt if an endpoint has capacity.
func (o *ownedJob) startScoringRound(now time.Time, index int, route *port.Route, noCapacity map[*port.Route]bool) {
	if noCapacity[route] || o.scoringExhausted(index) {
		return
	}
	// Prefer endpoints that have not failed this call.
	chosen := o.jobs.options.PlaceScoring(now, route, o.job.Tenant, o.items[index].scoringFailedAt)
	if chosen == nil {
		chosen = o.jobs.options.PlaceScoring(now, route, o.job.Tenant, nil)
	}
	if chosen == nil {
		noCapacity[route] = true
		return
	}
	it := &o.items[index]
	it.scoringRound = &scoringRound{
		relay: relay.New(now, route, o.scoringTimeout(now), o.jobs.options.ResponseTimes.Of(route.Name)), exclude: map[string]bool{}, open: map[uint64]bool{},
	}
	if it.scoringCrashes.limited() {
		it.scoringRound.relay.LimitAttempts(1)
	}
	o.sendScoring(now, index, route, chosen)
}

// scoringTimeout returns the time limit of a round, which ends when the item expires.
func (o *ownedJob) scoringTimeout(now time.Time) time.Duration {
	route := o.route()
	if route == nil || route.MaxQueue <= 0 {
		return maxScoringTimeout
	}
	remaining := route.MaxQueue + queueMargin - o.jobs.age(now, o.head.AcceptedAtMs)
	return min(max(remaining, time.Millisecond), maxScoringTimeout)
}

// sendScoring sends an attempt of the current round to an endpoint.
func (o *ownedJob) sendScoring(now time.Time, index int, route *port.Route, chosen *endpoint.Endpoint) {
	it, call := &o.items[index], o.job.Items[index].Scoring
	round := it.scoringRound
	round.exclude[chosen.ID] = true
	round.relay.RecordLaunch(now)
	it.scoringCalls++
	o.jobs.lastRunID++
	id := o.jobs.lastRunID
	round.open[id] = true
	chosen.InFlight++
	chosen.UsedAt = now
	o.openRuns++
	o.jobs.options.Queue.Add(task.ScoringCall{
		ID: id, Request: call.Id, Replica: chosen.ID, Address: chosen.Address, Target: call.Path, Host: call.Host, Body: o.scoringBody(index),
		Tenant: o.job.Tenant, Priority: route.Priority, Limit: round.relay.Remaining(now), SendBy: chosen.SendBy,
		Done: func(later time.Time, result task.ScoringResult) {
			chosen.InFlight--
			o.openRuns--
			o.onScoringEnded(later, index, round, id, chosen, result, later.Sub(now))
		},
	})
}

// scoredText is the body of a scoring call that includes the generated text.
type scoredText struct {
	Prompt   string  `json:"prompt"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
}

// scoringBody returns the body of an item's scoring call.
func (o *ownedJob) scoringBody(index int) []byte {
	it, call := &o.items[index], o.job.Items[index].Scoring
	if !call.SendText {
		return call.Body
	}
	body, err := json.Marshal(scoredText{Prompt: string(call.Body), Text: textOf(it.events), Versions: versionsOf(it.events)})
	if err != nil {
		panic("encode scoring request body: " + err.Error())
	}
	return body
}

// onScoringEnded processes the end of an attempt.
func (o *ownedJob) onScoringEnded(now time.Time, index int, round *scoringRound, id uint64, chosen *endpoint.Endpoint, result task.ScoringResult, took time.Duration) {
	it := &o.items[index]
	if it.scoringRound != round || it.state != itemScoring {
		// The attempt was cancelled, which does not reflect on the endpoint.
		o.finishStopping(now)
		return
	}
	delete(round.open, id)
	round.relay.RecordOutcome(result.Outcome)
	if result.Crashed {
		o.recordCrash(now, index, &it.scoringCrashes, it.scoringRequest, chosen)
	}
	if route := o.jobs.options.Route(o.job.Items[index].Scoring.Host, o.job.Items[index].Scoring.Path); route != nil && result.Outcome == relay.Answered {
		o.jobs.options.ResponseTimes.Record(route.Name, took)
	}
	if chosen.RecordAttempt(now, result.Outcome, took) {
		o.jobs.options.Queue.Log(event.ReplicaEjected, "replica", chosen.ID, "after_ms", took.Milliseconds())
	}
	if result.Score != "" && result.Status < http.StatusMultipleChoices {
		o.onScored(now, index, chosen, result.Score)
	} else {
		o.onScoringFailed(now, index, chosen, result)
	}
	o.advance(now)
}

func (o *ownedJob) onScored(now time.Time, index int, chosen *endpoint.Endpoint, score string) {
	it := &o.items[index]
	o.stopScoring(it)
	o.jobs.options.Quarantine.RecordAnswer(now, it.scoringRequest)
	o.jobs.options.Queue.Log(event.ItemScored, "job", o.id, "item", o.job.Items[index].Id, "call", o.job.Items[index].Scoring.Id,
		"replica", chosen.ID, "attempts", it.scoringCalls, "since_whole_ms", now.Sub(it.textCompletedAt).Milliseconds())
	o.finishItem(now, index, score)
}

// scoringExhausted reports whether an item has used up its scoring calls, including active
// ones. Such an item waits until it expires, as it may not be terminated with fewer failures
// than its attempts.
func (o *ownedJob) scoringExhausted(index int) bool {
	calls := int(o.scoringFailures[int32(index)] + o.scoringLosses[int32(index)])
	if round := o.items[index].scoringRound; round != nil {
		calls += len(round.open)
	}
	return calls >= maxCallsPerAttempt*o.maxScoringFailures(o.job.Items[index].Scoring)
}

// onScoringFailed handles an attempt that returned no score. Only failures reported by the
// replica itself count against the item; refused and lost calls are retried.
func (o *ownedJob) onScoringFailed(now time.Time, index int, chosen *endpoint.Endpoint, result task.ScoringResult) {
	it := &o.items[index]
	// The score is delayed, so write the complete text to a checkpoint now.
	o.checkpointedAt = time.Time{}
	counts := result.Status == http.StatusInternalServerError && result.Outcome == relay.Errored
	if counts {
		o.scoringFailures[int32(index)]++
		it.failureUnrecorded = true
		if it.scoringFailedAt == nil {
			it.scoringFailedAt = map[string]bool{}
		}
		it.scoringFailedAt[chosen.ID] = true
	}
	if result.Outcome == relay.Broken {
		o.scoringLosses[int32(index)]++
		it.failureUnrecorded = true
	}
	o.jobs.options.Queue.Log(event.ScoringRetried, "job", o.id, "item", o.job.Items[index].Id, "call", o.job.Items[index].Scoring.Id,
		"replica", chosen.ID, "outcome", int(result.Outcome), "status", result.Status, "failures", o.scoringFailures[int32(index)],
		"losses", o.scoringLosses[int32(index)], "error", errorText(result.Err))
	if counts && int(o.scoringFailures[int32(index)]) >= o.maxScoringFailures(o.job.Items[index].Scoring) {
		o.terminate(now, index, "the scoring call failed at every attempt")
		return
	}
	if len(it.scoringRound.open) == 0 && (result.Outcome == relay.Answered || result.Outcome == relay.Errored) {
		o.endScoringRound(it, now.Add(failureBackoff))
	}
}

// maxScoringFailures returns the number of failed scoring calls after which an item is
// terminated: the larger limit of the job's and the scoring call's routes.
func (o *ownedJob) maxScoringFailures(call *doorstepv1.ScoringCall) int {
	attempts := 1
	for _, route := range []*port.Route{o.route(), o.jobs.options.Route(call.Host, call.Path)} {
		if route != nil {
			attempts = max(attempts, route.MaxAttempts)
		}
	}
	return attempts
}

// endScoringRound ends the current round. The next one may start at notBefore.
func (o *ownedJob) endScoringRound(it *item, notBefore time.Time) {
	o.stopScoring(it)
	it.notBefore = notBefore
}

// stopScoring cancels the attempts of the current round.
func (o *ownedJob) stopScoring(it *item) {
	if it.scoringRound == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(it.scoringRound.open)) {
		o.jobs.options.Queue.Add(task.StopRun{ID: id})
	}
	it.scoringRound = nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
