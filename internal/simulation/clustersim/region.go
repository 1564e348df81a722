package clustersim

import (
	"maps"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/process/event"
)

const (
	// storeZone is the zone of the record store and of the platform's services.
	storeZone = "zone-0"
	// farRegion is the region without the record store.
	farRegion = "region-1"
	// minSlowDelay and maxSlowDelay bound the extra one-way latency of a slow link, at which store
	// calls are still answered in time. One in saturatedOneIn slow links has saturatedDelay, at which
	// they all time out.
	minSlowDelay   = 200 * time.Millisecond
	maxSlowDelay   = 390 * time.Millisecond
	saturatedDelay = 2 * time.Second
	saturatedOneIn = 4
)

// link is the network between the two regions.
type link struct {
	world *World
	// outboundCuts and inboundCuts count the active faults that block messages from and to the far
	// region.
	outboundCuts, inboundCuts int
	// extraDelay is the one-way latency added by the active fault.
	extraDelay time.Duration
}

// crosses reports whether two zones are in different regions.
func (l *link) crosses(from, to string) bool { return regions[from] != regions[to] }

// delay returns the extra latency of a message between two zones, and whether it is lost.
func (l *link) delay(from, to string) (extraDelay time.Duration, lost bool) {
	if !l.crosses(from, to) {
		return 0, false
	}
	if regions[from] == farRegion {
		lost = l.outboundCuts > 0
	} else {
		lost = l.inboundCuts > 0
	}
	return l.world.options.RegionDelay + l.extraDelay, lost
}

// stalled reports whether a stream between two zones makes no progress. This is so if either direction
// is cut, as nothing is acknowledged.
func (l *link) stalled(a, b string) bool {
	return l.crosses(a, b) && l.outboundCuts+l.inboundCuts > 0
}

// saturated reports whether all calls over the link time out.
func (l *link) saturated() bool { return l.extraDelay > maxSlowDelay }

// degraded reports whether a zone's connection to the store is cut or slower than usual.
func (l *link) degraded(zone string) bool {
	return l.crosses(zone, storeZone) && (l.outboundCuts+l.inboundCuts > 0 || l.extraDelay > 0)
}

// apply changes the link, reverts the change after the duration and then records a fault for the nodes
// of the far region.
func (l *link) apply(duration time.Duration, change, revert func()) {
	change()
	l.world.check.placement.recordFault(l.world.Now.Add(duration))
	l.world.After(duration, func() {
		revert()
		for _, n := range l.world.nodes {
			if regions[n.zone] == farRegion {
				n.recordFault(l.world.Now)
			}
		}
	})
}

// cutRegion cuts the link to the far region, in half of the cases in one direction only.
func cutRegion(w *World, duration time.Duration) {
	outbound, inbound := 1, 1
	switch w.random.IntN(4) {
	case 0:
		outbound = 0
	case 1:
		inbound = 0
	}
	l := w.link
	l.apply(duration, func() { l.outboundCuts, l.inboundCuts = l.outboundCuts+outbound, l.inboundCuts+inbound }, func() { l.outboundCuts, l.inboundCuts = l.outboundCuts-outbound, l.inboundCuts-inbound })
}

// slowRegion makes the link to the far region slow or saturated.
func slowRegion(w *World, duration time.Duration) {
	delay := minSlowDelay + time.Duration(w.random.Int64N(int64(maxSlowDelay-minSlowDelay)))
	if w.random.IntN(saturatedOneIn) == 0 {
		delay = saturatedDelay
	}
	l := w.link
	if l.extraDelay > 0 {
		// Overlapping slow links would add up to a delay between slow and saturated.
		return
	}
	l.apply(duration, func() { l.extraDelay = delay }, func() { l.extraDelay = 0 })
}

// ownership is the node that runs the items of a job, and since when.
type ownership struct {
	node        *node
	incarnation uint64
	since       time.Time
}

// minOwnership is the time after which an owner that reaches the store must not be replaced.
const minOwnership = time.Second

// ownershipTracker tracks the owners of jobs by the nodes' log entries and counts takeovers and lost
// leases.
type ownershipTracker struct {
	world   *World
	current map[string]ownership
	// takeovers counts the takeovers from owners that did not hand over the job.
	takeovers, leasesLost int
	takeoversByJob        map[string]int
}

func logField(fields []any, name string) any {
	for i := 0; i+1 < len(fields); i += 2 {
		if fields[i] == name {
			return fields[i+1]
		}
	}
	return nil
}

// observe processes a log entry of a node.
func (o *ownershipTracker) observe(n *node, number int, fields []any) {
	job, _ := logField(fields, "job").(string)
	switch number {
	case event.JobAccepted:
		if state, found := n.node.Jobs().Lookup(job); found && state.Owner == n.name {
			o.setOwner(n, job)
		}
	case event.JobAssigned:
		o.setOwner(n, job)
	case event.JobTakenOver:
		if former, _ := logField(fields, "former").(string); former != "" && former != n.name {
			o.takeovers++
			o.takeoversByJob[job]++
			o.checkTakeover(n, former, job)
		}
		o.setOwner(n, job)
	case event.LeaseLost:
		o.leasesLost++
	}
}

func (o *ownershipTracker) setOwner(n *node, job string) {
	o.current[job] = ownership{node: n, incarnation: n.incarnation, since: o.world.Now}
}

// ownedJobs returns the sorted IDs of the jobs that a node owns, in the incarnation that took or got them.
func (o *ownershipTracker) ownedJobs() []string {
	var jobs []string
	for _, job := range slices.Sorted(maps.Keys(o.current)) {
		owner := o.current[job]
		if state, known := owner.node.node.Jobs().Lookup(job); owner.node.up && owner.incarnation == owner.node.incarnation && known && !state.Ended && state.Listed < state.Total {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// checkTakeover checks that a job was not taken over from an owner that could reach the store.
func (o *ownershipTracker) checkTakeover(newOwner *node, former, job string) {
	w, previous := o.world, o.current[job]
	if previous.node == nil || previous.node.name != former || previous.incarnation != previous.node.incarnation || w.Now.Sub(previous.since) < minOwnership {
		return
	}
	if previous.node.reachesStore(w.Now) {
		w.check.reportViolation(w, "sound-owner-kept", "%s takes over %s from %s, which reaches the store and has run it for %s (extra link latency %s)", newOwner.name, job, former, w.Now.Sub(previous.since), w.link.extraDelay)
	}
}

// reachesStore reports whether the node has been stable and its calls to the store are not lost or
// timed out by the link.
func (n *node) reachesStore(now time.Time) bool {
	l := n.world.link
	if l.crosses(n.zone, storeZone) && (l.outboundCuts+l.inboundCuts > 0 || l.saturated()) {
		return false
	}
	return n.stable(now)
}
