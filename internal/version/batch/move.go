package batch

import "time"

const (
	// slowFactor, times a faster replica's pace, is from where on a run may be moved there;
	// troubledFactor is from where on its replica is in trouble, rather than slower by nature.
	slowFactor     = 1.2
	troubledFactor = 1.7
	// shortEvents is how many events a run has made before it is moved while too few texts of
	// its model are known; movesAtMost bounds an item's moves.
	shortEvents = 16
	movesAtMost = 2
	// moveEvents and moveTakes are what a move costs: the prompt and the text read anew take less
	// than an event, and a connection is made, perhaps over a distance.
	moveEvents = 1
	moveTakes  = 50 * time.Millisecond
	// decideChance is from which chance on that its text ends too late where it is a run is
	// moved: a step waits for some hundred texts, of which it takes but one.
	decideChance = 0.03
	// dueMargin is how long before the results are due a text should end: its results are still
	// to be listed and read.
	dueMargin = 500 * time.Millisecond
)

// moveReason says why a run goes on elsewhere, empty if it stays.
type moveReason string

const (
	stays moveReason = ""
	// troubledReplica: the replica is much slower than others.
	troubledReplica moveReason = "troubled replica"
	// decidesStep: the text may be the one that the step waits for, and ends too late here.
	decidesStep moveReason = "may decide its step"
	// unknownLength: too few texts of the model are known, and this one is not short.
	unknownLength moveReason = "length unknown"
)

// slowRun is a run at a replica that others are faster than.
type slowRun struct {
	// pace is the replica's, best that of the one it would go on at.
	pace, best time.Duration
	// made are the events of the text, last those of this run; hint is its caller's estimate.
	made, last, hint int
	// most is the most events that the text may have, 0 if that is not told.
	most int
	// long tells that the text was expected to be among the longest.
	long bool
	// left is the time until the results are due, timed tells whether they ever are.
	left  time.Duration
	timed bool
}

// move decides whether a run goes on elsewhere. One that is slower by nature is moved only if
// its text, going by those of its model that made as many events, may outlast the time that is
// left; and any only if what it is expected to make yet gains more than the move costs.
func (r slowRun) move(known *lengths) moveReason {
	times := float64(r.pace) / float64(r.best)
	if times <= slowFactor {
		return stays
	}
	inTime := r.made
	if r.timed && r.left > dueMargin {
		inTime += int((r.left - dueMargin) / r.pace)
	}
	if r.most > 0 && r.most <= inTime && times <= troubledFactor {
		return stays
	}
	expected := known.survive(r.hint, r.made, inTime+1)
	switch {
	case !expected.known && times > troubledFactor:
		return troubledReplica
	case !expected.known && (r.long || r.last >= shortEvents):
		return unknownLength
	case !expected.known || time.Duration(expected.left*float64(r.pace-r.best)) <= moveEvents*r.best+moveTakes:
		return stays
	case times > troubledFactor:
		return troubledReplica
	case expected.chance >= decideChance:
		return decidesStep
	}
	return stays
}
