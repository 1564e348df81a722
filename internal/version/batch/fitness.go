package batch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorstep/doorstep/internal/version/recordlease"
)

// Fitness is a node's fitness to run another job. Fitter nodes go first when a job without a
// responsive owner is taken over.
type Fitness int

const (
	// Normal is the fitness of all nodes of a small deployment, except slow ones.
	Normal Fitness = iota
	// Ready nodes have the replica list of a large deployment loaded and own no job.
	Ready
	// NotReady nodes would first have to load the replica list, or are busy.
	NotReady
	// Slow nodes have only a small share of a processor.
	Slow
)

const (
	// Delays before a node takes a job over, in addition to its spread. A node without the
	// replica list must load it before any item of the job can start.
	readyDelay   = 100 * time.Millisecond
	unreadyDelay = 300 * time.Millisecond
	slowDelay    = 800 * time.Millisecond
)

func (j *Jobs) fitness(now time.Time) Fitness {
	if j.options.Fitness == nil {
		return Normal
	}
	return j.options.Fitness(now)
}

// keepsAcceptedJobs reports whether this node becomes the owner of jobs that it accepts, unless
// another node owns the model's other jobs.
func (j *Jobs) keepsAcceptedJobs(now time.Time) bool {
	switch j.fitness(now) {
	case Normal, Ready:
		return true
	case NotReady, Slow:
	}
	return false
}

// takeoverDelay returns how long this node waits before it takes over a job without a
// responsive owner: a part derived from a hash, which spreads the nodes over time, and a fixed part
// that depends on its fitness.
func (j *Jobs) takeoverDelay(now time.Time, id string, known *head) (spread, delay time.Duration) {
	spreadOver := recordlease.TakeoverSpread(takeoverSpread, j.options.NodeCount)
	switch j.fitness(now) {
	case Normal:
	case Ready:
		spreadOver = takeoverSpread
		if !j.ownedPreviousJob(known) {
			delay = readyDelay
		}
	case NotReady:
		delay = unreadyDelay
	case Slow:
		delay = slowDelay
	}
	return time.Duration(xxhash.Sum64String(id+"/"+j.options.Self) % uint64(spreadOver)), delay
}

// ownedPreviousJob reports whether this node owned the newest other job of a job's model.
func (j *Jobs) ownedPreviousJob(job *head) bool {
	var newest *head
	for _, known := range j.heads {
		if known != job && known.Model == job.Model && known.Owner != "" && (newest == nil || known.acceptedAfter(newest)) {
			newest = known
		}
	}
	return newest != nil && newest.Owner == j.options.Self
}
