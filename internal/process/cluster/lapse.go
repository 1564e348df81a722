package cluster

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
)

// lapseGrace is how long after the store's return a replica is kept whose record is missing.
// Records run out while replicas can't renew them; those that live and reach the store are
// back within two seconds. It is less than the bound on leaving replicas.
const lapseGrace = 2 * time.Second

// lapses keeps the replicas whose records ran out while the store was away.
type lapses struct {
	// away is set while the list of replicas can't be watched, backAt is when it could be
	// again.
	away   bool
	backAt time.Time
	// listedSince is since when the list is watched without a break, zero while it is not.
	listedSince time.Time
	kept        map[string]bool
}

// open reports whether a missing record may have run out for the store's sake.
func (l *lapses) open(now time.Time) bool {
	return l.away || !l.backAt.IsZero() && now.Sub(l.backAt) < lapseGrace
}

// onReplicaHealth notes that the watch of the list of replicas broke or is whole again.
func (n *Node) onReplicaHealth(now time.Time, healthy bool) {
	if healthy && n.lapses.away {
		n.lapses.backAt = now
	}
	n.lapses.away = !healthy
	n.lapses.listedSince = time.Time{}
	if healthy {
		n.lapses.listedSince = now
	}
}

// removeReplica drops a replica whose record is gone, unless it may have run out while the
// store was away: then it is kept for a while.
func (n *Node) removeReplica(now time.Time, id string) {
	if n.lapses.open(now) && n.endpoints.Find(id) != nil {
		if !n.lapses.kept[id] {
			n.lapses.kept[id] = true
			n.queue.Log(event.ReplicaRecordExpired, "replica", id)
		}
		return
	}
	n.noteReplica(now, n.endpoints.Remove(id))
}

// removeGone drops a replica whose record was deleted, or can't be used any more: that is nothing that the
// store's absence would explain.
func (n *Node) removeGone(now time.Time, gone port.GoneReplica, unusable bool) {
	switch {
	case n.endpoints.HasNewerRecord(gone):
	case unusable:
		delete(n.lapses.kept, gone.ID)
		n.noteReplica(now, n.endpoints.Remove(gone.ID))
	default:
		n.removeReplica(now, gone.ID)
	}
}

// putReplica notes that a replica's record stands again.
func (n *Node) putReplica(now time.Time, put endpoint.Change) {
	delete(n.lapses.kept, put.Endpoint.ID)
	put.Endpoint.OperatorDrained = n.holds(put.Endpoint)
	put.Endpoint.SetEvacuated(now, n.evacuated[put.Endpoint.Zone])
	put.Endpoint.Region = n.options.Topology.RegionOf(put.Endpoint.Zone)
	n.noteReplica(now, put)
	n.noteCold(now, put)
}

// tickLapses drops the replicas whose records did not come back.
func (n *Node) tickLapses(now time.Time) {
	if len(n.lapses.kept) == 0 || n.lapses.open(now) {
		return
	}
	for _, e := range n.endpoints.All() {
		if n.lapses.kept[e.ID] {
			n.noteReplica(now, n.endpoints.Remove(e.ID))
		}
	}
	clear(n.lapses.kept)
}
