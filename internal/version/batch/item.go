package batch

import (
	"net/http"
	"slices"
	"strings"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/quarantine"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// queueMargin is added to the route's queue limit before an item expires.
	queueMargin = time.Second
	// refusedBackoff is the delay after a replica refused an item, failureBackoff after a run
	// failed.
	refusedBackoff = 60 * time.Millisecond
	failureBackoff = 150 * time.Millisecond
)

type itemState int

const (
	// itemWaiting items wait for a replica, itemRunning items run on one.
	itemWaiting itemState = iota
	itemRunning
	// itemScoring items have a complete text and wait for its score.
	itemScoring
	// itemFinished items have a result, itemListed items also a position.
	itemFinished
	itemListed
)

type item struct {
	state itemState
	runID uint64
	// endpoint is the endpoint of the current or most recent run.
	endpoint      string
	avoidEndpoint string
	notBefore     time.Time
	// events are the text's events from earlier runs, progress those of the current run.
	events, progress []port.ReplicaEvent
	// reservation is the memory reserved at the endpoint of the current run.
	reservation *tokenReservation
	// progressAt is when the last event of progress arrived.
	progressAt time.Time
	// generation counts how often the text was discarded. checkpointedEvents of the current text
	// are stored, in checkpointParts records.
	generation, checkpointedEvents, checkpointParts int
	// textCheckpointed is set once the store holds the text marked as complete,
	// scoreCheckpointed once it also holds the score.
	textCheckpointed, scoreCheckpointed bool
	// revokesCheckpoints is set until the store holds a part of this generation, which prevents the next
	// owner from restoring earlier ones.
	revokesCheckpoints bool
	// checkingEnd is set if a run found no event behind the text's last one. The next run generates the last
	// event again to check that it belongs to the text.
	checkingEnd bool
	// scoringRound is the current scoring round, nil between rounds; scoringCalls counts the
	// calls of all rounds.
	scoringRound *scoringRound
	scoringCalls int
	// scoringFailedAt holds the endpoints that answered the scoring call with a failure.
	scoringFailedAt map[string]bool
	// unrouted is set while no route matches the scoring call.
	unrouted bool
	// completed is set if a finished item has a complete text; score is its score, if any.
	completed  bool
	score      string
	finishedAt time.Time
	// waitingSince is when the item last started to wait for a replica.
	waitingSince time.Time
	// waitReason is the reason for which a waiting item was last not started.
	waitReason WaitReason
	// startedAt is when the first run was started, runs counts the runs.
	startedAt time.Time
	runs      int
	// failureUnrecorded is set until a failure is written to the head record.
	failureUnrecorded bool
	// textCompletedAt is when the text was completed, finalEvents its number of events then.
	textCompletedAt time.Time
	finalEvents     int
	// lengthHint is the caller's estimate of the length in tokens, or 0.
	lengthHint int
	// interruptions counts interrupted runs, moves those moved to a faster replica.
	interruptions, moves int
	// request identifies the content of the item's runs, scoringRequest that of its scoring calls.
	request, scoringRequest quarantine.Fingerprint
	// runCrashes are the replicas that crashed under the item's runs, scoringCrashes those under its scoring
	// calls.
	runCrashes, scoringCrashes crashHistory
	// header is the request header; long is set if the text is expected to be among the longest.
	header http.Header
	long   bool
}

// prepareItems parses the items' headers and marks the items expected to be longest.
func (o *ownedJob) prepareItems(now time.Time) {
	hints := make([]int, len(o.items))
	order := make([]int, len(o.items))
	for i, content := range o.job.Items {
		header := itemHeader(content)
		o.items[i].header = header
		o.items[i].request = o.itemFingerprint(content)
		o.items[i].waitingSince = now
		hints[i] = o.jobs.options.LengthHint(header)
		o.items[i].lengthHint = hints[i]
		order[i] = i
	}
	sortByLength(order, func(index int) int { return hints[index] })
	o.markLong(hints)
	o.startOrder = order
}

func itemHeader(item *doorstepv1.BatchItem) http.Header {
	header := make(http.Header, len(item.Headers))
	for _, field := range item.Headers {
		header.Set(field.Name, field.Value)
	}
	return header
}

// expireItems terminates items that exceeded the route's queue limit.
func (o *ownedJob) expireItems(now time.Time) {
	route := o.route()
	if route == nil || route.MaxQueue <= 0 {
		return
	}
	if o.jobs.age(now, o.head.AcceptedAtMs) < route.MaxQueue+queueMargin {
		return
	}
	for i := range o.items {
		if o.items[i].state < itemFinished {
			o.terminate(now, i, "age")
		}
	}
}

