package port

import "testing"

func TestAllowedRegions(t *testing.T) {
	for _, c := range []struct {
		name          string
		route, tenant []string
		region        string
		allowed       bool
	}{
		{"unrestricted", nil, nil, "south", true},
		{"unrestricted, unknown region", nil, nil, "", true},
		{"allowed by route", []string{"north", "east"}, nil, "east", true},
		{"not allowed by route", []string{"north"}, nil, "south", false},
		{"allowed by tenant", nil, []string{"south"}, "south", true},
		{"not allowed by tenant", nil, []string{"south"}, "north", false},
		{"allowed by both", []string{"north", "east"}, []string{"east", "south"}, "east", true},
		{"allowed by route only", []string{"north", "east"}, []string{"east", "south"}, "north", false},
		{"disjoint", []string{"north"}, []string{"south"}, "north", false},
		{"restricted, unknown region", []string{"north"}, nil, "", false},
	} {
		if got := NewAllowedRegions(c.route).Intersect(NewAllowedRegions(c.tenant)).Allows(c.region); got != c.allowed {
			t.Errorf("%s: allowed %t, want %t", c.name, got, c.allowed)
		}
	}
}
