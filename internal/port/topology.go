package port

// Topology describes the node's location and the region of each zone. The zero value is a
// deployment in a single region.
type Topology struct {
	// Zone and Region are the node's own.
	Zone, Region string
	// Regions maps the deployment's zones to their regions.
	Regions map[string]string
}

// RegionOf returns the region of a zone; empty if unknown.
func (t Topology) RegionOf(zone string) string {
	if zone == t.Zone {
		return t.Region
	}
	return t.Regions[zone]
}

// MultiRegion reports whether the deployment spans more than one region.
func (t Topology) MultiRegion() bool {
	for _, region := range t.Regions {
		if region != t.Region {
			return true
		}
	}
	return false
}
