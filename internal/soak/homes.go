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
)

// homes keeps which requests must stay in homeRegion.
type homes struct{ requests sync.Map }

// bind notes that a request goes to homedRoute.
func (h *homes) bind(request string) { h.requests.Store(request, true) }

// kept returns what is wrong with a request that runs at a replica, empty for nothing.
func (h *homes) kept(replica, zone, request string) string {
	if _, bound := h.requests.Load(request); !bound || zone == zones[0] {
		return ""
	}
	return fmt.Sprintf("request %s runs at %s in %s, its home is %s", request, replica, zone, homeRegion)
}

// regionsFor is the part of a node's settings that tells of the two regions, a zone each.
func regionsFor(zone string) string {
	region := map[string]string{zones[0]: homeRegion, zones[1]: "south"}
	return fmt.Sprintf("region: %s\nzones: [{name: %s, region: %s}, {name: %s, region: %s}]\n",
		region[zone], zones[0], region[zones[0]], zones[1], region[zones[1]])
}

// withHomes binds homedRoute in a configuration.
func withHomes(content []byte) []byte {
	return platformtest.WithAllowedRegions(content, homedRoute, homeRegion)
}
