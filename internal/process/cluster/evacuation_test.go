package cluster

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// zonedDecoder decodes evacuations, and replicas whose keys start with their zones.
type zonedDecoder struct{ decoder }

func (zonedDecoder) DecodeDeployment(records []port.Record) port.DeploymentUpdate {
	var change port.DeploymentUpdate
	for _, record := range records {
		switch {
		case record.Table == "operator" && record.Key == "routes":
			change.Routes = evacuationRoutes()
		case record.Table == "operator":
			change.Evacuations = append(change.Evacuations, port.Evacuation{Zone: record.Key, Lifted: record.Deleted})
		case record.Deleted:
			change.Removed = append(change.Removed, port.RemovedReplica{ID: record.Key, Revision: record.Revision})
		default:
			zone, _, _ := strings.Cut(record.Key, "/")
			change.Replicas = append(change.Replicas, port.ReplicaRecord{ID: record.Key, Service: "s", Zone: zone, Slots: 4})
		}
	}
	return change
}

var evacuationRoute = port.Route{Name: "r", Kind: port.RouteIdempotent, Backends: []port.Backend{{Service: "s", Weight: 1}}}

func evacuationRoutes() *port.RouteTable {
	return &port.RouteTable{Version: 1, Routes: []port.Route{evacuationRoute}, Services: []port.Service{{Name: "s"}}}
}

func newZonedNode() *Node {
	n := New(start, Options{Name: "n", Topology: port.Topology{Zone: "a"}, Incarnation: 1, Decoder: zonedDecoder{}, OrderPause: time.Second})
	n.applyRoutes(start, evacuationRoutes())
	return n
}

// records returns records of a table; the prefix - marks a deleted key.
func records(table string, keys ...string) []port.Record {
	var list []port.Record
	for _, key := range keys {
		name, deleted := strings.CutPrefix(key, "-")
		list = append(list, port.Record{RecordKey: port.RecordKey{Table: table, Key: name}, Deleted: deleted})
	}
	return list
}

// tableUpdate is an update of one table.
type tableUpdate struct {
	table    string
	fullRead bool
	keys     []string
}

func TestEvacuatedZones(t *testing.T) {
	replicas := tableUpdate{"replicas", true, []string{"a/1", "b/1"}}
	for _, c := range []struct {
		name    string
		updates []tableUpdate
		// zones are the zones evacuated after the updates, usable the replicas that get work.
		zones, usable []string
	}{
		{"none", []tableUpdate{replicas}, nil, []string{"a/1", "b/1"}},
		{"a record is added", []tableUpdate{replicas, {"operator", false, []string{"a"}}}, []string{"a"}, []string{"b/1"}},
		{"and deleted", []tableUpdate{replicas, {"operator", false, []string{"a"}}, {"operator", false, []string{"-a"}}}, nil, []string{"a/1", "b/1"}},
		{"added and deleted in one change", []tableUpdate{replicas, {"operator", false, []string{"a", "-a"}}}, nil, []string{"a/1", "b/1"}},
		{"a change of another record", []tableUpdate{replicas, {"operator", false, []string{"a"}}, {"operator", false, []string{"routes"}}}, []string{"a"}, []string{"b/1"}},
		{"a full read without it after a missed deletion", []tableUpdate{replicas, {"operator", false, []string{"a"}}, {"operator", true, []string{"routes", "b"}}},
			[]string{"b"}, []string{"a/1"}},
		{"a full read of the replicas", []tableUpdate{replicas, {"operator", false, []string{"a"}}, replicas}, []string{"a"}, []string{"b/1"}},
		{"replicas read after it", []tableUpdate{{"operator", true, []string{"a"}}, replicas}, []string{"a"}, []string{"b/1"}},
		{"a replica is added", []tableUpdate{replicas, {"operator", true, []string{"a"}}, {"replicas", false, []string{"a/2", "b/2"}}}, []string{"a"}, []string{"b/1", "b/2"}},
		{"a replica added before the end of the evacuation", []tableUpdate{replicas, {"operator", true, []string{"a"}}, {"replicas", false, []string{"a/2"}}, {"operator", true, nil}},
			nil, []string{"a/1", "a/2", "b/1"}},
		{"a replica's record deleted and added again", []tableUpdate{replicas, {"operator", true, []string{"a"}}, {"replicas", false, []string{"-a/1"}}, {"replicas", false, []string{"a/1"}}},
			[]string{"a"}, []string{"b/1"}},
		{"all", []tableUpdate{replicas, {"operator", true, []string{"a", "b"}}}, []string{"a", "b"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newZonedNode()
			for _, one := range c.updates {
				n.onDeployment(start, one.table, records(one.table, one.keys...), one.fullRead)
			}
			if got := n.EvacuatedZones(); !slices.Equal(got, c.zones) {
				t.Errorf("evacuated zones %v, want %v", got, c.zones)
			}
			var usable []string
			exclude := map[string]bool{}
			for one := n.Choose(start, &evacuationRoute, "", "", Attempt{Exclude: exclude}); one != nil; one = n.Choose(start, &evacuationRoute, "", "", Attempt{Exclude: exclude}) {
				usable = append(usable, one.ID)
				exclude[one.ID] = true
			}
			slices.Sort(usable)
			if !slices.Equal(usable, c.usable) {
				t.Errorf("requests go to %v, want %v", usable, c.usable)
			}
			if got := n.AllEvacuated(&evacuationRoute, ""); got != (len(c.usable) == 0) {
				t.Errorf("AllEvacuated returns %t", got)
			}
		})
	}
}

