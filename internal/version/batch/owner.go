package batch

import (
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// beatEvery is how often an owner writes its head when nothing else changes it.
	beatEvery = 350 * time.Millisecond
	// takeoverAfter is how long a head must stand unchanged before another node takes
	// the job, longer by latencies of the store, as an owner's beats come that much
	// later; takeoverSpread spreads the nodes that would.
	takeoverAfter  = 950 * time.Millisecond
	latencies      = 4
	takeoverSpread = 250 * time.Millisecond
	// unconfirmedFor is how long an owner that can't write its head starts items.
	unconfirmedFor = 2 * time.Second
	// gatherFor is how long a finished item waits for others to be listed with it;
	// the last few of a job, of which there are lastItems, don't wait.
	gatherFor = 25 * time.Millisecond
	lastItems = 12
	// listAtOnce bounds the results of one transaction.
	listAtOnce = 60
	// runLimit is the time granted to one run of an item.
	runLimit = 30 * time.Second
	// queueMargin is added to the age at which an item may be given up.
	queueMargin = time.Second
	// slowFactor, times a faster replica's pace, is where a run is moved there;
	// movesAtMost bounds that for an item.
	slowFactor = 1.2
	// troubledFactor is where a run is moved however short it is; others are short
	// until they have made shortEvents events.
	troubledFactor = 1.7
	shortEvents    = 16
	movesAtMost    = 2
	// longPart is the part of a job's items, one in so many, that count as long.
	longPart = 5
	// busyPause is the wait after a replica refused an item, failPause after it failed.
	busyPause = 60 * time.Millisecond
	failPause = 150 * time.Millisecond
)

// Silences after which a run is continued at another replica. Continuing costs little,
// while a silent replica may load a version, or be gone. Each interruption doubles the
// patience with an item, so that a deployment that is slow as a whole is waited for.
const (
	firstSilence   = 1000 * time.Millisecond
	nextSilence    = 300 * time.Millisecond
	longestSilence = 4 * time.Second
)

type itemState int

const (
	itemWaiting itemState = iota
	itemRunning
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
	// generation counts the texts that were begun; of the present one so many events
	// are kept in the store, in so many parts.
	generation, keptEvents, keptParts int
	result                            *doorstepv1.BatchResult
	finishedAt                        time.Time
	// startedAt is when its first run was sent, runs counts them.
	startedAt time.Time
	runs      int
	// interruptions counts the runs that broke off, moves those that were slow.
	interruptions, moves int
	// header is the request's, long tells that its text is among the longest.
	header http.Header
	long   bool
}

// ownedJob is a job whose items this node runs.
type ownedJob struct {
	jobs  *Jobs
	id    string
	job   *doorstepv1.BatchJob
	head  *head
	items []item
	// order is that in which items start, the longest first.
	order []int
	// prompts maps a group to the endpoint that holds its prompt.
	prompts    map[string]string
	committing bool
	writtenAt  time.Time
	retryAt    time.Time
	pause      time.Duration
	// startAfter is when items may start.
	startAfter time.Time
	// openRuns counts runs whose end is still to come.
	openRuns int
	// releasing is set while the job is handed over, closing once it is dropped; both
	// wait for the open runs to bring in their texts.
	releasing, closing, saved bool
	// handOver is set once the head may name no owner.
	handOver bool
	// keeping is set while texts are on their way to the store.
	keeping bool
	keptAt  time.Time
}

// takeOver takes jobs whose owner is gone, or that have none.
func (j *Jobs) takeOver(now time.Time) {
	if j.stopping || !j.observing {
		return
	}
	for _, id := range sortedKeys(j.heads) {
		known := j.heads[id]
		if known.Ended || known.complete() || known.mutating || now.Before(known.nextTry) || j.owned[id] != nil || !j.mayTake(now, id, known) {
			continue
		}
		j.take(now, id, known)
	}
}

func (j *Jobs) mayTake(now time.Time, id string, known *head) bool {
	if known.Owner == j.options.Self {
		return true
	}
	spread := time.Duration(xxhash.Sum64String(id+"/"+j.options.Self) % uint64(takeoverSpread))
	unchanged := now.Sub(known.changedAt)
	if known.Owner == "" {
		return unchanged >= spread/2
	}
	// The time before the watch began says nothing of the owner.
	return min(unchanged, now.Sub(j.observedSince)) >= takeoverAfter+latencies*j.options.Latency()+spread
}

func (j *Jobs) take(now time.Time, id string, known *head) {
	known.mutating = true
	former := known.Owner
	next := proto.Clone(known.BatchJobHead).(*doorstepv1.BatchJobHead)
	next.Owner = j.options.Self
	next.OwnerIncarnation = j.options.Incarnation
	next.Beat++
	j.commitHead(id, next, known.revision, nil, func(now time.Time, result port.RecordResult) {
		known.mutating = false
		known.nextTry = now.Add(longestPause)
		if result.Status != port.RecordDone {
			return
		}
		j.options.Queue.Log(event.JobTaken, "job", id, "former", former, "listed", next.Listed, "total", next.Total)
		j.load(now, id, known)
	})
}

