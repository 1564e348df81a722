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
	// queueMargin is added to the age at which an item may be given up.
	queueMargin = time.Second
	// longPart is the part of a job's items, one in so many, that count as long.
	longItemDivisor = 5
	// busyPause is the wait after a replica refused an item, failPause after it failed.
	refusedBackoff = 60 * time.Millisecond
	failureBackoff = 150 * time.Millisecond
)

type itemState int

const (
	// itemWaiting items wait for a replica, itemRunning ones are at one.
	itemWaiting itemState = iota
	itemRunning
	// itemScoring items have a whole text and wait for its score.
	itemScoring
	// itemFinished items have a result, itemListed ones a position.
	itemFinished
	itemListed
)

type item struct {
	state itemState
	runID uint64
	// endpoint is where it runs, or ran last.
	endpoint      string
	avoidEndpoint string
	notBefore     time.Time
	// events are the whole events of its text so far, progress those of the present run.
	events, progress []port.ReplicaEvent
	// held is the memory that the present run is expected to take.
	reservation *tokenReservation
	// progressAt is when the last event of progress came.
	progressAt time.Time
	// generation counts the texts that were begun; of the present one so many events
	// are kept in the store, in so many parts.
	generation, checkpointedEvents, checkpointParts int
	// keptWhole is set once the store holds the whole text and knows it for whole,
	// keptScore once it holds its score too.
	textCheckpointed, scoreCheckpointed bool
	// scoring is the present try to have the whole text scored, nil between tries;
	// scoringTries counts the attempts of all tries.
	scoringRound *scoringRound
	scoringCalls int
	// scoringFailedAt holds the endpoints that answered the scoring call with a failure.
	scoringFailedAt map[string]bool
	// unrouted is set while the configuration has no route for the scoring call.
	unrouted bool
	// completed tells of a finished item that it has a whole text, and score its score.
	completed  bool
	score      string
	finishedAt time.Time
	// waitsSince is when it began to wait for a replica.
	waitingSince time.Time
	// startedAt is when its first run was sent, runs counts them.
	startedAt time.Time
	runs      int
	// unsaved is set while a failure is not on record.
	failureUnrecorded bool
	// wholeAt is when its text was whole, length how many events it then had.
	textCompletedAt time.Time
	finalEvents     int
	// hint is the length that its caller estimated, in tokens, 0 for none.
	lengthHint int
	// interruptions counts the runs that broke off, moves those that were slow.
	interruptions, moves int
	// request is what its runs ask for, scoringRequest what its scoring calls do.
	request, scoringRequest quarantine.Request
	// runTrial and scoringTrial are their trials.
	runTrial, scoringTrial trial
	// header is the request's, long tells that its text is among the longest.
	header http.Header
	long   bool
}

// prepare reads the items' headers, and marks those that are expected to be longest.
func (o *ownedJob) prepareItems(now time.Time) {
	hints := make([]int, len(o.items))
	order := make([]int, len(o.items))
	for i, content := range o.job.Items {
		header := itemHeader(content)
		o.items[i].header = header
		o.items[i].request = o.itemRequest(content)
		o.items[i].waitingSince = now
		hints[i] = o.jobs.options.LengthHint(header)
		o.items[i].lengthHint = hints[i]
		order[i] = i
	}
	sortByLength(order, func(index int) int { return hints[index] })
	o.markLong(order, hints)
	o.startOrder = order
	o.groupOf, o.groups = groupsOf(o.job)
}

func itemHeader(item *doorstepv1.BatchItem) http.Header {
	header := make(http.Header, len(item.Headers))
	for _, field := range item.Headers {
		header.Set(field.Name, field.Value)
	}
	return header
}

// giveUp ends items that were not done within the time that the route allows.
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

// age returns how old something is at least that was written at a reading of the
// store's clock.
func (j *Jobs) age(now time.Time, writtenAtMs int64) time.Duration {
	least, _, _ := j.options.Clock(now)
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

// checkVersions throws a text away that the job's bounds forbid.
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
		// The text was thrown away, or the stream held nothing.
		it.avoidEndpoint = it.endpoint
		it.notBefore = now.Add(refusedBackoff)
		return
	}
	it.textCompletedAt = now
	it.finalEvents = len(it.events)
	o.jobs.options.Quarantine.Answered(now, it.request.Fingerprint)
	o.jobs.options.Queue.Log(event.ItemCompleted, "job", o.id, "item", o.job.Items[index].Id, "group", o.job.Items[index].Group, "replica", it.endpoint, "events", len(it.events),
		"versions", versionsOf(it.events), "runs", it.runs, "moves", it.moves, "interruptions", it.interruptions, "long", it.long,
		"since_ms", now.Sub(it.startedAt).Milliseconds(), "last_run_events", len(last.Events), "pace_us", last.Pace.Microseconds(), "to_score", o.job.Items[index].Scoring != nil)
	if o.job.Items[index].Scoring != nil {
		o.queueScoring(now, index)
		return
	}
	o.finishItem(now, index, "")
}

// finish ends the work on an item whose text is whole and has its score, if it is to have
// one.
func (o *ownedJob) finishItem(now time.Time, index int, score string) {
	it := &o.items[index]
	it.completed = true
	it.score = score
	it.state = itemFinished
	it.finishedAt = now
}

// result returns what is listed of a finished item.
func (o *ownedJob) result(index int) *doorstepv1.BatchResult {
	it := &o.items[index]
	result := &doorstepv1.BatchResult{Id: o.job.Items[index].Id, Completed: it.completed}
	if it.completed {
		result.Message, result.Versions, result.Score = textOf(it.events), versionsOf(it.events), it.score
	}
	return result
}

// textOf returns the payloads of a text's events, one a line.
func textOf(events []port.ReplicaEvent) string {
	lines := make([]string, len(events))
	for i, generated := range events {
		lines[i] = generated.Data
	}
	return strings.Join(lines, "\n")
}

// versionsOf returns all versions that made an event of a text, in the order of their first.
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
	// It runs again once its failure is on record: a count that dies with its owner
	// would let the next one begin anew.
	it.failureUnrecorded = true
	it.avoidEndpoint = it.endpoint
	it.notBefore = now.Add(failureBackoff)
	route := o.route()
	if route != nil && int(o.failures[int32(index)]) >= max(route.MaxAttempts, 1) {
		o.terminate(now, index, "failed at every attempt")
	}
}
