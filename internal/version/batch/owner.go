package batch

import (
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// beatEvery is how often an owner writes its head when nothing else changes it, counted from
	// one sending to the next: an owner whose writes take up to takeoverAfter is not taken for a
	// silent one. Counted from the answer, the beats of an owner whose calls take 700 ms came 1,050
	// ms apart (TestBeatsArePacedFromTheirSending).
	heartbeatInterval = 350 * time.Millisecond
	// takeoverAfter is how long a head must stand unchanged before another node takes
	// the job, longer by latencies of the store, as an owner's beats come that much
	// later; takeoverSpread spreads the nodes that would.
	takeoverTimeout       = 950 * time.Millisecond
	takeoverLatencyFactor = 4
	takeoverSpread        = 250 * time.Millisecond
	// unconfirmedFor is how long an owner that can't write its head starts items.
	maxUnconfirmed = 2 * time.Second
)

// ownedJob is a job whose items this node runs.
type ownedJob struct {
	jobs  *Jobs
	id    string
	job   *doorstepv1.BatchJob
	head  *head
	items []item
	// order is that in which items start, the longest first.
	startOrder []int
	// failures counts failed runs by item, also those of former owners.
	failures map[int32]int32
	// scoringFailures counts the failures of scoring calls in the same way.
	scoringFailures map[int32]int32
	// scoringLosses counts the scoring calls that were sent and brought no whole answer.
	scoringLosses map[int32]int32
	// prompts maps a group to the endpoint that holds its prompt.
	promptEndpoints map[string]string
	committing      bool
	startedAt       time.Time
	writtenAt       time.Time
	// sentAt is when the head was last sent to the store.
	headSentAt time.Time
	retryAt    time.Time
	backoff    time.Duration
	// startAfter is when items may start.
	startAfter time.Time
	// openRuns counts runs whose end is still to come.
	openRuns int
	// releasing is set while the job is handed over, closing once it is dropped; both
	// wait for the open runs to bring in their texts.
	releasing, closing, stopped bool
	// handOver is set once the head may name no owner.
	clearOwner bool
	// groupOf holds the number of each item's group of items that share a prompt, -1 for none;
	// groups counts them.
	groupOf []int
	groups  int
	// wholeAt is when the groups that the client waits for are expected to be whole, zero while
	// that can't be told.
	groupsCompleteAt time.Time
	// unserved is set while no replica lies in the job's homes.
	noReplica bool
	flushes   flushSchedule
	// keeping is set while texts are on their way to the store.
	checkpointing  bool
	checkpointedAt time.Time
	// keepFrom is the item that texts are kept from next.
	nextCheckpointItem int
}

// takeOver takes jobs whose owner is gone, or that have none.
func (j *Jobs) takeOverJobs(now time.Time) {
	if j.stopping || !j.observing {
		return
	}
	for _, id := range sortedKeys(j.heads) {
		known := j.heads[id]
		if known.Ended || known.complete() || known.mutating || now.Before(known.retryAt) || j.owned[id] != nil {
			continue
		}
		switch mine := j.mine(known.BatchJobHead); {
		case mine && !j.mayOwn(known.BatchJobHead):
			j.relinquishJob(now, id, known)
		case !j.mayTake(now, id, known):
		case mine:
			j.loadJob(now, id, known, "")
		default:
			j.takeJob(now, id, known)
		}
	}
}

func (j *Jobs) mayTake(now time.Time, id string, known *head) bool {
	if !j.mayOwn(known.BatchJobHead) {
		return false
	}
	if known.Owner == j.options.Self {
		return true
	}
	spread, delay := j.takeoverDelay(now, id, known)
	unchanged := now.Sub(known.changedAt)
	if known.Owner == "" {
		return unchanged >= spread/2+delay
	}
	// The time before the watch began, and since it last heard, says nothing of the owner.
	observed := j.options.Observed(now)
	return min(observed.Sub(known.changedAt), observed.Sub(j.observedSince)) >= takeoverTimeout+takeoverLatencyFactor*j.options.Latency()+spread+delay
}

func (j *Jobs) takeJob(now time.Time, id string, known *head) {
	known.mutating = true
	former := known.Owner
	next := proto.Clone(known.BatchJobHead).(*doorstepv1.BatchJobHead)
	next.Owner = j.options.Self
	next.OwnerIncarnation = j.options.Incarnation
	next.OwnerPlace = j.ownPlace()
	next.Beat++
	formerPlace := known.OwnerPlace
	j.commitHead(id, next, known.revision, nil, func(now time.Time, result port.RecordResult) {
		known.mutating = false
		known.retryAt = now.Add(maxBackoff)
		if result.Status != port.RecordDone {
			return
		}
		j.options.Queue.Log(event.JobTaken, "job", id, "former", former, "listed", next.Listed, "total", next.Total)
		j.logCrossRegionTakeover(id, former, formerPlace)
		j.loadJob(now, id, known, former)
	})
}

