package cluster

import (
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// StatusTable holds what nodes tell of themselves: for operators, for the count of nodes, and for the
	// clock by which windows of usage are told.
	StatusTable = "nodes"
	// statusEvery paces it: 390 nodes make 20 writes a second, of the 800 that the
	// smallest store bears.
	statusEvery = 20 * time.Second
	// firstStatus is the first one's age at the most; nodes that start together spread.
	firstStatus = 5 * time.Second
	// statusRetry is the mean pause before the next try, or before news of the wall clock are told, longer by
	// statusRetryEach for each node: nodes that lose the store lose it together.
	statusRetry     = 500 * time.Millisecond
	statusRetryEach = 10 * time.Millisecond
	// wallNews is by how much the wall clock must be off what was told of it to be told anew: twice the most
	// that the reading of the store's clock may be off.
	wallNews = knownWell
)

// StatusKey names a node's status record.
func StatusKey(node string) port.RecordKey {
	return port.RecordKey{Table: StatusTable, Partition: StatusTable, Key: node}
}

// statusWriter is when this node tells of itself next, and what it last told of its wall clock.
type statusWriter struct {
	nextAt time.Time
	// offset is the wall clock's to the store's as the store has it, 0 for none; newsAt is from when on it may be
	// told anew, zero until it was told of once.
	offset time.Duration
	newsAt time.Time
	busy   bool
}

// tickStatus tells of this node now and then, and of its wall clock once that has jumped. The write has no
// condition: an old one that takes effect late is replaced by the next.
func (n *Node) tickStatus(now time.Time) {
	if n.status.nextAt.IsZero() {
		n.status.nextAt = now.Add(time.Duration(n.random.Int64N(int64(firstStatus))))
	}
	if n.Stopping() || n.status.busy || now.Before(n.status.nextAt) && !n.wallHasNews(now) {
		return
	}
	if !n.shared.Healthy() {
		n.status.nextAt = now.Add(n.statusPause())
		return
	}
	n.status.busy = true
	n.status.nextAt = now.Add(statusEvery)
	offset, _ := n.wallOffset(now)
	n.queue.Add(task.Commit{
		Transaction: port.RecordTransaction{Puts: []port.Record{{RecordKey: StatusKey(n.options.Name), Value: n.encodeStatus(now, offset)}}},
		Done: func(now time.Time, result port.RecordResult) {
			n.status.busy = false
			n.status.newsAt = now.Add(n.statusPause())
			if result.Status == port.RecordDone {
				n.status.offset = offset
				return
			}
			n.status.nextAt = n.status.newsAt
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
		panic("a status must encode: " + err.Error())
	}
	return value
}

// wallOffset returns the offset of this node's wall clock to the store's clock, false while that is not known
// well.
func (n *Node) wallOffset(now time.Time) (time.Duration, bool) {
	reading, known := n.clock.reading(now)
	if !known {
		return 0, false
	}
	return time.Duration(n.wallClock(now).UnixMilli())*time.Millisecond - reading.Truncate(time.Millisecond), true
}

// wallHasNews reports whether the wall clock is to be told anew. Before the first status nothing is news: nodes
// that start together spread.
func (n *Node) wallHasNews(now time.Time) bool {
	if n.status.newsAt.IsZero() || now.Before(n.status.newsAt) {
		return false
	}
	offset, known := n.wallOffset(now)
	return known && (offset-n.status.offset).Abs() > wallNews
}

// statusPause returns the pause before the next try, from half of its mean to one and a half.
func (n *Node) statusPause() time.Duration {
	pause := statusRetry + time.Duration(n.Nodes())*statusRetryEach
	return pause/2 + time.Duration(n.random.Int64N(int64(pause)))
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
