package batch

import (
	"slices"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
)

// homed returns the jobs of a node in a region; homes are those of all routes and tenants, as that
// node knows them.
func homed(self, region string, store *model.Records, homes ...string) *bench {
	b := newBench(self, store)
	b.jobs.options.Topology = port.Topology{Zone: region, Region: region, Regions: map[string]string{"north": "north", "south": "south", "west": "west"}}
	b.jobs.options.Homes = Homes{Named: func(string) *port.Route { return b.route }}
	b.setHomes(homes...)
	return b
}

// setHomes has the node go by other homes.
func (b *bench) setHomes(homes ...string) {
	b.jobs.options.Homes.Of = func(*port.Route, string) port.AllowedRegions { return port.NewAllowedRegions(homes) }
}

// TestOwnersLieInHomes is the table of the design note: who may own a job that was accepted in the
// west with homes in the north, once its owner is silent or has handed it over.
func TestOwnersLieInHomes(t *testing.T) {
	for _, c := range []struct {
		name string
		// before and after are the homes at the acceptance and as of when another node looks.
		before, after []string
		region        string
		takes         bool
	}{
		{"no homes", nil, nil, "south", true},
		{"a home", []string{"north"}, []string{"north"}, "north", true},
		{"the region of acceptance", []string{"north"}, []string{"north"}, "west", true},
		{"neither", []string{"north"}, []string{"north"}, "south", false},
		{"a node whose region is not known", []string{"north"}, []string{"north"}, "", false},
		{"homes that narrow: a former home", []string{"north", "south"}, []string{"north"}, "south", false},
		{"homes that narrow: one that is left", []string{"north", "south"}, []string{"north"}, "north", true},
		{"homes that move: the new home, while the head tells the old", []string{"north"}, []string{"south"}, "south", false},
		{"homes that move: the old home", []string{"north"}, []string{"south"}, "north", false},
		{"homes that move: the region of acceptance", []string{"north"}, []string{"south"}, "west", true},
		{"homes that come", nil, []string{"north"}, "south", false},
		{"homes that come: one of them", nil, []string{"north"}, "north", true},
		{"homes that come: the region of acceptance", nil, []string{"north"}, "west", true},
		{"homes that go: an old home", []string{"north"}, nil, "north", true},
		{"homes that go: another, while the head tells the old", []string{"north"}, nil, "south", false},
		{"homes that no node lies in: the region of acceptance", []string{"north"}, []string{"nowhere"}, "west", true},
		{"homes that no node lies in: a former home", []string{"north"}, []string{"nowhere"}, "north", false},
	} {
		store := newStore()
		owner, other := homed("a", "west", store, c.before...), homed("b", c.region, store, c.after...)
		owner.accept(newJob("j", 2))
		owner.pass(100 * time.Millisecond)
		other.now = owner.now
		share(other)
		other.pass(takeoverAfter + 2*takeoverSpread)
		if got := other.jobs.Owned() == 1; got != c.takes {
			t.Errorf("%s: taken %t, should be %t", c.name, got, c.takes)
		}
	}
}

// TestOwnerLeavesWithItsHomes: an owner whose region is no home any more sends nothing, and hands the
// job over with regions by which the next owner is told; in the region of acceptance it goes on.
func TestOwnerLeavesWithItsHomes(t *testing.T) {
	store := newStore()
	acceptor, owner, next := homed("a", "west", store, "north"), homed("b", "north", store, "north"), homed("c", "south", store, "north")
	acceptor.accept(newJob("j", 2))
	acceptor.pass(100 * time.Millisecond)
	owner.now = acceptor.now
	share(owner)
	owner.pass(takeoverAfter + 2*takeoverSpread)
	if owner.jobs.Owned() != 1 {
		t.Fatal("a home's node does not take the job")
	}
	runs := owner.takeRuns()
	owner.setHomes("south")
	owner.pass(25 * time.Millisecond)
	for _, run := range runs {
		if !owner.stopped[run.ID] {
			t.Errorf("run %d goes on", run.ID)
		}
		owner.finish(run, task.RunInterrupted, 2, 3)
	}
	owner.pass(200 * time.Millisecond)
	if started := owner.takeRuns(); len(started) > 0 || owner.jobs.Owned() != 0 {
		t.Errorf("%d runs began, %d jobs owned", len(started), owner.jobs.Owned())
	}
	next.setHomes("south")
	next.now = owner.now
	share(next)
	head := next.jobs.heads["j"]
	if head.Owner != "" || !slices.Equal(head.Regions, []string{"south", "west"}) {
		t.Errorf("the head names owner %q, regions %v", head.Owner, head.Regions)
	}
	next.pass(takeoverSpread)
	if next.jobs.Owned() != 1 {
		t.Error("the new home's node does not take the job")
	}
}

