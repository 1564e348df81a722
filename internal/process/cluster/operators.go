package cluster

import (
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/version/configuration"
)

// Operators returns what operators set, as this node last saw it.
func (n *Node) Operators() *doorstepv1.Configuration { return n.operators }

// onOperators puts a newer configuration of the operators in force. Revisions only rise,
// so one that comes late changes nothing.
func (n *Node) onOperators(now time.Time, record port.Record) {
	if record.RecordKey != configuration.Key() {
		return
	}
	decoded, err := configuration.Decode(record)
	if err != nil {
		n.queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
		return
	}
	if decoded.Revision <= n.operators.Revision {
		return
	}
	n.operators = decoded
	n.queue.Log(event.OperatorConfigurationApplied, "revision", decoded.Revision, "experiments", len(decoded.Experiments), "drains", len(decoded.Drains))
	for _, e := range n.endpoints.All() {
		e.OperatorDrained = n.holds(e)
	}
	n.quarantine.Lift(now, configuration.Lifts(decoded))
	n.drain(now)
}

// holds reports whether operators drain a replica or its zone.
func (n *Node) holds(e *endpoint.Endpoint) bool {
	return configuration.Drained(n.operators, doorstepv1.DrainKind_DRAIN_KIND_REPLICA, e.ID) ||
		configuration.Drained(n.operators, doorstepv1.DrainKind_DRAIN_KIND_ZONE, e.Zone)
}

// drain hands this node's duties over while operators drain it or its zone, and takes
// duties again afterwards. It answers on, but wants no new connections.
func (n *Node) drain(now time.Time) {
	drained := configuration.Drained(n.operators, doorstepv1.DrainKind_DRAIN_KIND_NODE, n.options.Name) ||
		configuration.Drained(n.operators, doorstepv1.DrainKind_DRAIN_KIND_ZONE, n.options.Topology.Zone)
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

// demand is what trainers asked for lately, by model, in the shares that operators set.
func (n *Node) demand(now time.Time) map[string]int64 {
	demand := n.jobs.Demand(now)
	for model := range demand {
		demand[model] *= configuration.Share(n.operators, model)
	}
	return demand
}
