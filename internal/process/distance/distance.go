// Package distance keeps how much longer a call to another region takes than one within this node's
// own. It does no I/O and reads no clock: what was measured is told to it.
package distance

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

const (
	// assumed stands for a region that nothing was measured of yet. Regions lie tens of milliseconds
	// apart, zones of one region a millisecond or two; the first connection brings the true figure.
	assumed = 20 * time.Millisecond
	// riseWeight is the part of a longer round trip that an estimate takes. A shorter one is taken
	// whole: a busy machine or a lost packet makes a connection slow, and nothing makes it fast.
	riseWeight = 0.1
)

// Distances are this node's. The zero value is a deployment of one region.
type Distances struct {
	topology port.Topology
	several  bool
	// roundTrips are the estimates by zone.
	roundTrips map[string]time.Duration
}

// New returns distances of which nothing was measured.
func New(topology port.Topology) *Distances {
	return &Distances{topology: topology, several: topology.Several(), roundTrips: map[string]time.Duration{}}
}

// Several reports whether there is more than one region, so that measuring is of use.
func (d *Distances) Several() bool { return d.several }

// Note takes how long it took to open a connection to a replica of a zone: a round trip, without the
// replica's own work.
func (d *Distances) Note(zone string, roundTrip time.Duration) {
	known, ok := d.roundTrips[zone]
	if ok && roundTrip > known {
		roundTrip = known + time.Duration(riseWeight*float64(roundTrip-known))
	}
	d.roundTrips[zone] = roundTrip
}

// Away returns how much longer the way to a zone and back is than within the own region: nothing
// within it, as zones of one region rank by their names alone.
func (d *Distances) Away(zone string) time.Duration {
	region := d.topology.RegionOf(zone)
	if !d.several || region == d.topology.Region {
		return 0
	}
	there, ok := d.roundTrips[zone]
	if !ok {
		there, ok = d.least(region)
	}
	if !ok {
		return assumed
	}
	here, _ := d.least(d.topology.Region)
	return max(there-here, 0)
}

// least returns the shortest round trip to any zone of a region.
func (d *Distances) least(region string) (time.Duration, bool) {
	least, found := time.Duration(0), false
	for zone, roundTrip := range d.roundTrips {
		if d.topology.RegionOf(zone) == region && (!found || roundTrip < least) {
			least, found = roundTrip, true
		}
	}
	return least, found
}
