package batch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorstep/doorstep/internal/version/recordlease"
)

// Standing says how fit a node is to run one more job. The fitter ones come first to a job that nobody
// runs: one that was handed over, whose owner is silent, or that was accepted by a node that isn't fit.
type Standing int

const (
	// Usual nodes are as fit as any other; all nodes of a small deployment are, but for slow ones.
	Usual Standing = iota
	// Ready nodes know all replicas of a large deployment and own no job.
	Ready
	// Unready nodes would have to read all replicas first, or are busy.
	Unready
	// Slow nodes have little of a processor.
	Slow
)

const (
	// Behind which time nodes come to a job that nobody runs, beside the time over which they spread.
	// Reading 10,000 replicas takes some 0.3 s on a whole core and 2.4 s on a fifth of one, and all items
	// of the job wait for it; the owners of the model's last step need not read them.
	readyDelay   = 100 * time.Millisecond
	unreadyDelay = 300 * time.Millisecond
	slowDelay    = 800 * time.Millisecond
)

func (j *Jobs) standing(now time.Time) Standing {
	if j.options.Standing == nil {
		return Usual
	}
	return j.options.Standing(now)
}

// keeps reports whether this node runs the jobs that it accepts, where no other runs the model's.
func (j *Jobs) keepsAcceptedJobs(now time.Time) bool {
	switch j.standing(now) {
	case Usual, Ready:
		return true
	case Unready, Slow:
	}
	return false
}

// turn is when this node's turn to take a job comes that nobody runs: spread over less time if this node
// is one of a few, and behind fitter nodes.
func (j *Jobs) takeoverDelay(now time.Time, id string, known *head) (spread, delay time.Duration) {
	spreadOver := recordlease.SpreadOver(takeoverSpread, j.options.Nodes)
	switch j.standing(now) {
	case Usual:
	case Ready:
		spreadOver = takeoverSpread
		if !j.ownedPreviousJob(known) {
			delay = readyDelay
		}
	case Unready:
		delay = unreadyDelay
	case Slow:
		delay = slowDelay
	}
	return time.Duration(xxhash.Sum64String(id+"/"+j.options.Self) % uint64(spreadOver)), delay
}

// ranLast reports whether this node ran the newest of the other jobs of a job's model.
func (j *Jobs) ownedPreviousJob(job *head) bool {
	var newest *head
	for _, known := range j.heads {
		if known != job && known.Model == job.Model && known.Owner != "" && (newest == nil || known.acceptedAfter(newest)) {
			newest = known
		}
	}
	return newest != nil && newest.Owner == j.options.Self
}
