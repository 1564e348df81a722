package clustersim

import (
	"fmt"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// evacuationGracePeriod is the time within which connected nodes must apply an evacuation or its end.
const evacuationGracePeriod = drainGracePeriod

// evacuations tracks the zones that the platform evacuates, each a record in the operator's table.
type evacuations struct {
	// counts holds the number of active evacuations by zone, as they may overlap. since and lifted are
	// the times at which the last one began and ended.
	counts        map[string]int
	since, lifted map[string]time.Time
}

func newEvacuations() evacuations {
	return evacuations{counts: map[string]int{}, since: map[string]time.Time{}, lifted: map[string]time.Time{}}
}

// evacuateZone evacuates a random zone for a while. The platform writes to the store directly, also
// when nodes cannot reach it.
func evacuateZone(w *World, duration time.Duration) {
	zone := fmt.Sprintf("zone-%d", w.random.IntN(zoneCount))
	record := &w.check.evacuations
	record.counts[zone]++
	if record.counts[zone] == 1 {
		w.store.records.Commit(w.Now, port.RecordTransaction{Puts: []port.Record{{RecordKey: evacuationKey(zone), Value: []byte("{}")}}})
		record.since[zone] = w.Now
	}
	w.After(duration, func() {
		record.counts[zone]--
		if record.counts[zone] == 0 {
			w.store.records.Commit(w.Now, port.RecordTransaction{Deletes: []port.RecordKey{evacuationKey(zone)}})
			delete(record.since, zone)
			record.lifted[zone] = w.Now
		}
	})
}

func evacuationKey(zone string) port.RecordKey {
	return port.RecordKey{Table: operatorTable, Key: evacuationPrefix + zone}
}

// checkEvacuation checks a request against the evacuation of its replica's zone.
func (c *checker) checkEvacuation(w *World, a arrival) {
	since, evacuated := c.evacuations.since[a.zone]
	if evacuated && a.sender.healthy(w.Now) && a.sentSince(since) && w.Now.Sub(since) > evacuationGracePeriod {
		c.reportViolation(w, "evacuations-respected", "%s reaches %s in %s, which has been evacuated for %s", a.id, a.replica, a.zone, w.Now.Sub(since))
	}
}

// checkEvacuatedZones checks that a healthy node knows the zones that are evacuated, and no others.
func (c *checker) checkEvacuatedZones(w *World, n *node) {
	if len(c.evacuations.counts) == 0 || !n.healthy(w.Now) {
		return
	}
	known := n.node.EvacuatedZones()
	for zone := range zoneCount {
		name := fmt.Sprintf("zone-%d", zone)
		since, evacuated := c.evacuations.since[name]
		if !evacuated {
			since = c.evacuations.lifted[name]
		}
		if slices.Contains(known, name) != evacuated && w.Now.Sub(since) > evacuationGracePeriod {
			c.reportViolation(w, "evacuations-respected", "%s has evacuated zones %v, the state of %s (evacuated: %t) has lasted for %s", n.name, known, name, evacuated, w.Now.Sub(since))
			return
		}
	}
}
