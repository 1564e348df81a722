package cluster

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/version/batch"
)

// homesNode is a node in the north that knows a replica in each of two regions, one whose zone it does
// not know, and a tenant that must stay in the south.
func homesNode(routeHomes ...string) (*Node, *port.Route) {
	n := New(start, Options{
		Name: "n", Incarnation: 1, Decoder: decoder{}, OrderPause: time.Second,
		Topology: port.Topology{Zone: "a", Region: "north", Regions: map[string]string{"a": "north", "b": "south"}},
	})
	n.apply(start, &port.RouteTable{
		Version:  1,
		Routes:   []port.Route{{Name: "r", Host: "h", PathPrefix: "/", Backends: []port.Backend{{Service: "s", Weight: 1}}, AllowedRegions: routeHomes}},
		Services: []port.Service{{Name: "s"}}, Tenants: []port.Tenant{{Name: "red", AllowedRegions: []string{"south"}}, {Name: "blue"}},
	})
	for id, zone := range map[string]string{"northern": "a", "southern": "b", "unknown": "c"} {
		n.putReplica(start, n.endpoints.Put(port.ReplicaRecord{ID: id, Service: "s", Address: id, Zone: zone, Slots: 4, Versions: map[string]int64{"m": 1}}))
	}
	return n, n.Route("h", "/x")
}

// TestEveryChoiceKeepsHomes: requests, items, moves of long ones and scoring calls.
func TestEveryChoiceKeepsHomes(t *testing.T) {
	for _, c := range []struct {
		name   string
		route  []string
		tenant string
		want   string
	}{
		{"no homes", nil, "blue", "northern"},
		{"the route's", []string{"south"}, "blue", "southern"},
		{"the tenant's", nil, "red", "southern"},
		{"both, one in common", []string{"north", "south"}, "red", "southern"},
		{"both, none in common", []string{"north"}, "red", ""},
		{"a region without replicas", []string{"east"}, "", ""},
	} {
		n, route := homesNode(c.route...)
		for path, choose := range map[string]func() *endpoint.Endpoint{
			"request": func() *endpoint.Endpoint { return n.Choose(start, route, c.tenant, "m", nil) },
			"item": func() *endpoint.Endpoint {
				return n.place(start, batch.Placement{Route: route, Tenant: c.tenant, Model: "m"})
			},
			"long item": func() *endpoint.Endpoint {
				return n.place(start, batch.Placement{Route: route, Tenant: c.tenant, Model: "m", Long: true})
			},
			"scoring call": func() *endpoint.Endpoint { return n.placeScoring(start, route, c.tenant, nil) },
		} {
			for range 4 {
				got := ""
				if chosen := choose(); chosen != nil {
					got = chosen.ID
				}
				if got != c.want {
					t.Errorf("%s, %s: %q, should be %q", c.name, path, got, c.want)
				}
			}
		}
		if got := n.Served(route, c.tenant); got != (c.want != "") {
			t.Errorf("%s: served %t", c.name, got)
		}
	}
}

// TestConnectionsTellTheDistance: the node learns by its connections how far the south is.
func TestConnectionsTellTheDistance(t *testing.T) {
	n, _ := homesNode()
	n.NoteConnection("northern", time.Millisecond)
	n.NoteConnection("southern", 41*time.Millisecond)
	n.NoteConnection("gone", time.Second)
	if got := n.Away("b"); got != 40*time.Millisecond {
		t.Errorf("the south is %s away", got)
	}
	if n.Elsewhere("northern") || !n.Elsewhere("southern") || n.Elsewhere("gone") {
		t.Error("the southern replica lies elsewhere, the northern does not")
	}
}

// TestHomesAreKnownWithTheConfiguration: before that a node can't tell where jobs may be.
func TestHomesAreKnownWithTheConfiguration(t *testing.T) {
	n := New(start, Options{Name: "n", Incarnation: 1, Decoder: decoder{}, OrderPause: time.Second})
	if n.jobHomes().ConfigurationLoaded() {
		t.Error("known without a configuration")
	}
	if n, _ := homesNode(); !n.jobHomes().ConfigurationLoaded() {
		t.Error("not known with one")
	}
}

// TestEvacuatedHomes: where the replicas in the homes are evacuated, those elsewhere are no reason to
// hold the request.
func TestEvacuatedHomes(t *testing.T) {
	n, route := homesNode()
	n.endpoints.Find("southern").SetEvacuated(start, true)
	if !n.AllEvacuated(route, "red") {
		t.Error("a tenant whose homes are evacuated is held")
	}
	if n.AllEvacuated(route, "blue") {
		t.Error("a tenant without homes is refused")
	}
}
