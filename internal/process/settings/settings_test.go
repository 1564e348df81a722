package settings

import (
	"errors"
	"strings"
	"testing"
)

const validSettings = `
name: a-1
zone: a
region: north
zones: [{name: a, region: north}, {name: b, region: south}]
cold: {overshoot: 1.5, slack: 5}
listen: {requests: "127.0.0.1:1", readiness: "127.0.0.1:2"}
store: {address: "127.0.0.1:3"}
orders: {pause_ms: 3000}
duties: {address: "127.0.0.1:4", kinds: "usage_reporting,something_else", fenced: true, calls_per_s: 50, usage_window_s: 5, usage_late_s: 10}
tenants: {strict: true, revocation_ms: 5000}
memory: {limit_mb: 300}
log: {level: info, json: true}
`

func TestLoad(t *testing.T) {
	cases := []struct {
		name, from, to, field string
	}{
		{"good", "", "", ""},
		{"no name", "name: a-1\nzone", "zone", "name"},
		{"no zone", "zone: a\n", "", "zone"},
		{"no store", "store: {address: \"127.0.0.1:3\"}\n", "", "store.address"},
		{"bad address", `"127.0.0.1:2"`, "nowhere", "listen.readiness"},
		{"bad metrics address", "listen: {", "listen: {metrics: here, ", "listen.metrics"},
		{"negative pause", "3000", "-1", "orders.pause_ms"},
		{"excessive pause", "3000", "9000000", "orders.pause_ms"},
		{"unknown field", "store:", "colour: red\nstore:", "(file)"},
		{"unknown nested field", "limit_mb", "limit", "(file)"},
		{"wrong type", "3000", "soon", "(file)"},
		{"not YAML", "name:", "}name", "(file)"},
		{"bad duties address", `"127.0.0.1:4"`, "there", "duties.address"},
		{"duties without kinds", `kinds: "usage_reporting,something_else", `, "", "duties.kinds"},
		{"duties without a rate limit", "calls_per_s: 50, ", "", "duties.calls_per_s"},
		{"negative window", "usage_window_s: 5", "usage_window_s: -5", "duties.usage_window_s"},
		{"excessive lateness", "usage_late_s: 10", "usage_late_s: 100000", "duties.usage_late_s"},
		{"negative revocation time", "revocation_ms: 5000", "revocation_ms: -1", "tenants.revocation_ms"},
		{"zones without a region", "region: north\n", "", "region"},
		{"duplicate zone", "name: b", "name: a", "zones"},
		{"zone without a region", "{name: b, region: south}", "{name: b}", "zones[1].region"},
		{"overshoot below 1", "overshoot: 1.5", "overshoot: 0.5", "cold.overshoot"},
		{"negative slack", "slack: 5", "slack: -5", "cold.slack"},
		{"bad level", "level: info", "level: loud", "log.level"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load([]byte(strings.Replace(validSettings, c.from, c.to, 1)), nil)
			if c.field == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			var invalid *Error
			if !errors.As(err, &invalid) || invalid.Fields[0].Field != c.field {
				t.Fatalf("got error %v, want one for field %s", err, c.field)
			}
			if invalid.Fields[0].Allowed == "" {
				t.Errorf("the error does not give the allowed values: %v", err)
			}
		})
	}
}

func TestOverrides(t *testing.T) {
	loaded, err := Load([]byte(validSettings), map[string]any{"listen.requests": "127.0.0.1:9", "log.level": "warn"})
	if err != nil || loaded.Listen.Requests != "127.0.0.1:9" || loaded.Log.Level != "warn" {
		t.Fatalf("overrides were not applied: %+v, %v", loaded, err)
	}
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("store: [[]]"))
	f.Fuzz(func(t *testing.T, content []byte) {
		loaded, err := Load(content, nil)
		if err == nil && (loaded.Name == "" || loaded.Store.Address == "") {
			t.Error("accepted settings without a node name or a store address")
		}
	})
}

func TestDuties(t *testing.T) {
	loaded, err := Load([]byte(validSettings), nil)
	if err != nil {
		t.Fatal(err)
	}
	if !loaded.Duties.Has(DutyUsage) || loaded.Duties.Has(DutyScaling) {
		t.Errorf("%+v", loaded.Duties)
	}
	loaded.Duties.Address = ""
	if loaded.Duties.Has(DutyUsage) {
		t.Error("Has is true without a platform address")
	}
}

func TestTopology(t *testing.T) {
	loaded, err := Load([]byte(validSettings), nil)
	if err != nil {
		t.Fatal(err)
	}
	topology := loaded.Topology()
	for zone, region := range map[string]string{"a": "north", "b": "south", "c": ""} {
		if got := topology.RegionOf(zone); got != region {
			t.Errorf("zone %s: got region %q, want %q", zone, got, region)
		}
	}
}
