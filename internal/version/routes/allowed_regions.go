package routes

import "github.com/doorstep/doorstep/internal/port"

// AllowedRegions returns the regions in which requests of a route and a tenant may be served and stored.
// Both the route's and the tenant's restrictions apply. route may be nil and tenant empty. If the
// route is from another version of the configuration, the restrictions of this version's route of
// the same name apply as well.
func (t *Table) AllowedRegions(route *port.Route, tenant string) port.AllowedRegions {
	allowed := t.allowedRegions[tenant]
	if route == nil {
		return allowed
	}
	allowed = allowed.Intersect(port.NewAllowedRegions(route.AllowedRegions))
	if newer := t.RouteByName(route.Name); newer != nil && newer != route {
		allowed = allowed.Intersect(port.NewAllowedRegions(newer.AllowedRegions))
	}
	return allowed
}

// RouteByName returns the route with the given name, or nil.
func (t *Table) RouteByName(name string) *port.Route { return t.byName[name] }

// allowedRegionsByTenant returns the allowed regions of the tenants that restrict them.
func allowedRegionsByTenant(tenants []port.Tenant) map[string]port.AllowedRegions {
	allowed := map[string]port.AllowedRegions{}
	for _, tenant := range tenants {
		if len(tenant.AllowedRegions) > 0 {
			allowed[tenant.Name] = port.NewAllowedRegions(tenant.AllowedRegions)
		}
	}
	return allowed
}
