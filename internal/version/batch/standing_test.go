package batch

import (
	"fmt"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// standsAs lets a node be as fit as it is said to be.
func (n *testNode) setReadiness(standing Standing) {
	n.jobs.options.Standing = func(time.Time) Standing { return standing }
}

// spread is the time over which a node's turn at a job is drawn.
func (j *Jobs) spread(id string) time.Duration {
	spread, _ := j.takeoverDelay(epoch, id, &head{BatchJobHead: &doorstepv1.BatchJobHead{}})
	return spread
}

// TestUnfitNodesLeaveTheJobsThatTheyAccept: a job that a slow machine accepts, or one that would have to read
// ten thousand replicas first, goes to a fitter node, within the third of a second in which nodes hear of it
// and their turns. If there is none, the unfit ones run it.
func TestUnfitNodesLeaveTheJobsThatTheyAccept(t *testing.T) {
	for _, c := range []struct {
		accepts Standing
		others  []Standing
		// runs is the number of the node that runs the job in the end, the accepting one being 0.
		runs   int
		within time.Duration
	}{
		{Usual, []Standing{Usual, Usual}, 0, 0},
		{Ready, []Standing{Unready, Slow}, 0, 0},
		{Slow, []Standing{Usual, Slow}, 1, 300 * time.Millisecond},
		{Unready, []Standing{Slow, Ready}, 2, 300 * time.Millisecond},
		{Unready, []Standing{Slow, Slow}, 0, 600 * time.Millisecond},
		{Slow, []Standing{Unready, Slow}, 1, 600 * time.Millisecond},
		{Slow, nil, 0, 1100 * time.Millisecond},
	} {
		store := newStore()
		nodes := []*testNode{newTestNode("node-0", store)}
		nodes[0].setReadiness(c.accepts)
		for i, standing := range c.others {
			other := newTestNode(fmt.Sprintf("node-%d", i+1), store)
			other.setReadiness(standing)
			nodes = append(nodes, other)
		}
		nodes[0].accept(newJob("j", 2))
		began := nodes[0].now
		for nodes[0].now.Sub(began) < c.within && nodes[c.runs].jobs.Owned() == 0 {
			for _, one := range nodes {
				syncHeads(one)
				one.elapse(25 * time.Millisecond)
			}
		}
		for i, one := range nodes {
			if owns := one.jobs.Owned() == 1; owns != (i == c.runs) {
				t.Errorf("accepted by %d, others %v: node %d owns %d jobs after %s", c.accepts, c.others, i, one.jobs.Owned(), nodes[0].now.Sub(began))
			}
		}
	}
}

// TestTheOwnerOfTheLastStepComesFirst: it knows the replicas and what their paces are.
func TestTheOwnerOfTheLastStepComesFirst(t *testing.T) {
	last := newTestNode("b", newStore())
	last.setReadiness(Ready)
	last.jobs.setHead(last.now, "before", &doorstepv1.BatchJobHead{Model: "m", Owner: "b", Ended: true, AcceptedAtMs: 1}, 1)
	next := &head{BatchJobHead: &doorstepv1.BatchJobHead{Model: "m", AcceptedAtMs: 2}, revision: 2}
	last.jobs.heads["next"] = next
	if _, behind := last.jobs.takeoverDelay(last.now, "next", next); behind != 0 {
		t.Errorf("the owner of the model's last step comes %s behind", behind)
	}
	next.Model = "other"
	if _, behind := last.jobs.takeoverDelay(last.now, "next", next); behind != readyDelay {
		t.Errorf("the owner of another model's last step comes %s behind", behind)
	}
}
