package batch

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// countRecords counts a job's records in the store.
func (n *testNode) countRecords(id string) int {
	contents := n.store.Range(n.now, port.RecordRange{Table: DataTable, Partition: Partition(id), From: id + "/", To: id + "0"})
	head := n.store.Range(n.now, port.RecordRange{Table: port.SharedTable, Partition: Partition(id), From: id, To: id + "\x00"})
	return len(contents.Records) + len(head.Records)
}

func (n *testNode) collect(length time.Duration) {
	for end := n.now.Add(length); n.now.Before(end); n.now = n.now.Add(collectInterval) {
		n.jobs.Collect(n.now, true)
		n.runTasks()
	}
}

func TestCollect(t *testing.T) {
	for _, c := range []struct {
		name string
		end  bool
		age  time.Duration
		kept bool
	}{
		{"ended recently", true, endedRetention - time.Minute, true},
		{"ended, past its retention", true, endedRetention + time.Minute, false},
		{"open, past the retention of ended jobs", false, endedRetention + time.Minute, true},
		{"abandoned", false, abandonedRetention + time.Minute, false},
	} {
		store := newStore()
		owner, other := newTestNode("a", store), newTestNode("b", store)
		owner.accept(newJob("j", 2))
		owner.accept(newJob("j2", 2))
		if c.end {
			owner.jobs.End(owner.now, "j", time.Time{}, func(time.Time, Outcome) {})
			owner.runTasks()
		}
		syncHeads(other)
		other.now = owner.now.Add(c.age)
		neighbour := other.countRecords("j2")
		other.collect(5 * collectInterval)
		if kept := other.countRecords("j") > 0; kept != c.kept {
			t.Errorf("%s: kept %t, want %t", c.name, kept, c.kept)
		}
		if _, known := other.jobs.Lookup("j"); known != c.kept {
			t.Errorf("%s: known %t, want %t", c.name, known, c.kept)
		}
		if c.age < abandonedRetention && other.countRecords("j2") != neighbour {
			t.Errorf("%s: another job's records were deleted", c.name)
		}
	}
}

// TestCollectResumes tests that a failed deletion can be resumed by another node.
func TestCollectResumes(t *testing.T) {
	store := newStore()
	owner, other := newTestNode("a", store), newTestNode("b", store)
	owner.accept(newJob("j", 2))
	owner.jobs.End(owner.now, "j", time.Time{}, func(time.Time, Outcome) {})
	owner.runTasks()
	syncHeads(other)
	for _, n := range []*testNode{owner, other} {
		n.now = epoch.Add(endedRetention + time.Minute)
	}
	owner.commitHook = func(task.Commit) (port.RecordResult, bool) {
		return port.RecordResult{Status: port.RecordUnknown}, true
	}
	owner.collect(3 * collectInterval)
	if owner.countRecords("j") == 0 {
		t.Fatal("records were deleted although the store does not answer")
	}
	other.collect(3 * collectInterval)
	if other.countRecords("j") != 0 {
		t.Error("the records were not deleted")
	}
	owner.commitHook = nil
	owner.collect(3 * collectInterval)
	if _, known := owner.jobs.Lookup("j"); known {
		t.Error("a head record deleted by another node is still known")
	}
}

func TestPublishesPaces(t *testing.T) {
	o := &ownedJob{startedAt: epoch}
	for _, c := range []struct {
		after     time.Duration
		publishes bool
	}{{0, true}, {pacePublishWindow - 1, true}, {pacePublishWindow, false}, {paceInterval - 1, false}, {paceInterval, true}, {5*paceInterval + pacePublishWindow, false}} {
		if got := o.publishesPaces(epoch.Add(c.after)); got != c.publishes {
			t.Errorf("%s after the start: published %t, want %t", c.after, got, c.publishes)
		}
	}
}

// TestContentIsCollectedInItsHomes tests that the records of a job are not read by a lease
// holder outside its home regions, and are deleted later by a node inside.
func TestContentIsCollectedInItsHomes(t *testing.T) {
	store := newStore()
	owner, outside, inside := newRegionalNode("a", "north", store, "north"), newRegionalNode("b", "south", store, "north"), newRegionalNode("c", "north", store, "north")
	owner.accept(newJob("j", 2))
	owner.jobs.End(owner.now, "j", time.Time{}, func(time.Time, Outcome) {})
	owner.runTasks()
	later := owner.now.Add(endedRetention + time.Minute)
	for _, node := range []*testNode{outside, inside} {
		syncHeads(node)
		node.now = later
	}
	outside.rangeHook = func(query port.RecordRange) (port.RecordResult, bool) {
		if query.Table == DataTable {
			t.Error("content was read outside the home regions")
		}
		return port.RecordResult{}, false
	}
	outside.collect(5 * collectInterval)
	outside.rangeHook = nil
	if outside.countRecords("j") == 0 {
		t.Error("records were deleted from outside the home regions")
	}
	for end := inside.now.Add(regionCollectSpread); inside.now.Before(end); inside.now = inside.now.Add(collectInterval) {
		inside.jobs.Collect(inside.now, false)
		inside.runTasks()
	}
	if left := inside.countRecords("j"); left > 0 {
		t.Errorf("%d records were not deleted by a node in the home region", left)
	}
}
