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
	// scoringLimit is the most time that is granted to one try of a scoring call.
	scoringLimit = 5 * time.Second
	// unroutedPause is the wait before a route is looked for again.
	unroutedPause = 250 * time.Millisecond
	// callsPerAttempt bounds the scoring calls of an item that never brought an answer, as a
	// multiple of its attempts: the platform's bound on what an item that fails on every run
	// may be sent. A lost answer may have been a failure.
	callsPerAttempt = 3
)

// scoringTry is one try to have a text scored: a request whose attempts are decided over as
// those of callers are. Scoring calls may be repeated, so one try may follow another.
type scoringTry struct {
	relay   *relay.Relay
	exclude map[string]bool
	// open holds the attempts under way, by their ids.
	open map[uint64]bool
}

// awaitScore has the whole text of an item scored.
func (o *ownedJob) awaitScore(now time.Time, index int) {
	one := &o.items[index]
	one.state = itemScoring
	one.notAt = now
	one.scoringRequest = o.scoringRequestOf(index)
}

// scoreItems goes on with the scoring calls of all items whose text is whole.
func (o *ownedJob) scoreItems(now time.Time) {
	// full holds the routes whose replicas have no room for another call.
	full := map[*port.Route]bool{}
	for _, index := range o.order {
		if o.items[index].state == itemScoring {
			o.scoreItem(now, index, full)
		}
	}
}

// scoreItem does what is due for an item's scoring call.
func (o *ownedJob) scoreItem(now time.Time, index int, full map[*port.Route]bool) {
	one := &o.items[index]
	// The call goes on once its failures are on record, as with runs.
	if one.unsaved || one.scoring == nil && now.Before(one.notAt) || !o.permitted(now, one.scoringRequest, &one.scoringTrial) {
		return
	}
	route := o.scoringRoute(index)
	if route == nil {
		o.endScoringTry(one, now.Add(unroutedPause))
		return
	}
	if one.scoring == nil {
		o.beginScoringTry(now, index, route, full)
	}
	for one.scoring != nil {
		decision := one.scoring.relay.Next(now)
		switch decision.Action {
		case relay.Launch:
			if o.scoringExhausted(index) {
				return
			}
			chosen := o.jobs.options.PlaceScoring(now, route, o.job.Tenant, one.scoring.exclude)
			if chosen == nil {
				one.scoring.relay.RecordNoEndpoint()
				continue
			}
			o.sendScoring(now, index, chosen)
		case relay.Wait:
			return
		case relay.Fail, relay.Deliver:
			o.endScoringTry(one, now.Add(busyPause))
		}
	}
}

// scoringRoute returns the route of an item's scoring call. That there is none is told once.
func (o *ownedJob) scoringRoute(index int) *port.Route {
	one, call := &o.items[index], o.job.Items[index].Scoring
	route := o.jobs.options.Route(call.Host, call.Path)
	if route == nil && !one.unrouted {
		o.jobs.options.Queue.Log(event.ScoringUnrouted, "job", o.id, "item", o.job.Items[index].Id, "host", call.Host, "path", call.Path)
	}
	one.unrouted = route == nil
	return route
}

// beginScoringTry begins a try with its first attempt, once an endpoint has room for it.
func (o *ownedJob) beginScoringTry(now time.Time, index int, route *port.Route, full map[*port.Route]bool) {
	if full[route] || o.scoringExhausted(index) {
		return
	}
	// Endpoints that failed the call before come last.
	chosen := o.jobs.options.PlaceScoring(now, route, o.job.Tenant, o.items[index].scoringFailedAt)
	if chosen == nil {
		chosen = o.jobs.options.PlaceScoring(now, route, o.job.Tenant, nil)
	}
	if chosen == nil {
		full[route] = true
		return
	}
	one := &o.items[index]
	one.scoring = &scoringTry{
		relay: relay.New(now, route, o.scoringTime(now)), exclude: map[string]bool{}, open: map[uint64]bool{},
	}
	if one.scoringTrial.granted {
		one.scoring.relay.LimitAttempts(1)
		one.scoringTrial = trial{}
	}
	o.sendScoring(now, index, chosen)
}

// scoringTime returns how long a try may take: until the item may be given up.
func (o *ownedJob) scoringTime(now time.Time) time.Duration {
	route := o.route()
	if route == nil || route.MaxQueue <= 0 {
		return scoringLimit
	}
	left := route.MaxQueue + queueMargin - o.jobs.age(now, o.head.AcceptedAtMs)
	return min(max(left, time.Millisecond), scoringLimit)
}

// sendScoring sends an attempt of the present try to an endpoint.
func (o *ownedJob) sendScoring(now time.Time, index int, chosen *endpoint.Endpoint) {
	one, call := &o.items[index], o.job.Items[index].Scoring
	try := one.scoring
	try.exclude[chosen.ID] = true
	try.relay.RecordLaunch(now)
	one.scoringTries++
	o.jobs.runs++
	id := o.jobs.runs
	try.open[id] = true
	chosen.InFlight++
	chosen.UsedAt = now
	o.openRuns++
	o.jobs.options.Queue.Add(task.ScoringCall{
		ID: id, Request: call.Id, Replica: chosen.ID, Address: chosen.Address, Target: call.Path, Host: call.Host, Body: o.scoringBody(index),
		Tenant: o.job.Tenant, Limit: try.relay.Remaining(now), SendBy: chosen.SendBy,
		Done: func(later time.Time, result task.ScoringResult) {
			chosen.InFlight--
			o.openRuns--
			o.onScoring(later, index, try, id, chosen, result, later.Sub(now))
		},
	})
}

