package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/process/coldstart"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/version/batch"
)

const (
	// maxDiscoveryAge is the age at which the list of replicas is considered stale. It exceeds the time that
	// a watch is held and a second for its response.
	maxDiscoveryAge = 3 * time.Second
	// ownersInterval is the time between two updates of the job owners. An owner counts for rateWindow, the
	// window of the rate limit, after its job has ended.
	ownersInterval = 100 * time.Millisecond
	rateWindow     = time.Second
	// maxOwnersAge is the age at which the view of the job owners is considered stale.
	maxOwnersAge = 1200 * time.Millisecond
	// newOwnerPeriod is how long a new owner of jobs takes a reduced share of the token bucket. Other nodes
	// may have become owners at the same time, or may use the whole bucket until their view is maxOwnersAge
	// old, and their requests count for rateWindow after that.
	newOwnerPeriod = maxOwnersAge + rateWindow + 200*time.Millisecond
	// reconnectPeriod is how long a node whose view was confirmed again is still treated as isolated.
	reconnectPeriod = rateWindow + 200*time.Millisecond
)

// coldReplicas tracks recently started replicas, which accept a limited rate of requests while cold.
type coldReplicas struct {
	gate *coldstart.Gate
	// known holds the IDs of replicas known to be cold.
	known map[string]bool
	// limited is set if a service limits the requests to its cold replicas.
	limited bool
	// owners are the owners of jobs that were open within rateWindow, as of ownersAt; lastSeen holds
	// when each was last seen.
	owners   []batch.Owner
	ownersAt time.Time
	lastSeen map[batch.Owner]time.Time
	// staleAt is the last time at which this node's view was not confirmed.
	staleAt time.Time
	// ownerSince is when this node became a job owner, zero while it is none.
	ownerSince time.Time
}

func (n *Node) newColdReplicas() coldReplicas {
	return coldReplicas{
		gate: coldstart.New(coldstart.Options{
			Self: n.options.Name, Incarnation: n.options.Incarnation, Queue: n.queue, Clock: n.clock.bounds,
		}),
		known: map[string]bool{}, lastSeen: map[batch.Owner]time.Time{},
	}
}

// coldLimit returns the limit for a service's cold replicas, false if there is none.
func (n *Node) coldLimit(name string) (coldstart.Limit, bool) {
	if n.routes == nil {
		return coldstart.Limit{}, false
	}
	service, _ := n.routes.Service(name)
	if service.ColdStart == nil || service.ColdStart.Duration <= 0 {
		return coldstart.Limit{}, false
	}
	return coldstart.NewLimit(*service.ColdStart, n.options.Cold.Overshoot, n.options.Cold.Slack), true
}

// updateColdState updates how long a replica is cold from its record.
func (n *Node) updateColdState(now time.Time, put endpoint.Change) {
	one := put.Endpoint
	// Other nodes may still treat a replica that restarted under the same ID as warm.
	wasWarm := !put.Added && !now.Before(one.ColdUntil) || put.Previous != nil && !now.Before(put.Previous.ColdUntil)
	one.UpdateCold(now)
	limit, ok := n.coldLimit(one.Service)
	if !ok || !now.Before(one.ColdUntil) || n.cold.known[one.ID] {
		return
	}
	n.cold.known[one.ID] = true
	if wasWarm {
		n.cold.gate.DelayFirstWindow(now, one.ID, one.Service, limit)
	}
	n.queue.Log(event.ReplicaCold, "replica", one.ID, "service", one.Service, "zone", one.Zone, "for_ms", one.ColdFor.Milliseconds(), "was_warm", wasWarm)
}

func (n *Node) forgetCold(now time.Time, id string) {
	delete(n.cold.known, id)
	n.cold.gate.Forget(now, id)
}

// tickCold detects replicas that have become warm.
func (n *Node) tickCold(now time.Time) {
	if n.cold.limited {
		n.refreshOwners(now)
		n.isolated(now)
	}
	for _, id := range slices.Sorted(maps.Keys(n.cold.known)) {
		one := n.endpoints.Find(id)
		if one != nil && now.Before(one.ColdUntil) {
			continue
		}
		delete(n.cold.known, id)
		if one != nil {
			n.queue.Log(event.ReplicaWarm, "replica", id, "service", one.Service)
		}
	}
}

// collectCold deletes the windows of removed replicas.
func (n *Node) collectCold(now time.Time) {
	if n.knowsAllReplicas() && n.DiscoveryAge(now) < maxDiscoveryAge {
		n.cold.gate.Collect(now, func(id string) bool { return n.endpoints.Find(id) != nil })
	}
}

// setPermit sets the query's rate limit for a service's replicas. Items and their scoring calls are always
// limited by the replica's token bucket. Callers' requests are limited only while the list of replicas is
// stale, when replicas may have turned cold unnoticed.
func (n *Node) setPermit(query *endpoint.Query, service string) {
	query.ColdPeriod, query.Permit = 0, nil
	limit, ok := n.coldLimit(service)
	if !ok {
		return
	}
	query.ColdPeriod = limit.Duration
	if query.IncludeRateLimited || query.MaxLoad == 0 && n.DiscoveryAge(query.Now) < maxDiscoveryAge {
		return
	}
	items := query.MaxLoad > 0
	query.Permit = func(e *endpoint.Endpoint) bool {
		return n.cold.gate.Allows(query.Now, e.ID, service, limit, n.sender(query.Now, e, items))
	}
}

// recordSend accounts for a request that is about to be sent to an endpoint.
func (n *Node) recordSend(now time.Time, chosen *endpoint.Endpoint, items bool) {
	chosen.SendBy = time.Time{}
	limit, ok := n.coldLimit(chosen.Service)
	if !ok {
		return
	}
	cold := chosen.Cold(now, limit.Duration)
	if cold {
		chosen.SendBy = n.cold.gate.SendDeadline(now, chosen.ID)
	}
	n.cold.gate.RecordSend(now, chosen.ID, chosen.Service, limit, n.sender(now, chosen, items), cold)
}

// ColdStats are the node's statistics of cold replicas.
type ColdStats struct {
	coldstart.Stats
	// Replicas counts the replicas known to be cold.
	Replicas int
}

// Cold returns the statistics of cold replicas.
func (n *Node) Cold() ColdStats {
	return ColdStats{Stats: n.cold.gate.Stats(), Replicas: len(n.cold.known)}
}
