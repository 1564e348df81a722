package soak

import (
	"fmt"
	"sync"

	"github.com/doorstep/doorstep/platform/platformtest"
)

const (
	// homeBoundRoute is a route whose requests must stay in homeRegion, homeBoundPath a path of it.
	homeBoundRoute = "once"
	homeBoundPath  = "/once/x"
	homeRegion     = "north"
)

// homes records the requests that must stay in homeRegion.
type homes struct{ requests sync.Map }

// add records a request to homeBoundRoute.
func (h *homes) add(request string) { h.requests.Store(request, true) }

// checkRegion returns a violation if a request runs outside its home region, otherwise an empty string.
func (h *homes) checkRegion(replica, zone, request string) string {
	if _, bound := h.requests.Load(request); !bound || zone == zones[0] {
		return ""
	}
	return fmt.Sprintf("request %s ran on %s in %s, outside its home region %s", request, replica, zone, homeRegion)
}

// regionSettings returns the region settings of a node in a zone. Each zone is a region of its own.
func regionSettings(zone string) string {
	region := map[string]string{zones[0]: homeRegion, zones[1]: "south"}
	return fmt.Sprintf("region: %s\nzones: [{name: %s, region: %s}, {name: %s, region: %s}]\n",
		region[zone], zones[0], region[zones[0]], zones[1], region[zones[1]])
}

// withHomes restricts homeBoundRoute to homeRegion in a configuration.
func withHomes(content []byte) []byte {
	return platformtest.WithAllowedRegions(content, homeBoundRoute, homeRegion)
}