// scoredText is the body of a scoring call that tells the service what it scores.
type scoredText struct {
	Prompt   string  `json:"prompt"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
}

// scoringBody returns the body of an item's scoring call.
func (o *ownedJob) scoringBody(index int) []byte {
	one, call := &o.items[index], o.job.Items[index].Scoring
	if !call.SendText {
		return call.Body
	}
	body, err := json.Marshal(scoredText{Prompt: string(call.Body), Text: textOf(one.events), Versions: versionsOf(one.events)})
	if err != nil {
		panic("a scoring call must encode: " + err.Error())
	}
	return body
}

// onScoring takes the end of an attempt.
func (o *ownedJob) onScoring(now time.Time, index int, try *scoringTry, id uint64, chosen *endpoint.Endpoint, result task.ScoringResult, took time.Duration) {
	one := &o.items[index]
	if one.scoring != try || one.state != itemScoring {
		// The attempt was cancelled, which says nothing of the endpoint.
		o.finishStop(now)
		return
	}
	delete(try.open, id)
	try.relay.RecordOutcome(result.Outcome)
	o.noteCrash(now, one.scoringRequest, chosen, result.Crashed)
	if chosen.RecordAttempt(now, result.Outcome, took) {
		o.jobs.options.Queue.Log(event.ReplicaEjected, "replica", chosen.ID, "after_ms", took.Milliseconds())
	}
	if result.Score != "" && result.Status < http.StatusMultipleChoices {
		o.scored(now, index, chosen, result.Score)
	} else {
		o.notScored(now, index, chosen, result)
	}
	o.advance(now)
}

func (o *ownedJob) scored(now time.Time, index int, chosen *endpoint.Endpoint, score string) {
	one := &o.items[index]
	o.stopScoring(one)
	o.jobs.options.Quarantine.Answered(now, one.scoringRequest.Fingerprint)
	o.jobs.options.Queue.Log(event.ItemScored, "job", o.id, "item", o.job.Items[index].Id, "call", o.job.Items[index].Scoring.Id,
		"replica", chosen.ID, "attempts", one.scoringTries, "since_whole_ms", now.Sub(one.wholeAt).Milliseconds())
	o.finish(now, index, score)
}

// scoringExhausted reports whether all calls that an item may be sent have failed, were lost
// or are under way. Without a call that is under way the item waits for its age: fewer
// failures than its attempts don't allow to give it up.
func (o *ownedJob) scoringExhausted(index int) bool {
	calls := int(o.scoringFailures[int32(index)] + o.scoringLosses[int32(index)])
	if try := o.items[index].scoring; try != nil {
		calls += len(try.open)
	}
	return calls >= callsPerAttempt*o.scoringAttempts(o.job.Items[index].Scoring)
}

// notScored notes an attempt without a score. Only the failures that a replica answers
// itself count against the item; after a refusal or a loss the try goes on.
func (o *ownedJob) notScored(now time.Time, index int, chosen *endpoint.Endpoint, result task.ScoringResult) {
	one := &o.items[index]
	// The wait for the score is longer than usual: the whole text is kept meanwhile.
	o.keptAt = time.Time{}
	counts := result.Status == http.StatusInternalServerError && result.Outcome == relay.Errored
	if counts {
		o.scoringFailures[int32(index)]++
		one.unsaved = true
		if one.scoringFailedAt == nil {
			one.scoringFailedAt = map[string]bool{}
		}
		one.scoringFailedAt[chosen.ID] = true
	}
	if result.Outcome == relay.Broken {
		o.scoringLosses[int32(index)]++
		one.unsaved = true
	}
	o.jobs.options.Queue.Log(event.ScoringRetried, "job", o.id, "item", o.job.Items[index].Id, "call", o.job.Items[index].Scoring.Id,
		"replica", chosen.ID, "outcome", int(result.Outcome), "status", result.Status, "failures", o.scoringFailures[int32(index)],
		"losses", o.scoringLosses[int32(index)], "error", errorText(result.Err))
	if counts && int(o.scoringFailures[int32(index)]) >= o.scoringAttempts(o.job.Items[index].Scoring) {
		o.terminate(now, index, "the scoring call failed at every attempt")
		return
	}
	if len(one.scoring.open) == 0 && (result.Outcome == relay.Answered || result.Outcome == relay.Errored) {
		o.endScoringTry(one, now.Add(failPause))
	}
}

// scoringAttempts returns how many failures of its scoring call end an item: as many as the
// call's route and the job's both allow.
func (o *ownedJob) scoringAttempts(call *doorstepv1.ScoringCall) int {
	attempts := 1
	for _, route := range []*port.Route{o.route(), o.jobs.options.Route(call.Host, call.Path)} {
		if route != nil {
			attempts = max(attempts, route.MaxAttempts)
		}
	}
	return attempts
}

// endScoringTry ends the present try; the next may begin at a time.
func (o *ownedJob) endScoringTry(one *item, notAt time.Time) {
	o.stopScoring(one)
	one.notAt = notAt
}

// stopScoring cancels the attempts of the present try.
func (o *ownedJob) stopScoring(one *item) {
	if one.scoring == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(one.scoring.open)) {
		o.jobs.options.Queue.Add(task.StopRun{ID: id})
	}
	one.scoring = nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
