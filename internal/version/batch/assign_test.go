package batch

import (
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// TestAssign assigns a new job of model m on the accepting node a.
func TestAssign(t *testing.T) {
	running := func(model, owner string, acceptedAt int64, unlisted int32) *doorstepv1.BatchJobHead {
		return &doorstepv1.BatchJobHead{Model: model, Owner: owner, OwnerIncarnation: 7, AcceptedAtMs: acceptedAt, Total: unlisted}
	}
	ended := running("m", "b", 1, 5)
	ended.Ended = true
	complete := running("m", "b", 1, 5)
	complete.Listed = 5
	for _, c := range []struct {
		name  string
		heads []*doorstepv1.BatchJobHead
		// age is how long the head records have been unchanged.
		age  time.Duration
		want string
	}{
		{"no other job", nil, 0, "a"},
		{"another model's job", []*doorstepv1.BatchJobHead{running("n", "b", 1, 5)}, 0, "a"},
		{"a job of the model", []*doorstepv1.BatchJobHead{running("m", "b", 1, 5)}, 0, "b"},
		{"an inactive owner", []*doorstepv1.BatchJobHead{running("m", "b", 1, 5)}, ownerActiveWithin + time.Millisecond, "a"},
		{"an ended job", []*doorstepv1.BatchJobHead{ended}, 0, "a"},
		{"a complete job", []*doorstepv1.BatchJobHead{complete}, 0, "a"},
		{"a job that was handed over", []*doorstepv1.BatchJobHead{running("m", "", 1, 5)}, 0, "a"},
		{"the newest of two jobs", []*doorstepv1.BatchJobHead{running("m", "b", 1, 5), running("m", "c", 2, 5)}, 0, "c"},
		{"an owner at its item limit", []*doorstepv1.BatchJobHead{running("m", "b", 1, maxOwnerItems), running("m", "b", 2, 5)}, 0, "a"},
	} {
		n := newTestNode("a", newStore())
		for i, headRecord := range c.heads {
			n.jobs.setHead(n.now, string(rune('p'+i)), headRecord, int64(i+1))
		}
		if got := n.jobs.assignOwner(n.now.Add(c.age), "m", nil); got.name != c.want {
			t.Errorf("%s: assigned to %s, want %s", c.name, got.name, c.want)
		}
	}
}

// TestAssignedJobIsRun tests that the owner of the model's other job runs a new one, and not
// the node that accepted it.
func TestAssignedJobIsRun(t *testing.T) {
	store := newStore()
	owner, other := newTestNode("a", store), newTestNode("b", store)
	first, second := newJob("j", 2), newJob("k", 2)
	first.Model, second.Model = "m", "m"
	owner.accept(first)
	other.now = owner.now
	syncHeads(other)
	other.accept(second)
	if other.jobs.OwnedCount() != 0 {
		t.Fatal("the node that accepted the job runs it")
	}
	syncHeads(owner)
	owner.elapse(100 * time.Millisecond)
	if owner.jobs.OwnedCount() != 2 {
		t.Errorf("the owner runs %d jobs, want 2", owner.jobs.OwnedCount())
	}
}
