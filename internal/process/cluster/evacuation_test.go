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

// zonedDecoder reads records of evacuations, and of replicas whose keys begin with their zones.
type zonedDecoder struct{ decoder }

func (zonedDecoder) DecodeDeployment(records []port.Record) port.Deployment {
	var change port.Deployment
	for _, record := range records {
		switch {
		case record.Table == "operator" && record.Key == "routes":
			change.Routes = evacuationRoutes()
		case record.Table == "operator":
			change.Evacuations = append(change.Evacuations, port.Evacuation{Zone: record.Key, Lifted: record.Deleted})
		case record.Deleted:
			change.Gone = append(change.Gone, port.GoneReplica{ID: record.Key, Revision: record.Revision})
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
	n.apply(start, evacuationRoutes())
	return n
}

// records makes records of a table; a key that begins with a minus was deleted.
func records(table string, keys ...string) []port.Record {
	var list []port.Record
	for _, key := range keys {
		name, deleted := strings.CutPrefix(key, "-")
		list = append(list, port.Record{RecordKey: port.RecordKey{Table: table, Key: name}, Deleted: deleted})
	}
	return list
}

// told is what one table tells a node.
type told struct {
	table string
	whole bool
	keys  []string
}

func TestEvacuatedZones(t *testing.T) {
	replicas := told{"replicas", true, []string{"a/1", "b/1"}}
	for _, c := range []struct {
		name string
		told []told
		// zones are evacuated after that, usable the replicas that get work.
		zones, usable []string
	}{
		{"none", []told{replicas}, nil, []string{"a/1", "b/1"}},
		{"a record comes", []told{replicas, {"operator", false, []string{"a"}}}, []string{"a"}, []string{"b/1"}},
		{"and goes", []told{replicas, {"operator", false, []string{"a"}}, {"operator", false, []string{"-a"}}}, nil, []string{"a/1", "b/1"}},
		{"it comes and goes in one change", []told{replicas, {"operator", false, []string{"a", "-a"}}}, nil, []string{"a/1", "b/1"}},
		{"a change of another record", []told{replicas, {"operator", false, []string{"a"}}, {"operator", false, []string{"routes"}}}, []string{"a"}, []string{"b/1"}},
		{"a whole reading without it: its deletion was in no change", []told{replicas, {"operator", false, []string{"a"}}, {"operator", true, []string{"routes", "b"}}},
			[]string{"b"}, []string{"a/1"}},
		{"a whole reading of the replicas", []told{replicas, {"operator", false, []string{"a"}}, replicas}, []string{"a"}, []string{"b/1"}},
		{"replicas are read after it", []told{{"operator", true, []string{"a"}}, replicas}, []string{"a"}, []string{"b/1"}},
		{"a replica is added", []told{replicas, {"operator", true, []string{"a"}}, {"replicas", false, []string{"a/2", "b/2"}}}, []string{"a"}, []string{"b/1", "b/2"}},
		{"a replica that was added, then lifted", []told{replicas, {"operator", true, []string{"a"}}, {"replicas", false, []string{"a/2"}}, {"operator", true, nil}},
			nil, []string{"a/1", "a/2", "b/1"}},
		{"a record went and came again", []told{replicas, {"operator", true, []string{"a"}}, {"replicas", false, []string{"-a/1"}}, {"replicas", false, []string{"a/1"}}},
			[]string{"a"}, []string{"b/1"}},
		{"all", []told{replicas, {"operator", true, []string{"a", "b"}}}, []string{"a", "b"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newZonedNode()
			for _, one := range c.told {
				n.onDeployment(start, one.table, records(one.table, one.keys...), one.whole)
			}
			if got := n.Evacuated(); !slices.Equal(got, c.zones) {
				t.Errorf("evacuated: %v, should be %v", got, c.zones)
			}
			var usable []string
			exclude := map[string]bool{}
			for one := n.Choose(start, &evacuationRoute, "", "", exclude); one != nil; one = n.Choose(start, &evacuationRoute, "", "", exclude) {
				usable = append(usable, one.ID)
				exclude[one.ID] = true
			}
			slices.Sort(usable)
			if !slices.Equal(usable, c.usable) {
				t.Errorf("requests go to %v, should to %v", usable, c.usable)
			}
			if got := n.AllEvacuated(&evacuationRoute, ""); got != (len(c.usable) == 0) {
				t.Errorf("all are evacuated: %t", got)
			}
		})
	}
}

// TestLapsedReplicaOfAnEvacuatedZone: a replica that is kept though its record ran out is withheld
// all the same, and gets work once the evacuation is lifted.
func TestLapsedReplicaOfAnEvacuatedZone(t *testing.T) {
	n := newZonedNode()
	n.onDeployment(start, "replicas", records("replicas", "a/1"), true)
	n.onReplicaHealth(start, true)
	n.onReplicaHealth(start, false)
	n.onDeployment(start, "replicas", records("replicas", "-a/1"), false)
	n.onDeployment(start, "operator", records("operator", "a"), false)
	if n.Choose(start, &evacuationRoute, "", "", nil) != nil {
		t.Error("a kept replica of an evacuated zone gets a request")
	}
	lifted := start.Add(time.Second)
	n.onDeployment(lifted, "operator", nil, true)
	one := n.Choose(lifted, &evacuationRoute, "", "", nil)
	if one == nil || !one.EvacuatedUntil.Equal(lifted) {
		t.Errorf("after the lifting: %+v", one)
	}
}

// TestAllEvacuatedIsTrue: it is said only where evacuations alone keep replicas from work.
func TestAllEvacuatedIsTrue(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(n *Node)
		want   bool
	}{
		{"no replica", func(n *Node) {}, false},
		{"evacuated", func(n *Node) { n.onDeployment(start, "replicas", records("replicas", "a/1"), true) }, true},
		{"evacuated, and one elsewhere", func(n *Node) { n.onDeployment(start, "replicas", records("replicas", "a/1", "b/1"), true) }, false},
		{"evacuated, and one elsewhere that leaves", func(n *Node) {
			n.onDeployment(start, "replicas", records("replicas", "a/1", "b/1"), true)
			n.endpoints.Find("b/1").Draining = true
		}, true},
		{"one that leaves", func(n *Node) {
			n.onDeployment(start, "replicas", records("replicas", "b/1"), true)
			n.endpoints.Find("b/1").Draining = true
		}, false},
	} {
		n := newZonedNode()
		n.onDeployment(start, "operator", records("operator", "a"), true)
		c.change(n)
		if got := n.AllEvacuated(&evacuationRoute, ""); got != c.want {
			t.Errorf("%s: %t, should be %t", c.name, got, c.want)
		}
	}
}

// TestEvacuationsAreLogged: once each, with what is in flight there.
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
		t.Fatalf("%+v", got)
	}
	if fields := got[0].Fields; !slices.Equal(fields, []any{"zone", "a", "replicas", 2, "in_flight", 3}) {
		t.Errorf("%v", fields)
	}
}

