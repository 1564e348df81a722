// Package routes looks up the routes of requests in one version of the configuration.
package routes

import (
	"cmp"
	"math"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// Table is an immutable, indexed version of the configuration.
type Table struct {
	version  int64
	byHost   map[string][]*port.Route
	byName   map[string]*port.Route
	services map[string]port.Service
	limits   port.IngressLimits
	// resultTime is the longest time that a batch job has for its results.
	resultTime time.Duration
	// tenants holds the tenants' names by the digests of their API keys, or is nil if no tenants
	// are configured.
	tenants map[port.KeyDigest]string
	// allowedRegions holds the allowed regions of the tenants that restrict them, by the tenants' names.
	allowedRegions map[string]port.AllowedRegions
}

// New returns the table for a version of the configuration.
func New(from *port.RouteTable) *Table {
	table := &Table{version: from.Version, byHost: map[string][]*port.Route{}, byName: map[string]*port.Route{}, services: map[string]port.Service{}, limits: from.Limits}
	for i := range from.Routes {
		route := &from.Routes[i]
		host := normalizeHost(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
		table.byName[route.Name] = route
		table.resultTime = max(table.resultTime, resultTimeOf(route))
	}
	for _, list := range table.byHost {
		slices.SortStableFunc(list, func(a, b *port.Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for _, service := range from.Services {
		table.services[service.Name] = service
	}
	table.tenants = tenantsByKey(from.Tenants)
	table.allowedRegions = allowedRegionsByTenant(from.Tenants)
	return table
}

// resultTimeOf returns how long a route's batch jobs may take: until their results are due or, without a result
// deadline, until their items expire. It is 0 for other routes and if neither is configured.
func resultTimeOf(route *port.Route) time.Duration {
	if route.Kind != port.RouteBatch {
		return 0
	}
	if route.ResultDeadline > 0 {
		return route.ResultDeadline
	}
	return route.MaxQueue
}

// ResultTime returns the longest time that a batch job has for its results, 0 if unlimited.
func (t *Table) ResultTime() time.Duration { return t.resultTime }

func tenantsByKey(tenants []port.Tenant) map[port.KeyDigest]string {
	if len(tenants) == 0 {
		return nil
	}
	byKey := map[port.KeyDigest]string{}
	for _, tenant := range tenants {
		for _, key := range tenant.Keys {
			byKey[key] = tenant.Name
		}
	}
	return byKey
}

// HasTenants reports whether callers are identified by API keys.
func (t *Table) HasTenants() bool { return t.tenants != nil }

// Tenant returns the name of the tenant that an API key belongs to.
func (t *Table) Tenant(key port.KeyDigest) (name string, known bool) {
	name, known = t.tenants[key]
	return name, known
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits for clients' requests.
func (t *Table) Limits() port.IngressLimits { return t.limits }

// Service returns the service with the given name.
func (t *Table) Service(name string) (port.Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// RouteTo returns a route of the given kind whose only backend is the service, or nil.
func (t *Table) RouteTo(service string, kind port.RouteKind) *port.Route {
	var found *port.Route
	for _, list := range t.byHost {
		for _, route := range list {
			if route.Kind != kind || len(route.Backends) != 1 || route.Backends[0].Service != service {
				continue
			}
			if found == nil || route.Name < found.Name {
				found = route
			}
		}
	}
	return found
}

// HasRoute reports whether there is a route with the given name.
func (t *Table) HasRoute(name string) bool { return t.byName[name] != nil }

// Services returns all services, sorted by name.
func (t *Table) Services() []port.Service {
	var list []port.Service
	for _, service := range t.services {
		list = append(list, service)
	}
	slices.SortFunc(list, func(a, b port.Service) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Match returns the route of a host with the longest matching path prefix, or nil.
func (t *Table) Match(host, path string) *port.Route {
	for _, route := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// normalizeHost removes the port and converts the host to lower case.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// goldenRatio is the step of the Splitter's sequence. Its multiples modulo 1 cover the unit interval
// evenly.
const goldenRatio = 0.6180339887498949

// Splitter distributes the requests of each route to its backends by weight. It uses a
// low-discrepancy sequence instead of random numbers, so that even few requests match the weights.
type Splitter struct {
	start     float64
	positions map[string]float64
}

// NewSplitter returns a Splitter. start, from 0 to 1, should differ between nodes.
func NewSplitter(start float64) *Splitter {
	return &Splitter{start: start, positions: map[string]float64{}}
}

// Order returns the backends with a positive weight in the order in which a request tries them: the
// selected one first, then the others by weight.
func (s *Splitter) Order(route *port.Route) []string {
	total := 0.0
	for _, backend := range route.Backends {
		total += backend.Weight
	}
	position, ok := s.positions[route.Name]
	if !ok {
		position = s.start
	}
	_, position = math.Modf(position + goldenRatio)
	s.positions[route.Name] = position
	first := -1
	reached := 0.0
	var rest []port.Backend
	for i, backend := range route.Backends {
		if backend.Weight <= 0 {
			continue
		}
		reached += backend.Weight
		if first < 0 && position*total < reached {
			first = i
			continue
		}
		rest = append(rest, backend)
	}
	slices.SortStableFunc(rest, func(a, b port.Backend) int { return cmp.Compare(b.Weight, a.Weight) })
	var order []string
	if first >= 0 {
		order = append(order, route.Backends[first].Service)
	}
	for _, backend := range rest {
		order = append(order, backend.Service)
	}
	return order
}
