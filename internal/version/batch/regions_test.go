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

// newRegionalNode returns a node in a region; homes are the home regions of all routes and
// tenants in its configuration.
func newRegionalNode(self, region string, store *model.RecordStore, homes ...string) *testNode {
	n := newTestNode(self, store)
	n.jobs.options.Topology = port.Topology{Zone: region, Region: region, Regions: map[string]string{"north": "north", "south": "south", "west": "west"}}
	n.jobs.options.Homes = Homes{RouteByName: func(string) *port.Route { return n.route }}
	n.setHomeRegions(homes...)
	return n
}

// setHomeRegions changes the home regions in the node's configuration.
func (n *testNode) setHomeRegions(homes ...string) {
	n.jobs.options.Homes.RegionsOf = func(*port.Route, string) port.AllowedRegions { return port.NewAllowedRegions(homes) }
}

// TestOwnersLieInHomes tests which nodes may own a job that was accepted in the west, once its
// owner is unresponsive or has handed it over.
func TestOwnersLieInHomes(t *testing.T) {
	for _, c := range []struct {
		name string
		// before and after are the home regions at acceptance and at the takeover.
		before, after []string
		region        string
		takes         bool
	}{
		{"no homes", nil, nil, "south", true},
		{"a home region", []string{"north"}, []string{"north"}, "north", true},
		{"the accepting region", []string{"north"}, []string{"north"}, "west", true},
		{"another region", []string{"north"}, []string{"north"}, "south", false},
		{"a node with an unknown region", []string{"north"}, []string{"north"}, "", false},
		{"home region removed: the removed one", []string{"north", "south"}, []string{"north"}, "south", false},
		{"home region removed: the remaining one", []string{"north", "south"}, []string{"north"}, "north", true},
		{"home region replaced: the new one, with the old one in the head record", []string{"north"}, []string{"south"}, "south", false},
		{"home region replaced: the old one", []string{"north"}, []string{"south"}, "north", false},
		{"home region replaced: the accepting region", []string{"north"}, []string{"south"}, "west", true},
		{"home region added: another region", nil, []string{"north"}, "south", false},
		{"home region added: the home region", nil, []string{"north"}, "north", true},
		{"home region added: the accepting region", nil, []string{"north"}, "west", true},
		{"home regions removed: a former one", []string{"north"}, nil, "north", true},
		{"home regions removed: another region, with the old one in the head record", []string{"north"}, nil, "south", false},
		{"home region without nodes: the accepting region", []string{"north"}, []string{"nowhere"}, "west", true},
		{"home region without nodes: a former one", []string{"north"}, []string{"nowhere"}, "north", false},
	} {
		store := newStore()
		owner, other := newRegionalNode("a", "west", store, c.before...), newRegionalNode("b", c.region, store, c.after...)
		owner.accept(newJob("j", 2))
		owner.elapse(100 * time.Millisecond)
		other.now = owner.now
		syncHeads(other)
		other.elapse(takeoverTimeout + 2*takeoverSpread)
		if got := other.jobs.OwnedCount() == 1; got != c.takes {
			t.Errorf("%s: taken %t, want %t", c.name, got, c.takes)
		}
	}
}

// TestOwnerOutsideHomesReleases tests that an owner whose region is no longer a home region
// stops all runs, and hands the job over with updated regions.
func TestOwnerOutsideHomesReleases(t *testing.T) {
	store := newStore()
	acceptor, owner, next := newRegionalNode("a", "west", store, "north"), newRegionalNode("b", "north", store, "north"), newRegionalNode("c", "south", store, "north")
	acceptor.accept(newJob("j", 2))
	acceptor.elapse(100 * time.Millisecond)
	owner.now = acceptor.now
	syncHeads(owner)
	owner.elapse(takeoverTimeout + 2*takeoverSpread)
	if owner.jobs.OwnedCount() != 1 {
		t.Fatal("a node in a home region did not take the job over")
	}
	runs := owner.takeRuns()
	owner.setHomeRegions("south")
	owner.elapse(25 * time.Millisecond)
	for _, run := range runs {
		if !owner.stopped[run.ID] {
			t.Errorf("run %d was not stopped", run.ID)
		}
		owner.finish(run, task.RunInterrupted, 2, 3)
	}
	owner.elapse(200 * time.Millisecond)
	if started := owner.takeRuns(); len(started) > 0 || owner.jobs.OwnedCount() != 0 {
		t.Errorf("%d runs started, %d jobs owned", len(started), owner.jobs.OwnedCount())
	}
	next.setHomeRegions("south")
	next.now = owner.now
	syncHeads(next)
	head := next.jobs.heads["j"]
	if head.Owner != "" || !slices.Equal(head.Regions, []string{"south", "west"}) {
		t.Errorf("head record has owner %q, regions %v", head.Owner, head.Regions)
	}
	next.elapse(takeoverSpread)
	if next.jobs.OwnedCount() != 1 {
		t.Error("a node in the new home region did not take the job over")
	}
}

