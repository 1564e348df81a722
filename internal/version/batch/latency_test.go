package batch

import (
	"fmt"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// twoRegionTopology returns the topology of a node in a zone of one of two regions.
func twoRegionTopology(zone string) port.Topology {
	regions := map[string]string{"near-1": "near", "near-2": "near", "far-1": "far", "far-2": "far"}
	return port.Topology{Zone: zone, Region: regions[zone], Regions: regions}
}

// TestCloserOwner assigns a new job on node a, where owners differ in their store latency.
func TestCloserOwner(t *testing.T) {
	openHead := func(model, owner string, latency int32) *doorstepv1.BatchJobHead {
		return &doorstepv1.BatchJobHead{Model: model, Owner: owner, OwnerIncarnation: 7, Total: 5, OwnerPlace: &doorstepv1.OwnerPlace{Zone: "far-1", StoreLatencyMs: latency}}
	}
	busy, ended := openHead("n", "b", 4), openHead("n", "b", 4)
	busy.Total = maxOwnerItems + 1
	ended.Ended = true
	unknownPlace := openHead("m", "c", 0)
	unknownPlace.OwnerPlace = nil
	for _, c := range []struct {
		name string
		// own is the store latency of this node.
		own   time.Duration
		heads []*doorstepv1.BatchJobHead
		// age is how long the head records have been unchanged.
		age  time.Duration
		want string
	}{
		{"another region: the gain is too small", 45 * time.Millisecond, []*doorstepv1.BatchJobHead{openHead("n", "b", 4)}, 0, "a"},
		{"high latency", 400 * time.Millisecond, []*doorstepv1.BatchJobHead{openHead("n", "b", 4)}, 0, "b"},
		{"high latency, no closer owner", 400 * time.Millisecond, []*doorstepv1.BatchJobHead{openHead("n", "b", 350)}, 0, "a"},
		{"the closest of several", 400 * time.Millisecond, []*doorstepv1.BatchJobHead{openHead("n", "c", 40), openHead("n", "b", 4), openHead("n", "d", 90)}, 0, "b"},
		{"a closer, inactive owner", 400 * time.Millisecond, []*doorstepv1.BatchJobHead{openHead("n", "b", 4)}, ownerActiveWithin + time.Millisecond, "a"},
		{"a closer owner at its item limit", 400 * time.Millisecond, []*doorstepv1.BatchJobHead{busy}, 0, "a"},
		{"a closer owner of an ended job", 400 * time.Millisecond, []*doorstepv1.BatchJobHead{ended}, 0, "a"},
		{"the model's owner has a high latency, this node does not", 4 * time.Millisecond, []*doorstepv1.BatchJobHead{openHead("m", "b", 400)}, 0, "a"},
		{"the model's owner is in another region", 4 * time.Millisecond, []*doorstepv1.BatchJobHead{openHead("m", "b", 45)}, 0, "b"},
		{"the place of the model's owner is unknown", 4 * time.Millisecond, []*doorstepv1.BatchJobHead{unknownPlace, openHead("n", "b", 4)}, 0, "c"},
	} {
		n := newTestNode("a", newStore())
		n.jobs.options.Topology = twoRegionTopology("far-2")
		n.latency = c.own
		for i, headRecord := range c.heads {
			n.jobs.setHead(n.now, string(rune('p'+i)), headRecord, int64(i+1))
		}
		if got := n.jobs.assignOwner(n.now.Add(c.age), "m", nil); got.name != c.want {
			t.Errorf("%s: assigned to %s, want %s", c.name, got.name, c.want)
		}
	}
}

// TestCloserOwnerWithinRegions tests that a job with home regions is not assigned to a closer
// owner unless that is known to be in one of them.
func TestCloserOwnerWithinRegions(t *testing.T) {
	for _, c := range []struct {
		owned []string
		want  string
	}{{nil, "a"}, {[]string{"near"}, "a"}, {[]string{"far"}, "b"}} {
		n := newTestNode("a", newStore())
		n.jobs.options.Topology = twoRegionTopology("far-2")
		n.latency = 400 * time.Millisecond
		n.jobs.setHead(n.now, "p", &doorstepv1.BatchJobHead{
			Model: "n", Owner: "b", OwnerIncarnation: 7, Total: 5, Regions: c.owned, OwnerPlace: &doorstepv1.OwnerPlace{Zone: "far-1", StoreLatencyMs: 4},
		}, 1)
		if got := n.jobs.assignOwner(n.now, "m", []string{"far"}); got.name != c.want {
			t.Errorf("with an owner in regions %v: assigned to %s, want %s", c.owned, got.name, c.want)
		}
	}
}

// TestHeadOwnerPlace tests that the head record has the place of the current owner.
func TestHeadOwnerPlace(t *testing.T) {
	store := newStore()
	owner, other := newTestNode("a", store), newTestNode("b", store)
	owner.jobs.options.Topology, other.jobs.options.Topology = twoRegionTopology("far-1"), twoRegionTopology("near-1")
	owner.latency, other.latency = 45*time.Millisecond, 4*time.Millisecond
	owner.accept(newJob("j", 1))
	if place := owner.jobs.heads["j"].OwnerPlace; place.GetZone() != "far-1" || place.GetStoreLatencyMs() != 45 {
		t.Errorf("place of the accepting owner: %v", place)
	}
	other.now = owner.now
	syncHeads(other)
	other.elapse(2 * time.Second)
	if place := other.jobs.heads["j"].OwnerPlace; place.GetZone() != "near-1" || place.GetStoreLatencyMs() != 4 {
		t.Errorf("place of the new owner: %v", place)
	}
}

// TestSingleRegionHasNoPlace tests that places and latencies are not used with a single region,
// whether or not it has a name.
func TestSingleRegionHasNoPlace(t *testing.T) {
	for _, topology := range []port.Topology{{Zone: "z"}, {Zone: "z", Region: "north", Regions: map[string]string{"y": "north", "z": "north"}}} {
		n := newTestNode("a", newStore())
		n.jobs.options.Topology = topology
		n.latency = 400 * time.Millisecond
		n.jobs.setHead(n.now, "p", &doorstepv1.BatchJobHead{Model: "n", Owner: "b", Total: 5, OwnerPlace: &doorstepv1.OwnerPlace{Zone: "z", StoreLatencyMs: 4}}, 1)
		n.accept(newJob("j", 1))
		if state := n.jobs.heads["j"]; state.Owner != "a" || state.OwnerPlace != nil || n.jobs.storeLatency() != 0 {
			t.Errorf("%+v: owned by %s at %v", topology, state.Owner, state.OwnerPlace)
		}
	}
}

// TestCheckpointReadTimeout tests how long a new owner waits for checkpoints.
func TestCheckpointReadTimeout(t *testing.T) {
	for _, c := range []struct {
		topology port.Topology
		latency  time.Duration
		want     time.Duration
	}{
		{port.Topology{Zone: "z", Region: "north", Regions: map[string]string{"z": "north"}}, 400 * time.Millisecond, checkpointReadTimeout},
		{twoRegionTopology("far-1"), 4 * time.Millisecond, checkpointReadTimeout + 8*time.Millisecond},
		{twoRegionTopology("far-1"), 400 * time.Millisecond, checkpointReadTimeout + 800*time.Millisecond},
	} {
		n := newTestNode("a", newStore())
		n.jobs.options.Topology, n.latency = c.topology, c.latency
		n.accept(newJob("j", 1))
		n.jobs.owned["j"].readCheckpoints(n.now)
		if got := n.jobs.owned["j"].startAfter.Sub(n.now); got != c.want {
			t.Errorf("%s with latency %s: waits %s, want %s", c.topology.Zone, c.latency, got, c.want)
		}
	}
}

// TestTakeoversAreSpread tests that nodes do not attempt a takeover at the same time.
func TestTakeoversAreSpread(t *testing.T) {
	least, most := time.Hour, time.Duration(0)
	for i := range 200 {
		spread := newTestNode(fmt.Sprintf("node-%d", i), newStore()).jobs.spread("j")
		least, most = min(least, spread), max(most, spread)
	}
	if least > takeoverSpread/10 || most < takeoverSpread*9/10 || most >= takeoverSpread {
		t.Errorf("spread from %s to %s", least, most)
	}
}

// TestFirstHeartbeatAfterAcceptance tests that the first heartbeat is due by the time the head
// record was sent, not by the time the write was answered.
func TestFirstHeartbeatAfterAcceptance(t *testing.T) {
	n := newTestNode("a", newStore())
	n.jobs.Accept(n.now, newJob("j", 1), time.Time{}, func(time.Time, Outcome) {})
	for _, queued := range n.queue.Take() {
		if commit, ok := queued.(task.Commit); ok {
			n.now = n.now.Add(700 * time.Millisecond)
			commit.Done(n.now, n.store.Commit(n.now, commit.Transaction))
		}
	}
	heartbeats := 0
	for _, queued := range n.queue.Take() {
		if _, ok := queued.(task.Commit); ok {
			heartbeats++
		}
	}
	if heartbeats != 1 {
		t.Errorf("%d heartbeats sent with the answer, want 1", heartbeats)
	}
}

// TestHeartbeatInterval tests that the heartbeats of an owner with a high store latency arrive
// within the takeover timeout.
func TestHeartbeatInterval(t *testing.T) {
	const oneWay = 350 * time.Millisecond
	n := newTestNode("a", newStore())
	n.accept(newJob("j", 1))
	began := n.now
	var writtenAt []time.Time
	var answers []task.Timer
	for n.now.Sub(began) < 10*time.Second {
		n.jobs.Tick(n.now)
		for _, queued := range n.queue.Take() {
			commit, ok := queued.(task.Commit)
			if !ok {
				continue
			}
			answers = append(answers, task.Timer{After: n.now.Add(oneWay).Sub(began), Do: func(now time.Time) {
				result := n.store.Commit(now, commit.Transaction)
				writtenAt = append(writtenAt, now)
				answers = append(answers, task.Timer{After: now.Add(oneWay).Sub(began), Do: func(now time.Time) { commit.Done(now, result) }})
			}})
		}
		due := answers
		answers = nil
		for _, pending := range due {
			if n.now.Sub(began) < pending.After {
				answers = append(answers, pending)
				continue
			}
			pending.Do(n.now)
		}
		n.now = n.now.Add(25 * time.Millisecond)
	}
	for i := 1; i < len(writtenAt); i++ {
		if apart := writtenAt[i].Sub(writtenAt[i-1]); apart >= takeoverTimeout {
			t.Fatalf("heartbeats %d and %d arrive %s apart", i, i+1, apart)
		}
	}
	if len(writtenAt) < 10 {
		t.Errorf("%d heartbeats in 10 s", len(writtenAt))
	}
}

// TestHighestRevisionWinsTies tests that assignments don't depend on the order of head records
// that were observed at the same time.
func TestHighestRevisionWinsTies(t *testing.T) {
	head := func(owner string, latency int32) *doorstepv1.BatchJobHead {
		return &doorstepv1.BatchJobHead{Model: "m", Owner: owner, OwnerIncarnation: 7, AcceptedAtMs: 1, Total: 5,
			OwnerPlace: &doorstepv1.OwnerPlace{Zone: "far-1", StoreLatencyMs: latency}}
	}
	for range 50 {
		n := newTestNode("a", newStore())
		n.jobs.options.Topology = twoRegionTopology("far-2")
		n.latency = 4 * time.Millisecond
		n.jobs.setHead(n.now, "p", head("b", 40), 1)
		n.jobs.setHead(n.now, "q", head("c", 400), 2)
		n.jobs.setHead(n.now, "r", head("c", 40), 3)
		if got := n.jobs.assignOwner(n.now, "m", nil); got.name != "c" {
			t.Fatalf("assigned to %s, want c, the owner of the newest job", got.name)
		}
	}
}
