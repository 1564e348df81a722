// Package batch stores batch jobs in the record store and runs their items.
//
// A job is written once, together with a head record that holds its state. Every state change
// is a transaction conditional on the head's revision, so each item is listed at exactly one
// position even if several nodes believe that they own the job. Ownership only decides which
// node runs the items: an unresponsive owner is replaced, and its later writes are rejected.
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
	"github.com/doorstep/doorstep/internal/request/relay"
)

const (
	// DataTable holds job contents, checkpoints and results, which are read on demand.
	DataTable = "batch-data"
	// Partitions is the number of partitions that jobs are spread over.
	Partitions = 8
	// chunkBytes is the maximum size of one record, below the store's limit.
	chunkBytes = 60_000
	// maxTransactionBytes limits the size of one transaction.
	maxTransactionBytes = 600_000
)

// Partition returns the partition of a job.
func Partition(job string) string {
	return PartitionName(int(xxhash.Sum64String(job) % Partitions))
}

// PartitionName returns the name of the partition with the given number.
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

// Placement describes the requirements of an item on an endpoint.
type Placement struct {
	Route *port.Route
	// Tenant submitted the job; empty without tenants.
	Tenant     string
	Model      string
	MinVersion int64
	// Prefer is the endpoint that has the item's prompt cached, Avoid one that failed it.
	Prefer, Avoid string
	// Exclude holds further endpoints that must not be chosen.
	Exclude map[string]bool
	// Long is set for items whose text is expected to determine when the job completes.
	Long bool
	// PreferKnownPace asks for an endpoint with a known time per event, if there is one.
	PreferKnownPace bool
	// Tokens is the memory that the item is expected to use on its replica.
	Tokens int
	// DryRun chooses an endpoint without sending or reserving anything.
	DryRun bool
}

// Options configure Jobs.
type Options struct {
	Self        string
	Incarnation uint64
	// Topology is the node's zone and region, and the regions of all zones.
	Topology port.Topology
	Queue    *task.Queue
	Random   *rand.Rand
	// Place chooses an endpoint for an item, or returns nil if none has capacity.
	Place func(now time.Time, wanted Placement) *endpoint.Endpoint
	// PlaceScoring chooses an endpoint outside exclude for a tenant's scoring call, or returns
	// nil if none has capacity.
	PlaceScoring func(now time.Time, route *port.Route, tenant string, exclude map[string]bool) *endpoint.Endpoint
	// ResultTime returns the longest time that a batch job has for its results, 0 if unlimited.
	ResultTime func() time.Duration
	// ResponseTimes estimates how long scoring calls take.
	ResponseTimes *relay.ResponseTimes
	// LengthHint returns the expected number of tokens given in a request header, or 0.
	LengthHint func(header http.Header) int
	// MaxEvents returns the maximum number of events of a request's text, or 0 if unknown.
	MaxEvents func(route *port.Route, header http.Header) int
	// MaxTextEvents returns the number of events that no text of a request exceeds, or 0 if unknown.
	MaxTextEvents func(route *port.Route, header http.Header) int
	// ExpectedTokens returns the memory that a request is expected to use on its replica, given
	// the number of events generated so far, or 0 if unknown.
	ExpectedTokens func(route *port.Route, header http.Header, events int) int
	// FindEndpoint returns a listed endpoint by ID, or nil.
	FindEndpoint func(id string) *endpoint.Endpoint
	// Route returns the route of a host and path in the current configuration.
	Route func(host, path string) *port.Route
	// Homes determines the regions in which jobs may be stored and run.
	Homes Homes
	// Quarantine tracks callers' requests that crash replicas. Items with the same content clear them.
	Quarantine *quarantine.Quarantine
	// StoreLatency returns the recent latency of store calls.
	StoreLatency func() time.Duration
	// NodeCount returns the number of nodes, or 0 if unknown.
	NodeCount func() int
	// Fitness returns this node's fitness to run another job; nil if all nodes are equally fit.
	Fitness func(now time.Time) Fitness
	// ObservedUntil returns the time up to which the watch has delivered changes of head records.
	ObservedUntil func(now time.Time) time.Time
	// StoreClock returns the lower and upper bound of the store's monotonic clock; known is false
	// until the store first answers.
	StoreClock func(now time.Time) (least, most time.Duration, known bool)
}

// head is this node's view of a job's head record.
type head struct {
	*doorstepv1.BatchJobHead
	revision int64
	// changedAt is when this node last saw the record change.
	changedAt time.Time
	// mutating is set while a takeover, load or hand-back is in progress.
	mutating bool
	retryAt  time.Time
}

