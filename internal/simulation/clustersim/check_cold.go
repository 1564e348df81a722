package clustersim

import (
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/settings"
)

const (
	// coldLasts is how long a replica is cold after its start, coldPerSecond what it bears meanwhile.
	coldLasts     = 4 * time.Second
	coldPerSecond = 9
)

// coldSettings bound what cold replicas get in any second.
var coldSettings = settings.Cold{Overshoot: 1.5, Slack: 5}

// coldMost is the most that a cold replica may get in any second.
var coldMost = int(coldPerSecond*coldSettings.Overshoot + coldSettings.Slack)

// coldFaults are those by which replicas turn cold; without them replicas bear all at once.
var coldFaults = []string{"replica-cold", "zone-cold-return", "all-cold"}

// coldState is how long a replica is cold, and what it got meanwhile.
type coldState struct {
	until    time.Time
	arrivals []time.Time
}

// coldStart returns what cold replicas bear in this world, nil if they bear all at once.
func (w *World) coldStart() *port.ColdStart {
	for _, fault := range w.options.Faults {
		if slices.Contains(coldFaults, fault.Name) {
			return &port.ColdStart{Lasts: coldLasts, PerSecond: coldPerSecond}
		}
	}
	return nil
}

// turnCold makes a replica cold. Its record says so at its next heartbeat.
func (r *replica) turnCold() {
	if r.world.coldStart() != nil {
		r.cold.until = r.world.Now.Add(coldLasts)
	}
}

func coldZone(w *World, _ time.Duration) {
	zone := w.anyReplica().zone
	for _, r := range w.replicas {
		if r.zone == zone {
			r.turnCold()
		}
	}
}

func allCold(w *World, _ time.Duration) {
	for _, r := range w.replicas {
		r.turnCold()
	}
}

// arrivedCold counts what a cold replica gets, of all nodes together, whatever it answers.
func (c *checker) arrivedCold(w *World, r *replica) {
	if !w.Now.Before(r.cold.until) {
		r.cold.arrivals = nil
		return
	}
	r.cold.arrivals = slices.DeleteFunc(append(r.cold.arrivals, w.Now), func(at time.Time) bool { return w.Now.Sub(at) > time.Second })
	if len(r.cold.arrivals) > coldMost {
		c.violate(w, "cold-bounded", "%s is cold for %s more and got %d requests within a second, %d are allowed", r.ID, r.cold.until.Sub(w.Now), len(r.cold.arrivals), coldMost)
	}
}
