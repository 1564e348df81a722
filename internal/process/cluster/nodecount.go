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
	// NodeCountKey is the key of the record in LeasePartition that holds the number of nodes as a decimal
	// number. Nodes that compete for a takeover spread over a time proportional to it.
	NodeCountKey = "node-count"
	// nodeCountInterval is how often the holder of the order lease counts the status records.
	nodeCountInterval = 20 * time.Second
	// statusTTL is how long a node is counted after its last status write.
	statusTTL = 3 * statusInterval
	// nodeCountTolerance is the relative change above which the stored count is updated.
	nodeCountTolerance = 0.1
)

// nodeCounter counts the nodes while this node holds the order lease.
type nodeCounter struct {
	// nodes is the stored count as of revision, 0 before the first.
	nodes    int
	revision int64
	nextAt   time.Time
	busy     bool
	counted  int
	from     string
}

// NodeCount returns the last stored number of nodes, 0 before the first count.
func (n *Node) NodeCount() int { return n.nodeCount.nodes }

// tickNodeCount starts a count when one is due.
func (n *Node) tickNodeCount(now time.Time) {
	c := &n.nodeCount
	if c.busy || now.Before(c.nextAt) || !n.lease.Held(now) {
		return
	}
	c.busy, c.counted, c.from = true, 0, ""
	c.nextAt = now.Add(nodeCountInterval)
	n.countNodes()
}

func (n *Node) countNodes() {
	n.queue.Add(task.Range{
		Query: port.RecordRange{Table: StatusTable, Partition: StatusTable, From: n.nodeCount.from},
		Done:  n.onStatusPage,
	})
}

func (n *Node) onStatusPage(now time.Time, result port.RecordResult) {
	c := &n.nodeCount
	if result.Status != port.RecordDone {
		c.busy = false
		return
	}
	for _, record := range result.Records {
		if n.isAlive(now, record) {
			c.counted++
		}
		c.from = record.Key + "\x00"
	}
	if result.More && len(result.Records) > 0 {
		n.countNodes()
		return
	}
	n.writeNodeCount(now)
}

// isAlive reports whether a node's status was written within statusTTL.
func (n *Node) isAlive(now time.Time, record port.Record) bool {
	status := &doorstepv1.NodeStatus{}
	if err := proto.Unmarshal(record.Value, status); err != nil {
		n.queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", err.Error())
		return false
	}
	return n.StoreClock(now)-time.Duration(status.AtMs)*time.Millisecond < statusTTL
}

// writeNodeCount stores the count if it differs significantly from the stored one.
func (n *Node) writeNodeCount(now time.Time) {
	c := &n.nodeCount
	if change := float64(c.counted - c.nodes); c.counted == 0 || !n.lease.Held(now) || max(change, -change) <= nodeCountTolerance*float64(c.nodes) {
		c.busy = false
		return
	}
	key := port.RecordKey{Table: port.SharedTable, Partition: LeasePartition, Key: NodeCountKey}
	n.queue.Add(task.Commit{
		Transaction: port.RecordTransaction{Puts: []port.Record{{RecordKey: key, Value: strconv.AppendInt(nil, int64(c.counted), 10)}}},
		Done:        func(time.Time, port.RecordResult) { c.busy = false },
	})
}

// onNodeCount handles the record that holds the number of nodes.
func (n *Node) onNodeCount(record port.Record) {
	if record.Revision <= n.nodeCount.revision {
		return
	}
	count, err := strconv.Atoi(string(record.Value))
	if err != nil || count < 0 {
		n.queue.Log(event.RecordUnreadable, "table", record.Table, "key", record.Key, "error", "no count")
		return
	}
	n.nodeCount.nodes, n.nodeCount.revision = count, record.Revision
	n.queue.Log(event.NodesCounted, "nodes", count)
}
