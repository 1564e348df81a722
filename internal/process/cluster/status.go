package cluster

import (
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// StatusTable holds the status records of nodes. Operators, the node count and the usage clock read it.
	StatusTable = "nodes"
	// statusInterval is the time between two status writes, sized so that hundreds of nodes stay well
	// below the store's write limit.
	statusInterval = 20 * time.Second
	// maxFirstStatusDelay bounds the random delay of the first write, which spreads nodes that start
	// together.
	maxFirstStatusDelay = 5 * time.Second
	// statusRetry is the mean delay before a retry or an update of the wall clock offset. It grows by
	// statusRetryPerNode for each node, as all nodes tend to lose the store at the same time.
	statusRetry        = 500 * time.Millisecond
	statusRetryPerNode = 10 * time.Millisecond
	// wallOffsetTolerance is the change of the wall clock offset that triggers an update. It is twice the
	// maximum error of the store clock estimate.
	wallOffsetTolerance = maxClockUncertainty
)

// StatusKey returns the key of a node's status record.
func StatusKey(node string) port.RecordKey {
	return port.RecordKey{Table: StatusTable, Partition: StatusTable, Key: node}
}

// statusWriter schedules the node's status writes.
type statusWriter struct {
	nextAt time.Time
	// offset is the last stored offset of the wall clock to the store's clock, 0 for none. It may be
	// updated from offsetUpdateAt on, which is zero until the first write has ended.
	offset         time.Duration
	offsetUpdateAt time.Time
	busy           bool
}

// tickStatus writes the status periodically and when the wall clock has jumped. The write has no
// precondition: the next one replaces a write that takes effect late.
func (n *Node) tickStatus(now time.Time) {
	if n.status.nextAt.IsZero() {
		n.status.nextAt = now.Add(time.Duration(n.random.Int64N(int64(maxFirstStatusDelay))))
	}
	if n.Stopping() || n.status.busy || now.Before(n.status.nextAt) && !n.wallOffsetChanged(now) {
		return
	}
	if !n.shared.Healthy() {
		n.status.nextAt = now.Add(n.statusRetryDelay())
		return
	}
	n.status.busy = true
	n.status.nextAt = now.Add(statusInterval)
	offset, _ := n.wallOffset(now)
	n.queue.Add(task.Commit{
		Transaction: port.RecordTransaction{Puts: []port.Record{{RecordKey: StatusKey(n.options.Name), Value: n.encodeStatus(now, offset)}}},
		Done: func(now time.Time, result port.RecordResult) {
			n.status.busy = false
			n.status.offsetUpdateAt = now.Add(n.statusRetryDelay())
			if result.Status == port.RecordDone {
				n.status.offset = offset
				return
			}
			n.status.nextAt = n.status.offsetUpdateAt
		},
	})
}

func (n *Node) encodeStatus(now time.Time, offset time.Duration) []byte {
	counts := n.jobs.Counts()
	least, _, _ := n.clock.bounds(now)
	status := &doorstepv1.NodeStatus{
		Zone: n.options.Topology.Zone, Incarnation: n.options.Incarnation, Ready: n.Ready(now), JobsOwned: int32(counts.Owned), ItemsRunning: int32(counts.Running),
		AtMs: least.Milliseconds(), WallOffsetMs: offset.Milliseconds(),
	}
	if n.routes != nil {
		status.Configuration = n.routes.Version()
	}
	value, err := proto.Marshal(status)
	if err != nil {
		panic("marshal node status: " + err.Error())
	}
	return value
}

// wallOffset returns the offset of the wall clock to the store's clock, false while that clock is not
// known precisely enough.
func (n *Node) wallOffset(now time.Time) (time.Duration, bool) {
	reading, known := n.clock.estimate(now)
	if !known {
		return 0, false
	}
	return time.Duration(n.wallClock(now).UnixMilli())*time.Millisecond - reading.Truncate(time.Millisecond), true
}

// wallOffsetChanged reports whether the stored wall clock offset needs an update. It is false before the
// first status, so that nodes that start together stay spread.
func (n *Node) wallOffsetChanged(now time.Time) bool {
	if n.status.offsetUpdateAt.IsZero() || now.Before(n.status.offsetUpdateAt) {
		return false
	}
	offset, known := n.wallOffset(now)
	return known && (offset-n.status.offset).Abs() > wallOffsetTolerance
}

// statusRetryDelay returns a random delay between half and one and a half times its mean.
func (n *Node) statusRetryDelay() time.Duration {
	pause := statusRetry + time.Duration(n.NodeCount())*statusRetryPerNode
	return pause/2 + time.Duration(n.random.Int64N(int64(pause)))
}

// wallClock returns the node's wall clock time.
func (n *Node) wallClock(now time.Time) time.Time {
	if n.options.WallClockOffset == nil {
		return now
	}
	return now.Add(n.options.WallClockOffset())
}

// removeStatus deletes the status record of a stopping node.
func (n *Node) removeStatus() {
	n.queue.Add(task.Commit{
		Transaction: port.RecordTransaction{Deletes: []port.RecordKey{StatusKey(n.options.Name)}},
		Done:        func(time.Time, port.RecordResult) {},
	})
}
