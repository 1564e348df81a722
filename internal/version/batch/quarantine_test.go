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
type fleet struct {
	endpoints []*endpoint.Endpoint
	lives     int
}

func newFleet(size int) *fleet {
	f := &fleet{}
	for range size {
		f.add()
	}
	return f
}

func (f *fleet) add() {
	f.lives++
	f.endpoints = append(f.endpoints, &endpoint.Endpoint{ReplicaRecord: port.ReplicaRecord{ID: fmt.Sprint("life-", f.lives), Service: "s", Slots: 100}})
}

func (f *fleet) place(wanted Placement) *endpoint.Endpoint {
	for _, one := range f.endpoints {
		if one.ID != wanted.Avoid && !wanted.Exclude[one.ID] {
			return one
		}
	}
	return nil
}

// end takes a replica away and brings another.
func (f *fleet) end(id string) {
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
	b := newBench("a", newStore())
	b.fleet = newFleet(3)
	job := newJob("j", 5)
	for i, one := range job.Items {
		one.Body = fmt.Append(nil, "body ", i)
	}
	job.Items[0].Id = "poison"
	b.accept(job)
	ends := endReplicasUnder(b, "poison")
	if ends != quarantine.CrashLimit {
		t.Errorf("the poison item ended %d replicas", ends)
	}
	for range 8 {
		for _, run := range b.takeRuns() {
			b.finish(run, task.RunCompleted, 2, 4)
		}
		b.pass(500 * time.Millisecond)
	}
	var done []string
	for _, result := range b.results(t, "j") {
		done = append(done, result.Id)
	}
	if len(done) != 4 || strings.Contains(strings.Join(done, " "), "poison") {
		t.Errorf("%v are done, should be all but the poison item", done)
	}
}

// TestHeldItemsAreTriedAgain: the replicas' software is mended, and the next item that asks for the same
// runs once the quarantine has a trial due.
func TestHeldItemsAreTriedAgain(t *testing.T) {
	b := newBench("a", newStore())
	b.fleet = newFleet(3)
	b.route.MaxQueue = time.Hour
	job := newJob("j", 1)
	job.Items[0].Id = "poison"
	b.accept(job)
	endReplicasUnder(b, "poison")
	b.pass(time.Minute)
	if runs := b.takeRuns(); len(runs) != 0 {
		t.Errorf("%d runs of a held item", len(runs))
	}
	b.pass(time.Minute)
	runs := b.takeRuns()
	if len(runs) != 1 {
		t.Fatalf("%d runs once its trial is due", len(runs))
	}
	b.finish(runs[0], task.RunCompleted, 2, 4)
	b.pass(500 * time.Millisecond)
	if got := b.results(t, "j"); len(got) != 1 || !got[0].Completed {
		t.Errorf("%v", got)
	}
}

// endReplicasUnder ends the replica of each run of an item, with all runs there, until the item runs no
// more. It returns how many replicas ended.
func endReplicasUnder(b *bench, poison string) int {
	ends := 0
	var active []task.Run
	for range 20 {
		b.pass(300 * time.Millisecond)
		active = append(active, b.takeRuns()...)
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
		b.fleet.end(where)
		var left []task.Run
		for _, run := range active {
			if run.Replica != where {
				left = append(left, run)
				continue
			}
			run.Done(b.now, task.RunResult{Outcome: task.RunInterrupted, Crashed: true})
			b.settle()
		}
		active = left
	}
	b.runs = append(active, b.runs...)
	return ends
}
