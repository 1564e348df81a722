package routes

import "github.com/doorstep/doorstep/internal/port"

// Homes returns the regions in which requests of a route and a tenant may be served and kept; both
// bind. The route may be nil, the tenant empty.
func (t *Table) Homes(route *port.Route, tenant string) port.Homes {
	homes := t.homes[tenant]
	if route != nil {
		homes = homes.And(port.NewHomes(route.AllowedRegions))
	}
	return homes
}

// Named returns the route of a name, nil when there is none.
func (t *Table) Named(name string) *port.Route {
	for _, list := range t.byHost {
		for _, route := range list {
			if route.Name == name {
				return route
			}
		}
	}
	return nil
}

// homesByTenant returns the homes of the tenants that name some.
func homesByTenant(tenants []port.Tenant) map[string]port.Homes {
	homes := map[string]port.Homes{}
	for _, tenant := range tenants {
		if len(tenant.AllowedRegions) > 0 {
			homes[tenant.Name] = port.NewHomes(tenant.AllowedRegions)
		}
	}
	return homes
}