// TestLapsedReplicaOfEvacuatedZone checks that a replica kept after its record has expired is withheld during
// an evacuation, and usable after it.
func TestLapsedReplicaOfEvacuatedZone(t *testing.T) {
	n := newZonedNode()
	n.onDeployment(start, "replicas", records("replicas", "a/1"), true)
	n.onReplicaHealth(start, true)
	n.onReplicaHealth(start, false)
	n.onDeployment(start, "replicas", records("replicas", "-a/1"), false)
	n.onDeployment(start, "operator", records("operator", "a"), false)
	if n.Choose(start, &evacuationRoute, "", "", Attempt{}) != nil {
		t.Error("a kept replica of an evacuated zone gets a request")
	}
	lifted := start.Add(time.Second)
	n.onDeployment(lifted, "operator", nil, true)
	one := n.Choose(lifted, &evacuationRoute, "", "", Attempt{})
	if one == nil || !one.EvacuatedUntil.Equal(lifted) {
		t.Errorf("replica after the evacuation: %+v", one)
	}
}

// TestAllEvacuated checks that AllEvacuated is true only if evacuations alone make the replicas unusable.
func TestAllEvacuated(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(n *Node)
		want   bool
	}{
		{"no replica", func(n *Node) {}, false},
		{"evacuated", func(n *Node) { n.onDeployment(start, "replicas", records("replicas", "a/1"), true) }, true},
		{"evacuated, and one elsewhere", func(n *Node) { n.onDeployment(start, "replicas", records("replicas", "a/1", "b/1"), true) }, false},
		{"evacuated, and a draining one elsewhere", func(n *Node) {
			n.onDeployment(start, "replicas", records("replicas", "a/1", "b/1"), true)
			n.endpoints.Find("b/1").Draining = true
		}, true},
		{"a draining one", func(n *Node) {
			n.onDeployment(start, "replicas", records("replicas", "b/1"), true)
			n.endpoints.Find("b/1").Draining = true
		}, false},
	} {
		n := newZonedNode()
		n.onDeployment(start, "operator", records("operator", "a"), true)
		c.change(n)
		if got := n.AllEvacuated(&evacuationRoute, ""); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// TestEvacuationsAreLogged checks that each change is logged once, with the requests in flight.
func TestEvacuationsAreLogged(t *testing.T) {
	n := newZonedNode()
	n.onDeployment(start, "replicas", records("replicas", "a/1", "a/2", "b/1"), true)
	n.endpoints.Find("a/1").InFlight = 2
	n.endpoints.Find("a/2").InFlight = 1
	n.Take()
	for _, keys := range [][]string{{"a"}, {"a"}, nil} {
		n.onDeployment(start, "operator", records("operator", keys...), true)
	}
	var got []task.Log
	for _, one := range n.Take() {
		if line, ok := one.(task.Log); ok {
			got = append(got, line)
		}
	}
	if len(got) != 2 || got[0].Event != event.ZoneEvacuated || got[1].Event != event.EvacuationLifted {
		t.Fatalf("logged %+v, want one evacuation and its end", got)
	}
	if fields := got[0].Fields; !slices.Equal(fields, []any{"zone", "a", "replicas", 2, "in_flight", 3}) {
		t.Errorf("evacuation logged with fields %v", fields)
	}
}

// TestRoutesActivateWithEvacuations checks that the routes become active together with the evacuations.
func TestRoutesActivateWithEvacuations(t *testing.T) {
	n := New(start, Options{Name: "n", Topology: port.Topology{Zone: "a"}, Incarnation: 1, Decoder: zonedDecoder{}, OrderPause: time.Second})
	n.onDeployment(start, "replicas", records("replicas", "a/1"), true)
	if n.Route("", "") != nil || n.Ready(start) {
		t.Error("the node routes requests before reading the configuration table")
	}
	n.onDeployment(start, "operator", records("operator", "routes", "a"), true)
	if n.Choose(start, &evacuationRoute, "", "", Attempt{}) != nil {
		t.Error("a replica of an evacuated zone gets a request")
	}
}

// TestScalingReceivesEvacuatedZones checks that the scaling duty receives the evacuated zones.
func TestScalingReceivesEvacuatedZones(t *testing.T) {
	n := newZonedNode()
	n.onDeployment(start, "replicas", records("replicas", "a/1", "b/1"), true)
	n.onDeployment(start, "operator", records("operator", "a"), true)
	service := port.Service{Name: "s", Scaling: &port.Scaling{Prices: map[string]float64{"a": 1, "b": 1}}}
	zones := n.zonesOf(service)
	if len(zones) != 2 || !zones[0].Evacuated || zones[1].Evacuated {
		t.Errorf("scaling receives zones %+v, want a evacuated and b not", zones)
	}
}

// TestEvacuationEndWithoutStart checks the end of an evacuation whose start this node has not seen. The zone's
// replicas may have turned cold during it.
func TestEvacuationEndWithoutStart(t *testing.T) {
	for name, keys := range map[string][]string{"the end alone": {"-a"}, "both at once": {"a", "-a"}} {
		n := newZonedNode()
		n.onDeployment(start, "replicas", records("replicas", "a/1", "b/1"), true)
		n.onDeployment(start, "operator", records("operator", keys...), false)
		if !n.endpoints.Find("a/1").Cold(start, time.Second) || n.endpoints.Find("b/1").Cold(start, time.Second) {
			t.Errorf("%s: only the replica of the formerly evacuated zone should be cold", name)
		}
	}
	n := newZonedNode()
	n.onDeployment(start, "replicas", records("replicas", "a/1"), true)
	n.onDeployment(start, "operator", records("operator", "-a", "a"), false)
	if n.endpoints.Find("a/1").UnschedulableReason() != endpoint.UnschedulableEvacuated {
		t.Error("the zone is not evacuated after a second evacuation")
	}
}

// TestAllEvacuatedRespectsHomes checks that replicas outside the allowed regions do not count.
func TestAllEvacuatedRespectsHomes(t *testing.T) {
	n, route := homesNode()
	n.onEvacuations(start, []port.Evacuation{{Zone: "b"}}, false)
	if !n.AllEvacuated(route, "red") || n.AllEvacuated(route, "blue") {
		t.Error("want true for tenant red and false for blue")
	}
}