// TestAcceptorKeepsItsJob: its client is connected to it, wherever the homes are.
func TestAcceptorKeepsItsJob(t *testing.T) {
	owner := homed("a", "west", newStore(), "north")
	owner.accept(newJob("j", 2))
	owner.pass(100 * time.Millisecond)
	owner.setHomes("south")
	owner.pass(time.Second)
	if owner.jobs.Owned() != 1 || len(owner.takeRuns()) != 2 {
		t.Error("the node that accepted the job does not run it")
	}
	if head := owner.jobs.heads["j"]; !slices.Equal(head.Regions, []string{"south", "west"}) || head.AcceptedIn != "west" {
		t.Errorf("the head names regions %v, accepted in %q", head.Regions, head.AcceptedIn)
	}
}

// TestJobsWithoutAReplicaAreNotTaken: nothing of the job reaches the store.
func TestJobsWithoutAReplicaAreNotTaken(t *testing.T) {
	store := newStore()
	b := homed("a", "west", store, "north")
	b.jobs.options.Homes.Served = func(*port.Route, string) bool { return false }
	got := Done
	b.jobs.Accept(b.now, newJob("j", 2), func(_ time.Time, outcome Outcome) { got = outcome })
	b.settle()
	share(b)
	if got != Unserved || len(b.jobs.heads) != 0 {
		t.Errorf("outcome %d, heads %v", got, b.jobs.heads)
	}
}

// TestAssignWithinRegions gives a job to a node only if that surely lies in the job's regions.
func TestAssignWithinRegions(t *testing.T) {
	for _, c := range []struct {
		name           string
		theirs, wanted []string
		want           string
	}{
		{"neither has homes", nil, nil, "b"},
		{"the other job's owner may lie anywhere", nil, []string{"north"}, "a"},
		{"the same", []string{"north", "west"}, []string{"west", "north"}, "b"},
		{"the other job's are fewer", []string{"north"}, []string{"north", "west"}, "b"},
		{"the other job's are more", []string{"north", "south"}, []string{"north", "west"}, "a"},
		{"only the other job has some", []string{"south"}, nil, "b"},
	} {
		b := newBench("a", newStore())
		b.jobs.setHead(b.now, "p", &doorstepv1.BatchJobHead{Model: "m", Owner: "b", OwnerIncarnation: 7, AcceptedAtMs: 1, Total: 5, Regions: c.theirs}, 1)
		if got := b.jobs.assign(b.now, "m", c.wanted); got.name != c.want {
			t.Errorf("%s: given to %s, should be %s", c.name, got.name, c.want)
		}
	}
}

// TestNothingIsTakenBeforeTheHomesAreKnown: a node that comes back knows the heads before the
// configuration. Jobs that were handed over, and those of its former life, are left until it knows that.
func TestNothingIsTakenBeforeTheHomesAreKnown(t *testing.T) {
	for _, handedOver := range []bool{true, false} {
		store := newStore()
		former := homed("b", "west", store)
		former.accept(newJob("j", 2))
		former.pass(100 * time.Millisecond)
		if handedOver {
			former.jobs.Stop(former.now)
			for _, run := range former.takeRuns() {
				former.finish(run, task.RunInterrupted, 0, 0)
			}
			former.pass(200 * time.Millisecond)
		}
		known := false
		b := homed("b", "south", store)
		b.jobs.options.Incarnation = 2
		b.jobs.options.Homes.Known = func() bool { return known }
		b.now = former.now
		share(b)
		b.pass(time.Second)
		if b.jobs.Owned() != 0 {
			t.Errorf("handed over %t: taken before the configuration is known", handedOver)
		}
		known = true
		b.pass(time.Second)
		if b.jobs.Owned() != 1 {
			t.Errorf("handed over %t: not taken once the configuration is known", handedOver)
		}
	}
}

