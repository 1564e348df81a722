package batch

import (
	"cmp"
	"time"
)

const (
	// freshOwner is how lately an owner must have written a head to be given another job.
	ownerActiveWithin = 600 * time.Millisecond
	// ownerItems bounds the unlisted items of a model that one node is given.
	maxOwnerItems = 2048
)

// ownerID names one life of a node.
type ownerID struct {
	name        string
	incarnation uint64
}

// assign chooses the owner of a new job: the node that runs the model's other jobs, if it
// was heard of just now. It alone knows what it has sent to the model's replicas, so that
// two steps that overlap don't crowd the same ones, and it has connections to them. Without such a node
// this one runs it if it is fit to, and else nobody until a fitter one takes it. Where the node is
// far from the store and another owner is not, that one is chosen (preference.go). A wrong guess
// costs what a dead owner costs: another node takes the job. The owner lies in one of the regions,
// of which nil are any.
func (j *Jobs) assignOwner(now time.Time, model string, regions []string) ownerID {
	return j.closerOwner(now, j.ownerOfModel(now, model, regions), regions)
}

// self returns this life of this node.
func (j *Jobs) self() ownerID {
	return ownerID{name: j.options.Self, incarnation: j.options.Incarnation}
}

// acceptedAfter reports whether a job was accepted after another.
func (h *head) acceptedAfter(other *head) bool {
	return cmp.Or(cmp.Compare(h.AcceptedAtMs, other.AcceptedAtMs), cmp.Compare(h.revision, other.revision)) > 0
}

// ownerOfModel returns the node that runs the newest of the model's other jobs; if there is none, this one,
// or nobody if it isn't fit to.
// Of jobs accepted in the same millisecond the one whose head the store took last counts.
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
