package rollout

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
)

// replicaState is what the holder knows of the orders of one incarnation of a replica: its count of
// orders begins anew with each start.
type replicaState struct {
	endpoint *endpoint.Endpoint
	asking   bool
	report   port.ReplicaReport
	reportAt time.Time
	notAt    time.Time
	// probedAt is when the replica last answered an order that changes nothing.
	probedAt time.Time
	// ordered is the order under way.
	ordered   bool
	answered  bool
	model     string
	version   int64
	sequence  int64
	orderedAt time.Time
	// loadingAt is when the replica last told that it carries the order out.
	loadingAt time.Time
	// beside is the most replicas of the service that were seen to load at once with it.
	beside int
	// unanswered are the orders of this life and of former ones that may be carried out yet.
	unanswered *unansweredOrders
}

// known returns the state of a replica's incarnation, nil if there is none.
func (r *Rollout) known(e *endpoint.Endpoint) *replicaState {
	if state := r.replicas[e.ID]; state != nil && state.endpoint == e {
		return state
	}
	return nil
}

func (r *Rollout) state(e *endpoint.Endpoint) *replicaState {
	state := r.known(e)
	if state == nil {
		state = &replicaState{endpoint: e, unanswered: &unansweredOrders{}}
		if former := r.replicas[e.ID]; former != nil {
			state.unanswered = former.unanswered
		}
		r.replicas[e.ID] = state
	}
	return state
}

// underWay reports whether a load is ordered already.
func (r *Rollout) underWay(next wanted) bool {
	state := r.known(next.endpoint)
	return state != nil && state.ordered && state.model == next.model && state.version == next.version
}

// wallClocksDiffer is by how much the wall clocks of a node and a replica may differ for the age of the replica's
// life to be told.
const wallClocksDiffer = 5 * time.Second

// blockedByFormer reports whether an order must wait as an unanswered one of a former holder might be carried out
// behind it. This node knows the replicas that such orders were sent to, not the orders. A replica that never starts
// again under its ID is safe. So is one that has taken two orders in a life that is older than any unanswered order:
// behind an unanswered first order the former holder gave no other.
func (r *Rollout) blockedByFormer(now time.Time, state *replicaState) bool {
	startedAt := state.endpoint.StartedAt
	if startedAt.IsZero() || !r.options.Lease.Inherited(now, state.endpoint.ID) {
		return false
	}
	if r.options.WallClock != nil {
		now = r.options.WallClock(now)
	}
	return state.report.Sequence < 2 || now.Sub(startedAt) < LateFor+wallClocksDiffer
}

// keepUnanswered forgets all that the former holder of the lease knew but the orders without an answer.
func (r *Rollout) keepUnanswered(now time.Time) {
	for id, state := range r.replicas {
		if !state.unanswered.any(now) {
			delete(r.replicas, id)
			continue
		}
		r.replicas[id] = &replicaState{endpoint: state.endpoint, unanswered: state.unanswered}
	}
}

// Unanswered returns the replicas with orders of this node that may be carried out yet.
func (r *Rollout) Unanswered(now time.Time) []string {
	var list []string
	for id, state := range r.replicas {
		if state.unanswered.any(now) {
			list = append(list, id)
		}
	}
	return list
}