// TestAcceptingRegionKeepsJob tests that the accepting node, which the client is connected to,
// keeps its job regardless of the home regions.
func TestAcceptingRegionKeepsJob(t *testing.T) {
	owner := newRegionalNode("a", "west", newStore(), "north")
	owner.accept(newJob("j", 2))
	owner.elapse(100 * time.Millisecond)
	owner.setHomeRegions("south")
	owner.elapse(time.Second)
	if owner.jobs.OwnedCount() != 1 || len(owner.takeRuns()) != 2 {
		t.Error("the accepting node does not run the job")
	}
	if head := owner.jobs.heads["j"]; !slices.Equal(head.Regions, []string{"south", "west"}) || head.AcceptedIn != "west" {
		t.Errorf("head record has regions %v, accepted in %q", head.Regions, head.AcceptedIn)
	}
}

// TestJobsWithoutReplicaAreRejected tests that a job without a replica in its home regions is
// not written to the store.
func TestJobsWithoutReplicaAreRejected(t *testing.T) {
	store := newStore()
	n := newRegionalNode("a", "west", store, "north")
	n.jobs.options.Homes.HasReplica = func(*port.Route, string) bool { return false }
	got := Applied
	n.jobs.Accept(n.now, newJob("j", 2), time.Time{}, func(_ time.Time, outcome Outcome) { got = outcome })
	n.runTasks()
	syncHeads(n)
	if got != NoReplica || len(n.jobs.heads) != 0 {
		t.Errorf("outcome %d, heads %v", got, n.jobs.heads)
	}
}

// TestAssignWithinRegions tests that a job is only assigned to a node that is known to be in
// the job's regions.
func TestAssignWithinRegions(t *testing.T) {
	for _, c := range []struct {
		name           string
		theirs, wanted []string
		want           string
	}{
		{"neither job has home regions", nil, nil, "b"},
		{"only the new job has home regions", nil, []string{"north"}, "a"},
		{"the same regions", []string{"north", "west"}, []string{"west", "north"}, "b"},
		{"the other job has fewer", []string{"north"}, []string{"north", "west"}, "b"},
		{"the other job has more", []string{"north", "south"}, []string{"north", "west"}, "a"},
		{"only the other job has home regions", []string{"south"}, nil, "b"},
	} {
		n := newTestNode("a", newStore())
		n.jobs.setHead(n.now, "p", &doorstepv1.BatchJobHead{Model: "m", Owner: "b", OwnerIncarnation: 7, AcceptedAtMs: 1, Total: 5, Regions: c.theirs}, 1)
		if got := n.jobs.assignOwner(n.now, "m", c.wanted); got.name != c.want {
			t.Errorf("%s: assigned to %s, want %s", c.name, got.name, c.want)
		}
	}
}

// TestNoTakeoverBeforeConfiguration tests that a restarted node takes no job, including its
// former ones, before it has loaded the configuration.
func TestNoTakeoverBeforeConfiguration(t *testing.T) {
	for _, handedOver := range []bool{true, false} {
		store := newStore()
		former := newRegionalNode("b", "west", store)
		former.accept(newJob("j", 2))
		former.elapse(100 * time.Millisecond)
		if handedOver {
			former.jobs.Stop(former.now)
			for _, run := range former.takeRuns() {
				former.finish(run, task.RunInterrupted, 0, 0)
			}
			former.elapse(200 * time.Millisecond)
		}
		known := false
		n := newRegionalNode("b", "south", store)
		n.jobs.options.Incarnation = 2
		n.jobs.options.Homes.ConfigurationLoaded = func() bool { return known }
		n.now = former.now
		syncHeads(n)
		n.elapse(time.Second)
		if n.jobs.OwnedCount() != 0 {
			t.Errorf("handed over %t: taken before the configuration was loaded", handedOver)
		}
		known = true
		n.elapse(time.Second)
		if n.jobs.OwnedCount() != 1 {
			t.Errorf("handed over %t: not taken after the configuration was loaded", handedOver)
		}
	}
}

