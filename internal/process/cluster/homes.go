package cluster

import (
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/version/batch"
)

// Homes returns the regions in which requests of a route and a tenant may be served and kept, by the
// configuration in force.
func (n *Node) Homes(route *port.Route, tenant string) port.Homes {
	if n.routes == nil {
		return port.Homes{}
	}
	return n.routes.Homes(route, tenant)
}

// Served reports whether a replica of a route's services is listed in the homes of a request. Without
// one the request can't be served until the configuration or the fleet changes; a replica that is
// busy, leaves or failed lately may serve it soon. Without a route, or while not all replicas are known, there is
// nothing to say.
func (n *Node) Served(route *port.Route, tenant string) bool {
	homes := n.Homes(route, tenant)
	if !homes.Bound || route == nil || !n.listsAll() {
		return true
	}
	for _, backend := range route.Backends {
		if backend.Weight > 0 && slices.ContainsFunc(n.endpoints.Service(backend.Service), func(e *endpoint.Endpoint) bool { return homes.Allow(e.Region) }) {
			return true
		}
	}
	return false
}

// jobHomes tells the batch jobs where they may be kept and run.
func (n *Node) jobHomes() batch.Homes {
	return batch.Homes{
		Of: n.Homes, Served: n.Served, Known: func() bool { return n.routes != nil },
		Named: func(name string) *port.Route {
			if n.routes == nil {
				return nil
			}
			return n.routes.Named(name)
		},
	}
}

// within returns the endpoints that lie in homes.
func within(homes port.Homes, list []*endpoint.Endpoint) []*endpoint.Endpoint {
	if !homes.Bound {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(e *endpoint.Endpoint) bool { return !homes.Allow(e.Region) })
}

// NoteConnection takes how long it took to open a connection to a replica's address.
func (n *Node) NoteConnection(address string, took time.Duration) {
	if one := n.endpoints.FindByAddress(address); one != nil {
		n.distances.Observe(one.Zone, took)
	}
}

// Elsewhere reports whether a replica lies in another region than this node.
func (n *Node) Elsewhere(replica string) bool {
	one := n.endpoints.Find(replica)
	return one != nil && n.distances.MultiRegion() && one.Region != n.options.Topology.Region
}

// Away returns how much longer the way to a zone and back is than within the own region.
func (n *Node) Away(zone string) time.Duration { return n.distances.ExtraLatency(zone) }