func (h *head) complete() bool { return h.Listed >= h.Total }

// Jobs manages all batch jobs known to a node. It must only be used from the node's event loop.
type Jobs struct {
	options   Options
	heads     map[string]*head
	owned     map[string]*ownedJob
	lastRunID uint64
	// ownerships counts the ownerships of jobs by this node.
	ownerships uint64
	// observedSince is when the current uninterrupted watch of head records started.
	observedSince time.Time
	observing     bool
	stopping      bool
	// isolatedRuns counts the runs of isolated items by endpoint ID.
	isolatedRuns map[string]int
	// crashes counts replica crashes under items and scoring calls.
	crashes int
	// lengthHistories holds the text lengths observed by this node, by model.
	lengthHistories map[string]*lengthHistory
	// collecting is set while a job's records are being deleted; collectAt is when the next
	// deletion may start.
	collecting bool
	collectAt  time.Time
}

// New returns a Jobs without any known job.
func New(options Options) *Jobs {
	return &Jobs{options: options, heads: map[string]*head{}, owned: map[string]*ownedJob{}, isolatedRuns: map[string]int{}, lengthHistories: map[string]*lengthHistory{}}
}

// Lookup returns the last observed state of a job.
func (j *Jobs) Lookup(id string) (state State, ok bool) {
	known := j.heads[id]
	if known == nil {
		return State{}, false
	}
	return State{Total: int(known.Total), Listed: int(known.Listed), Ended: known.Ended, Chunks: int(known.Chunks), Owner: known.Owner, Tenant: known.Tenant}, true
}

// State is the observed state of a job.
type State struct {
	Total, Listed, Chunks int
	Ended                 bool
	Owner                 string
	// Tenant submitted the job; empty without tenants.
	Tenant string
}

// Counts holds the number of jobs and items by state.
type Counts struct {
	// Open counts the known jobs that are neither ended nor complete, Owned those owned by this
	// node.
	Open, Owned int
	// Running, Waiting and Scoring count the items of owned jobs that run, wait for a replica,
	// or wait for the score of a complete text.
	Running, Waiting, Scoring int
}

// Counts returns the current job and item counts.
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

// SetObserving records whether the watch of head records is uninterrupted.
func (j *Jobs) SetObserving(now time.Time, observing bool) {
	if observing && !j.observing {
		j.observedSince = now
	}
	j.observing = observing
}

// OnHead processes a head record from the watch or a read.
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
	if !j.isOwner(decoded) {
		j.applyPaces(now, decoded)
	}
	j.setHead(now, record.Key, decoded, record.Revision)
}

// setHead applies a newer head record, and drops the job if this node no longer owns it.
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
	case !j.isOwner(decoded):
		j.drop(now, id, "owned by "+decoded.Owner)
	default:
		job.applyHead(known)
	}
}

func (j *Jobs) isOwner(decoded *doorstepv1.BatchJobHead) bool {
	return decoded.Owner == j.options.Self && decoded.OwnerIncarnation == j.options.Incarnation
}

// drop cancels all work on a job.
func (j *Jobs) drop(now time.Time, id, reason string) {
	job := j.owned[id]
	if job == nil {
		return
	}
	delete(j.owned, id)
	j.options.Queue.Log(event.JobDropped, "job", id, "reason", reason)
	if job.head.Ended {
		job.recordLengths(now)
	}
	job.closing = true
	job.stopRuns(now)
}

// Tick takes over jobs, starts items, and writes pending changes.
func (j *Jobs) Tick(now time.Time) {
	j.takeOverJobs(now)
	for _, id := range sortedKeys(j.owned) {
		if job := j.owned[id]; job != nil {
			job.advance(now)
		}
	}
}

// NextTick reports whether owned jobs need frequent ticks.
func (j *Jobs) NextTick() bool { return len(j.owned) > 0 }

// Stop hands all owned jobs over by clearing the owner in their head records, so that another
// node takes them immediately.
func (j *Jobs) Stop(now time.Time) {
	j.stopping = true
	for _, id := range sortedKeys(j.owned) {
		j.owned[id].release(now)
	}
}

// Resume allows taking jobs over again after Stop.
func (j *Jobs) Resume() { j.stopping = false }

// OwnedCount returns the number of jobs owned by this node.
func (j *Jobs) OwnedCount() int { return len(j.owned) }
