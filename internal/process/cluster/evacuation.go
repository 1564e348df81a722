package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
)

// Evacuated returns the zones whose replicas get nothing, in order, as this node last knew them.
func (n *Node) Evacuated() []string { return slices.Sorted(maps.Keys(n.evacuated)) }

// onEvacuations takes the evacuations that the table of the configuration tells of. A whole
// reading replaces the set: a record that was deleted while the watch was broken is in no change.
// A lifting may be all that is heard of an evacuation, and the zone's replicas may have turned cold.
func (n *Node) onEvacuations(now time.Time, told []port.Evacuation, whole bool) {
	next, lifted := map[string]bool{}, map[string]bool{}
	if !whole {
		maps.Copy(next, n.evacuated)
	}
	for _, one := range told {
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

// logEvacuations tells of the zones of a set that are not in another.
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

// tellsConfiguration reports whether a table tells of the configuration and of evacuations, by its
// place among the tables of the deployment.
func (n *Node) tellsConfiguration(table string) bool {
	return table == n.options.Decoder.DeploymentTables()[0]
}

// AllEvacuated reports whether a route has replicas that could serve a tenant's requests, but for the
// evacuation of their zones, and none that can. Replicas outside the requests' homes can't.
func (n *Node) AllEvacuated(route *port.Route, tenant string) bool {
	homes, evacuated := n.Homes(route, tenant), false
	for _, backend := range route.Backends {
		for _, e := range within(homes, n.endpoints.Service(backend.Service)) {
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

// WithheldReplicas counts the replicas that get no new work, by the reason.
func (n *Node) WithheldReplicas() map[endpoint.UnschedulableReason]int {
	counts := map[endpoint.UnschedulableReason]int{}
	for _, e := range n.endpoints.All() {
		if reason := e.UnschedulableReason(); reason != endpoint.Schedulable {
			counts[reason]++
		}
	}
	return counts
}
