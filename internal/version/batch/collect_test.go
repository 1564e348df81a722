package batch

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// recordsOf counts a job's records in the store.
func (b *bench) recordsOf(id string) int {
	contents := b.store.Range(b.now, port.RecordRange{Table: DataTable, Partition: Partition(id), From: id + "/", To: id + "0"})
	head := b.store.Range(b.now, port.RecordRange{Table: port.SharedTable, Partition: Partition(id), From: id, To: id + "\x00"})
	return len(contents.Records) + len(head.Records)
}

func (b *bench) collect(length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(collectEvery) {
		b.jobs.Collect(b.now, true)
		b.settle()
	}
}

func TestCollect(t *testing.T) {
	for _, c := range []struct {
		name string
		end  bool
		age  time.Duration
		kept bool
	}{
		{"ended, young", true, keepEnded - time.Minute, true},
		{"ended, old", true, keepEnded + time.Minute, false},
		{"open, old", false, keepEnded + time.Minute, true},
		{"abandoned", false, keepAbandoned + time.Minute, false},
	} {
		store := newStore()
		owner, other := newBench("a", store), newBench("b", store)
		owner.accept(newJob("j", 2))
		owner.accept(newJob("j2", 2))
		if c.end {
			owner.jobs.End(owner.now, "j", func(time.Time, Outcome) {})
			owner.settle()
		}
		share(other)
		other.now = owner.now.Add(c.age)
		neighbour := other.recordsOf("j2")
		other.collect(5 * collectEvery)
		if kept := other.recordsOf("j") > 0; kept != c.kept {
			t.Errorf("%s: kept %t, should be %t", c.name, kept, c.kept)
		}
		if _, known := other.jobs.Known("j"); known != c.kept {
			t.Errorf("%s: known %t, should be %t", c.name, known, c.kept)
		}
		if c.age < keepAbandoned && other.recordsOf("j2") != neighbour {
			t.Errorf("%s: another job's records went", c.name)
		}
	}
}

// TestCollectionGoesOn: a collection whose write failed is begun anew, by another node too.
func TestCollectionGoesOn(t *testing.T) {
	store := newStore()
	owner, other := newBench("a", store), newBench("b", store)
	owner.accept(newJob("j", 2))
	owner.jobs.End(owner.now, "j", func(time.Time, Outcome) {})
	owner.settle()
	share(other)
	for _, b := range []*bench{owner, other} {
		b.now = epoch.Add(keepEnded + time.Minute)
	}
	owner.answer = func(task.Commit) (port.RecordResult, bool) {
		return port.RecordResult{Status: port.RecordUnknown}, true
	}
	owner.collect(3 * collectEvery)
	if owner.recordsOf("j") == 0 {
		t.Fatal("nothing can be deleted while the store is silent")
	}
	other.collect(3 * collectEvery)
	if other.recordsOf("j") != 0 {
		t.Error("the records are still there")
	}
	owner.answer = nil
	owner.collect(3 * collectEvery)
	if _, known := owner.jobs.Known("j"); known {
		t.Error("a head that another node deleted is forgotten")
	}
}

func TestPacesAreToldNowAndThen(t *testing.T) {
	o := &ownedJob{begunAt: epoch}
	for _, c := range []struct {
		after time.Duration
		tells bool
	}{{0, true}, {pacesFor - 1, true}, {pacesFor, false}, {pacesEvery - 1, false}, {pacesEvery, true}, {5*pacesEvery + pacesFor, false}} {
		if got := o.tellsPaces(epoch.Add(c.after)); got != c.tells {
			t.Errorf("%s after the beginning: told %t, should be %t", c.after, got, c.tells)
		}
	}
}

// TestContentIsCollectedInItsHomes: to delete a job's records is to read them. The holder of the duty must not
// where it lies outside of the job's homes; a node of a home does it some time later.
func TestContentIsCollectedInItsHomes(t *testing.T) {
	store := newStore()
	owner, outside, inside := homed("a", "north", store, "north"), homed("b", "south", store, "north"), homed("c", "north", store, "north")
	owner.accept(newJob("j", 2))
	owner.jobs.End(owner.now, "j", func(time.Time, Outcome) {})
	owner.settle()
	later := owner.now.Add(keepEnded + time.Minute)
	for _, one := range []*bench{outside, inside} {
		share(one)
		one.now = later
	}
	outside.read = func(query port.RecordRange) (port.RecordResult, bool) {
		if query.Table == DataTable {
			t.Error("the content is read outside of its homes")
		}
		return port.RecordResult{}, false
	}
	outside.collect(5 * collectEvery)
	outside.read = nil
	if outside.recordsOf("j") == 0 {
		t.Error("collected from outside of the homes")
	}
	for end := inside.now.Add(collectBoundWithin); inside.now.Before(end); inside.now = inside.now.Add(collectEvery) {
		inside.jobs.Collect(inside.now, false)
		inside.settle()
	}
	if left := inside.recordsOf("j"); left > 0 {
		t.Errorf("%d records are left where no holder of the duty lies in the homes", left)
	}
}
