package soak

import (
	"fmt"
	"sync"

	"github.com/doorstep/doorstep/platform/platformtest"
)

const (
	// restrictedRoute is a route whose requests must stay in allowedRegion, restrictedPath a path on that route.
	restrictedRoute = "once"
	restrictedPath  = "/once/x"
	allowedRegion   = "north"
)

// restrictedRequests records the requests that must stay in allowedRegion.
type restrictedRequests struct{ requests sync.Map }

// add records a request to restrictedRoute.
func (r *restrictedRequests) add(request string) { r.requests.Store(request, true) }

// checkRegion returns a violation if a request runs outside its allowed region, otherwise an empty string.
func (r *restrictedRequests) checkRegion(replica, zone, request string) string {
	if _, bound := r.requests.Load(request); !bound || zone == zones[0] {
		return ""
	}
	return fmt.Sprintf("request %s ran on %s in %s, outside its allowed region %s", request, replica, zone, allowedRegion)
}

// regionSettings returns the region settings of a node in a zone. Each zone is a region of its own.
func regionSettings(zone string) string {
	region := map[string]string{zones[0]: allowedRegion, zones[1]: "south"}
	return fmt.Sprintf("region: %s\nzones: [{name: %s, region: %s}, {name: %s, region: %s}]\n",
		region[zone], zones[0], region[zones[0]], zones[1], region[zones[1]])
}

// withAllowedRegion restricts restrictedRoute to allowedRegion in a configuration.
func withAllowedRegion(content []byte) []byte {
	return platformtest.WithAllowedRegions(content, restrictedRoute, allowedRegion)
}
