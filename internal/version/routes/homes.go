package routes

import "github.com/doorstep/doorstep/internal/port"

// Homes returns the regions in which requests of a route and a tenant may be served and kept; both
// bind. The route may be nil, the tenant empty. For a request that came by the route of an older
// version, what this version says of that route binds as well.
func (t *Table) Homes(route *port.Route, tenant string) port.AllowedRegions {
	homes := t.homes[tenant]
	if route == nil {
		return homes
	}
	homes = homes.Intersect(port.NewAllowedRegions(route.AllowedRegions))
	if newer := t.Named(route.Name); newer != nil && newer != route {
		homes = homes.Intersect(port.NewAllowedRegions(newer.AllowedRegions))
	}
	return homes
}

// Named returns the route of a name, nil when there is none.
func (t *Table) Named(name string) *port.Route { return t.byName[name] }

// homesByTenant returns the homes of the tenants that name some.
func homesByTenant(tenants []port.Tenant) map[string]port.AllowedRegions {
	homes := map[string]port.AllowedRegions{}
	for _, tenant := range tenants {
		if len(tenant.AllowedRegions) > 0 {
			homes[tenant.Name] = port.NewAllowedRegions(tenant.AllowedRegions)
		}
	}
	return homes
}
