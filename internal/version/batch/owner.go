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
	// heartbeatInterval is how often an owner writes an otherwise unchanged head record. It is
	// measured from one request to the next, so that slow writes don't delay the following
	// heartbeat beyond the takeover timeout.
	heartbeatInterval = 350 * time.Millisecond
	// takeoverTimeout is how long a head record must be unchanged before another node takes the
	// job over. It is extended by takeoverLatencyFactor times the store latency, which delays
	// the owner's heartbeats. takeoverSpread is the range over which takeovers by different
	// nodes are spread.
	takeoverTimeout       = 950 * time.Millisecond
	takeoverLatencyFactor = 4
	takeoverSpread        = 250 * time.Millisecond
	// maxUnconfirmed is how long an owner that can't write its head record keeps starting items.
	maxUnconfirmed = 2 * time.Second
)

// ownedJob is a job whose items are run by this node.
type ownedJob struct {
	jobs *Jobs
	id   string
	// ownership names the checkpoints that this owner writes.
	ownership ownership
	job       *doorstepv1.BatchJob
	head      *head
	items     []item
	// startOrder is the order in which items are started, longest first.
	startOrder []int
	// failures counts failed runs by item, including those under former owners.
	failures map[int32]int32
	// scoringFailures counts failed scoring calls by item in the same way.
	scoringFailures map[int32]int32
	// scoringLosses counts scoring calls by item that were sent and not fully answered.
	scoringLosses map[int32]int32
	// promptEndpoints maps a group to the endpoint that has its prompt cached.
	promptEndpoints map[string]string
	committing      bool
	startedAt       time.Time
	writtenAt       time.Time
	// headSentAt is when the head record was last sent to the store.
	headSentAt time.Time
	retryAt    time.Time
	backoff    time.Duration
	// startAfter is the earliest time to start items.
	startAfter time.Time
	// openRuns counts the runs and scoring calls that have not ended.
	openRuns int
	// releasing is set while the job is handed over, closing once it was dropped. Both wait for
	// the open runs to return their texts; stopped is set once these have ended.
	releasing, closing, stopped bool
	// clearOwner is set once the next head record may name no owner.
	clearOwner bool
	// noReplica is set while the job's home regions have no replica.
	noReplica bool
	// checkpointing is set while a checkpoint is being written.
	checkpointing  bool
	checkpointedAt time.Time
	// overdueCheckedAt is when the job was last checked for overdue items.
	overdueCheckedAt time.Time
	// nextCheckpointItem is the first item considered for the next checkpoint.
	nextCheckpointItem int
}

// takeOverJobs takes over jobs without an owner or with an unresponsive one.
func (j *Jobs) takeOverJobs(now time.Time) {
	if j.stopping || !j.observing {
		return
	}
	for _, id := range sortedKeys(j.heads) {
		known := j.heads[id]
		if known.Ended || known.complete() || known.mutating || now.Before(known.retryAt) || j.owned[id] != nil {
			continue
		}
		switch isOwner := j.isOwner(known.BatchJobHead); {
		case isOwner && !j.mayOwn(known.BatchJobHead):
			j.relinquishJob(now, id, known)
		case !j.mayTake(now, id, known):
		case isOwner:
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
	// Only the time during which the watch delivered changes counts.
	observed := j.options.ObservedUntil(now)
	return min(observed.Sub(known.changedAt), observed.Sub(j.observedSince)) >= takeoverTimeout+takeoverLatencyFactor*j.options.StoreLatency()+spread+delay
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
		j.options.Queue.Log(event.JobTakenOver, "job", id, "former", former, "listed", next.Listed, "total", next.Total)
		j.logCrossRegionTakeover(id, former, formerPlace)
		j.loadJob(now, id, known, former)
	})
}

// loadJob reads the content of a job that was assigned to or taken over by this node, and
// starts it. A job without a former owner has no checkpoints.
func (j *Jobs) loadJob(now time.Time, id string, known *head, former string) {
	known.mutating = true
	loaded := func(now time.Time, job *doorstepv1.BatchJob) {
		known.mutating = false
		current := j.heads[id]
		if current == nil || !j.isOwner(current.BatchJobHead) || current.Ended || j.owned[id] != nil {
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
	// The home regions may change while reads are retried.
	allowed := func() bool { return j.mayOwn(known.BatchJobHead) }
	j.readContent(now, id, allowed, loaded)
}

// relinquishJob clears the owner of a job that this node owns but may no longer read, so that
// nodes in its home regions don't have to wait for the takeover timeout.
func (j *Jobs) relinquishJob(now time.Time, id string, known *head) {
	known.mutating = true
	homes := j.options.Homes.regionsOfHead(known.BatchJobHead)
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

// startJob starts to run a job. headSentAt is when its head record was last sent to the store
// or seen to change; former is set if the job may have had another owner before.
func (j *Jobs) startJob(now time.Time, job *doorstepv1.BatchJob, state *doorstepv1.BatchJobHead, revision int64, headSentAt time.Time, former bool) {
	j.setHead(now, job.Id, state, revision)
	if current := j.heads[job.Id]; j.owned[job.Id] != nil || current.Ended || !j.isOwner(current.BatchJobHead) {
		// The write of the head record was answered late: the job was already started, or has another owner by now.
		return
	}
	j.ownerships++
	owned := &ownedJob{
		jobs: j, id: job.Id, ownership: newOwnership(j.heads[job.Id].Beat, j.ownerships), job: job, head: j.heads[job.Id], items: make([]item, len(job.Items)),
		promptEndpoints: map[string]string{}, failures: map[int32]int32{}, scoringFailures: map[int32]int32{}, scoringLosses: map[int32]int32{}, startedAt: now, writtenAt: now, headSentAt: headSentAt, backoff: initialBackoff,
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

// applyHead applies a head record that names this node as the owner.
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
		if o.items[i].state != itemListed && isListed(known.BatchJobHead, i) {
			it := &o.items[i]
			*it = item{state: itemListed, runID: it.runID, endpoint: it.endpoint, lengthHint: it.lengthHint, finalEvents: it.finalEvents}
		}
	}
}

func isListed(state *doorstepv1.BatchJobHead, index int) bool {
	return index/8 < len(state.ListedItems) && state.ListedItems[index/8]&(1<<(index%8)) != 0
}

// advance expires and starts items, and writes pending changes.
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
	} else {
		o.waitForAll(WaitNotOwned)
	}
	o.logOverdue(now)
	o.writeHead(now)
	if !o.checkpointing && !o.releasing && now.Sub(o.checkpointedAt) >= checkpointInterval {
		o.checkpointing = true
		o.checkpointedAt = now
		o.checkpointTexts(now, func(time.Time) { o.checkpointing = false })
	}
}

// stopRuns cancels all runs and scoring calls. finishStopping continues once all have ended.
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

// finishStopping checkpoints the texts of a job that is handed over, once all runs have ended.
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

// release hands the job over, together with its finished items and partial texts.
func (o *ownedJob) release(now time.Time) {
	o.releasing = true
	o.stopRuns(now)
}
