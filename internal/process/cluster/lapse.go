package cluster

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
)

// lapseGracePeriod is how long a replica with a missing record is kept after the store has recovered. Records
// expire while replicas cannot renew them and are renewed soon after the recovery. It is shorter than the
// time within which draining replicas must be noticed.
const lapseGracePeriod = 2 * time.Second

// lapses tracks replicas whose records expired while the store was unavailable.
type lapses struct {
	// storeDown is set while the watch of the list of replicas fails; recoveredAt is when it last recovered.
	storeDown   bool
	recoveredAt time.Time
	// healthySince is since when the list is watched without interruption, zero while it is not.
	healthySince time.Time
	kept         map[string]bool
}

// retaining reports whether a record may be missing because of an outage of the store.
func (l *lapses) retaining(now time.Time) bool {
	return l.storeDown || !l.recoveredAt.IsZero() && now.Sub(l.recoveredAt) < lapseGracePeriod
}

// onReplicaHealth handles a failure or recovery of the watch of the list of replicas.
func (n *Node) onReplicaHealth(now time.Time, healthy bool) {
	if healthy && n.lapses.storeDown {
		n.lapses.recoveredAt = now
	}
	n.lapses.storeDown = !healthy
	n.lapses.healthySince = time.Time{}
	if healthy {
		n.lapses.healthySince = now
	}
}

// removeReplica removes a replica whose record is missing, unless the record may have expired because of an
// outage of the store. In that case the replica is kept for the grace period.
func (n *Node) removeReplica(now time.Time, id string) {
	if n.lapses.retaining(now) && n.endpoints.Find(id) != nil {
		if !n.lapses.kept[id] {
			n.lapses.kept[id] = true
			n.queue.Log(event.ReplicaRecordExpired, "replica", id)
		}
		return
	}
	n.onReplicaChange(now, n.endpoints.Remove(id))
}

// onReplicaGone handles a record that was deleted or became unusable. An unusable record is not caused by an
// outage of the store, so its replica is removed at once.
func (n *Node) onReplicaGone(now time.Time, gone port.RemovedReplica, unusable bool) {
	switch {
	case n.endpoints.HasNewerRecord(gone):
	case unusable:
		delete(n.lapses.kept, gone.ID)
		n.onReplicaChange(now, n.endpoints.Remove(gone.ID))
	default:
		n.removeReplica(now, gone.ID)
	}
}

// putReplica handles an added or updated replica.
func (n *Node) putReplica(now time.Time, put endpoint.Change) {
	delete(n.lapses.kept, put.Endpoint.ID)
	put.Endpoint.OperatorDrained = n.drainedByOperator(put.Endpoint)
	put.Endpoint.SetEvacuated(now, n.evacuated[put.Endpoint.Zone])
	// Requests read the region without synchronization, so it is written only if it changes.
	if region := n.options.Topology.RegionOf(put.Endpoint.Zone); region != put.Endpoint.Region {
		put.Endpoint.Region = region
	}
	n.onReplicaChange(now, put)
	n.updateColdState(now, put)
}

// tickLapses removes the kept replicas whose records did not reappear within the grace period.
func (n *Node) tickLapses(now time.Time) {
	if len(n.lapses.kept) == 0 || n.lapses.retaining(now) {
		return
	}
	for _, e := range n.endpoints.All() {
		if n.lapses.kept[e.ID] {
			n.onReplicaChange(now, n.endpoints.Remove(e.ID))
		}
	}
	clear(n.lapses.kept)
}
