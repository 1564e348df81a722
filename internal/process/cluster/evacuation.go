package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
)

// EvacuatedZones returns the evacuated zones known to this node in sorted order.
func (n *Node) EvacuatedZones() []string { return slices.Sorted(maps.Keys(n.evacuated)) }

// onEvacuations updates the evacuated zones. A full read replaces the set, since it may follow deletions
// that the watch missed. The end of an evacuation may be the only notice of it, in which case the zone's
// replicas may still have turned cold.
func (n *Node) onEvacuations(now time.Time, updates []port.Evacuation, fullRead bool) {
	next, lifted := map[string]bool{}, map[string]bool{}
	if !fullRead {
		maps.Copy(next, n.evacuated)
	}
	for _, one := range updates {
		if one.Lifted {
			delete(next, one.Zone)
			lifted[one.Zone] = true
			continue
		}
		next[one.Zone] = true
	}
	if maps.Equal(next, n.evacuated) && len(lifted) == 0 {
		return
	}
	before := n.evacuated
	n.evacuated = next
	for _, e := range n.endpoints.All() {
		if lifted[e.Zone] {
			e.SetEvacuated(now, true)
		}
		e.SetEvacuated(now, next[e.Zone])
	}
	n.logEvacuations(event.ZoneEvacuated, next, before)
	maps.Copy(lifted, before)
	n.logEvacuations(event.EvacuationLifted, lifted, next)
}

// logEvacuations logs an event for each of the zones that is not in except.
func (n *Node) logEvacuations(number int, zones, except map[string]bool) {
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if except[zone] {
			continue
		}
		replicas, inFlight := 0, 0
		for _, e := range n.endpoints.All() {
			if e.Zone == zone {
				replicas++
				inFlight += e.InFlight
			}
		}
		n.queue.Log(number, "zone", zone, "replicas", replicas, "in_flight", inFlight)
	}
}

// isConfigurationTable reports whether a table holds the configuration and the evacuations, which is the
// first deployment table.
func (n *Node) isConfigurationTable(table string) bool {
	return table == n.options.Decoder.DeploymentTables()[0]
}

// AllEvacuated reports whether a route has no usable replicas for a tenant's requests, and would have some
// without the evacuations. Replicas outside the allowed regions do not count.
func (n *Node) AllEvacuated(route *port.Route, tenant string) bool {
	homes, evacuated := n.Homes(route, tenant), false
	for _, backend := range route.Backends {
		for _, e := range inHomes(homes, n.endpoints.Service(backend.Service)) {
			switch e.UnschedulableReason() {
			case endpoint.Schedulable:
				return false
			case endpoint.UnschedulableEvacuated:
				evacuated = true
			case endpoint.UnschedulableLeaving, endpoint.UnschedulableDrained:
			}
		}
	}
	return evacuated
}

// WithheldReplicas counts the replicas that get no new work by reason.
func (n *Node) WithheldReplicas() map[endpoint.UnschedulableReason]int {
	counts := map[endpoint.UnschedulableReason]int{}
	for _, e := range n.endpoints.All() {
		if reason := e.UnschedulableReason(); reason != endpoint.Schedulable {
			counts[reason]++
		}
	}
	return counts
}
