package cluster

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
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
				one.Failed(start)
				one.Failed(start)
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
