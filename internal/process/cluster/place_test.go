package cluster

import (
	"net/http"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/version/batch"
)

// TestItemsWaitRatherThanUseEjectedReplica guards against ejected replicas attracting all items because
// they alone always have room.
func TestItemsWaitRatherThanUseEjectedReplica(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	for _, c := range []struct {
		name string
		// full and ejected hold the state of each of the two replicas.
		full, ejected [2]bool
		want          string
	}{
		{"one ejected", [2]bool{}, [2]bool{true, false}, "b"},
		{"one ejected, the other full", [2]bool{false, true}, [2]bool{true, false}, ""},
		{"all ejected", [2]bool{}, [2]bool{true, true}, "a"},
		{"all ejected, one full as well", [2]bool{true, false}, [2]bool{true, true}, "b"},
	} {
		n := newNode()
		n.applyRoutes(start, &port.RouteTable{Version: 1, Routes: []port.Route{*route}, Services: []port.Service{{Name: "s"}}})
		for i, id := range []string{"a", "b"} {
			one := n.endpoints.Put(port.ReplicaRecord{ID: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}}).Endpoint
			if c.full[i] {
				one.InFlight = 6
			}
			if c.ejected[i] {
				one.RecordFailure(start)
				one.RecordFailure(start)
			}
		}
		n.rotation = 1
		got := ""
		if chosen := n.placeItem(start.Add(time.Millisecond), batch.Placement{Route: route, Model: "m"}); chosen != nil {
			got = chosen.ID
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// sizedDecoder returns a prompt of 100 tokens, at most 1,000 generated tokens and a length hint of 300.
type sizedDecoder struct{ decoder }

func (sizedDecoder) Tokens(http.Header) (prompt, most int) { return 100, 1000 }

func (sizedDecoder) LengthHint(http.Header) int { return 300 }

func TestExpectedTokens(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	for _, c := range []struct {
		name    string
		service port.Service
		route   *port.Route
		events  int
		tokens  int
		most    int
		longest int
	}{
		{"by the hint", port.Service{Name: "s", EventTokens: 10, MemoryTokens: 5000}, route, 0, 400, 100, 200},
		{"by the events so far", port.Service{Name: "s", EventTokens: 10, MemoryTokens: 5000}, route, 50, 750, 100, 200},
		{"the maximum", port.Service{Name: "s", EventTokens: 10, MemoryTokens: 5000}, route, 99, 1100, 100, 200},
		{"the last event is not full", port.Service{Name: "s", EventTokens: 300, MemoryTokens: 5000}, route, 0, 400, 4, 8},
		{"tokens per event unknown", port.Service{Name: "s", MemoryTokens: 5000}, route, 0, 0, 0, 2000},
		{"memory unknown", port.Service{Name: "s", EventTokens: 10}, route, 0, 0, 100, 200},
		{"a route without a service", port.Service{Name: "s", EventTokens: 10, MemoryTokens: 5000}, &port.Route{Name: "r"}, 0, 0, 0, 2000},
	} {
		n := newNode()
		n.options.Decoder = sizedDecoder{}
		n.applyRoutes(start, &port.RouteTable{Version: 1, Services: []port.Service{c.service}})
		if got := n.expectedTokens(c.route, nil, c.events); got != c.tokens {
			t.Errorf("%s: %d tokens, want %d", c.name, got, c.tokens)
		}
		if got := n.maxEvents(c.route, nil); got != c.most {
			t.Errorf("%s: at most %d events, want %d", c.name, got, c.most)
		}
		if got := n.maxTextEvents(c.route, nil); got != c.longest {
			t.Errorf("%s: a text may have %d events, want %d", c.name, got, c.longest)
		}
	}
}

// TestMovesRequireKnownPace checks that a running item is moved only to a replica with a known pace, even
// if one without is idle.
func TestMovesRequireKnownPace(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	n := newNode()
	n.applyRoutes(start, &port.RouteTable{Version: 1, Routes: []port.Route{*route}, Services: []port.Service{{Name: "s"}}})
	for _, id := range []string{"known", "slow", "unknown"} {
		n.endpoints.Put(port.ReplicaRecord{ID: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}})
	}
	known := n.endpoints.Find("known")
	known.InFlight = 3
	known.UpdatePace(start, 50*time.Millisecond)
	n.endpoints.Find("slow").UpdatePace(start, 65*time.Millisecond)
	for _, paced := range []bool{false, true} {
		want := map[bool]string{false: "unknown", true: "known"}[paced]
		chosen := n.placeItem(start.Add(time.Millisecond), batch.Placement{Route: route, Model: "m", Avoid: "slow", Long: true, PreferKnownPace: paced})
		if chosen == nil || chosen.ID != want {
			t.Errorf("paced %t: %v, want %s", paced, chosen, want)
		}
	}
}

// TestLongItemsGoToFastReplicas checks that a long item is not started on a slower replica while a fast one
// has room.
func TestLongItemsGoToFastReplicas(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	for _, c := range []struct {
		name string
		long bool
		// inFlight and tokens are this node's load on the fast replica, which has 4 slots and 1,000 tokens.
		inFlight, tokens int
		want             string
	}{
		{"both idle", true, 0, 0, "fast"},
		{"one slot free on the fast one", true, 3, 300, "fast"},
		{"no slot free on the fast one", true, 4, 300, "slow"},
		{"no memory free on the fast one", true, 3, 900, "slow"},
		{"a text expected to be short", false, 0, 0, "slow"},
	} {
		n := newNode()
		n.applyRoutes(start, &port.RouteTable{Version: 1, Routes: []port.Route{*route}, Services: []port.Service{{Name: "s", MemoryTokens: 1000}}})
		for _, id := range []string{"fast", "slow"} {
			n.endpoints.Put(port.ReplicaRecord{ID: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}})
		}
		fast := n.endpoints.Find("fast")
		fast.InFlight, fast.Tokens = c.inFlight, c.tokens
		fast.UpdatePace(start, 50*time.Millisecond)
		n.endpoints.Find("slow").UpdatePace(start, 65*time.Millisecond)
		chosen := n.placeItem(start.Add(time.Millisecond), batch.Placement{Route: route, Model: "m", Long: c.long, Tokens: 200})
		if chosen == nil || chosen.ID != c.want {
			t.Errorf("%s: %v, want %s", c.name, chosen, c.want)
		}
	}
}

