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