// TestLeavingOwnerIsNotAssigned tests that the place of an owner is checked in addition to the
// regions in its head records.
func TestLeavingOwnerIsNotAssigned(t *testing.T) {
	for zone, want := range map[string]string{"south": "a", "north": "b"} {
		n := newRegionalNode("a", "west", newStore())
		n.jobs.setHead(n.now, "p", &doorstepv1.BatchJobHead{
			Model: "m", Owner: "b", OwnerIncarnation: 7, AcceptedAtMs: 1, Total: 5, Regions: []string{"north", "west"}, OwnerPlace: &doorstepv1.OwnerPlace{Zone: zone},
		}, 1)
		if got := n.jobs.assignOwner(n.now, "m", []string{"north", "west"}); got.name != want {
			t.Errorf("with an owner in the %s: assigned to %s, want %s", zone, got.name, want)
		}
	}
}

// TestSingleRegionHead tests that head records have no regions in a single-region deployment.
func TestSingleRegionHead(t *testing.T) {
	n := newRegionalNode("a", "north", newStore())
	n.jobs.options.Topology.Regions = map[string]string{"north": "north"}
	n.accept(newJob("j", 2))
	n.elapse(time.Second)
	if head := n.jobs.heads["j"]; len(head.Regions) > 0 || head.Route != "" || head.AcceptedIn != "" {
		t.Errorf("regions %v, route %q, accepted in %q", head.Regions, head.Route, head.AcceptedIn)
	}
}

// TestContentIsNotReadOutsideOfTheHomes tests that failed reads of a job's content are not
// retried once the home regions exclude the node, and that the job is handed over.
func TestContentIsNotReadOutsideOfTheHomes(t *testing.T) {
	store := newStore()
	acceptor, owner, next := newRegionalNode("a", "west", store, "north"), newRegionalNode("b", "north", store, "north"), newRegionalNode("c", "south", store, "south")
	acceptor.accept(newJob("j", 2))
	acceptor.elapse(100 * time.Millisecond)
	owner.now = acceptor.now
	syncHeads(owner)
	reads := 0
	owner.rangeHook = func(query port.RecordRange) (port.RecordResult, bool) {
		if query.Table != DataTable {
			return port.RecordResult{}, false
		}
		reads++
		owner.setHomeRegions("south")
		return port.RecordResult{Status: port.RecordUnknown}, true
	}
	owner.elapse(takeoverTimeout + 2*takeoverSpread + maxBackoff)
	if reads != 1 {
		t.Errorf("%d reads of the content, want 1", reads)
	}
	next.now = owner.now
	syncHeads(next)
	if head := next.jobs.heads["j"]; head.Owner != "" || !slices.Equal(head.Regions, []string{"south", "west"}) {
		t.Errorf("head record has owner %q, regions %v", head.Owner, head.Regions)
	}
	next.elapse(takeoverSpread)
	if next.jobs.OwnedCount() != 1 {
		t.Error("a node in the new home region did not take the job over")
	}
}

// TestTextsAreNotReadOutsideOfTheHomes tests that the remaining reads of checkpoints are
// skipped once the home regions exclude the node.
func TestTextsAreNotReadOutsideOfTheHomes(t *testing.T) {
	store := newStore()
	acceptor, owner := newRegionalNode("a", "west", store, "north"), newRegionalNode("b", "north", store, "north")
	acceptor.accept(newJob("j", 2))
	acceptor.elapse(100 * time.Millisecond)
	owner.now = acceptor.now
	syncHeads(owner)
	reads := 0
	owner.rangeHook = func(query port.RecordRange) (port.RecordResult, bool) {
		if query.Table != DataTable || query.From < "j/t/" {
			return port.RecordResult{}, false
		}
		reads++
		owner.setHomeRegions("south")
		result := store.Range(owner.now, query)
		result.Records = []port.Record{{RecordKey: port.RecordKey{Table: DataTable, Key: "j/t/0000/0000000000000001-00/000"}}}
		result.More = reads < 10
		return result, true
	}
	owner.elapse(takeoverTimeout + 2*takeoverSpread)
	if reads != 1 {
		t.Errorf("%d reads of checkpoints, want 1", reads)
	}
}
