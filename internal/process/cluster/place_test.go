package cluster

import (
	"net/http"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/version/batch"
)

// ovc-plovdiv-large, trouble-3: two replicas that reset every connection drew 870 runs of one
// job within half a second, as they alone always had room.
func TestItemsWaitForRoomRatherThanGoToAnEjectedReplica(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	for _, c := range []struct {
		name string
		// full and ejected say what is wrong with each of two replicas.
		full, ejected [2]bool
		want          string
	}{
		{"one ejected", [2]bool{}, [2]bool{true, false}, "b"},
		{"one ejected, the other full", [2]bool{false, true}, [2]bool{true, false}, ""},
		{"all ejected", [2]bool{}, [2]bool{true, true}, "a"},
		{"all ejected, one full as well", [2]bool{true, false}, [2]bool{true, true}, "b"},
	} {
		n := newNode()
		n.apply(start, &port.RouteTable{Version: 1, Routes: []port.Route{*route}, Services: []port.Service{{Name: "s"}}})
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
		if chosen := n.place(start.Add(time.Millisecond), batch.Placement{Route: route, Model: "m"}); chosen != nil {
			got = chosen.ID
		}
		if got != c.want {
			t.Errorf("%s: %q, should be %q", c.name, got, c.want)
		}
	}
}

// sizedDecoder tells of each request a prompt of 100 tokens, 1,000 at the most, and 300 expected.
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
	}{
		{"by the hint", port.Service{Name: "s", EventTokens: 10, MemoryTokens: 5000}, route, 0, 400, 100},
		{"by what there is of the text", port.Service{Name: "s", EventTokens: 10, MemoryTokens: 5000}, route, 50, 750, 100},
		{"the most that it may make", port.Service{Name: "s", EventTokens: 10, MemoryTokens: 5000}, route, 99, 1100, 100},
		{"the last event is not full", port.Service{Name: "s", EventTokens: 300, MemoryTokens: 5000}, route, 0, 400, 4},
		{"events' tokens are not told", port.Service{Name: "s", MemoryTokens: 5000}, route, 0, 0, 0},
		{"the memory is not told", port.Service{Name: "s", EventTokens: 10}, route, 0, 0, 100},
		{"a route without a service", port.Service{Name: "s", EventTokens: 10, MemoryTokens: 5000}, &port.Route{Name: "r"}, 0, 0, 0},
	} {
		n := newNode()
		n.options.Decoder = sizedDecoder{}
		n.apply(start, &port.RouteTable{Version: 1, Services: []port.Service{c.service}})
		if got := n.expectedTokens(c.route, nil, c.events); got != c.tokens {
			t.Errorf("%s: %d tokens, should be %d", c.name, got, c.tokens)
		}
		if got := n.mostEvents(c.route, nil); got != c.most {
			t.Errorf("%s: %d events at the most, should be %d", c.name, got, c.most)
		}
	}
}

// TestMovesGoWhereThePaceIsKnown: a run isn't moved to a replica that nobody has seen work yet, so
// that one of these must not hide those that are known to be fast.
func TestMovesGoWhereThePaceIsKnown(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	n := newNode()
	n.apply(start, &port.RouteTable{Version: 1, Routes: []port.Route{*route}, Services: []port.Service{{Name: "s"}}})
	for _, id := range []string{"known", "slow", "unknown"} {
		n.endpoints.Put(port.ReplicaRecord{ID: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}})
	}
	known := n.endpoints.Find("known")
	known.InFlight = 3
	known.UpdatePace(start, 50*time.Millisecond)
	n.endpoints.Find("slow").UpdatePace(start, 65*time.Millisecond)
	for _, paced := range []bool{false, true} {
		want := map[bool]string{false: "unknown", true: "known"}[paced]
		chosen := n.place(start.Add(time.Millisecond), batch.Placement{Route: route, Model: "m", Avoid: "slow", Long: true, Paced: paced})
		if chosen == nil || chosen.ID != want {
			t.Errorf("paced %t: %v, should be %s", paced, chosen, want)
		}
	}
}

// TestLongItemsGoToFastReplicas: with room at one of the fastest replicas, a text that may be
// among the longest isn't begun at a slower one, however idle that is.
func TestLongItemsGoToFastReplicas(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	for _, c := range []struct {
		name string
		long bool
		// inFlight and tokens are what this node has at the fast replica, of 4 slots and 1,000.
		inFlight, tokens int
		want             string
	}{
		{"both idle", true, 0, 0, "fast"},
		{"the fast one has its last slot free", true, 3, 300, "fast"},
		{"the fast one has no slot", true, 4, 300, "slow"},
		{"the fast one has no memory", true, 3, 900, "slow"},
		{"a text that is likely short", false, 0, 0, "slow"},
	} {
		n := newNode()
		n.apply(start, &port.RouteTable{Version: 1, Routes: []port.Route{*route}, Services: []port.Service{{Name: "s", MemoryTokens: 1000}}})
		for _, id := range []string{"fast", "slow"} {
			n.endpoints.Put(port.ReplicaRecord{ID: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}})
		}
		fast := n.endpoints.Find("fast")
		fast.InFlight, fast.Tokens = c.inFlight, c.tokens
		fast.UpdatePace(start, 50*time.Millisecond)
		n.endpoints.Find("slow").UpdatePace(start, 65*time.Millisecond)
		chosen := n.place(start.Add(time.Millisecond), batch.Placement{Route: route, Model: "m", Long: c.long, Tokens: 200})
		if chosen == nil || chosen.ID != c.want {
			t.Errorf("%s: %v, should be %s", c.name, chosen, c.want)
		}
	}
}