// load reads the content of a job that was taken over.
func (j *Jobs) load(now time.Time, id string, known *head) {
	known.mutating = true
	j.ReadContent(now, id, func(now time.Time, job *doorstepv1.BatchJob) {
		known.mutating = false
		if job == nil {
			known.nextTry = now.Add(longestPause)
			return
		}
		if current := j.heads[id]; current != nil && j.mine(current.BatchJobHead) && !current.Ended && j.owned[id] == nil {
			j.begin(now, job, current.BatchJobHead, current.revision, true)
		}
	})
}

// begin starts the work of an owner; former says that there may have been one before.
func (j *Jobs) begin(now time.Time, job *doorstepv1.BatchJob, state *doorstepv1.BatchJobHead, revision int64, former bool) {
	j.setHead(now, job.Id, state, revision)
	if j.owned[job.Id] != nil {
		// Two tries of one job were answered out of order: the work has begun.
		return
	}
	owned := &ownedJob{
		jobs: j, id: job.Id, job: job, head: j.heads[job.Id], items: make([]item, len(job.Items)),
		prompts: map[string]string{}, writtenAt: now, pause: firstPause,
	}
	j.owned[job.Id] = owned
	owned.prepare()
	owned.adopt(owned.head)
	if former {
		owned.readTexts(now)
	}
	owned.advance(now)
}

// prepare reads the items' headers, and marks those that are expected to be longest.
func (o *ownedJob) prepare() {
	hints := make([]int, len(o.items))
	order := make([]int, len(o.items))
	for i, content := range o.job.Items {
		header := http.Header{}
		for _, field := range content.Headers {
			header.Set(field.Name, field.Value)
		}
		o.items[i].header = header
		hints[i] = o.jobs.options.LengthHint(header)
		order[i] = i
	}
	sortByLength(order, func(index int) int { return hints[index] })
	for _, index := range order[:len(order)/longPart] {
		o.items[index].long = hints[index] > 0
	}
	o.order = order
}

// adopt takes a head that names this node as the owner: what it lists is listed.
func (o *ownedJob) adopt(known *head) {
	o.head = known
	for i := range o.items {
		if o.items[i].state != itemListed && listed(known.BatchJobHead, i) {
			o.items[i] = item{state: itemListed, run: o.items[i].run, endpoint: o.items[i].endpoint}
		}
	}
}

func listed(state *doorstepv1.BatchJobHead, index int) bool {
	return index/8 < len(state.ListedItems) && state.ListedItems[index/8]&(1<<(index%8)) != 0
}

