package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/quarantine"
	"github.com/doorstep/doorstep/internal/process/task"
)

// replicaSet is a set of replicas that restart under new IDs. All items are placed on the first
// allowed one.
type replicaSet struct {
	endpoints []*endpoint.Endpoint
	started   int
}

func newReplicaSet(size int) *replicaSet {
	s := &replicaSet{}
	for range size {
		s.add()
	}
	return s
}

func (s *replicaSet) add() {
	s.started++
	s.endpoints = append(s.endpoints, &endpoint.Endpoint{ReplicaRecord: port.ReplicaRecord{ID: fmt.Sprint("replica-", s.started), Service: "s", Slots: 100}})
}

func (s *replicaSet) place(wanted Placement) *endpoint.Endpoint {
	for _, candidate := range s.endpoints {
		if candidate.ID != wanted.Avoid && !wanted.Exclude[candidate.ID] {
			return candidate
		}
	}
	return nil
}

// replace replaces a replica with a new one.
func (s *replicaSet) replace(id string) {
	for i, candidate := range s.endpoints {
		if candidate.ID == id {
			s.endpoints = append(s.endpoints[:i:i], s.endpoints[i+1:]...)
		}
	}
	s.add()
}

// crashStarts runs a job for some time on replicas that crash as soon as they run the item called poison. Other runs
// complete after 100 ms. It returns the times at which the item was started.
func crashStarts(n *testNode, period time.Duration) []time.Time {
	var starts []time.Time
	var active []task.Run
	startedAt := map[uint64]time.Time{}
	for end := n.now.Add(period); n.now.Before(end); n.elapse(25 * time.Millisecond) {
		crashed := ""
		for _, run := range n.takeRuns() {
			startedAt[run.ID] = n.now
			active = append(active, run)
			if run.Item == "poison" {
				starts = append(starts, n.now)
				crashed = run.Replica
				n.replicas.replace(crashed)
			}
		}
		var remaining []task.Run
		for _, run := range active {
			switch {
			case run.Replica == crashed:
				run.Done(n.now, task.RunResult{Outcome: task.RunInterrupted, Crashed: true})
				n.runTasks()
			case n.now.Sub(startedAt[run.ID]) >= 100*time.Millisecond:
				n.finish(run, task.RunCompleted, 2, 4)
			default:
				remaining = append(remaining, run)
			}
		}
		active = remaining
	}
	return starts
}

// newPoisonedJob returns a node with a job whose first item is called poison.
func newPoisonedJob(replicas, items int) *testNode {
	n := newTestNode("a", newStore())
	n.replicas = newReplicaSet(replicas)
	n.route.MaxQueue = time.Hour
	job := newJob("j", items)
	for i, batchItem := range job.Items {
		batchItem.Body = fmt.Append(nil, "body ", i)
	}
	job.Items[0].Id = "poison"
	n.accept(job)
	return n
}

// TestBystandersOfACrashingItemComplete guards against items that crash again and again together with the item that
// is the cause.
func TestBystandersOfACrashingItemComplete(t *testing.T) {
	for _, replicas := range []int{1, 2, 3} {
		n := newPoisonedJob(replicas, 5)
		crashStarts(n, calmPeriod)
		var done []string
		for _, result := range n.results(t, "j") {
			done = append(done, result.Id)
		}
		if len(done) != 4 || strings.Contains(strings.Join(done, " "), "poison") {
			t.Errorf("with %d replicas %v are done, want all but the poison item", replicas, done)
		}
	}
}

// TestCrashingItemCostsFewReplicas guards against an item that crashes one replica after the other without a growing
// delay, and against one that is no longer tried.
func TestCrashingItemCostsFewReplicas(t *testing.T) {
	n := newPoisonedJob(3, 5)
	starts := crashStarts(n, time.Minute)
	for i := pauseAfter; i < len(starts); i++ {
		least := minCrashPause / 2 << min(i-pauseAfter, maxPauseDoublings)
		if gap := starts[i].Sub(starts[i-1]); gap < least || gap >= calmPeriod {
			t.Errorf("run %d starts %s after the previous one, want %s to %s", i+1, gap, least, calmPeriod)
		}
	}
	if most := int(time.Minute/time.Second) + 2*pauseAfter; len(starts) > most || len(starts) < most/4 {
		t.Errorf("%d replicas crashed within a minute, want %d at most and a quarter of that at least", len(starts), most)
	}
}

// TestCallersCrashesDoNotHoldItems guards against items that wait because a caller's request with the same content is
// quarantined.
func TestCallersCrashesDoNotHoldItems(t *testing.T) {
	n := newPoisonedJob(2, 1)
	request := quarantine.Request{Fingerprint: n.jobs.owned["j"].items[0].request}
	for i := range quarantine.CrashLimit {
		n.jobs.options.Quarantine.RecordCrash(n.now, request, fmt.Sprint("gone-", i))
	}
	n.finish(n.takeRuns()[0], task.RunInterrupted, 2, 0)
	if placed := placedDuring(n, calmPeriod, 100*time.Millisecond); !placed["poison"] {
		t.Error("the item was not placed")
	}
	if state := n.jobs.options.Quarantine.Check(n.now, request.Fingerprint).State; state != quarantine.Allowed {
		t.Errorf("the caller's request is in state %d after the item was completed", state)
	}
}

// TestCrashesUnderItemsAreNotEvidence guards against callers' requests that are held, and records that are written,
// because replicas crashed under items.
func TestCrashesUnderItemsAreNotEvidence(t *testing.T) {
	n := newPoisonedJob(3, 5)
	crashStarts(n, calmPeriod)
	if rows := n.store.Range(n.now, port.RecordRange{Table: port.SharedTable, Partition: quarantine.Partition}).Records; len(rows) != 0 {
		t.Errorf("%d quarantine records", len(rows))
	}
	if state := n.jobs.options.Quarantine.Check(n.now, n.jobs.owned["j"].items[0].request).State; state != quarantine.Allowed {
		t.Errorf("a caller's request with the same content is in state %d", state)
	}
}
