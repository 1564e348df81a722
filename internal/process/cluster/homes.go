package cluster

import (
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/version/batch"
)

// Homes returns the regions in which requests of a route and a tenant may be served and stored.
func (n *Node) Homes(route *port.Route, tenant string) port.AllowedRegions {
	if n.routes == nil {
		return port.AllowedRegions{}
	}
	return n.routes.AllowedRegions(route, tenant)
}

// HasAllowedReplica reports whether an allowed region has a replica for a request. If not, the request cannot be served
// until the configuration or the fleet changes, whereas a busy, draining or failing replica may recover soon.
// It is true without a route or while not all replicas are known.
func (n *Node) HasAllowedReplica(route *port.Route, tenant string) bool {
	homes := n.Homes(route, tenant)
	if !homes.Restricted || route == nil || !n.knowsAllReplicas() {
		return true
	}
	for _, backend := range route.Backends {
		if backend.Weight > 0 && slices.ContainsFunc(n.endpoints.Service(backend.Service), func(e *endpoint.Endpoint) bool { return homes.Allows(e.Region) }) {
			return true
		}
	}
	return false
}

// jobHomes returns the region constraints of batch jobs.
func (n *Node) jobHomes() batch.Homes {
	return batch.Homes{
		RegionsOf: n.Homes, HasReplica: n.HasAllowedReplica, ConfigurationLoaded: func() bool { return n.routes != nil },
		RouteByName: func(name string) *port.Route {
			if n.routes == nil {
				return nil
			}
			return n.routes.RouteByName(name)
		},
	}
}

// inHomes returns the endpoints that lie in allowed regions.
func inHomes(homes port.AllowedRegions, list []*endpoint.Endpoint) []*endpoint.Endpoint {
	if !homes.Restricted {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(e *endpoint.Endpoint) bool { return !homes.Allows(e.Region) })
}

// ObserveConnectTime records how long it took to connect to a replica's address.
func (n *Node) ObserveConnectTime(address string, took time.Duration) {
	if one := n.endpoints.FindByAddress(address); one != nil {
		n.distances.Observe(one.Zone, took)
	}
}

// InOtherRegion reports whether a replica is in a different region than this node.
func (n *Node) InOtherRegion(replica string) bool {
	one := n.endpoints.Find(replica)
	return one != nil && n.distances.MultiRegion() && one.Region != n.options.Topology.Region
}

// ExtraLatency returns how much longer a round trip to a zone takes than one within the node's region.
func (n *Node) ExtraLatency(zone string) time.Duration { return n.distances.ExtraLatency(zone) }
