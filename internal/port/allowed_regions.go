package port

import "slices"

// AllowedRegions restricts the regions in which requests may be served and stored. The zero value allows any region.
type AllowedRegions struct {
	// Restricted limits requests to Regions. If Regions is empty, no region is allowed.
	Restricted bool
	Regions    []string
}

// NewAllowedRegions returns the regions that a route or a tenant configures; an empty list allows any.
func NewAllowedRegions(regions []string) AllowedRegions {
	return AllowedRegions{Restricted: len(regions) > 0, Regions: regions}
}

// Intersect returns the regions that both r and other allow.
func (r AllowedRegions) Intersect(other AllowedRegions) AllowedRegions {
	switch {
	case !r.Restricted:
		return other
	case !other.Restricted:
		return r
	}
	both := AllowedRegions{Restricted: true}
	for _, region := range r.Regions {
		if slices.Contains(other.Regions, region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}

// Allows reports whether a region is allowed. If regions are restricted, an unknown region is not.
func (r AllowedRegions) Allows(region string) bool {
	return !r.Restricted || region != "" && slices.Contains(r.Regions, region)
}
