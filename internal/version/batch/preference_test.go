package batch

import (
	"fmt"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// twoRegions is the topology of a node in a zone of two regions.
func twoRegions(zone string) port.Topology {
	regions := map[string]string{"near-1": "near", "near-2": "near", "far-1": "far", "far-2": "far"}
	return port.Topology{Zone: zone, Region: regions[zone], Regions: regions}
}

// TestNearerOwner gives a new job to an owner near the store where the one that it would have had
// is clearly farther; a is the node that accepts it.
func TestNearerOwner(t *testing.T) {
	open := func(model, owner string, latency int32) *doorstepv1.BatchJobHead {
		return &doorstepv1.BatchJobHead{Model: model, Owner: owner, OwnerIncarnation: 7, Total: 5, OwnerPlace: &doorstepv1.OwnerPlace{Zone: "far-1", StoreLatencyMs: latency}}
	}
	busy, ended := open("n", "b", 4), open("n", "b", 4)
	busy.Total = ownerItems + 1
	ended.Ended = true
	untold := open("m", "c", 0)
	untold.OwnerPlace = nil
	for _, c := range []struct {
		name string
		// own is how long this node's calls to the store take.
		own   time.Duration
		heads []*doorstepv1.BatchJobHead
		// age is for how long the heads stand unchanged.
		age  time.Duration
		want string
	}{
		{"a region away: the way of a hand-over is as long", 45 * time.Millisecond, []*doorstepv1.BatchJobHead{open("n", "b", 4)}, 0, "a"},
		{"behind a full link", 400 * time.Millisecond, []*doorstepv1.BatchJobHead{open("n", "b", 4)}, 0, "b"},
		{"behind a full link, with nobody near", 400 * time.Millisecond, []*doorstepv1.BatchJobHead{open("n", "b", 350)}, 0, "a"},
		{"the nearest of several", 400 * time.Millisecond, []*doorstepv1.BatchJobHead{open("n", "c", 40), open("n", "b", 4), open("n", "d", 90)}, 0, "b"},
		{"one near that was not heard of lately", 400 * time.Millisecond, []*doorstepv1.BatchJobHead{open("n", "b", 4)}, freshOwner + time.Millisecond, "a"},
		{"one near that has enough", 400 * time.Millisecond, []*doorstepv1.BatchJobHead{busy}, 0, "a"},
		{"one near whose job has ended", 400 * time.Millisecond, []*doorstepv1.BatchJobHead{ended}, 0, "a"},
		{"the model's owner is behind a full link, this node is not", 4 * time.Millisecond, []*doorstepv1.BatchJobHead{open("m", "b", 400)}, 0, "a"},
		{"the model's owner is a region away, this node is not", 4 * time.Millisecond, []*doorstepv1.BatchJobHead{open("m", "b", 45)}, 0, "b"},
		{"the model's owner does not tell its place", 4 * time.Millisecond, []*doorstepv1.BatchJobHead{untold, open("n", "b", 4)}, 0, "c"},
	} {
		b := newBench("a", newStore())
		b.jobs.options.Topology = twoRegions("far-2")
		b.latency = c.own
		for i, one := range c.heads {
			b.jobs.setHead(b.now, string(rune('p'+i)), one, int64(i+1))
		}
		if got := b.jobs.assign(b.now.Add(c.age), "m", nil); got.name != c.want {
			t.Errorf("%s: given to %s, should be %s", c.name, got.name, c.want)
		}
	}
}

// TestNearerOwnersStayWithinRegions: a job that must stay in some regions is not given to an owner of
// which no head tells that it lies there, however near to the store it is.
func TestNearerOwnersStayWithinRegions(t *testing.T) {
	for _, c := range []struct {
		owned []string
		want  string
	}{{nil, "a"}, {[]string{"near"}, "a"}, {[]string{"far"}, "b"}} {
		b := newBench("a", newStore())
		b.jobs.options.Topology = twoRegions("far-2")
		b.latency = 400 * time.Millisecond
		b.jobs.setHead(b.now, "p", &doorstepv1.BatchJobHead{
			Model: "n", Owner: "b", OwnerIncarnation: 7, Total: 5, Regions: c.owned, OwnerPlace: &doorstepv1.OwnerPlace{Zone: "far-1", StoreLatencyMs: 4},
		}, 1)
		if got := b.jobs.assign(b.now, "m", []string{"far"}); got.name != c.want {
			t.Errorf("beside an owner of regions %v: given to %s, should be %s", c.owned, got.name, c.want)
		}
	}
}

// TestHeadsTellTheOwnersPlace: the head tells where its owner stands, also once another has taken
// the job.
func TestHeadsTellTheOwnersPlace(t *testing.T) {
	store := newStore()
	owner, other := newBench("a", store), newBench("b", store)
	owner.jobs.options.Topology, other.jobs.options.Topology = twoRegions("far-1"), twoRegions("near-1")
	owner.latency, other.latency = 45*time.Millisecond, 4*time.Millisecond
	owner.accept(newJob("j", 1))
	if place := owner.jobs.heads["j"].OwnerPlace; place.GetZone() != "far-1" || place.GetStoreLatencyMs() != 45 {
		t.Errorf("accepted at %v", place)
	}
	other.now = owner.now
	share(other)
	other.pass(2 * time.Second)
	if place := other.jobs.heads["j"].OwnerPlace; place.GetZone() != "near-1" || place.GetStoreLatencyMs() != 4 {
		t.Errorf("taken over at %v", place)
	}
}

// TestOneRegionTellsNoPlace: in a deployment of one region, whether or not that has a name, nothing is
// told of places, and nobody is preferred for its distance.
func TestOneRegionTellsNoPlace(t *testing.T) {
	for _, topology := range []port.Topology{{Zone: "z"}, {Zone: "z", Region: "north", Regions: map[string]string{"y": "north", "z": "north"}}} {
		b := newBench("a", newStore())
		b.jobs.options.Topology = topology
		b.latency = 400 * time.Millisecond
		b.jobs.setHead(b.now, "p", &doorstepv1.BatchJobHead{Model: "n", Owner: "b", Total: 5, OwnerPlace: &doorstepv1.OwnerPlace{Zone: "z", StoreLatencyMs: 4}}, 1)
		b.accept(newJob("j", 1))
		if state := b.jobs.heads["j"]; state.Owner != "a" || state.OwnerPlace != nil || b.jobs.distance() != 0 {
			t.Errorf("%+v: owned by %s at %v", topology, state.Owner, state.OwnerPlace)
		}
	}
}

// TestKeptTextsAreWaitedForFromAfar: how long a new owner waits for the texts of the former one.
func TestKeptTextsAreWaitedForFromAfar(t *testing.T) {
	for _, c := range []struct {
		topology port.Topology
		latency  time.Duration
		want     time.Duration
	}{
		{port.Topology{Zone: "z", Region: "north", Regions: map[string]string{"z": "north"}}, 400 * time.Millisecond, textsWithin},
		{twoRegions("far-1"), 4 * time.Millisecond, textsWithin + 8*time.Millisecond},
		{twoRegions("far-1"), 400 * time.Millisecond, textsWithin + 800*time.Millisecond},
	} {
		b := newBench("a", newStore())
		b.jobs.options.Topology, b.latency = c.topology, c.latency
		b.accept(newJob("j", 1))
		b.jobs.owned["j"].readTexts(b.now)
		if got := b.jobs.owned["j"].startAfter.Sub(b.now); got != c.want {
			t.Errorf("%s at %s: waits %s, should be %s", c.topology.Zone, c.latency, got, c.want)
		}
	}
}

// TestTakeoversAreSpread: the nodes that would take a job don't come at one moment.
func TestTakeoversAreSpread(t *testing.T) {
	least, most := time.Hour, time.Duration(0)
	for i := range 200 {
		spread := newBench(fmt.Sprintf("node-%d", i), newStore()).jobs.spread("j")
		least, most = min(least, spread), max(most, spread)
	}
	if least > takeoverSpread/10 || most < takeoverSpread*9/10 || most >= takeoverSpread {
		t.Errorf("spread from %s to %s", least, most)
	}
}

// TestTheFirstBeatIsPacedFromTheAcceptance: the answer to an acceptance is under way for 700 ms; the next
// write goes out with it. Had it waited for as long as between two beats, they would have reached the
// store 1,050 ms apart.
func TestTheFirstBeatIsPacedFromTheAcceptance(t *testing.T) {
	b := newBench("a", newStore())
	b.jobs.Accept(b.now, newJob("j", 1), func(time.Time, Outcome) {})
	for _, one := range b.queue.Take() {
		if commit, ok := one.(task.Commit); ok {
			b.now = b.now.Add(700 * time.Millisecond)
			commit.Done(b.now, b.store.Commit(b.now, commit.Transaction))
		}
	}
	beats := 0
	for _, one := range b.queue.Take() {
		if _, ok := one.(task.Commit); ok {
			beats++
		}
	}
	if beats != 1 {
		t.Errorf("%d writes of the head follow the answer at once", beats)
	}
}

// TestBeatsArePacedFromTheirSending: writes that are under way for 700 ms reach the store no
// further apart than another node waits. With beats paced from the answer they came 1,050 ms apart,
// and a node near the store took the job of an owner that lived.
func TestBeatsArePacedFromTheirSending(t *testing.T) {
	const oneWay = 350 * time.Millisecond
	b := newBench("a", newStore())
	b.accept(newJob("j", 1))
	began := b.now
	var writtenAt []time.Time
	var answers []task.Timer
	for b.now.Sub(began) < 10*time.Second {
		b.jobs.Tick(b.now)
		for _, one := range b.queue.Take() {
			commit, ok := one.(task.Commit)
			if !ok {
				continue
			}
			answers = append(answers, task.Timer{After: b.now.Add(oneWay).Sub(began), Do: func(now time.Time) {
				result := b.store.Commit(now, commit.Transaction)
				writtenAt = append(writtenAt, now)
				answers = append(answers, task.Timer{After: now.Add(oneWay).Sub(began), Do: func(now time.Time) { commit.Done(now, result) }})
			}})
		}
		due := answers
		answers = nil
		for _, one := range due {
			if b.now.Sub(began) < one.After {
				answers = append(answers, one)
				continue
			}
			one.Do(b.now)
		}
		b.now = b.now.Add(25 * time.Millisecond)
	}
	for i := 1; i < len(writtenAt); i++ {
		if apart := writtenAt[i].Sub(writtenAt[i-1]); apart >= takeoverAfter {
			t.Fatalf("beats %d and %d reach the store %s apart", i, i+1, apart)
		}
	}
	if len(writtenAt) < 10 {
		t.Errorf("%d beats in ten seconds", len(writtenAt))
	}
}

// TestOfHeadsThatChangeAtOneMomentTheNewestCounts: one call of a watch may bring several heads of an owner,
// whose calls to the store took different times when it wrote them, and jobs of one millisecond.
func TestOfHeadsThatChangeAtOneMomentTheNewestCounts(t *testing.T) {
	head := func(owner string, latency int32) *doorstepv1.BatchJobHead {
		return &doorstepv1.BatchJobHead{Model: "m", Owner: owner, OwnerIncarnation: 7, AcceptedAtMs: 1, Total: 5,
			OwnerPlace: &doorstepv1.OwnerPlace{Zone: "far-1", StoreLatencyMs: latency}}
	}
	for range 50 {
		b := newBench("a", newStore())
		b.jobs.options.Topology = twoRegions("far-2")
		b.latency = 4 * time.Millisecond
		b.jobs.setHead(b.now, "p", head("b", 40), 1)
		b.jobs.setHead(b.now, "q", head("c", 400), 2)
		b.jobs.setHead(b.now, "r", head("c", 40), 3)
		if got := b.jobs.assign(b.now, "m", nil); got.name != "c" {
			t.Fatalf("given to %s: c's job is the newest of one millisecond, and its newest head tells that it is near", got.name)
		}
	}
}
