package port

import "testing"

func TestHomes(t *testing.T) {
	for _, c := range []struct {
		name          string
		route, tenant []string
		region        string
		allowed       bool
	}{
		{"none named", nil, nil, "south", true},
		{"none named, a region that is not known", nil, nil, "", true},
		{"the route's", []string{"north", "east"}, nil, "east", true},
		{"not the route's", []string{"north"}, nil, "south", false},
		{"the tenant's", nil, []string{"south"}, "south", true},
		{"not the tenant's", nil, []string{"south"}, "north", false},
		{"of both", []string{"north", "east"}, []string{"east", "south"}, "east", true},
		{"of one alone", []string{"north", "east"}, []string{"east", "south"}, "north", false},
		{"nothing in common", []string{"north"}, []string{"south"}, "north", false},
		{"a region that is not known", []string{"north"}, nil, "", false},
	} {
		if got := NewHomes(c.route).And(NewHomes(c.tenant)).Allow(c.region); got != c.allowed {
			t.Errorf("%s: allowed %t, should be %t", c.name, got, c.allowed)
		}
	}
}
