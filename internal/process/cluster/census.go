package cluster

import (
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// NodeCountKey is the record in LeasePartition that tells how many nodes there are, as a decimal
	// number: those that would take something over spread over a time that grows with it.
	NodeCountKey = "node-count"
	// censusEvery paces the counting by the holder of the order lease, which reads the status of all
	// nodes: 2 reads at 986 nodes.
	censusEvery = 20 * time.Second
	// statusLife is how long a node counts after it last told of itself: it does so each statusEvery.
	statusLife = 3 * statusEvery
	// censusNews is by what part the count must have changed to be written.
	censusNews = 0.1
)

// census counts the nodes, at the holder of the order lease alone.
type census struct {
	// nodes is the count that the record tells, 0 before one does, as of revision.
	nodes    int
	revision int64
	nextAt   time.Time
	busy     bool
	counted  int
	from     string
}

// Nodes returns how many nodes there are, by the last count, 0 before the first.
func (n *Node) Nodes() int { return n.census.nodes }

// tickCensus begins a count when one is due.
func (n *Node) tickCensus(now time.Time) {
	c := &n.census
	if c.busy || now.Before(c.nextAt) || !n.lease.Held(now) {
		return
	}
	c.busy, c.counted, c.from = true, 0, ""
	c.nextAt = now.Add(censusEvery)
	n.countNodes()
}

func (n *Node) countNodes() {
	n.queue.Add(task.Range{
		Query: port.RecordRange{Table: StatusTable, Partition: StatusTable, From: n.census.from},
		Done:  n.onNodes,
	})
}

func (n *Node) onNodes(now time.Time, result port.RecordResult) {
	c := &n.census
	if result.Status != port.RecordDone {
		c.busy = false
		return
	}
	for _, record := range result.Records {
		if n.alive(now, record) {
			c.counted++
		}
		c.from = record.Key + "\x00"
	}
	if result.More && len(result.Records) > 0 {
		n.countNodes()
		return
	}
	n.tellCount(now)
}

// alive reports whether a node told of itself of late.
func (n *Node) alive(now time.Time, record port.Record) bool {
	status := &doorstepv1.NodeStatus{}
	if err := proto.Unmarshal(record.Value, status); err != nil {
		n.queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
		return false
	}
	return n.StoreClock(now)-time.Duration(status.AtMs)*time.Millisecond < statusLife
}

// tellCount writes the count if it has changed much.
func (n *Node) tellCount(now time.Time) {
	c := &n.census
	if change := float64(c.counted - c.nodes); c.counted == 0 || !n.lease.Held(now) || max(change, -change) <= censusNews*float64(c.nodes) {
		c.busy = false
		return
	}
	key := port.RecordKey{Table: port.SharedTable, Partition: LeasePartition, Key: NodeCountKey}
	n.queue.Add(task.Commit{
		Transaction: port.RecordTransaction{Puts: []port.Record{{RecordKey: key, Value: strconv.AppendInt(nil, int64(c.counted), 10)}}},
		Done:        func(time.Time, port.RecordResult) { c.busy = false },
	})
}

// onNodeCount takes the record that tells how many nodes there are.
func (n *Node) onNodeCount(record port.Record) {
	if record.Revision <= n.census.revision {
		return
	}
	count, err := strconv.Atoi(string(record.Value))
	if err != nil || count < 0 {
		n.queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", "no count")
		return
	}
	n.census.nodes, n.census.revision = count, record.Revision
	n.queue.Log(event.NodesCounted, "nodes", count)
}