// age returns a lower bound of the time since a reading of the store clock.
func (j *Jobs) age(now time.Time, writtenAtMs int64) time.Duration {
	least, _, _ := j.options.StoreClock(now)
	return least - time.Duration(writtenAtMs)*time.Millisecond
}

func (o *ownedJob) route() *port.Route { return o.jobs.options.Route(o.job.Host, o.job.Path) }

func (o *ownedJob) terminate(now time.Time, index int, reason string) {
	it := &o.items[index]
	o.stopItem(index)
	o.jobs.options.Queue.Log(event.ItemTerminated, "job", o.id, "item", o.job.Items[index].Id, "reason", reason,
		"failures", o.failures[int32(index)], "scoring_failures", o.scoringFailures[int32(index)])
	it.events = nil
	it.state = itemFinished
	it.finishedAt = now
}

// discardInvalidText discards a text that violates the job's version constraints.
func (o *ownedJob) discardInvalidText(index int) {
	it := &o.items[index]
	route := o.route()
	singleVersion := route != nil && route.SingleVersion
	for i, generated := range it.events {
		if generated.Version < o.job.MinVersion || singleVersion && generated.Version != it.events[0].Version && i > 0 {
			o.jobs.options.Queue.Log(event.TextDiscarded, "job", o.id, "item", o.job.Items[index].Id, "version", generated.Version,
				"min_version", o.job.MinVersion)
			it.discardText()
			return
		}
	}
}

func (o *ownedJob) onRunCompleted(now time.Time, index int, last task.RunResult) {
	it := &o.items[index]
	if len(it.events) == 0 {
		// The text was discarded, or the response contained no event.
		it.avoidEndpoint = it.endpoint
		it.notBefore = now.Add(refusedBackoff)
		return
	}
	if len(last.Events) == 0 {
		// Either the end of the last run was lost, or its last events did not belong to the text.
		it.checkingEnd = true
		return
	}
	it.textCompletedAt = now
	it.finalEvents = len(it.events)
	o.jobs.options.Quarantine.RecordAnswer(now, it.request)
	o.jobs.options.Queue.Log(event.ItemCompleted, "job", o.id, "item", o.job.Items[index].Id, "group", o.job.Items[index].Group, "replica", it.endpoint, "events", len(it.events),
		"versions", versionsOf(it.events), "runs", it.runs, "moves", it.moves, "interruptions", it.interruptions, "long", it.long,
		"since_ms", now.Sub(it.startedAt).Milliseconds(), "last_run_events", len(last.Events), "pace_us", last.Pace.Microseconds(), "to_score", o.job.Items[index].Scoring != nil)
	if o.job.Items[index].Scoring != nil {
		o.queueScoring(now, index)
		return
	}
	o.finishItem(now, index, "")
}

// finishItem marks an item as completed, with its score if it has a scoring call.
func (o *ownedJob) finishItem(now time.Time, index int, score string) {
	it := &o.items[index]
	it.completed = true
	it.score = score
	it.state = itemFinished
	it.finishedAt = now
}

// result returns the batch result of a finished item.
func (o *ownedJob) result(index int) *doorstepv1.BatchResult {
	it := &o.items[index]
	result := &doorstepv1.BatchResult{Id: o.job.Items[index].Id, Completed: it.completed}
	if it.completed {
		result.Message, result.Versions, result.Score = textOf(it.events), versionsOf(it.events), it.score
	}
	return result
}

// textOf returns the payloads of a text's events, separated by newlines.
func textOf(events []port.ReplicaEvent) string {
	lines := make([]string, len(events))
	for i, generated := range events {
		lines[i] = generated.Data
	}
	return strings.Join(lines, "\n")
}

// versionsOf returns the distinct versions that generated a text, by first occurrence.
func versionsOf(events []port.ReplicaEvent) []int64 {
	var versions []int64
	for _, generated := range events {
		if !slices.Contains(versions, generated.Version) {
			versions = append(versions, generated.Version)
		}
	}
	return versions
}

func (o *ownedJob) onRunFailed(now time.Time, index int) {
	it := &o.items[index]
	o.failures[int32(index)]++
	// The item is not retried until the failure is recorded, so that the count survives a change
	// of owner.
	it.failureUnrecorded = true
	it.avoidEndpoint = it.endpoint
	it.notBefore = now.Add(failureBackoff)
	route := o.route()
	if route != nil && int(o.failures[int32(index)]) >= max(route.MaxAttempts, 1) {
		o.terminate(now, index, "failed at every attempt")
	}
}
