package routes

import (
	"testing"

	"github.com/doorstep/doorstep/internal/port"
)

func newTable(version int64, regions ...string) *Table {
	return New(&port.RouteTable{
		Version: version, Routes: []port.Route{{Name: "r", Host: "h", PathPrefix: "/", AllowedRegions: regions}},
		Tenants: []port.Tenant{{Name: "red", AllowedRegions: []string{"north", "south"}}, {Name: "blue"}},
	})
}

func TestAllowedRegionsOfRouteAndTenant(t *testing.T) {
	table := newTable(1, "south", "west")
	route := table.Match("h", "/x")
	for _, c := range []struct {
		route          *port.Route
		tenant, region string
		allowed        bool
	}{
		{route, "red", "south", true}, {route, "red", "west", false}, {route, "red", "north", false},
		{route, "blue", "west", true}, {route, "", "north", false}, {nil, "red", "north", true}, {nil, "blue", "west", true},
	} {
		if got := table.AllowedRegions(c.route, c.tenant).Allows(c.region); got != c.allowed {
			t.Errorf("route %t, tenant %q, %s: allowed %t", c.route != nil, c.tenant, c.region, got)
		}
	}
}

// TestAllowedRegionsChangeDuringRequest checks that a request in progress is restricted by both its own and
// the current version of its route.
func TestAllowedRegionsChangeDuringRequest(t *testing.T) {
	olderRoute := newTable(1).Match("h", "/x")
	narrowed := newTable(2, "north")
	if allowed := narrowed.AllowedRegions(olderRoute, ""); !allowed.Allows("north") || allowed.Allows("south") {
		t.Errorf("allowed regions after narrowing: %+v", allowed)
	}
	restricted := newTable(1, "north").Match("h", "/x")
	if allowed := newTable(2).AllowedRegions(restricted, ""); !allowed.Allows("north") || allowed.Allows("south") {
		t.Errorf("allowed regions after widening: %+v", allowed)
	}
}
