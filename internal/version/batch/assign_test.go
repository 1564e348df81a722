package batch

import (
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// TestAssign gives a new job of model m to a node, by the heads that the accepting node a
// knows.
func TestAssign(t *testing.T) {
	running := func(model, owner string, acceptedAt int64, unlisted int32) *doorstepv1.BatchJobHead {
		return &doorstepv1.BatchJobHead{Model: model, Owner: owner, OwnerIncarnation: 7, AcceptedAtMs: acceptedAt, Total: unlisted}
	}
	ended := running("m", "b", 1, 5)
	ended.Ended = true
	whole := running("m", "b", 1, 5)
	whole.Listed = 5
	for _, c := range []struct {
		name  string
		heads []*doorstepv1.BatchJobHead
		// age is for how long the heads stand unchanged.
		age  time.Duration
		want string
	}{
		{"no other job", nil, 0, "a"},
		{"another model's", []*doorstepv1.BatchJobHead{running("n", "b", 1, 5)}, 0, "a"},
		{"one of the model's", []*doorstepv1.BatchJobHead{running("m", "b", 1, 5)}, 0, "b"},
		{"an owner that was not heard of lately", []*doorstepv1.BatchJobHead{running("m", "b", 1, 5)}, ownerActiveWithin + time.Millisecond, "a"},
		{"an ended one", []*doorstepv1.BatchJobHead{ended}, 0, "a"},
		{"a whole one", []*doorstepv1.BatchJobHead{whole}, 0, "a"},
		{"one that was handed over", []*doorstepv1.BatchJobHead{running("m", "", 1, 5)}, 0, "a"},
		{"the newest of two", []*doorstepv1.BatchJobHead{running("m", "b", 1, 5), running("m", "c", 2, 5)}, 0, "c"},
		{"an owner that has enough", []*doorstepv1.BatchJobHead{running("m", "b", 1, maxOwnerItems), running("m", "b", 2, 5)}, 0, "a"},
	} {
		n := newTestNode("a", newStore())
		for i, one := range c.heads {
			n.jobs.setHead(n.now, string(rune('p'+i)), one, int64(i+1))
		}
		if got := n.jobs.assignOwner(n.now.Add(c.age), "m", nil); got.name != c.want {
			t.Errorf("%s: given to %s, should be %s", c.name, got.name, c.want)
		}
	}
}

// TestAssignedJobIsRun: the node that runs the model's other job runs the new one too, and
// the one that accepted it does not.
func TestAssignedJobIsRun(t *testing.T) {
	store := newStore()
	owner, other := newTestNode("a", store), newTestNode("b", store)
	first, second := newJob("j", 2), newJob("k", 2)
	first.Model, second.Model = "m", "m"
	owner.accept(first)
	other.now = owner.now
	syncHeads(other)
	other.accept(second)
	if other.jobs.Owned() != 0 {
		t.Fatal("the node that accepted the job runs it")
	}
	syncHeads(owner)
	owner.elapse(100 * time.Millisecond)
	if owner.jobs.Owned() != 2 {
		t.Errorf("the owner runs %d jobs", owner.jobs.Owned())
	}
}
