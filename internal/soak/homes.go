package soak

import (
	"fmt"
	"sync"

	"github.com/doorstep/doorstep/platform/platformtest"
)

const (
	// homedRoute is the route whose requests must stay in homeRegion, homedPath one of its paths.
	homedRoute = "once"
	homedPath  = "/once/x"
	homeRegion = "north"
	// regionsOfZones is the part of a node's settings that tells of the two regions; nodes stand in
	// the first.
	regionsOfZones = "region: north\nzones: [{name: zone-a, region: north}, {name: zone-b, region: south}]\n"
)

// homes keeps which requests must stay in homeRegion.
type homes struct{ requests sync.Map }

// bind notes that a request goes to homedRoute.
func (h *homes) bind(request string) { h.requests.Store(request, true) }

// kept returns what is wrong with a request that runs at a replica, empty for nothing.
func (h *homes) kept(replica, zone, request string) string {
	if _, bound := h.requests.Load(request); !bound || zone == "zone-a" {
		return ""
	}
	return fmt.Sprintf("request %s runs at %s in %s, its home is %s", request, replica, zone, homeRegion)
}

// zoneOfReplica spreads the replicas of each service over both zones, by the order of their start.
func zoneOfReplica(number int) string {
	if number/3%2 == 1 {
		return "zone-b"
	}
	return "zone-a"
}

// withHomes binds homedRoute in a configuration.
func withHomes(content []byte) []byte {
	return platformtest.WithHomes(content, homedRoute, homeRegion)
}