// load reads the content of a job that this node was given, or has taken over, and begins
// its work. A job that nobody owned before has no texts.
func (j *Jobs) loadJob(now time.Time, id string, known *head, former string) {
	known.mutating = true
	loaded := func(now time.Time, job *doorstepv1.BatchJob) {
		known.mutating = false
		current := j.heads[id]
		if current == nil || !j.mine(current.BatchJobHead) || current.Ended || j.owned[id] != nil {
			return
		}
		if !j.mayOwn(current.BatchJobHead) {
			j.relinquishJob(now, id, current)
			return
		}
		if job == nil {
			known.retryAt = now.Add(maxBackoff)
			return
		}
		if former == "" {
			j.options.Queue.Log(event.JobAssigned, "job", id, "listed", current.Listed, "total", current.Total)
		}
		j.startJob(now, job, current.BatchJobHead, current.revision, current.changedAt, former != "" || current.Beat > 0)
	}
	// Homes may change while the store gives no answer: the reads of a node that they exclude end there.
	allowed := func() bool { return j.mayOwn(known.BatchJobHead) }
	j.readContent(now, id, allowed, loaded)
}

// giveBack names no owner in the head of a job that this node owns by its head and may not read any more:
// nodes of its homes need not wait then for the owner to be held for silent.
func (j *Jobs) relinquishJob(now time.Time, id string, known *head) {
	known.mutating = true
	homes := j.options.Homes.ofHead(known.BatchJobHead)
	next := proto.Clone(known.BatchJobHead).(*doorstepv1.BatchJobHead)
	next.Owner = ""
	next.Beat++
	updateHeadRegions(next, homes)
	j.options.Queue.Log(event.JobLeavesRegion, "job", id, "region", j.options.Topology.Region, "homes", homes.Regions)
	j.commitHead(id, next, known.revision, nil, func(now time.Time, _ port.RecordResult) {
		known.mutating = false
		known.retryAt = now.Add(maxBackoff)
	})
}

// begin starts the work of an owner, whose head was last sent at sentAt, or seen to change then;
// former says that there may have been one before.
func (j *Jobs) startJob(now time.Time, job *doorstepv1.BatchJob, state *doorstepv1.BatchJobHead, revision int64, sentAt time.Time, former bool) {
	j.setHead(now, job.Id, state, revision)
	if j.owned[job.Id] != nil {
		// Two tries of one job were answered out of order: the work has begun.
		return
	}
	owned := &ownedJob{
		jobs: j, id: job.Id, job: job, head: j.heads[job.Id], items: make([]item, len(job.Items)),
		promptEndpoints: map[string]string{}, failures: map[int32]int32{}, scoringFailures: map[int32]int32{}, scoringLosses: map[int32]int32{}, startedAt: now, writtenAt: now, headSentAt: sentAt, backoff: initialBackoff,
	}
	j.owned[job.Id] = owned
	owned.prepareItems(now)
	owned.applyHead(owned.head)
	if former {
		owned.readCheckpoints(now)
	}
	if j.stopping {
		owned.release(now)
	}
	owned.advance(now)
}

// adopt takes a head that names this node as the owner: what it lists is listed.
func (o *ownedJob) applyHead(known *head) {
	o.head = known
	for index, count := range known.Failures {
		o.failures[index] = max(o.failures[index], count)
	}
	for index, count := range known.ScoringFailures {
		o.scoringFailures[index] = max(o.scoringFailures[index], count)
	}
	for index, count := range known.ScoringLosses {
		o.scoringLosses[index] = max(o.scoringLosses[index], count)
	}
	for i := range o.items {
		if o.items[i].state != itemListed && listed(known.BatchJobHead, i) {
			it := &o.items[i]
			*it = item{state: itemListed, runID: it.runID, endpoint: it.endpoint, lengthHint: it.lengthHint, finalEvents: it.finalEvents}
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
		o.recordLengths(now)
		return
	}
	o.enforceHomes(now)
	o.expireItems(now)
	if !o.releasing && now.Sub(o.writtenAt) < maxUnconfirmed && !now.Before(o.startAfter) {
		o.startItems(now)
		o.scoreItems(now)
	}
	o.writeHead(now)
	if !o.checkpointing && !o.releasing && now.Sub(o.checkpointedAt) >= checkpointInterval {
		o.checkpointing = true
		o.checkpointedAt = now
		o.checkpointTexts(now, func(time.Time) { o.checkpointing = false })
	}
}

// stopRuns cancels all runs and scoring calls; finishStop goes on once the last has ended.
func (o *ownedJob) stopRuns(now time.Time) {
	for i := range o.items {
		o.stopItem(i)
	}
	o.finishStopping(now)
}

// stopItem cancels an item's run or scoring calls.
func (o *ownedJob) stopItem(index int) {
	it := &o.items[index]
	if it.state == itemRunning {
		o.jobs.options.Queue.Add(task.StopRun{ID: it.runID})
	}
	o.stopScoring(it)
}

// finishStop keeps the texts of a job that is handed over, once all its runs have
// brought them in.
func (o *ownedJob) finishStopping(now time.Time) {
	if o.openRuns > 0 || !o.closing && !o.releasing || o.stopped {
		return
	}
	o.stopped = true
	if o.closing {
		return
	}
	o.checkpointTexts(now, func(now time.Time) {
		if o.jobs.owned[o.id] == o {
			o.clearOwner = true
			o.writeHead(now)
		}
	})
}

// release hands the job over with what is finished and the texts that were begun.
func (o *ownedJob) release(now time.Time) {
	o.releasing = true
	o.stopRuns(now)
}
