package cluster

import (
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/version/configuration"
)

// Operators returns the operators' configuration last seen by this node.
func (n *Node) Operators() *doorstepv1.Configuration { return n.operatorConfig }

// onOperatorConfig applies an operators' configuration with a higher revision than the current one.
func (n *Node) onOperatorConfig(now time.Time, record port.Record) {
	if record.RecordKey != configuration.Key() {
		return
	}
	decoded, err := configuration.Decode(record)
	if err != nil {
		n.queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
		return
	}
	if decoded.Revision <= n.operatorConfig.Revision {
		return
	}
	n.operatorConfig = decoded
	n.queue.Log(event.OperatorConfigurationApplied, "revision", decoded.Revision, "experiments", len(decoded.Experiments), "drains", len(decoded.Drains))
	for _, e := range n.endpoints.All() {
		e.OperatorDrained = n.drainedByOperator(e)
	}
	n.quarantine.Lift(now, configuration.QuarantineLifts(decoded))
	n.updateDrain(now)
}

// drainedByOperator reports whether operators drain a replica or its zone.
func (n *Node) drainedByOperator(e *endpoint.Endpoint) bool {
	return configuration.IsDrained(n.operatorConfig, doorstepv1.DrainKind_DRAIN_KIND_REPLICA, e.ID) ||
		configuration.IsDrained(n.operatorConfig, doorstepv1.DrainKind_DRAIN_KIND_ZONE, e.Zone)
}

// updateDrain hands over this node's jobs when operators start draining it or its zone, and accepts jobs
// again afterwards. A drained node still serves requests but reports itself not ready.
func (n *Node) updateDrain(now time.Time) {
	drained := configuration.IsDrained(n.operatorConfig, doorstepv1.DrainKind_DRAIN_KIND_NODE, n.options.Name) ||
		configuration.IsDrained(n.operatorConfig, doorstepv1.DrainKind_DRAIN_KIND_ZONE, n.options.Topology.Zone)
	if drained == n.drained || n.Stopping() {
		return
	}
	n.drained = drained
	if drained {
		n.jobs.Stop(now)
		return
	}
	n.jobs.Resume()
}

// demand returns the recent demand of trainers by model, weighted by the operators' shares.
func (n *Node) demand(now time.Time) map[string]int64 {
	demand := n.jobs.Demand(now)
	for model := range demand {
		demand[model] *= configuration.Share(n.operatorConfig, model)
	}
	return demand
}
