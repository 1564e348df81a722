package batch

import (
	"cmp"
	"time"
)

const (
	// ownerActiveWithin is how recently an owner must have written a head record to be assigned
	// another job.
	ownerActiveWithin = 600 * time.Millisecond
	// maxOwnerItems limits the unlisted items of one model on an owner that is assigned more
	// jobs.
	maxOwnerItems = 2048
)

// ownerID identifies one incarnation of a node.
type ownerID struct {
	name        string
	incarnation uint64
}

// assignOwner chooses the owner of a new job among the nodes of the given regions; nil means
// any region. It prefers the active owner of the model's other jobs, which tracks the load of
// the model's replicas and has connections to them. Otherwise this node runs the job if it is
// fit to, or the job is left without an owner for a fitter node to take. If the chosen owner has a
// high store latency, closerOwner may replace it. If it has failed, another node takes the job
// over.
func (j *Jobs) assignOwner(now time.Time, model string, regions []string) ownerID {
	return j.closerOwner(now, j.ownerOfModel(now, model, regions), regions)
}

// self identifies this incarnation of this node.
func (j *Jobs) self() ownerID {
	return ownerID{name: j.options.Self, incarnation: j.options.Incarnation}
}

// acceptedAfter reports whether the job was accepted after another. Ties are resolved by
// revision.
func (h *head) acceptedAfter(other *head) bool {
	return cmp.Or(cmp.Compare(h.AcceptedAtMs, other.AcceptedAtMs), cmp.Compare(h.revision, other.revision)) > 0
}

// ownerOfModel returns the active owner of the model's newest other job. Without one it returns
// this node, or no owner if this node should not keep the job.
func (j *Jobs) ownerOfModel(now time.Time, model string, regions []string) ownerID {
	self := j.self()
	if model == "" || !j.observing {
		return self
	}
	var newest *head
	unlisted := map[ownerID]int32{}
	for _, known := range j.heads {
		if known.Model != model || known.Ended || known.complete() || known.Owner == "" {
			continue
		}
		unlisted[ownerID{known.Owner, known.OwnerIncarnation}] += known.Total - known.Listed
		if now.Sub(known.changedAt) <= ownerActiveWithin && j.ownerWithin(known.BatchJobHead, regions) && (newest == nil || known.acceptedAfter(newest)) {
			newest = known
		}
	}
	if newest == nil && !j.keepsAcceptedJobs(now) {
		return ownerID{}
	}
	if newest == nil {
		return self
	}
	owner := ownerID{newest.Owner, newest.OwnerIncarnation}
	if unlisted[owner] > maxOwnerItems {
		return self
	}
	return owner
}