// TestLongItemsRespectWeights checks that long items, too, are not sent to a service with weight 0.
func TestLongItemsRespectWeights(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 0}}}
	n := newNode()
	n.applyRoutes(start, &port.RouteTable{Version: 1, Routes: []port.Route{*route}, Services: []port.Service{{Name: "s"}}})
	n.endpoints.Put(port.ReplicaRecord{ID: "a", Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}})
	for _, long := range []bool{false, true} {
		if chosen := n.placeItem(start.Add(time.Millisecond), batch.Placement{Route: route, Model: "m", Long: long}); chosen != nil {
			t.Errorf("long %t: %s chosen although its service has weight 0", long, chosen.ID)
		}
	}
}

// TestLongItemsRespectRestrictions checks that long items respect everything that makes a replica unusable for other
// items, even if it is the fastest and idle.
func TestLongItemsRespectRestrictions(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	for _, c := range []struct {
		name     string
		restrict func(fast *endpoint.Endpoint, wanted *batch.Placement)
		want     string
	}{
		{"no restriction", func(*endpoint.Endpoint, *batch.Placement) {}, "fast"},
		{"draining", func(fast *endpoint.Endpoint, _ *batch.Placement) { fast.Draining = true }, "slow"},
		{"drained", func(fast *endpoint.Endpoint, _ *batch.Placement) { fast.OperatorDrained = true }, "slow"},
		{"zone evacuated", func(fast *endpoint.Endpoint, _ *batch.Placement) { fast.SetEvacuated(start, true) }, "slow"},
		{"cold", func(fast *endpoint.Endpoint, _ *batch.Placement) { fast.ColdUntil = start.Add(time.Second) }, "slow"},
		{"ejected", func(fast *endpoint.Endpoint, _ *batch.Placement) {
			fast.RecordFailure(start)
			fast.RecordFailure(start)
		}, "slow"},
		{"loading the model", func(fast *endpoint.Endpoint, _ *batch.Placement) { fast.SetLoading("m", start.Add(time.Second)) }, "slow"},
		{"version too old", func(fast *endpoint.Endpoint, _ *batch.Placement) { fast.Versions["m"] = 0 }, "slow"},
		{"the item is to avoid it", func(_ *endpoint.Endpoint, wanted *batch.Placement) { wanted.Avoid = "fast" }, "slow"},
		{"excluded for the item", func(_ *endpoint.Endpoint, wanted *batch.Placement) { wanted.Exclude = map[string]bool{"fast": true} }, "slow"},
	} {
		n := newNode()
		n.applyRoutes(start, &port.RouteTable{Version: 1, Routes: []port.Route{*route}, Services: []port.Service{{
			Name: "s", ColdStart: &port.ColdStart{Duration: coldLasts, PerSecond: coldPerSecond},
		}}})
		for _, id := range []string{"fast", "slow"} {
			n.endpoints.Put(port.ReplicaRecord{ID: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}})
		}
		fast := n.endpoints.Find("fast")
		fast.UpdatePace(start, 50*time.Millisecond)
		n.endpoints.Find("slow").UpdatePace(start, 65*time.Millisecond)
		wanted := batch.Placement{Route: route, Model: "m", MinVersion: 1, Long: true, DryRun: true}
		c.restrict(fast, &wanted)
		if chosen := n.placeItem(start.Add(time.Millisecond), wanted); chosen == nil || chosen.ID != c.want {
			t.Errorf("%s: %v, want %s", c.name, chosen, c.want)
		}
	}
}

// TestMovesAvoidEjectedReplicas checks that an ejected replica is a last resort for waiting items only, not
// for running ones.
func TestMovesAvoidEjectedReplicas(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	n := newNode()
	n.applyRoutes(start, &port.RouteTable{Version: 1, Routes: []port.Route{*route}, Services: []port.Service{{Name: "s"}}})
	for _, id := range []string{"slow", "ejected"} {
		n.endpoints.Put(port.ReplicaRecord{ID: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}})
	}
	ejected := n.endpoints.Find("ejected")
	ejected.UpdatePace(start, 50*time.Millisecond)
	ejected.RecordFailure(start)
	ejected.RecordFailure(start)
	for look, want := range map[bool]string{true: "", false: "ejected"} {
		got := ""
		if chosen := n.placeItem(start.Add(time.Millisecond), batch.Placement{Route: route, Model: "m", Avoid: "slow", Long: true, DryRun: look}); chosen != nil {
			got = chosen.ID
		}
		if got != want {
			t.Errorf("look %t: %q, want %q", look, got, want)
		}
	}
}
