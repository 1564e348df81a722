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

// Distances are this node's.
type Distances struct {
	topology port.Topology
	several  bool
	// roundTrips are the estimates by zone, away what follows from them: it is asked for each replica
	// at each choice of one.
	roundTrips, away map[string]time.Duration
}

// New returns distances of which nothing was measured.
func New(topology port.Topology) *Distances {
	d := &Distances{topology: topology, several: topology.MultiRegion(), roundTrips: map[string]time.Duration{}, away: map[string]time.Duration{}}
	d.update()
	return d
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
	d.update()
}

// Away returns how much longer the way to a zone and back is than within the own region: nothing
// within it, as zones of one region rank by their names alone.
func (d *Distances) Away(zone string) time.Duration {
	if !d.several {
		return 0
	}
	if away, known := d.away[zone]; known {
		return away
	}
	return assumed
}

func (d *Distances) update() {
	d.away[d.topology.Zone] = 0
	here, _ := d.least(d.topology.Region)
	for zone, region := range d.topology.Regions {
		d.away[zone] = 0
		if region == d.topology.Region {
			continue
		}
		d.away[zone] = assumed
		if there, ok := d.to(zone, region); ok {
			d.away[zone] = max(there-here, 0)
		}
	}
}

// to returns the round trip to a zone, or to the nearest of its region that was measured.
func (d *Distances) to(zone, region string) (time.Duration, bool) {
	if there, ok := d.roundTrips[zone]; ok {
		return there, true
	}
	return d.least(region)
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
