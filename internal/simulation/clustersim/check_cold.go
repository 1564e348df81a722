package clustersim

import (
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/settings"
)

const (
	// coldDuration is how long a replica is cold after its start, coldPerSecond its capacity meanwhile.
	coldDuration  = 4 * time.Second
	coldPerSecond = 9
)

// coldSettings limit the requests sent to cold replicas.
var coldSettings = settings.Cold{Overshoot: 1.5, Slack: 5}

// coldMaxPerSecond is the maximum number of requests that a cold replica may receive within a second.
var coldMaxPerSecond = int(coldPerSecond*coldSettings.Overshoot + coldSettings.Slack)

// coldFaults are the faults that make replicas cold. Cold starts are simulated only if one of them is
// selected.
var coldFaults = []string{"replica-cold", "zone-cold-return", "all-cold"}

// coldState is the end of a replica's cold start and the requests received during the last second of
// it.
type coldState struct {
	until    time.Time
	arrivals []time.Time
}

// coldStart returns the cold start settings of the service, nil if no fault makes replicas cold.
func (w *World) coldStart() *port.ColdStart {
	for _, fault := range w.options.Faults {
		if slices.Contains(coldFaults, fault.Name) {
			return &port.ColdStart{Duration: coldDuration, PerSecond: coldPerSecond}
		}
	}
	return nil
}

// turnCold makes a replica cold. Its record shows this from the next heartbeat on.
func (r *replica) turnCold() {
	if r.world.coldStart() != nil {
		r.cold.until = r.world.Now.Add(coldDuration)
	}
}

func turnZoneCold(w *World, _ time.Duration) {
	zone := w.randomReplica().zone
	for _, r := range w.replicas {
		if r.zone == zone {
			r.turnCold()
		}
	}
}

func turnAllCold(w *World, _ time.Duration) {
	for _, r := range w.replicas {
		r.turnCold()
	}
}

// checkColdArrival checks the rate of requests from all nodes to a cold replica, including rejected
// ones.
func (c *checker) checkColdArrival(w *World, r *replica) {
	if !w.Now.Before(r.cold.until) {
		r.cold.arrivals = nil
		return
	}
	r.cold.arrivals = slices.DeleteFunc(append(r.cold.arrivals, w.Now), func(at time.Time) bool { return w.Now.Sub(at) > time.Second })
	if len(r.cold.arrivals) > coldMaxPerSecond {
		c.reportViolation(w, "cold-bounded", "%s, cold for another %s, received %d requests within a second, the limit is %d", r.ID, r.cold.until.Sub(w.Now), len(r.cold.arrivals), coldMaxPerSecond)
	}
}
