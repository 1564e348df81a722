// Package distance estimates how much longer calls to other regions take than calls within the node's
// own region. It performs no I/O and does not read the clock; measurements are passed in.
package distance

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

const (
	// defaultDistance is the estimate for a region without measurements.
	defaultDistance = 20 * time.Millisecond
	// riseWeight is the weight of a round trip that is longer than the estimate. A shorter one replaces
	// the estimate, as a busy machine or packet loss only ever adds to a round trip.
	riseWeight = 0.1
)

// Estimator holds the estimates of one node.
type Estimator struct {
	topology    port.Topology
	multiRegion bool
	// roundTrips are the estimates by zone. extraLatency is derived from them on each update, as it is
	// read for every replica that a choice examines.
	roundTrips, extraLatency map[string]time.Duration
}

// New returns estimates without measurements.
func New(topology port.Topology) *Estimator {
	d := &Estimator{topology: topology, multiRegion: topology.MultiRegion(), roundTrips: map[string]time.Duration{}, extraLatency: map[string]time.Duration{}}
	d.update()
	return d
}

// MultiRegion reports whether the deployment has more than one region.
func (d *Estimator) MultiRegion() bool { return d.multiRegion }

// Observe records the time taken to open a connection to a replica in a zone, which is one network round
// trip.
func (d *Estimator) Observe(zone string, roundTrip time.Duration) {
	known, ok := d.roundTrips[zone]
	if ok && roundTrip > known {
		roundTrip = known + time.Duration(riseWeight*float64(roundTrip-known))
	}
	d.roundTrips[zone] = roundTrip
	d.update()
}

// ExtraLatency returns the additional round-trip time to a zone compared with the node's own region.
// Zones of the node's own region have none.
func (d *Estimator) ExtraLatency(zone string) time.Duration {
	if !d.multiRegion {
		return 0
	}
	if latency, known := d.extraLatency[zone]; known {
		return latency
	}
	return defaultDistance
}

func (d *Estimator) update() {
	d.extraLatency[d.topology.Zone] = 0
	here, _ := d.minRoundTrip(d.topology.Region)
	for zone, region := range d.topology.Regions {
		d.extraLatency[zone] = 0
		if region == d.topology.Region {
			continue
		}
		d.extraLatency[zone] = defaultDistance
		if there, ok := d.roundTripTo(zone, region); ok {
			d.extraLatency[zone] = max(there-here, 0)
		}
	}
}

// roundTripTo returns the round trip to a zone or, if it has not been measured, the shortest one to its
// region.
func (d *Estimator) roundTripTo(zone, region string) (time.Duration, bool) {
	if there, ok := d.roundTrips[zone]; ok {
		return there, true
	}
	return d.minRoundTrip(region)
}

// minRoundTrip returns the shortest round trip to any zone of a region.
func (d *Estimator) minRoundTrip(region string) (time.Duration, bool) {
	least, found := time.Duration(0), false
	for zone, roundTrip := range d.roundTrips {
		if d.topology.RegionOf(zone) == region && (!found || roundTrip < least) {
			least, found = roundTrip, true
		}
	}
	return least, found
}
