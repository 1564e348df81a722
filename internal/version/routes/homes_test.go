package routes

import (
	"testing"

	"github.com/doorstep/doorstep/internal/port"
)

func homedTable(version int64, regions ...string) *Table {
	return New(&port.RouteTable{
		Version: version, Routes: []port.Route{{Name: "r", Host: "h", PathPrefix: "/", AllowedRegions: regions}},
		Tenants: []port.Tenant{{Name: "red", AllowedRegions: []string{"north", "south"}}, {Name: "blue"}},
	})
}

func TestHomesOfRouteAndTenant(t *testing.T) {
	table := homedTable(1, "south", "west")
	route := table.Match("h", "/x")
	for _, c := range []struct {
		route          *port.Route
		tenant, region string
		allowed        bool
	}{
		{route, "red", "south", true}, {route, "red", "west", false}, {route, "red", "north", false},
		{route, "blue", "west", true}, {route, "", "north", false}, {nil, "red", "north", true}, {nil, "blue", "west", true},
	} {
		if got := table.Homes(c.route, c.tenant).Allows(c.region); got != c.allowed {
			t.Errorf("route %t, tenant %q, %s: allowed %t", c.route != nil, c.tenant, c.region, got)
		}
	}
}

// TestHomesThatNarrowUnderARequest: a stream that came before the change goes on by both versions.
func TestHomesThatNarrowUnderARequest(t *testing.T) {
	older := homedTable(1).Match("h", "/x")
	narrowed := homedTable(2, "north")
	if homes := narrowed.Homes(older, ""); !homes.Allows("north") || homes.Allows("south") {
		t.Errorf("%+v", homes)
	}
	bound := homedTable(1, "north").Match("h", "/x")
	if homes := homedTable(2).Homes(bound, ""); !homes.Allows("north") || homes.Allows("south") {
		t.Errorf("widened: %+v", homes)
	}
}
