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

// Paces of the watches. Reads of the store are a budget that all nodes share: the tables
// that change often yield to the one that tells of the configuration.
const (
	// configurationWait is short, so that a silent store is noticed within the bound of
	// a configuration; the others are held longer.
	configurationWait = 800 * time.Millisecond
	usualWait         = 1600 * time.Millisecond
	// replicaGather and sharedGather are the pauses in which changes gather, the others
	// bound them under refusals: a leaving replica must be known within its bound, and a
	// silent owner be noticed soon.
	replicaGather     = 20 * time.Millisecond
	mostReplicaGather = 800 * time.Millisecond
	sharedGather      = 40 * time.Millisecond
	mostSharedGather  = 1200 * time.Millisecond
	// Whole reads look for changes that a watch missed.
	configurationReread = 4 * time.Second
	replicaReread       = 8 * time.Second
	sharedReread        = 16 * time.Second
)

func (n *Node) watchTables() {
	for _, table := range n.options.Decoder.DeploymentTables() {
		options := recordwatch.Options{
			Table: table, Partitions: []string{""}, Queue: n.queue, Jitter: n.random.Float64(), Distance: n.storeDistance(),
			Wait: configurationWait, RereadInterval: configurationReread,
			OnList:   func(now time.Time, records []port.Record) { n.onDeployment(now, table, records, true) },
			OnChange: func(now time.Time, records []port.Record) { n.onDeployment(now, table, records, false) },
			OnHealth: n.onStoreHealth,
		}
		if n.listsReplicas(table) {
			options.Wait, options.RereadInterval = usualWait, replicaReread
			options.MinDelay, options.MaxDelay = replicaGather, mostReplicaGather
			options.OnHealth = n.onReplicaHealth
			options.Relaxed = n.relaxed
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
		Table: port.SharedTable, Partitions: partitions, Queue: n.queue, Jitter: n.random.Float64(), Distance: n.storeDistance(),
		Wait: usualWait, RereadInterval: sharedReread, MinDelay: sharedGather, MaxDelay: mostSharedGather,
		OnList: n.onSharedList, OnChange: n.onShared, OnHealth: n.onSharedHealth,
		Relaxed: n.unhurried,
	})
	n.watches = append(n.watches, n.shared)
}

// relaxed reports whether this node runs nothing that waits for changes of the tables: it owns no job and
// orders no versions. That is true of nearly all nodes of a large deployment.
func (n *Node) relaxed(now time.Time) bool { return n.jobs.Owned() == 0 && !n.lease.Held(now) }

// unhurried reports whether this node need not hear of jobs within moments: it is relaxed, holds no caller
// that waits for one, and is not ready to take the next.
func (n *Node) unhurried(now time.Time) bool {
	return n.relaxed(now) && n.readers == 0 && n.standing(now) != batch.Ready
}

// BeginReading notes that a caller waits for a change of a job, until EndReading is called.
func (n *Node) BeginReading(now time.Time) {
	n.readers++
	n.shared.SkipDelay(now)
}

// EndReading ends a wait that BeginReading began.
func (n *Node) EndReading() { n.readers-- }

// onSharedHealth notes that the watch of the shared table broke or is whole again.
func (n *Node) onSharedHealth(now time.Time, healthy bool) {
	n.jobs.Observing(now, healthy)
	for _, lease := range n.sortedLeases() {
		lease.Observing(now, healthy)
	}
}

// onSharedList takes all records that all nodes share.
func (n *Node) onSharedList(now time.Time, records []port.Record) {
	n.onShared(now, records)
	n.quarantine.OnList(records)
}

// onShared takes records that all nodes share.
func (n *Node) onShared(now time.Time, records []port.Record) {
	for _, record := range records {
		switch record.Partition {
		case configuration.Partition:
			n.onOperators(now, record)
		case LeasePartition:
			n.onLeaseRecord(now, record)
		case quarantine.Partition:
			n.quarantine.OnRecord(record)
		default:
			n.jobs.OnHead(now, record)
		}
	}
}

func (n *Node) onDeployment(now time.Time, table string, records []port.Record, whole bool) {
	change := n.options.Decoder.DecodeDeployment(records)
	n.unreadable.note(n.queue, table, change.Unreadable, whole)
	if change.Routes != nil {
		n.apply(now, change.Routes)
	}
	if n.tellsConfiguration(table) {
		n.onEvacuations(now, change.Evacuations, whole)
	}
	for _, target := range change.Targets {
		n.rollout.Name(target)
	}
	silent := whole && len(change.Replicas) > mostAddedLines
	listed := n.putReplicas(now, change.Replicas, silent)
	if silent {
		n.tellListed(len(change.Replicas))
	}
	if whole && n.listsReplicas(table) {
		n.queue.Add(task.NotifyReplicasRead{})
	}
	for _, gone := range change.Gone {
		n.removeGone(now, gone, unreadable(change.Unreadable, gone.ID))
	}
	if whole && n.listsReplicas(table) {
		for _, e := range n.endpoints.All() {
			if !listed[e.ID] {
				n.removeReplica(now, e.ID)
			}
		}
	}
}

// mostAddedLines is from how many replicas on a whole reading logs one line for all: a line each is ten
// thousand at the start of each node of a large fleet, of which its ring of lines takes a thousand.
const mostAddedLines = 500

// listsReplicas reports whether a table holds the replicas, by its place among the
// tables of the deployment.
func (n *Node) listsReplicas(table string) bool {
	tables := n.options.Decoder.DeploymentTables()
	return table == tables[len(tables)-1]
}

func (n *Node) noteReplica(now time.Time, change endpoint.Change) {
	if change.Endpoint == nil {
		return
	}
	one := change.Endpoint
	if change.Previous != nil {
		n.noteReplica(now, endpoint.Change{Endpoint: change.Previous, Removed: true})
	}
	switch {
	case change.Added && n.silentAdds:
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
