// Package batch keeps batch jobs in the record store and sees their items run.
//
// A job is written once, with a head record that holds its state. Every change of a
// job is a transaction that demands the head's revision, so that an item gets one
// position however many nodes believe that they own the job. Ownership decides only
// who runs the items: an owner that falls silent is replaced, and one that wakes up
// finds its writes refused.
package batch

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/quarantine"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// DataTable holds the jobs' contents and results, which are read when asked for.
	DataTable = "batch-data"
	// Partitions is the number of partitions that jobs are spread over.
	Partitions = 8
	// chunkBytes is the content of one record, below the store's bound.
	chunkBytes = 60_000
	// transactionBytes bounds the contents of one transaction.
	transactionBytes = 600_000
)

// Partition returns the partition of a job.
func Partition(job string) string {
	return PartitionName(int(xxhash.Sum64String(job) % Partitions))
}

// PartitionName returns the name of a partition by its number.
func PartitionName(number int) string { return fmt.Sprintf("p%d", number) }

func headKey(job string) port.RecordKey {
	return port.RecordKey{Table: port.SharedTable, Partition: Partition(job), Key: job}
}

func contentKey(job string, chunk int) port.RecordKey {
	return port.RecordKey{Table: DataTable, Partition: Partition(job), Key: fmt.Sprintf("%s/m/%04d", job, chunk)}
}

func resultKey(job string, position, chunk int) port.RecordKey {
	return port.RecordKey{Table: DataTable, Partition: Partition(job), Key: fmt.Sprintf("%s/r/%08d/%02d", job, position, chunk)}
}

// Placement says what an item needs of an endpoint.
type Placement struct {
	Route *port.Route
	// Tenant handed the job in, empty where there are no tenants.
	Tenant     string
	Model      string
	MinVersion int64
	// Prefer is the endpoint that holds the item's prompt, Avoid one that failed it.
	Prefer, Avoid string
	// Exclude holds further endpoints that the item must not go to.
	Exclude map[string]bool
	// Long texts decide when the job is whole.
	Long bool
	// Paced items are to go where it is known how fast events are made, if they can.
	Paced bool
	// Tokens is the memory that the item is expected to take at its replica.
	Tokens int
	// Look asks where the item would go; nothing is sent there.
	Look bool
}

// Options configure Jobs.
type Options struct {
	Self        string
	Incarnation uint64
	// Topology is where the node stands among zones and regions.
	Topology port.Topology
	Queue    *task.Queue
	Random   *rand.Rand
	// Place chooses an endpoint, nil when none has room.
	Place func(now time.Time, wanted Placement) *endpoint.Endpoint
	// PlaceScoring chooses an endpoint for the scoring call of an item of a tenant's that has been
	// to those excluded, nil when none has room.
	PlaceScoring func(now time.Time, route *port.Route, tenant string, exclude map[string]bool) *endpoint.Endpoint
	// LengthHint returns the tokens that a request's header says it will make.
	LengthHint func(header http.Header) int
	// MostEvents returns the most events that a request's text may have, 0 if it does not tell.
	MostEvents func(route *port.Route, header http.Header) int
	// ExpectedTokens returns the memory that a request is expected to take at its replica, given
	// the events that there are of its text, 0 if that can't be told.
	ExpectedTokens func(route *port.Route, header http.Header, events int) int
	// Find returns an endpoint that is still listed.
	Find func(id string) *endpoint.Endpoint
	// Route returns the route of a host and path under the configuration in force.
	Route func(host, path string) *port.Route
	// Homes tell where jobs may be kept and run.
	Homes Homes
	// Quarantine knows the requests that crash replicas.
	Quarantine *quarantine.Quarantine
	// Latency returns how long calls to the store take of late.
	Latency func() time.Duration
	// Nodes returns how many nodes there are, 0 where that is not known.
	Nodes func() int
	// Standing returns how fit this node is to run one more job; nil where all nodes are alike.
	Standing func(now time.Time) Standing
	// Observed returns the time up to which a change of a head would have been heard of.
	Observed func(now time.Time) time.Time
	// Clock returns the least and the most that the store's steady clock may show;
	// known is false before the store's first answer.
	Clock func(now time.Time) (least, most time.Duration, known bool)
}

// head is what this node knows of a job's head record.
type head struct {
	*doorstepv1.BatchJobHead
	revision int64
	// changedAt is when this node saw the record change.
	changedAt time.Time
	// mutating is set while this node changes the head other than as its owner.
	mutating bool
	nextTry  time.Time
}

func (h *head) complete() bool { return h.Listed >= h.Total }

// Jobs is the machine; it belongs to the node's loop.
type Jobs struct {
	options Options
	heads   map[string]*head
	owned   map[string]*ownedJob
	runs    uint64
	// observedSince is when the present unbroken watch of the heads began.
	observedSince time.Time
	observing     bool
	stopping      bool
	// apart counts the runs at each endpoint of items that run apart from one another.
	apart map[string]int
	// lengths are those of the models' texts that this node finished.
	lengths map[string]*lengths
	// collecting is set while a job's records are deleted, collectAt is when the next may
	// be looked for.
	collecting bool
	collectAt  time.Time
}

