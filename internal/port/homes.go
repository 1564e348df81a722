package port

import "slices"

// Homes are the regions in which requests may be served and kept. The zero value allows any region.
type Homes struct {
	// Bound says that only Regions are allowed; with none of them it is nowhere.
	Bound   bool
	Regions []string
}

// NewHomes returns the homes that a route or a tenant names; an empty list names none.
func NewHomes(regions []string) Homes { return Homes{Bound: len(regions) > 0, Regions: regions} }

// And returns the homes that two parties allow: both bind.
func (h Homes) And(other Homes) Homes {
	switch {
	case !h.Bound:
		return other
	case !other.Bound:
		return h
	}
	both := Homes{Bound: true}
	for _, region := range h.Regions {
		if slices.Contains(other.Regions, region) {
			both.Regions = append(both.Regions, region)
		}
	}
	return both
}

// Allow reports whether a region is among the homes. One that is not known is not, where homes bind.
func (h Homes) Allow(region string) bool {
	return !h.Bound || region != "" && slices.Contains(h.Regions, region)
}
