package cluster

import (
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// StatusTable holds what nodes tell of themselves, for operators alone: nothing is
	// decided by it.
	StatusTable = "nodes"
	// statusEvery paces it: 390 nodes make 20 writes a second, of the 800 that the
	// smallest store bears.
	statusEvery = 20 * time.Second
	// firstStatus is the first one's age at the most; nodes that start together spread.
	firstStatus = 5 * time.Second
)

// StatusKey names a node's status record.
func StatusKey(node string) port.RecordKey {
	return port.RecordKey{Table: StatusTable, Partition: StatusTable, Key: node}
}

// statusWriter is when this node last told of itself.
type statusWriter struct{ nextAt time.Time }

// tickStatus tells of this node now and then. The write has no condition: an old one that
// takes effect late is replaced by the next.
func (n *Node) tickStatus(now time.Time) {
	if n.status.nextAt.IsZero() {
		n.status.nextAt = now.Add(time.Duration(n.random.Int64N(int64(firstStatus))))
	}
	if now.Before(n.status.nextAt) || n.Stopping() {
		return
	}
	n.status.nextAt = now.Add(statusEvery)
	counts := n.jobs.Counts()
	least, _, _ := n.clock.bounds(now)
	status := &doorstepv1.NodeStatus{
		Zone: n.options.Topology.Zone, Incarnation: n.options.Incarnation, Ready: n.Ready(now), JobsOwned: int32(counts.Owned), ItemsRunning: int32(counts.Running),
		AtMs: least.Milliseconds(),
	}
	if reading, known := n.clock.reading(now); known {
		status.WallOffsetMs = n.wallClock(now).UnixMilli() - reading.Milliseconds()
	}
	if n.routes != nil {
		status.Configuration = n.routes.Version()
	}
	value, err := proto.Marshal(status)
	if err != nil {
		panic("a status must encode: " + err.Error())
	}
	n.queue.Add(task.Commit{
		Transaction: port.RecordTransaction{Puts: []port.Record{{RecordKey: StatusKey(n.options.Name), Value: value}}},
		Done:        func(time.Time, port.RecordResult) {},
	})
}

// wallClock returns the time of day at this node.
func (n *Node) wallClock(now time.Time) time.Time {
	if n.options.WallAhead == nil {
		return now
	}
	return now.Add(n.options.WallAhead())
}

// removeStatus drops the record of a node that stops.
func (n *Node) removeStatus() {
	n.queue.Add(task.Commit{
		Transaction: port.RecordTransaction{Deletes: []port.RecordKey{StatusKey(n.options.Name)}},
		Done:        func(time.Time, port.RecordResult) {},
	})
}