// TestLongItemsKeepToWeights: an operator takes a route's services away by a weight of 0.
func TestLongItemsKeepToWeights(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 0}}}
	n := newNode()
	n.apply(start, &port.RouteTable{Version: 1, Routes: []port.Route{*route}, Services: []port.Service{{Name: "s"}}})
	n.endpoints.Put(port.ReplicaRecord{ID: "a", Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}})
	for _, long := range []bool{false, true} {
		if chosen := n.place(start.Add(time.Millisecond), batch.Placement{Route: route, Model: "m", Long: long}); chosen != nil {
			t.Errorf("long %t: %s is chosen, though its service has no weight", long, chosen.ID)
		}
	}
}

// TestLongItemsKeepToBounds: whatever keeps a replica from other items keeps it from long ones, though
// it is the fastest and idle.
func TestLongItemsKeepToBounds(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	for _, c := range []struct {
		name string
		bar  func(fast *endpoint.Endpoint, wanted *batch.Placement)
		want string
	}{
		{"nothing bars it", func(*endpoint.Endpoint, *batch.Placement) {}, "fast"},
		{"it leaves", func(fast *endpoint.Endpoint, _ *batch.Placement) { fast.Draining = true }, "slow"},
		{"drained", func(fast *endpoint.Endpoint, _ *batch.Placement) { fast.OperatorDrained = true }, "slow"},
		{"its zone is evacuated", func(fast *endpoint.Endpoint, _ *batch.Placement) { fast.SetEvacuated(start, true) }, "slow"},
		{"cold", func(fast *endpoint.Endpoint, _ *batch.Placement) { fast.ColdUntil = start.Add(time.Second) }, "slow"},
		{"ejected", func(fast *endpoint.Endpoint, _ *batch.Placement) {
			fast.RecordFailure(start)
			fast.RecordFailure(start)
		}, "slow"},
		{"it loads", func(fast *endpoint.Endpoint, _ *batch.Placement) { fast.SetLoading("m", start.Add(time.Second)) }, "slow"},
		{"too old a version", func(fast *endpoint.Endpoint, _ *batch.Placement) { fast.Versions["m"] = 0 }, "slow"},
		{"the item was there", func(_ *endpoint.Endpoint, wanted *batch.Placement) { wanted.Avoid = "fast" }, "slow"},
		{"another runs apart there", func(_ *endpoint.Endpoint, wanted *batch.Placement) { wanted.Exclude = map[string]bool{"fast": true} }, "slow"},
	} {
		n := newNode()
		n.apply(start, &port.RouteTable{Version: 1, Routes: []port.Route{*route}, Services: []port.Service{{
			Name: "s", Cold: &port.ColdStart{Lasts: coldLasts, PerSecond: coldPerSecond},
		}}})
		for _, id := range []string{"fast", "slow"} {
			n.endpoints.Put(port.ReplicaRecord{ID: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}})
		}
		fast := n.endpoints.Find("fast")
		fast.UpdatePace(start, 50*time.Millisecond)
		n.endpoints.Find("slow").UpdatePace(start, 65*time.Millisecond)
		wanted := batch.Placement{Route: route, Model: "m", MinVersion: 1, Long: true, Look: true}
		c.bar(fast, &wanted)
		if chosen := n.place(start.Add(time.Millisecond), wanted); chosen == nil || chosen.ID != c.want {
			t.Errorf("%s: %v, should be %s", c.name, chosen, c.want)
		}
	}
}

// TestMovesDontGoToAnEjectedReplica: one that failed lately is better than none for an item that waits,
// but not for one that runs.
func TestMovesDontGoToAnEjectedReplica(t *testing.T) {
	route := &port.Route{Name: "r", Kind: port.RouteBatch, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	n := newNode()
	n.apply(start, &port.RouteTable{Version: 1, Routes: []port.Route{*route}, Services: []port.Service{{Name: "s"}}})
	for _, id := range []string{"slow", "ejected"} {
		n.endpoints.Put(port.ReplicaRecord{ID: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}})
	}
	ejected := n.endpoints.Find("ejected")
	ejected.UpdatePace(start, 50*time.Millisecond)
	ejected.RecordFailure(start)
	ejected.RecordFailure(start)
	for look, want := range map[bool]string{true: "", false: "ejected"} {
		got := ""
		if chosen := n.place(start.Add(time.Millisecond), batch.Placement{Route: route, Model: "m", Avoid: "slow", Long: true, Look: look}); chosen != nil {
			got = chosen.ID
		}
		if got != want {
			t.Errorf("look %t: %q, should be %q", look, got, want)
		}
	}
}