// TestOwnersThatLeaveAreGivenNothing: an owner tells the regions that its job must stay in before it
// has handed it over; where it stands itself counts.
func TestOwnersThatLeaveAreGivenNothing(t *testing.T) {
	for zone, want := range map[string]string{"south": "a", "north": "b"} {
		b := homed("a", "west", newStore())
		b.jobs.setHead(b.now, "p", &doorstepv1.BatchJobHead{
			Model: "m", Owner: "b", OwnerIncarnation: 7, AcceptedAtMs: 1, Total: 5, Regions: []string{"north", "west"}, OwnerPlace: &doorstepv1.OwnerPlace{Zone: zone},
		}, 1)
		if got := b.jobs.assign(b.now, "m", []string{"north", "west"}); got.name != want {
			t.Errorf("beside an owner in the %s: given to %s, should be %s", zone, got.name, want)
		}
	}
}

// TestOneRegionTellsNothing: without homes and other regions a head holds what it held before.
func TestOneRegionTellsNothing(t *testing.T) {
	b := homed("a", "north", newStore())
	b.jobs.options.Topology.Regions = map[string]string{"north": "north"}
	b.accept(newJob("j", 2))
	b.pass(time.Second)
	if head := b.jobs.heads["j"]; len(head.Regions) > 0 || head.Route != "" || head.AcceptedIn != "" {
		t.Errorf("regions %v, route %q, accepted in %q", head.Regions, head.Route, head.AcceptedIn)
	}
}

// TestContentIsNotReadOutsideOfTheHomes: homes change while a node that has just taken a job reads its
// content. Reads that got no answer must not be repeated from a region that is no home any more, and the
// job goes to a node that may have it. Seed 700169 of the simulator showed it.
func TestContentIsNotReadOutsideOfTheHomes(t *testing.T) {
	store := newStore()
	acceptor, owner, next := homed("a", "west", store, "north"), homed("b", "north", store, "north"), homed("c", "south", store, "south")
	acceptor.accept(newJob("j", 2))
	acceptor.pass(100 * time.Millisecond)
	owner.now = acceptor.now
	share(owner)
	reads := 0
	owner.read = func(query port.RecordRange) (port.RecordResult, bool) {
		if query.Table != DataTable {
			return port.RecordResult{}, false
		}
		reads++
		owner.setHomes("south")
		return port.RecordResult{Status: port.RecordUnknown}, true
	}
	owner.pass(takeoverAfter + 2*takeoverSpread)
	if reads != 1 {
		t.Errorf("%d reads of the content, the first was made in a home, none after it", reads)
	}
	next.now = owner.now
	share(next)
	if head := next.jobs.heads["j"]; head.Owner != "" || !slices.Equal(head.Regions, []string{"south", "west"}) {
		t.Errorf("the head names owner %q, regions %v", head.Owner, head.Regions)
	}
	next.pass(takeoverSpread)
	if next.jobs.Owned() != 1 {
		t.Error("the new home's node does not take the job")
	}
}

// TestTextsAreNotReadOutsideOfTheHomes: a job's kept texts take several reads. Those that are left when the
// homes change are not made.
func TestTextsAreNotReadOutsideOfTheHomes(t *testing.T) {
	store := newStore()
	acceptor, owner := homed("a", "west", store, "north"), homed("b", "north", store, "north")
	acceptor.accept(newJob("j", 2))
	acceptor.pass(100 * time.Millisecond)
	owner.now = acceptor.now
	share(owner)
	reads := 0
	owner.read = func(query port.RecordRange) (port.RecordResult, bool) {
		if query.Table != DataTable || query.From < "j/t/" {
			return port.RecordResult{}, false
		}
		reads++
		owner.setHomes("south")
		result := store.Range(owner.now, query)
		result.Records = []port.Record{{RecordKey: port.RecordKey{Table: DataTable, Key: "j/t/0000/0000000000000001-00/000"}}}
		result.More = reads < 10
		return result, true
	}
	owner.pass(takeoverAfter + 2*takeoverSpread)
	if reads != 1 {
		t.Errorf("%d reads of texts, the first was made in a home, none after it", reads)
	}
}
