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
	longPart = 5
	// busyPause is the wait after a replica refused an item, failPause after it failed.
	busyPause = 60 * time.Millisecond
	failPause = 150 * time.Millisecond
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
	run   uint64
	// endpoint is where it runs, or ran last.
	endpoint string
	avoid    string
	notAt    time.Time
	// events are the whole events of its text so far, progress those of the present run.
	events, progress []port.ReplicaEvent
	// held is the memory that the present run is expected to take.
	held *heldTokens
	// progressAt is when the last event of progress came.
	progressAt time.Time
	// generation counts the texts that were begun; of the present one so many events
	// are kept in the store, in so many parts.
	generation, keptEvents, keptParts int
	// keptWhole is set once the store holds the whole text and knows it for whole,
	// keptScore once it holds its score too.
	keptWhole, keptScore bool
	// scoring is the present try to have the whole text scored, nil between tries;
	// scoringTries counts the attempts of all tries.
	scoring      *scoringTry
	scoringTries int
	// scoringFailedAt holds the endpoints that answered the scoring call with a failure.
	scoringFailedAt map[string]bool
	// unrouted is set while the configuration has no route for the scoring call.
	unrouted bool
	// completed tells of a finished item that it has a whole text, and score its score.
	completed  bool
	score      string
	finishedAt time.Time
	// waitsSince is when it began to wait for a replica.
	waitsSince time.Time
	// startedAt is when its first run was sent, runs counts them.
	startedAt time.Time
	runs      int
	// unsaved is set while a failure is not on record.
	unsaved bool
	// wholeAt is when its text was whole, length how many events it then had.
	wholeAt time.Time
	length  int
	// hint is the length that its caller estimated, in tokens, 0 for none.
	hint int
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
func (o *ownedJob) prepare(now time.Time) {
	hints := make([]int, len(o.items))
	order := make([]int, len(o.items))
	for i, content := range o.job.Items {
		header := itemHeader(content)
		o.items[i].header = header
		o.items[i].request = o.itemRequest(content)
		o.items[i].waitsSince = now
		hints[i] = o.jobs.options.LengthHint(header)
		o.items[i].hint = hints[i]
		order[i] = i
	}
	sortByLength(order, func(index int) int { return hints[index] })
	o.markLong(order, hints)
	o.order = order
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
func (o *ownedJob) giveUp(now time.Time) {
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
	one := &o.items[index]
	o.stopItem(index)
	o.jobs.options.Queue.Log(event.ItemTerminated, "job", o.id, "item", o.job.Items[index].Id, "reason", reason,
		"failures", o.failures[int32(index)], "scoring_failures", o.scoringFailures[int32(index)])
	one.events = nil
	one.state = itemFinished
	one.finishedAt = now
}

// checkVersions throws a text away that the job's bounds forbid.
func (o *ownedJob) checkVersions(index int) {
	one := &o.items[index]
	route := o.route()
	single := route != nil && route.SingleVersion
	for i, made := range one.events {
		if made.Version < o.job.MinVersion || single && made.Version != one.events[0].Version && i > 0 {
			o.jobs.options.Queue.Log(event.TextDiscarded, "job", o.id, "item", o.job.Items[index].Id, "version", made.Version,
				"min_version", o.job.MinVersion)
			one.discardText()
			return
		}
	}
}

func (o *ownedJob) completed(now time.Time, index int, last task.RunResult) {
	one := &o.items[index]
	if len(one.events) == 0 {
		// The text was thrown away, or the stream held nothing.
		one.avoid = one.endpoint
		one.notAt = now.Add(busyPause)
		return
	}
	one.wholeAt = now
	one.length = len(one.events)
	o.jobs.options.Quarantine.RecordAnswer(now, one.request.Fingerprint)
	o.jobs.options.Queue.Log(event.ItemCompleted, "job", o.id, "item", o.job.Items[index].Id, "group", o.job.Items[index].Group, "replica", one.endpoint, "events", len(one.events),
		"versions", versionsOf(one.events), "runs", one.runs, "moves", one.moves, "interruptions", one.interruptions, "long", one.long,
		"since_ms", now.Sub(one.startedAt).Milliseconds(), "last_run_events", len(last.Events), "pace_us", last.Pace.Microseconds(), "to_score", o.job.Items[index].Scoring != nil)
	if o.job.Items[index].Scoring != nil {
		o.awaitScore(now, index)
		return
	}
	o.finish(now, index, "")
}

// finish ends the work on an item whose text is whole and has its score, if it is to have
// one.
func (o *ownedJob) finish(now time.Time, index int, score string) {
	one := &o.items[index]
	one.completed = true
	one.score = score
	one.state = itemFinished
	one.finishedAt = now
}

// result returns what is listed of a finished item.
func (o *ownedJob) result(index int) *doorstepv1.BatchResult {
	one := &o.items[index]
	result := &doorstepv1.BatchResult{Id: o.job.Items[index].Id, Completed: one.completed}
	if one.completed {
		result.Message, result.Versions, result.Score = textOf(one.events), versionsOf(one.events), one.score
	}
	return result
}

// textOf returns the payloads of a text's events, one a line.
func textOf(events []port.ReplicaEvent) string {
	lines := make([]string, len(events))
	for i, made := range events {
		lines[i] = made.Data
	}
	return strings.Join(lines, "\n")
}

// versionsOf returns all versions that made an event of a text, in the order of their first.
func versionsOf(events []port.ReplicaEvent) []int64 {
	var versions []int64
	for _, made := range events {
		if !slices.Contains(versions, made.Version) {
			versions = append(versions, made.Version)
		}
	}
	return versions
}

func (o *ownedJob) failed(now time.Time, index int) {
	one := &o.items[index]
	o.failures[int32(index)]++
	// It runs again once its failure is on record: a count that dies with its owner
	// would let the next one begin anew.
	one.unsaved = true
	one.avoid = one.endpoint
	one.notAt = now.Add(failPause)
	route := o.route()
	if route != nil && int(o.failures[int32(index)]) >= max(route.MaxAttempts, 1) {
		o.terminate(now, index, "failed at every attempt")
	}
}
