package cluster

import (
	"time"

	"github.com/doorstep/doorstep/internal/version/batch"
)

// generation describes how the replicas of a service generate the texts of a model; unknown values are 0.
type generation struct {
	// eventTokens is the number of tokens in one event, pace the mean time between two events.
	eventTokens int
	pace        time.Duration
	// longestEvents is the number of events of the longest texts.
	longestEvents int64
	// limit is how long after the acceptance of a job its results are due.
	limit time.Duration
}

// requiredSlots returns the number of slots that complete the work in time, in whatever order items run: the last one
// starts once the slots have done the rest of the work, and may be one of the longest. There is no use for more slots
// than items. If the work cannot be estimated, each item gets a slot.
func requiredSlots(work batch.Work, g generation) int {
	spare := g.limit - time.Duration(g.longestEvents)*g.pace
	if work.Tokens <= 0 || g.eventTokens <= 0 || g.pace <= 0 || g.longestEvents <= 0 || spare <= 0 {
		return work.Items
	}
	total := float64(work.Tokens) / float64(g.eventTokens) * float64(g.pace)
	slots := total / float64(spare)
	if slots >= float64(work.Items) {
		return work.Items
	}
	return int(slots) + 1
}

// meanPace returns the mean time between two events of runs on a service's replicas, 0 if unknown.
func (n *Node) meanPace(now time.Time, service string) time.Duration {
	sum, count := time.Duration(0), 0
	for _, e := range n.endpoints.Service(service) {
		if pace := e.Pace(now); pace > 0 {
			sum += pace
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}
