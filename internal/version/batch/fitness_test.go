package batch

import (
	"fmt"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// setFitness sets the node's fitness.
func (n *testNode) setFitness(fitness Fitness) {
	n.jobs.options.Fitness = func(time.Time) Fitness { return fitness }
}

// spread returns the spread part of a node's takeover delay.
func (j *Jobs) spread(id string) time.Duration {
	spread, _ := j.takeoverDelay(epoch, id, &head{BatchJobHead: &doorstepv1.BatchJobHead{}})
	return spread
}

// TestUnfitNodesDoNotKeepJobs tests that a job accepted by an unfit node is taken over by a
// fitter one, or run by an unfit one if there is no other.
func TestUnfitNodesDoNotKeepJobs(t *testing.T) {
	for _, c := range []struct {
		accepts Fitness
		others  []Fitness
		// runs is the number of the node that runs the job; the accepting node is 0.
		runs   int
		within time.Duration
	}{
		{Normal, []Fitness{Normal, Normal}, 0, 0},
		{Ready, []Fitness{NotReady, Slow}, 0, 0},
		{Slow, []Fitness{Normal, Slow}, 1, 300 * time.Millisecond},
		{NotReady, []Fitness{Slow, Ready}, 2, 300 * time.Millisecond},
		{NotReady, []Fitness{Slow, Slow}, 0, 600 * time.Millisecond},
		{Slow, []Fitness{NotReady, Slow}, 1, 600 * time.Millisecond},
		{Slow, nil, 0, 1100 * time.Millisecond},
	} {
		store := newStore()
		nodes := []*testNode{newTestNode("node-0", store)}
		nodes[0].setFitness(c.accepts)
		for i, fitness := range c.others {
			other := newTestNode(fmt.Sprintf("node-%d", i+1), store)
			other.setFitness(fitness)
			nodes = append(nodes, other)
		}
		nodes[0].accept(newJob("j", 2))
		began := nodes[0].now
		for nodes[0].now.Sub(began) < c.within && nodes[c.runs].jobs.OwnedCount() == 0 {
			for _, node := range nodes {
				syncHeads(node)
				node.elapse(25 * time.Millisecond)
			}
		}
		for i, node := range nodes {
			if isOwner := node.jobs.OwnedCount() == 1; isOwner != (i == c.runs) {
				t.Errorf("accepted by %d, others %v: node %d owns %d jobs after %s", c.accepts, c.others, i, node.jobs.OwnedCount(), nodes[0].now.Sub(began))
			}
		}
	}
}

// TestPreviousOwnerGoesFirst tests that the owner of the model's previous job, which knows the
// replicas and their pace, takes over without a delay.
func TestPreviousOwnerGoesFirst(t *testing.T) {
	previous := newTestNode("b", newStore())
	previous.setFitness(Ready)
	previous.jobs.setHead(previous.now, "before", &doorstepv1.BatchJobHead{Model: "m", Owner: "b", Ended: true, AcceptedAtMs: 1}, 1)
	next := &head{BatchJobHead: &doorstepv1.BatchJobHead{Model: "m", AcceptedAtMs: 2}, revision: 2}
	previous.jobs.heads["next"] = next
	if _, delay := previous.jobs.takeoverDelay(previous.now, "next", next); delay != 0 {
		t.Errorf("delay of the model's previous owner is %s", delay)
	}
	next.Model = "other"
	if _, delay := previous.jobs.takeoverDelay(previous.now, "next", next); delay != readyDelay {
		t.Errorf("delay of another model's previous owner is %s", delay)
	}
}