// advance gives up what is too old, starts items and writes what is due.
func (o *ownedJob) advance(now time.Time) {
	if o.jobs.owned[o.id] != o {
		return
	}
	if o.head.complete() {
		delete(o.jobs.owned, o.id)
		o.jobs.options.Queue.Log(event.JobCompleted, "job", o.id, "total", o.head.Total)
		return
	}
	o.giveUp(now)
	if !o.releasing && now.Sub(o.writtenAt) < unconfirmedFor && !now.Before(o.startAfter) {
		o.startItems(now)
	}
	o.write(now)
	if !o.keeping && !o.releasing && now.Sub(o.keptAt) >= keepEvery {
		o.keeping = true
		o.keptAt = now
		o.keepTexts(now, func(time.Time) { o.keeping = false })
	}
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
		if o.items[i].state == itemWaiting || o.items[i].state == itemRunning {
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
	if one.state == itemRunning {
		o.jobs.options.Queue.Add(task.StopRun{ID: one.run})
	}
	o.jobs.options.Queue.Log(event.ItemTerminated, "job", o.id, "item", o.job.Items[index].Id, "reason", reason,
		"failures", o.head.Failures[int32(index)])
	one.events = nil
	one.state = itemFinished
	one.finishedAt = now
	one.result = &doorstepv1.BatchResult{Id: o.job.Items[index].Id}
}

func (o *ownedJob) startItems(now time.Time) {
	route := o.route()
	if route == nil {
		return
	}
	full := false
	for _, i := range o.order {
		one := &o.items[i]
		if one.state != itemWaiting || now.Before(one.notAt) {
			continue
		}
		if !o.start(now, i, route) {
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
	chosen := o.jobs.options.Place(now, Placement{
		Route: route, Model: o.job.Model, MinVersion: o.job.MinVersion,
		Prefer: o.prompts[content.Group], Avoid: one.avoid, Long: one.long,
	})
	if chosen == nil {
		return false
	}
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
	o.jobs.options.Queue.Add(task.Run{
		ID: run, Item: content.Id, Replica: chosen.ID, Address: chosen.Address, Target: content.Path, Host: o.job.Host,
		Header: one.header.Clone(), Body: content.Body, Limit: runLimit, After: lastEvent(one.events),
		FirstWithin: patience(firstSilence, one.interruptions), NextWithin: o.nextSilence(one, route),
		Progress: func(now time.Time, events []port.ReplicaEvent, pace time.Duration) bool {
			return o.onProgress(now, index, run, events, pace)
		},
		Done: func(now time.Time, result task.RunResult) {
			o.jobs.account(now, chosen.ID, result, now.Sub(sentAt))
			chosen.InFlight--
			o.openRuns--
			o.onRun(now, index, run, result)
		},
	})
	return true
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

// onProgress learns how fast a run makes events, and decides whether it is to go on
// elsewhere: only if there is a clearly faster replica with room. Moving a run costs its
// prompt and text read anew, so it is done a few times at most.
func (o *ownedJob) onProgress(now time.Time, index int, run uint64, events []port.ReplicaEvent, pace time.Duration) bool {
	one := &o.items[index]
	if one.run == run && one.state == itemRunning {
		one.progress = events
	}
	if chosen := o.jobs.options.Find(one.endpoint); chosen != nil && one.run == run {
		chosen.LearnPace(now, pace)
	}
	route := o.route()
	if one.state != itemRunning || one.run != run || route == nil || route.SingleVersion || one.moves >= movesAtMost {
		return false
	}
	better := o.jobs.options.Place(now, Placement{
		Route: route, Model: o.job.Model, MinVersion: o.job.MinVersion, Avoid: one.endpoint, Long: true,
	})
	if better == nil || better.Pace(now) == 0 {
		return false
	}
	times := float64(pace) / float64(better.Pace(now))
	return times > troubledFactor || times > slowFactor && (one.long || len(events) >= shortEvents)
}

func lastEvent(events []port.ReplicaEvent) int64 {
	if len(events) == 0 {
		return 0
	}
	return events[len(events)-1].ID
}

// account tells the endpoint how its run fared.
func (j *Jobs) account(now time.Time, id string, result task.RunResult, took time.Duration) {
	chosen := j.options.Find(id)
	if chosen == nil {
		return
	}
	switch result.Outcome {
	case task.RunCompleted:
		chosen.Succeeded(result.FirstEvent)
	case task.RunRefused:
		chosen.Busy(now)
	case task.RunUnreachable:
		if chosen.Silent(now) {
			j.options.Queue.Log(event.ReplicaEjected, "replica", id, "after_ms", took.Milliseconds())
		}
	case task.RunInterrupted, task.RunFailed, task.RunImpossible, task.RunSlow:
	}
	if result.Pace > 0 {
		chosen.LearnPace(now, result.Pace)
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
	one.avoid = ""
	one.progress = nil
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
	case task.RunInterrupted, task.RunUnreachable:
		one.avoid = one.endpoint
		one.interruptions++
		one.notAt = now.Add(busyPause / 2)
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
	o.advance(now)
}

func (o *ownedJob) learnVersions(one *item, result task.RunResult) {
	chosen := o.jobs.options.Find(one.endpoint)
	if chosen == nil {
		return
	}
	for _, single := range result.Events {
		chosen.LearnVersion(o.job.Model, single.Version)
	}
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
	result := &doorstepv1.BatchResult{Id: o.job.Items[index].Id, Completed: true}
	message := make([]byte, 0, len(one.events)*(len(one.events[0].Data)+1))
	for i, made := range one.events {
		if i > 0 {
			message = append(message, '\n')
		}
		message = append(message, made.Data...)
		if !slices.Contains(result.Versions, made.Version) {
			result.Versions = append(result.Versions, made.Version)
		}
	}
	result.Message = string(message)
	o.jobs.options.Queue.Log(event.ItemCompleted, "job", o.id, "item", result.Id, "replica", one.endpoint, "events", len(one.events),
		"versions", result.Versions, "runs", one.runs, "moves", one.moves, "interruptions", one.interruptions, "long", one.long,
		"since_ms", now.Sub(one.startedAt).Milliseconds(), "last_run_events", len(last.Events), "pace_us", last.Pace.Microseconds())
	one.events = nil
	one.result = result
	one.state = itemFinished
	one.finishedAt = now
}

func (o *ownedJob) failed(now time.Time, index int) {
	one := &o.items[index]
	if o.head.Failures == nil {
		o.head.Failures = map[int32]int32{}
	}
	o.head.Failures[int32(index)]++
	one.avoid = one.endpoint
	one.notAt = now.Add(failPause)
	route := o.route()
	if route != nil && int(o.head.Failures[int32(index)]) >= max(route.MaxAttempts, 1) {
		o.terminate(now, index, "failed at every attempt")
	}
}

// stopRuns cancels all runs; finishStop goes on once the last has ended.
func (o *ownedJob) stopRuns(now time.Time) {
	for i := range o.items {
		if o.items[i].state == itemRunning {
			o.jobs.options.Queue.Add(task.StopRun{ID: o.items[i].run})
		}
	}
	o.finishStop(now)
}

// finishStop keeps the texts of a job that is handed over, once all its runs have
// brought them in.
func (o *ownedJob) finishStop(now time.Time) {
	if o.openRuns > 0 || !o.closing && !o.releasing || o.saved {
		return
	}
	o.saved = true
	if o.closing {
		return
	}
	o.keepTexts(now, func(now time.Time) {
		if o.jobs.owned[o.id] == o {
			o.handOver = true
			o.write(now)
		}
	})
}

// write lists finished items, or shows that the owner lives.
func (o *ownedJob) write(now time.Time) {
	if o.committing || now.Before(o.retryAt) {
		return
	}
	ready := o.readyItems(now)
	if len(ready) == 0 && now.Sub(o.writtenAt) < beatEvery && !o.handOver {
		return
	}
	next := proto.Clone(o.head.BatchJobHead).(*doorstepv1.BatchJobHead)
	next.Beat++
	var puts []port.Record
	for _, index := range ready {
		records := o.resultRecords(int(next.Listed), index)
		if len(puts) > 0 && sizeOf(puts)+sizeOf(records) > transactionBytes {
			break
		}
		puts = append(puts, records...)
		next.ListedItems[index/8] |= 1 << (index % 8)
		next.Listed++
	}
	next.Paces = o.paces(now)
	if o.handOver {
		next.Owner = ""
	}
	o.committing = true
	o.jobs.commitHead(o.id, next, o.head.revision, puts, func(now time.Time, result port.RecordResult) {
		o.onWritten(now, result)
	})
}

// pacesAtMost bounds the paces that a head tells.
const pacesAtMost = 32

// paces returns what this node found of the replicas that the job's items ran at.
func (o *ownedJob) paces(now time.Time) []*doorstepv1.ReplicaPace {
	var list []*doorstepv1.ReplicaPace
	told := map[string]bool{}
	for i := range o.items {
		id := o.items[i].endpoint
		if id == "" || told[id] || len(list) >= pacesAtMost {
			continue
		}
		told[id] = true
		if known := o.jobs.options.Find(id); known != nil && known.Pace(now) > 0 {
			list = append(list, &doorstepv1.ReplicaPace{Replica: id, Microseconds: int32(known.Pace(now).Microseconds())})
		}
	}
	return list
}

// hearPaces takes what the owner of a job found.
func (j *Jobs) hearPaces(now time.Time, state *doorstepv1.BatchJobHead) {
	for _, one := range state.Paces {
		if known := j.options.Find(one.Replica); known != nil {
			known.HearPace(now, time.Duration(one.Microseconds)*time.Microsecond)
		}
	}
}

// readyItems returns the finished items once the oldest has waited for others.
func (o *ownedJob) readyItems(now time.Time) []int {
	var ready []int
	due := o.releasing || int(o.head.Total-o.head.Listed) <= lastItems
	for i := range o.items {
		if o.items[i].state != itemFinished {
			continue
		}
		ready = append(ready, i)
		due = due || now.Sub(o.items[i].finishedAt) >= gatherFor
	}
	if !due && len(ready) < listAtOnce {
		return nil
	}
	return ready[:min(len(ready), listAtOnce)]
}

func (o *ownedJob) resultRecords(position, index int) []port.Record {
	encoded, err := proto.Marshal(o.items[index].result)
	if err != nil {
		panic("a result must encode: " + err.Error())
	}
	return chunkRecords(encoded, func(chunk int) port.RecordKey { return resultKey(o.id, position, chunk) })
}

func sizeOf(records []port.Record) int {
	total := 0
	for _, record := range records {
		total += len(record.Value)
	}
	return total
}

func (o *ownedJob) onWritten(now time.Time, result port.RecordResult) {
	o.committing = false
	if o.jobs.owned[o.id] != o {
		return
	}
	switch result.Status {
	case port.RecordDone:
		o.writtenAt = now
		o.pause = firstPause
	case port.RecordConflict:
		// The head was this node's own after all: its last write took effect.
		o.writtenAt = now
	default:
		o.retryAt = now.Add(o.pause)
		o.pause = min(2*o.pause, longestPause)
	}
	o.advance(now)
}

// release hands the job over with what is finished and the texts that were begun.
func (o *ownedJob) release(now time.Time) {
	o.releasing = true
	o.stopRuns(now)
}
