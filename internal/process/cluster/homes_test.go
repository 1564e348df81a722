package cluster

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/version/batch"
)

// homesNode returns a node in region north that knows one replica in each of two regions and one in an unknown
// zone. Tenant red is restricted to south.
func homesNode(routeHomes ...string) (*Node, *port.Route) {
	n := New(start, Options{
		Name: "n", Incarnation: 1, Decoder: decoder{}, OrderPause: time.Second,
		Topology: port.Topology{Zone: "a", Region: "north", Regions: map[string]string{"a": "north", "b": "south"}},
	})
	n.applyRoutes(start, &port.RouteTable{
		Version:  1,
		Routes:   []port.Route{{Name: "r", Host: "h", PathPrefix: "/", Backends: []port.Backend{{Service: "s", Weight: 1}}, AllowedRegions: routeHomes}},
		Services: []port.Service{{Name: "s"}}, Tenants: []port.Tenant{{Name: "red", AllowedRegions: []string{"south"}}, {Name: "blue"}},
	})
	for id, zone := range map[string]string{"northern": "a", "southern": "b", "unknown": "c"} {
		n.putReplica(start, n.endpoints.Put(port.ReplicaRecord{ID: id, Service: "s", Address: id, Zone: zone, Slots: 4, Versions: map[string]int64{"m": 1}}))
	}
	return n, n.Route("h", "/x")
}

// TestPlacementRespectsHomes checks that requests, items and scoring calls stay in allowed regions.
func TestPlacementRespectsHomes(t *testing.T) {
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
			"request": func() *endpoint.Endpoint { return n.Choose(start, route, c.tenant, "m", Attempt{}) },
			"item": func() *endpoint.Endpoint {
				return n.placeItem(start, batch.Placement{Route: route, Tenant: c.tenant, Model: "m"})
			},
			"long item": func() *endpoint.Endpoint {
				return n.placeItem(start, batch.Placement{Route: route, Tenant: c.tenant, Model: "m", Long: true})
			},
			"scoring call": func() *endpoint.Endpoint { return n.placeScoring(start, route, c.tenant, nil) },
		} {
			for range 4 {
				got := ""
				if chosen := choose(); chosen != nil {
					got = chosen.ID
				}
				if got != c.want {
					t.Errorf("%s, %s: %q, want %q", c.name, path, got, c.want)
				}
			}
		}
		if got := n.HasAllowedReplica(route, c.tenant); got != (c.want != "") {
			t.Errorf("%s: HasAllowedReplica returns %t", c.name, got)
		}
	}
}

// TestLatencyLearnedFromConnections checks that the latency to a zone is learned from connection times.
func TestLatencyLearnedFromConnections(t *testing.T) {
	n, _ := homesNode()
	n.ObserveConnectTime("northern", time.Millisecond)
	n.ObserveConnectTime("southern", 41*time.Millisecond)
	n.ObserveConnectTime("gone", time.Second)
	if got := n.ExtraLatency("b"); got != 40*time.Millisecond {
		t.Errorf("latency to zone b is %s, want 40ms", got)
	}
	if n.InOtherRegion("northern") || !n.InOtherRegion("southern") || n.InOtherRegion("gone") {
		t.Error("only the southern replica is in another region")
	}
}

// TestHomesUnknownWithoutConfiguration checks that allowed regions are unknown before the first configuration.
func TestHomesUnknownWithoutConfiguration(t *testing.T) {
	n := New(start, Options{Name: "n", Incarnation: 1, Decoder: decoder{}, OrderPause: time.Second})
	if n.jobHomes().ConfigurationLoaded() {
		t.Error("regions known without a configuration")
	}
	if n, _ := homesNode(); !n.jobHomes().ConfigurationLoaded() {
		t.Error("regions unknown with a configuration")
	}
}

// TestEvacuatedHomes checks that replicas outside the allowed regions do not hold a request whose allowed
// replicas are all evacuated.
func TestEvacuatedHomes(t *testing.T) {
	n, route := homesNode()
	n.endpoints.Find("southern").SetEvacuated(start, true)
	if !n.AllEvacuated(route, "red") {
		t.Error("AllEvacuated is false for a tenant whose regions are evacuated")
	}
	if n.AllEvacuated(route, "blue") {
		t.Error("AllEvacuated is true for an unrestricted tenant")
	}
}
