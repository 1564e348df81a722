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

// fleet is a few replicas that come back under new ids. All items go to the first that may be used.
type replicaSet struct {
	endpoints []*endpoint.Endpoint
	started   int
}

func newReplicaSet(size int) *replicaSet {
	f := &replicaSet{}
	for range size {
		f.add()
	}
	return f
}

func (f *replicaSet) add() {
	f.started++
	f.endpoints = append(f.endpoints, &endpoint.Endpoint{ReplicaRecord: port.ReplicaRecord{ID: fmt.Sprint("life-", f.started), Service: "s", Slots: 100}})
}

func (f *replicaSet) place(wanted Placement) *endpoint.Endpoint {
	for _, one := range f.endpoints {
		if one.ID != wanted.Avoid && !wanted.Exclude[one.ID] {
			return one
		}
	}
	return nil
}

// end takes a replica away and brings another.
func (f *replicaSet) end(id string) {
	for i, one := range f.endpoints {
		if one.ID == id {
			f.endpoints = append(f.endpoints[:i:i], f.endpoints[i+1:]...)
		}
	}
	f.add()
}

// TestBystandersOfAPoisonItemAreNotHeld: an item ends each replica that begins it. In a fleet of three
// the others of its job follow it from replica to replica, and met three ends as it did: they were
// held with it, and their job never became whole (one run in six of the whole-request test beside
// busy processes).
func TestBystandersOfAPoisonItemAreNotHeld(t *testing.T) {
	n := newTestNode("a", newStore())
	n.replicas = newReplicaSet(3)
	job := newJob("j", 5)
	for i, batchItem := range job.Items {
		batchItem.Body = fmt.Append(nil, "body ", i)
	}
	job.Items[0].Id = "poison"
	n.accept(job)
	ends := crashReplicasRunning(n, "poison")
	if ends != quarantine.CrashLimit {
		t.Errorf("the poison item ended %d replicas", ends)
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
		t.Errorf("%v are done, should be all but the poison item", done)
	}
}

// TestHeldItemsAreTriedAgain: the replicas' software is mended, and the next item that asks for the same
// runs once the quarantine has a trial due.
func TestHeldItemsAreTriedAgain(t *testing.T) {
	n := newTestNode("a", newStore())
	n.replicas = newReplicaSet(3)
	n.route.MaxQueue = time.Hour
	job := newJob("j", 1)
	job.Items[0].Id = "poison"
	n.accept(job)
	crashReplicasRunning(n, "poison")
	n.elapse(time.Minute)
	if runs := n.takeRuns(); len(runs) != 0 {
		t.Errorf("%d runs of a held item", len(runs))
	}
	n.elapse(time.Minute)
	runs := n.takeRuns()
	if len(runs) != 1 {
		t.Fatalf("%d runs once its trial is due", len(runs))
	}
	n.finish(runs[0], task.RunCompleted, 2, 4)
	n.elapse(500 * time.Millisecond)
	if got := n.results(t, "j"); len(got) != 1 || !got[0].Completed {
		t.Errorf("%v", got)
	}
}

// endReplicasUnder ends the replica of each run of an item, with all runs there, until the item runs no
// more. It returns how many replicas ended.
func crashReplicasRunning(n *testNode, poison string) int {
	ends := 0
	var active []task.Run
	for range 20 {
		n.elapse(300 * time.Millisecond)
		active = append(active, n.takeRuns()...)
		where := ""
		for _, run := range active {
			if run.Item == poison {
				where = run.Replica
			}
		}
		if where == "" {
			break
		}
		ends++
		n.replicas.end(where)
		var left []task.Run
		for _, run := range active {
			if run.Replica != where {
				left = append(left, run)
				continue
			}
			run.Done(n.now, task.RunResult{Outcome: task.RunInterrupted, Crashed: true})
			n.runTasks()
		}
		active = left
	}
	n.runs = append(active, n.runs...)
	return ends
}
