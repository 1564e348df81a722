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

// TestBystandersOfAPoisonItemAreNotHeld tests that items that share replicas with an item that
// crashes them are not quarantined as well.
func TestBystandersOfAPoisonItemAreNotHeld(t *testing.T) {
	n := newTestNode("a", newStore())
	n.replicas = newReplicaSet(3)
	job := newJob("j", 5)
	for i, batchItem := range job.Items {
		batchItem.Body = fmt.Append(nil, "body ", i)
	}
	job.Items[0].Id = "poison"
	n.accept(job)
	crashes := crashReplicasRunning(n, "poison")
	if crashes != quarantine.CrashLimit {
		t.Errorf("the poison item crashed %d replicas", crashes)
	}
	for range 8 {
		for _, run := range n.takeRuns() {
			n.finish(run, task.RunCompleted, 2, 4)
		}
		n.elapse(500 * time.Millisecond)
	}
	var done []string
	for _, result := range n.results(t, "j") {
		done = append(done, result.Id)
	}
	if len(done) != 4 || strings.Contains(strings.Join(done, " "), "poison") {
		t.Errorf("%v are done, want all but the poison item", done)
	}
}

// TestQuarantinedItemIsRetried tests that a quarantined item runs once a trial is due.
func TestQuarantinedItemIsRetried(t *testing.T) {
	n := newTestNode("a", newStore())
	n.replicas = newReplicaSet(3)
	n.route.MaxQueue = time.Hour
	job := newJob("j", 1)
	job.Items[0].Id = "poison"
	n.accept(job)
	crashReplicasRunning(n, "poison")
	n.elapse(time.Minute)
	if runs := n.takeRuns(); len(runs) != 0 {
		t.Errorf("%d runs of a quarantined item", len(runs))
	}
	n.elapse(time.Minute)
	runs := n.takeRuns()
	if len(runs) != 1 {
		t.Fatalf("%d runs once a trial is due, want 1", len(runs))
	}
	n.finish(runs[0], task.RunCompleted, 2, 4)
	n.elapse(500 * time.Millisecond)
	if got := n.results(t, "j"); len(got) != 1 || !got[0].Completed {
		t.Errorf("%v", got)
	}
}

// crashReplicasRunning crashes the replica of each run of an item, together with all other runs
// there, until the item no longer runs. It returns the number of crashed replicas.
func crashReplicasRunning(n *testNode, poison string) int {
	crashes := 0
	var active []task.Run
	for range 20 {
		n.elapse(300 * time.Millisecond)
		active = append(active, n.takeRuns()...)
		replica := ""
		for _, run := range active {
			if run.Item == poison {
				replica = run.Replica
			}
		}
		if replica == "" {
			break
		}
		crashes++
		n.replicas.replace(replica)
		var remaining []task.Run
		for _, run := range active {
			if run.Replica != replica {
				remaining = append(remaining, run)
				continue
			}
			run.Done(n.now, task.RunResult{Outcome: task.RunInterrupted, Crashed: true})
			n.runTasks()
		}
		active = remaining
	}
	n.runs = append(active, n.runs...)
	return crashes
}
