package rollout

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
)

// replicaState holds the orders of one incarnation of a replica. A replica's sequence number starts
// at zero in each incarnation.
type replicaState struct {
	endpoint       *endpoint.Endpoint
	requestPending bool
	report         port.ReplicaReport
	reportAt       time.Time
	notBefore      time.Time
	// lastProbeAt is when the replica last answered a probe.
	lastProbeAt time.Time
	// The fields from orderPending to maxConcurrent describe the pending or the latest order.
	orderPending bool
	acknowledged bool
	model        string
	version      int64
	sequence     int64
	orderedAt    time.Time
	// lastLoadingAt is when the replica last reported that it is loading.
	lastLoadingAt time.Time
	// maxConcurrent is the maximum number of the service's replicas that were loading at the same
	// time.
	maxConcurrent int
	// unanswered holds the orders to all incarnations that may still take effect.
	unanswered *unansweredOrders
}

// lookUpState returns the state of a replica's incarnation, or nil if there is none.
func (r *Rollout) lookUpState(e *endpoint.Endpoint) *replicaState {
	if state := r.replicas[e.ID]; state != nil && state.endpoint == e {
		return state
	}
	return nil
}

func (r *Rollout) stateOf(e *endpoint.Endpoint) *replicaState {
	state := r.lookUpState(e)
	if state == nil {
		state = &replicaState{endpoint: e, unanswered: &unansweredOrders{}}
		if previous := r.replicas[e.ID]; previous != nil {
			state.unanswered = previous.unanswered
		}
		r.replicas[e.ID] = state
	}
	return state
}

// alreadyOrdered reports whether the load has a pending order.
func (r *Rollout) alreadyOrdered(load pendingLoad) bool {
	state := r.lookUpState(load.endpoint)
	return state != nil && state.orderPending && state.model == load.model && state.version == load.version
}

// maxClockSkew is the maximum difference between the wall clocks of a node and a replica.
const maxClockSkew = 5 * time.Second

// blockedByPreviousHolder reports whether an order has to wait because an unanswered order of a
// previous holder could take effect after it. This node knows which replicas such orders were sent
// to, but not their content. An order is safe if the replica has no start time and thus never
// restarts under the same ID. It is also safe if the incarnation is older than any unanswered order
// and has accepted at least two orders, because the previous holder sends no further order while
// the first one is unanswered.
func (r *Rollout) blockedByPreviousHolder(now time.Time, state *replicaState) bool {
	startedAt := state.endpoint.StartedAt
	if startedAt.IsZero() || !r.options.Lease.Inherited(now, state.endpoint.ID) {
		return false
	}
	if r.options.WallClock != nil {
		now = r.options.WallClock(now)
	}
	return state.report.Sequence < 2 || now.Sub(startedAt) < MaxOrderDelay+maxClockSkew
}

// discardAllButUnanswered drops all state except the unanswered orders, which outlive the lease.
func (r *Rollout) discardAllButUnanswered(now time.Time) {
	for id, state := range r.replicas {
		if !state.unanswered.any(now) {
			delete(r.replicas, id)
			continue
		}
		r.replicas[id] = &replicaState{endpoint: state.endpoint, unanswered: state.unanswered}
	}
}

// Unanswered returns the IDs of the replicas with orders of this node that may still take effect.
func (r *Rollout) Unanswered(now time.Time) []string {
	var list []string
	for id, state := range r.replicas {
		if state.unanswered.any(now) {
			list = append(list, id)
		}
	}
	return list
}
