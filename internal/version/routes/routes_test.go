package routes

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/doorstep/doorstep/internal/port"
)

func TestMatch(t *testing.T) {
	table := New(&port.RouteTable{Version: 3, Routes: []port.Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"}, {Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/z", "short"}, {"a.example", "/x/y/z", "long"}, {"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/z", "other"}, {"a.example", "/x", ""}, {"a.example", "/", ""}, {"c.example", "/x/", ""},
	} {
		got := ""
		if route := table.Match(c.host, c.path); route != nil {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("%s%s matched %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestSplitKeepsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weight := rapid.Float64Range(0, 100).Draw(t, "weight")
		route := &port.Route{Name: "r", Backends: []port.Backend{{Service: "a", Weight: weight}, {Service: "b", Weight: 100 - weight}}}
		splitter := NewSplitter(rapid.Float64Range(0, 1).Draw(t, "start"))
		const draws = 300
		first := 0
		for range draws {
			order := splitter.Order(route)
			if len(order) == 0 {
				t.Fatal("no backends returned")
			}
			if order[0] == "a" {
				first++
			}
		}
		if share := float64(first) / draws; math.Abs(share-weight/100) > 0.02 {
			t.Fatalf("weight %f received a share of %f", weight, share)
		}
	})
}

func TestSplitSkipsBackendsWithoutWeight(t *testing.T) {
	route := &port.Route{Name: "r", Backends: []port.Backend{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}}
	splitter := NewSplitter(0.1)
	for range 20 {
		if order := splitter.Order(route); len(order) != 1 || order[0] != "b" {
			t.Fatalf("order %v, want only b", order)
		}
	}
}

func TestTenantsByKey(t *testing.T) {
	table := New(&port.RouteTable{Version: 3, Tenants: []port.Tenant{
		{Name: "red", Keys: []port.KeyDigest{port.DigestKey("r1"), port.DigestKey("r2")}}, {Name: "blue"},
	}})
	for key, want := range map[string]string{"r1": "red", "r2": "red", "r": "", "": "", "blue": ""} {
		if got, known := table.Tenant(port.DigestKey(key)); got != want || known != (want != "") {
			t.Errorf("key %q belongs to %q, known %t", key, got, known)
		}
	}
	if !table.HasTenants() || New(&port.RouteTable{Version: 3}).HasTenants() {
		t.Error("HasTenants does not match the configured tenants")
	}
}