// TestNoRequestBeforeTheSetIsRead: the routes come with the evacuations, in one reading.
func TestNoRequestBeforeTheSetIsRead(t *testing.T) {
	n := New(start, Options{Name: "n", Topology: port.Topology{Zone: "a"}, Incarnation: 1, Decoder: zonedDecoder{}, OrderPause: time.Second})
	n.onDeployment(start, "replicas", records("replicas", "a/1"), true)
	if n.Route("", "") != nil || n.Ready(start) {
		t.Error("the node routes before it has read the table of the configuration")
	}
	n.onDeployment(start, "operator", records("operator", "routes", "a"), true)
	if n.Choose(start, &evacuationRoute, "", "", nil) != nil {
		t.Error("a replica that was listed before the set was read gets a request")
	}
}

// TestZonesOfEvacuated: the scaling duty is told which zones are out of use.
func TestZonesOfEvacuated(t *testing.T) {
	n := newZonedNode()
	n.onDeployment(start, "replicas", records("replicas", "a/1", "b/1"), true)
	n.onDeployment(start, "operator", records("operator", "a"), true)
	service := port.Service{Name: "s", Scaling: &port.Scaling{Prices: map[string]float64{"a": 1, "b": 1}}}
	zones := n.zonesOf(service)
	if len(zones) != 2 || !zones[0].Evacuated || zones[1].Evacuated {
		t.Errorf("%+v", zones)
	}
}

// TestALiftingToldAloneIsOne: a node that was suspended, or hears of several changes at once, may hear of an
// evacuation by its end only. The zone's replicas may have turned cold all the same.
func TestALiftingToldAloneIsOne(t *testing.T) {
	for name, keys := range map[string][]string{"the end alone": {"-a"}, "both at once": {"a", "-a"}} {
		n := newZonedNode()
		n.onDeployment(start, "replicas", records("replicas", "a/1", "b/1"), true)
		n.onDeployment(start, "operator", records("operator", keys...), false)
		if !n.endpoints.Find("a/1").Cold(start, time.Second) || n.endpoints.Find("b/1").Cold(start, time.Second) {
			t.Errorf("%s: the replica of the zone alone is presumed to be cold", name)
		}
	}
	n := newZonedNode()
	n.onDeployment(start, "replicas", records("replicas", "a/1"), true)
	n.onDeployment(start, "operator", records("operator", "-a", "a"), false)
	if n.endpoints.Find("a/1").UnschedulableReason() != endpoint.UnschedulableEvacuated {
		t.Error("a zone that is evacuated anew is evacuated")
	}
}

// TestAllEvacuatedGoesByHomes: replicas in regions in which a request may not be served don't count.
func TestAllEvacuatedGoesByHomes(t *testing.T) {
	n, route := homesNode()
	n.onEvacuations(start, []port.Evacuation{{Zone: "b"}}, false)
	if !n.AllEvacuated(route, "red") || n.AllEvacuated(route, "blue") {
		t.Error("all replicas that could serve red are evacuated, not so those for blue")
	}
}
