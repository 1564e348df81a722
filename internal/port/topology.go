package port

// Topology says where this node stands and which region each zone lies in. The zero value is a
// deployment of one region, in which nothing is far.
type Topology struct {
	// Zone and Region are the node's own.
	Zone, Region string
	// Regions holds the region of each zone of the deployment, by the zone's name.
	Regions map[string]string
}

// RegionOf returns the region of a zone, empty if it is not known.
func (t Topology) RegionOf(zone string) string {
	if zone == t.Zone {
		return t.Region
	}
	return t.Regions[zone]
}

// Several reports whether the deployment is known to lie in more than one region.
func (t Topology) Several() bool {
	for _, region := range t.Regions {
		if region != t.Region {
			return true
		}
	}
	return false
}
