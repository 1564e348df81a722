package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// calmPeriod is the time within which each open item must be placed once replicas stay up.
	calmPeriod = 5 * time.Second
	// roundInterval is the time between two rounds of crashes.
	roundInterval = 400 * time.Millisecond
)

// crashAll ends all runs as crashed and replaces their replicas.
func crashAll(n *testNode) {
	crashed := map[string]bool{}
	for _, run := range n.takeRuns() {
		if !crashed[run.Replica] {
			crashed[run.Replica] = true
			n.replicas.replace(run.Replica)
		}
		run.Done(n.now, task.RunResult{Outcome: task.RunInterrupted, Crashed: true})
		n.runTasks()
	}
}

// placedDuring completes each run after some time and returns the items that were started within a period.
func placedDuring(n *testNode, period, runTime time.Duration) map[string]bool {
	placed := map[string]bool{}
	ends := map[uint64]time.Time{}
	var active []task.Run
	for end := n.now.Add(period); n.now.Before(end); {
		for _, run := range n.takeRuns() {
			placed[run.Item] = true
			ends[run.ID] = n.now.Add(runTime)
			active = append(active, run)
		}
		var remaining []task.Run
		for _, run := range active {
			if n.now.Before(ends[run.ID]) {
				remaining = append(remaining, run)
				continue
			}
			n.finish(run, task.RunCompleted, 2, 4)
		}
		active = remaining
		n.elapse(25 * time.Millisecond)
	}
	return placed
}

// newCrashedJob returns a node with a job whose items ran on replicas that crashed in several rounds.
func newCrashedJob(replicas, items, rounds int) *testNode {
	n := newTestNode("a", newStore())
	n.replicas = newReplicaSet(replicas)
	job := newJob("j", items)
	for i, batchItem := range job.Items {
		batchItem.Body = fmt.Append(nil, "body ", i)
	}
	n.accept(job)
	for range rounds {
		n.elapse(roundInterval)
		crashAll(n)
	}
	return n
}

// checkPlacedAfterCrashes checks that all items of a job are placed after bursts of crashes.
func checkPlacedAfterCrashes(t *testing.T, runTime time.Duration) {
	t.Helper()
	const items = 24
	for _, rounds := range []int{1, 2, 3, 9} {
		for _, replicas := range []int{1, 2, 3, 5, 8} {
			n := newCrashedJob(replicas, items, rounds)
			if placed := placedDuring(n, calmPeriod, runTime); len(placed) != items {
				t.Errorf("%d of %d items were placed within %s after %d rounds of crashes, with %d replicas", len(placed), items, calmPeriod, rounds, replicas)
			}
		}
	}
}

// TestItemsArePlacedAgainAfterABurstOfCrashes guards against items that are held back after several replicas
// crashed under them.
func TestItemsArePlacedAgainAfterABurstOfCrashes(t *testing.T) {
	checkPlacedAfterCrashes(t, 100*time.Millisecond)
}

// TestItemsDoNotQueueForReplicasOfTheirOwn guards against items under which replicas crashed that wait for the runs of
// one another, while all replicas have room.
func TestItemsDoNotQueueForReplicasOfTheirOwn(t *testing.T) {
	checkPlacedAfterCrashes(t, 1500*time.Millisecond)
}

// TestItemsReturnToTheOnlyReplica guards against items that avoid the replica of their last run for good although
// there is no other.
func TestItemsReturnToTheOnlyReplica(t *testing.T) {
	for _, outcome := range []task.RunOutcome{task.RunInterrupted, task.RunTimedOut, task.RunUnreachable, task.RunRefused, task.RunFailed, task.RunSlow} {
		n := newTestNode("a", newStore())
		n.replicas = newReplicaSet(1)
		n.accept(newJob("j", 2))
		n.elapse(roundInterval)
		for _, run := range n.takeRuns() {
			n.finish(run, outcome, 2, 0)
		}
		if placed := placedDuring(n, calmPeriod, 100*time.Millisecond); len(placed) != 2 {
			t.Errorf("%d of 2 items were placed again after outcome %d", len(placed), outcome)
		}
	}
}

// TestOlderJobsAreNotStarved guards against jobs whose items wait until they expire because the capacity for new items
// always goes to another job of the same owner.
func TestOlderJobsAreNotStarved(t *testing.T) {
	const placementInterval = 100 * time.Millisecond
	n := newTestNode("a", newStore())
	lastPlaced := n.now
	n.jobs.options.Place = func(now time.Time, wanted Placement) *endpoint.Endpoint {
		if wanted.DryRun || now.Sub(lastPlaced) < placementInterval {
			return nil
		}
		lastPlaced = now
		return n.replica
	}
	n.accept(newJob("older", 4))
	n.accept(newJob("newer", 200))
	placed := placedDuring(n, calmPeriod, placementInterval/2)
	for i := range 4 {
		if item := fmt.Sprint("older-", i); !placed[item] {
			t.Errorf("%s was not placed within %s, %d items were", item, calmPeriod, len(placed))
		}
	}
}
