package batch

import "time"

const (
	// slowPaceRatio is the ratio to a faster replica's time per event above which a run may be
	// moved. Above degradedPaceRatio the replica is considered degraded rather than slow
	// hardware.
	slowPaceRatio     = 1.2
	degradedPaceRatio = 1.7
	// minEventsToMove is the number of events a run must have generated to be moved while the
	// model's length history is insufficient; maxMoves limits the moves of an item.
	minEventsToMove = 16
	maxMoves        = 2
	// moveCostEvents and moveCost are the estimated cost of a move: prefilling the prompt and
	// the text takes less than one event, and a connection must be opened.
	moveCostEvents = 1
	moveCost       = 50 * time.Millisecond
	// minDelayProbability is the probability of missing the deadline from which a run is moved.
	// It is small because the slowest of a step's texts determines the step's duration.
	minDelayProbability = 0.03
	// deliveryCalls is the number of store calls between the completion of a text and the delivery of its result:
	// its write and a client's read.
	deliveryCalls = 2
)

// moveReason is the reason for moving a run; empty if it is not moved.
type moveReason string

const (
	noMove moveReason = ""
	// degradedReplica means that the replica is much slower than others.
	degradedReplica moveReason = "troubled replica"
	// delaysStep means that the text is likely to miss the deadline on its current replica.
	delaysStep moveReason = "may decide its step"
	// unknownLength means that the length history is insufficient and the text is not short.
	unknownLength moveReason = "length unknown"
)

// moveCandidate is a run for which a faster replica is available.
type moveCandidate struct {
	// pace is the time per event of the current replica, bestPace that of the faster one.
	pace, bestPace time.Duration
	// events counts the text's events, runEvents those of the current run; lengthHint is the
	// caller's estimate.
	events, runEvents, lengthHint int
	// maxEvents is the maximum length of the text, or 0 if unknown.
	maxEvents int
	// long is set if the text was expected to be among the longest.
	long bool
	// timeLeft is the time until the text must be complete; hasDeadline is false without a result deadline.
	timeLeft    time.Duration
	hasDeadline bool
}

// decide returns whether and why to move the run. A run is moved only if the expected gain
// exceeds the cost of the move, and unless the replica is degraded only if the text may miss
// the deadline on its current replica.
func (c moveCandidate) decide(history *lengthHistory) moveReason {
	paceRatio := float64(c.pace) / float64(c.bestPace)
	if paceRatio <= slowPaceRatio {
		return noMove
	}
	eventsInTime := c.events
	if c.hasDeadline && c.timeLeft > 0 {
		eventsInTime += int(c.timeLeft / c.pace)
	}
	if c.maxEvents > 0 && c.maxEvents <= eventsInTime && paceRatio <= degradedPaceRatio {
		return noMove
	}
	estimate := history.estimate(c.lengthHint, c.events, eventsInTime+1)
	switch {
	case !estimate.known && paceRatio > degradedPaceRatio:
		return degradedReplica
	case !estimate.known && (c.long || c.runEvents >= minEventsToMove):
		return unknownLength
	case !estimate.known || time.Duration(estimate.meanRemaining*float64(c.pace-c.bestPace)) <= moveCostEvents*c.bestPace+moveCost:
		return noMove
	case paceRatio > degradedPaceRatio:
		return degradedReplica
	case estimate.probability >= minDelayProbability:
		return delaysStep
	}
	return noMove
}

// deliveryTime returns how long it takes until the result of a complete text can be read.
func (j *Jobs) deliveryTime() time.Duration {
	return listingDelay + deliveryCalls*j.options.StoreLatency()
}
