package cluster

import (
	"fmt"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/quarantine"
	"github.com/doorstep/doorstep/internal/process/recordwatch"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/version/batch"
	"github.com/doorstep/doorstep/internal/version/configuration"
)

// Timings of the watches. All nodes share the store's read budget, so tables that change often are polled
// less eagerly than the configuration.
const (
	// configurationWatchTimeout is short, so that an unresponsive store is detected before the
	// configuration becomes stale.
	configurationWatchTimeout = 800 * time.Millisecond
	defaultWatchTimeout       = 1600 * time.Millisecond
	// Changes are batched for the first delay of each pair, and for up to the second one while the store
	// refuses calls. Draining replicas and unresponsive job owners must be noticed within their bounds.
	replicaBatchDelay    = 20 * time.Millisecond
	maxReplicaBatchDelay = 800 * time.Millisecond
	sharedBatchDelay     = 40 * time.Millisecond
	maxSharedBatchDelay  = 1200 * time.Millisecond
	// Periodic full reads find changes that a watch missed.
	configurationResyncInterval = 4 * time.Second
	replicaResyncInterval       = 8 * time.Second
	sharedResyncInterval        = 16 * time.Second
)

func (n *Node) watchTables() {
	for _, table := range n.options.Decoder.DeploymentTables() {
		options := recordwatch.Options{
			Table: table, Partitions: []string{""}, Queue: n.queue, Jitter: n.random.Float64(), Distance: n.storeLatency(),
			Wait: configurationWatchTimeout, RereadInterval: configurationResyncInterval,
			OnList:   func(now time.Time, records []port.Record) { n.onDeployment(now, table, records, true) },
			OnChange: func(now time.Time, records []port.Record) { n.onDeployment(now, table, records, false) },
			OnHealth: n.onStoreHealth,
		}
		if n.isReplicaTable(table) {
			options.Wait, options.RereadInterval = defaultWatchTimeout, replicaResyncInterval
			options.MinDelay, options.MaxDelay = replicaBatchDelay, maxReplicaBatchDelay
			options.OnHealth = n.onReplicaHealth
			options.Relaxed = n.idle
			options.Partial = n.partialList(table)
		}
		n.watches = append(n.watches, recordwatch.New(options))
	}
	n.replicas = n.watches[len(n.watches)-1]
	partitions := []string{configuration.Partition, LeasePartition, quarantine.Partition}
	for number := range batch.Partitions {
		partitions = append(partitions, batch.PartitionName(number))
	}
	n.shared = recordwatch.New(recordwatch.Options{
		Table: port.SharedTable, Partitions: partitions, Queue: n.queue, Jitter: n.random.Float64(), Distance: n.storeLatency(),
		Wait: defaultWatchTimeout, RereadInterval: sharedResyncInterval, MinDelay: sharedBatchDelay, MaxDelay: maxSharedBatchDelay,
		OnList: n.onSharedList, OnChange: n.onShared, OnHealth: n.onSharedHealth,
		Relaxed: n.toleratesDelay,
	})
	n.watches = append(n.watches, n.shared)
}

// idle reports whether nothing on this node depends on prompt updates: it owns no job and orders no
// versions. This holds for most nodes of a large deployment.
func (n *Node) idle(now time.Time) bool { return n.jobs.OwnedCount() == 0 && !n.lease.Held(now) }

// toleratesDelay reports whether updates of jobs may arrive late: the node is idle, no caller waits for a
// job, and the node is not first in line for the next one.
func (n *Node) toleratesDelay(now time.Time) bool {
	return n.idle(now) && n.jobWaiters == 0 && n.fitness(now) != batch.Ready
}

// BeginJobWait registers a caller that waits for a job to change, until EndJobWait is called.
func (n *Node) BeginJobWait(now time.Time) {
	n.jobWaiters++
	n.shared.SkipDelay(now)
}

// EndJobWait unregisters a caller registered by BeginJobWait.
func (n *Node) EndJobWait() { n.jobWaiters-- }

// onSharedHealth handles a failure or recovery of the watch of the shared table.
func (n *Node) onSharedHealth(now time.Time, healthy bool) {
	n.jobs.SetObserving(now, healthy)
	for _, lease := range n.sortedLeases() {
		lease.SetObserving(now, healthy)
	}
}

// onSharedList handles a full read of the shared table.
func (n *Node) onSharedList(now time.Time, records []port.Record) {
	n.onShared(now, records)
	n.quarantine.OnList(records)
}

// onShared dispatches records of the shared table by partition.
func (n *Node) onShared(now time.Time, records []port.Record) {
	for _, record := range records {
		switch record.Partition {
		case configuration.Partition:
			n.onOperatorConfig(now, record)
		case LeasePartition:
			n.onLeaseRecord(now, record)
		case quarantine.Partition:
			n.quarantine.OnRecord(record)
		default:
			n.jobs.OnHead(now, record)
		}
	}
}

// onDeployment handles changes, or a full read, of a deployment table.
func (n *Node) onDeployment(now time.Time, table string, records []port.Record, fullRead bool) {
	change := n.options.Decoder.DecodeDeployment(records)
	n.unreadable.logNew(n.queue, table, change, fullRead)
	if change.Routes != nil {
		n.applyRoutes(now, change.Routes)
	}
	if n.isConfigurationTable(table) {
		n.onEvacuations(now, change.Evacuations, fullRead)
	}
	for _, target := range change.Targets {
		n.rollout.SetTarget(target)
	}
	silent := fullRead && len(change.Replicas) > maxAddedLogLines
	listed := n.putReplicas(now, change.Replicas, silent)
	if silent {
		n.logListed(len(change.Replicas))
	}
	if fullRead && n.isReplicaTable(table) {
		n.queue.Add(task.NotifyReplicasRead{})
	}
	for _, gone := range change.Removed {
		n.onReplicaGone(now, gone, unreadable(change.Unreadable, gone.ID))
	}
	if fullRead && n.isReplicaTable(table) {
		for _, e := range n.endpoints.All() {
			if !listed[e.ID] {
				n.removeReplica(now, e.ID)
			}
		}
	}
}

// maxAddedLogLines is the number of replicas above which a full read logs one summary line instead of
// a line for each replica, which would overflow the log buffer.
const maxAddedLogLines = 500

// isReplicaTable reports whether a table holds the replicas, which is the last deployment table.
func (n *Node) isReplicaTable(table string) bool {
	tables := n.options.Decoder.DeploymentTables()
	return table == tables[len(tables)-1]
}

func (n *Node) onReplicaChange(now time.Time, change endpoint.Change) {
	if change.Endpoint == nil {
		return
	}
	one := change.Endpoint
	if change.Previous != nil {
		n.onReplicaChange(now, endpoint.Change{Endpoint: change.Previous, Removed: true})
	}
	switch {
	case change.Added && n.suppressAddLogs:
	case change.Added:
		n.queue.Log(event.ReplicaAdded, "replica", one.ID, "service", one.Service, "address", one.Address, "zone", one.Zone,
			"versions", fmt.Sprint(one.Versions), "leaving", one.Draining, "restarted", change.Previous != nil)
	case change.Removed:
		n.queue.Log(event.ReplicaRemoved, "replica", one.ID, "service", one.Service, "in_flight", one.InFlight)
		n.queue.Add(task.CloseIdleConnections{Address: one.Address})
		n.forgetCold(now, one.ID)
	case change.DrainStarted:
		n.queue.Log(event.ReplicaLeaving, "replica", one.ID, "service", one.Service, "in_flight", one.InFlight)
	}
}
