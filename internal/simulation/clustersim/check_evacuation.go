package clustersim

import (
	"fmt"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// evacuateWithin is how soon after a zone's evacuation, or its lifting, nodes in touch go by it; it
// is that of leaving replicas.
const evacuateWithin = drainWithin

// evacuations are the zones that the platform takes out of use, each a row of the operator's table.
type evacuations struct {
	// counts holds how many evacuations of a zone are on: those that overlap are one. since and
	// lifted are when it began and ended last.
	counts        map[string]int
	since, lifted map[string]time.Time
}

func newEvacuations() evacuations {
	return evacuations{counts: map[string]int{}, since: map[string]time.Time{}, lifted: map[string]time.Time{}}
}

// evacuate takes a zone out of use for a while. The platform reaches its store though nodes may not.
func evacuate(w *World, lasts time.Duration) {
	zone := fmt.Sprintf("zone-%d", w.random.IntN(zoneCount))
	on := &w.check.evacuations
	on.counts[zone]++
	if on.counts[zone] == 1 {
		w.store.records.Commit(w.Now, port.RecordTransaction{Puts: []port.Record{{RecordKey: evacuationKey(zone), Value: []byte("{}")}}})
		on.since[zone] = w.Now
	}
	w.After(lasts, func() {
		on.counts[zone]--
		if on.counts[zone] == 0 {
			w.store.records.Commit(w.Now, port.RecordTransaction{Deletes: []port.RecordKey{evacuationKey(zone)}})
			delete(on.since, zone)
			on.lifted[zone] = w.Now
		}
	})
}

func evacuationKey(zone string) port.RecordKey {
	return port.RecordKey{Table: operatorTable, Key: evacuationPrefix + zone}
}

// evacuated checks an arrival against the evacuation of its replica's zone.
func (c *checker) evacuated(w *World, a arrival) {
	since, on := c.evacuations.since[a.zone]
	if on && a.from.healthy(w.Now) && a.sentSince(since) && w.Now.Sub(since) > evacuateWithin {
		c.violate(w, "evacuations-respected", "%s reaches %s in %s, which is evacuated since %s", a.id, a.replica, a.zone, w.Now.Sub(since))
	}
}

// evacuationsKnown checks that a node in touch goes by the evacuations that are on, and by none that
// was lifted.
func (c *checker) evacuationsKnown(w *World, n *node) {
	if len(c.evacuations.counts) == 0 || !n.healthy(w.Now) {
		return
	}
	known := n.node.EvacuatedZones()
	for zone := range zoneCount {
		name := fmt.Sprintf("zone-%d", zone)
		since, on := c.evacuations.since[name]
		if !on {
			since = c.evacuations.lifted[name]
		}
		if slices.Contains(known, name) != on && w.Now.Sub(since) > evacuateWithin {
			c.violate(w, "evacuations-respected", "%s goes by %v, %s has been evacuated (%t) for %s", n.name, known, name, on, w.Now.Sub(since))
			return
		}
	}
}
