package batch

import "time"

const (
	// slowFactor, times a faster replica's pace, is from where on a run may be moved there;
	// troubledFactor is from where on its replica is in trouble, rather than slower by nature.
	slowPaceRatio     = 1.2
	degradedPaceRatio = 1.7
	// shortEvents is how many events a run has made before it is moved while too few texts of
	// its model are known; movesAtMost bounds an item's moves.
	minEventsToMove = 16
	maxMoves        = 2
	// moveEvents and moveTakes are what a move costs: the prompt and the text read anew take less
	// than an event, and a connection is made, perhaps over a distance.
	moveCostEvents = 1
	moveCost       = 50 * time.Millisecond
	// decideChance is from which chance on that its text ends too late where it is a run is
	// moved: a step waits for some hundred texts, of which it takes but one.
	minDelayProbability = 0.03
	// dueMargin is how long before the results are due a text should end: its results are still
	// to be listed and read.
	deadlineMargin = 500 * time.Millisecond
)

// moveReason says why a run goes on elsewhere, empty if it stays.
type moveReason string

const (
	noMove moveReason = ""
	// troubledReplica: the replica is much slower than others.
	degradedReplica moveReason = "troubled replica"
	// decidesStep: the text may be the one that the step waits for, and ends too late here.
	delaysStep moveReason = "may decide its step"
	// unknownLength: too few texts of the model are known, and this one is not short.
	unknownLength moveReason = "length unknown"
)

// slowRun is a run at a replica that others are faster than.
type moveCandidate struct {
	// pace is the replica's, best that of the one it would go on at.
	pace, bestPace time.Duration
	// made are the events of the text, last those of this run; hint is its caller's estimate.
	events, runEvents, lengthHint int
	// most is the most events that the text may have, 0 if that is not told.
	maxEvents int
	// long tells that the text was expected to be among the longest.
	long bool
	// left is the time until the results are due, timed tells whether they ever are.
	timeLeft    time.Duration
	hasDeadline bool
}

// move decides whether a run goes on elsewhere. One that is slower by nature is moved only if
// its text, going by those of its model that made as many events, may outlast the time that is
// left; and any only if what it is expected to make yet gains more than the move costs.
func (r moveCandidate) decide(history *lengthHistory) moveReason {
	paceRatio := float64(r.pace) / float64(r.bestPace)
	if paceRatio <= slowPaceRatio {
		return noMove
	}
	eventsInTime := r.events
	if r.hasDeadline && r.timeLeft > deadlineMargin {
		eventsInTime += int((r.timeLeft - deadlineMargin) / r.pace)
	}
	if r.maxEvents > 0 && r.maxEvents <= eventsInTime && paceRatio <= degradedPaceRatio {
		return noMove
	}
	estimate := history.estimate(r.lengthHint, r.events, eventsInTime+1)
	switch {
	case !estimate.known && paceRatio > degradedPaceRatio:
		return degradedReplica
	case !estimate.known && (r.long || r.runEvents >= minEventsToMove):
		return unknownLength
	case !estimate.known || time.Duration(estimate.meanRemaining*float64(r.pace-r.bestPace)) <= moveCostEvents*r.bestPace+moveCost:
		return noMove
	case paceRatio > degradedPaceRatio:
		return degradedReplica
	case estimate.probability >= minDelayProbability:
		return delaysStep
	}
	return noMove
}