// New returns a machine that knows of no job.
func New(options Options) *Jobs {
	return &Jobs{options: options, heads: map[string]*head{}, owned: map[string]*ownedJob{}, apart: map[string]int{}, lengths: map[string]*lengths{}}
}

// Known returns the state of a job as last seen: its items, how many are listed, and
// whether it ended.
func (j *Jobs) Known(id string) (state State, ok bool) {
	known := j.heads[id]
	if known == nil {
		return State{}, false
	}
	return State{Total: int(known.Total), Listed: int(known.Listed), Ended: known.Ended, Chunks: int(known.Chunks), Owner: known.Owner, Tenant: known.Tenant}, true
}

// State is a job's state for readers.
type State struct {
	Total, Listed, Chunks int
	Ended                 bool
	Owner                 string
	// Tenant handed the job in, empty where there are no tenants.
	Tenant string
}

// Counts tells how many jobs and items there are in each state.
type Counts struct {
	// Open are the jobs known that are neither ended nor complete, Owned those whose
	// items this node runs.
	Open, Owned int
	// Running, Waiting and Scoring are the items of owned jobs that run, wait for a
	// replica, or are whole but for their score.
	Running, Waiting, Scoring int
}

// Counts returns how many jobs and items there are.
func (j *Jobs) Counts() Counts {
	counts := Counts{Owned: len(j.owned)}
	for _, known := range j.heads {
		if !known.Ended && !known.complete() {
			counts.Open++
		}
	}
	for _, job := range j.owned {
		for i := range job.items {
			switch job.items[i].state {
			case itemRunning:
				counts.Running++
			case itemWaiting:
				counts.Waiting++
			case itemScoring:
				counts.Scoring++
			case itemFinished, itemListed:
			}
		}
	}
	return counts
}

// Observing notes whether the watch of the heads is unbroken.
func (j *Jobs) Observing(now time.Time, observing bool) {
	if observing && !j.observing {
		j.observedSince = now
	}
	j.observing = observing
}

// OnHead takes a head record from the watch or a read.
func (j *Jobs) OnHead(now time.Time, record port.Record) {
	if record.Deleted {
		delete(j.heads, record.Key)
		j.drop(now, record.Key, "the job is gone")
		return
	}
	known := j.heads[record.Key]
	if known != nil && record.Revision <= known.revision {
		return
	}
	decoded := &doorstepv1.BatchJobHead{}
	if err := proto.Unmarshal(record.Value, decoded); err != nil {
		j.options.Queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
		return
	}
	if !j.mine(decoded) {
		j.hearPaces(now, decoded)
	}
	j.setHead(now, record.Key, decoded, record.Revision)
}

// setHead takes a newer head, and drops the job if this node no longer runs it.
func (j *Jobs) setHead(now time.Time, id string, decoded *doorstepv1.BatchJobHead, revision int64) {
	known := j.heads[id]
	if known == nil {
		known = &head{}
		j.heads[id] = known
	}
	if revision < known.revision {
		return
	}
	known.BatchJobHead = decoded
	known.revision = revision
	known.changedAt = now
	j.options.Queue.Add(task.NotifyJob{Job: id})
	switch job := j.owned[id]; {
	case job == nil:
	case decoded.Ended:
		j.drop(now, id, "the job was ended")
	case !j.mine(decoded):
		j.drop(now, id, "owned by "+decoded.Owner)
	default:
		job.adopt(known)
	}
}

func (j *Jobs) mine(decoded *doorstepv1.BatchJobHead) bool {
	return decoded.Owner == j.options.Self && decoded.OwnerIncarnation == j.options.Incarnation
}

// drop stops all work on a job.
func (j *Jobs) drop(now time.Time, id, reason string) {
	job := j.owned[id]
	if job == nil {
		return
	}
	delete(j.owned, id)
	j.options.Queue.Log(event.JobDropped, "job", id, "reason", reason)
	if job.head.Ended {
		job.learnLengths(now)
	}
	job.closing = true
	job.stopRuns(now)
}

// Tick takes jobs over, starts items, and writes what is due.
func (j *Jobs) Tick(now time.Time) {
	j.takeOver(now)
	for _, id := range sortedKeys(j.owned) {
		if job := j.owned[id]; job != nil {
			job.advance(now)
		}
	}
}

// NextTick returns how soon Tick has work that can't wait for the usual pace.
func (j *Jobs) NextTick() bool { return len(j.owned) > 0 }

// Stop hands the jobs over: their heads name no owner, so that another node takes
// them at once.
func (j *Jobs) Stop(now time.Time) {
	j.stopping = true
	for _, id := range sortedKeys(j.owned) {
		j.owned[id].release(now)
	}
}

// Resume takes jobs again after Stop.
func (j *Jobs) Resume() { j.stopping = false }

// Owned returns how many jobs this node still has to hand over.
func (j *Jobs) Owned() int { return len(j.owned) }
