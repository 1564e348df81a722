package cluster

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
)

// holdLease makes a node acquire the order lease against a given store.
func holdLease(t *testing.T, n *Node, store *model.RecordStore) {
	t.Helper()
	n.ObserveStoreClock(start, start, time.Hour)
	n.shared.Tick(start)
	for range 200 {
		n.lease.Tick(start)
		for _, one := range n.Take() {
			switch call := one.(type) {
			case task.Commit:
				call.Done(start, store.Commit(start, call.Transaction))
			case task.Range:
				call.Done(start, store.Range(start, call.Query))
			}
		}
		if n.lease.Held(start) {
			return
		}
	}
	t.Fatal("the lease was not acquired")
}

// TestNodeCount checks that the lease holder counts recently active nodes over several pages and stores only
// significant changes.
func TestNodeCount(t *testing.T) {
	n, store := newNode(), model.NewRecordStore(start, model.RecordStoreOptions{})
	holdLease(t, n, store)
	put := func(name string, age time.Duration) {
		value, err := proto.Marshal(&doorstepv1.NodeStatus{AtMs: (time.Hour - age).Milliseconds()})
		if err != nil {
			t.Fatal(err)
		}
		store.Commit(start, port.RecordTransaction{Puts: []port.Record{{RecordKey: StatusKey(name), Value: value}}})
	}
	count := func(now time.Time) (writes int) {
		n.tickNodeCount(now)
		for range 10 {
			for _, one := range n.Take() {
				switch call := one.(type) {
				case task.Range:
					call.Done(now, store.Range(now, call.Query))
				case task.Commit:
					writes++
					call.Done(now, store.Commit(now, call.Transaction))
					for _, record := range call.Transaction.Puts {
						record.Revision = n.nodeCount.revision + 1
						n.onLeaseRecord(now, record)
					}
				}
			}
		}
		return writes
	}
	for i := range 986 {
		put(fmt.Sprintf("n%04d", i), 10*time.Second)
	}
	put("long-gone", 2*statusTTL)
	if writes := count(start); writes != 1 || n.NodeCount() != 986 {
		t.Errorf("%d writes, %d nodes, want 1 write of 986 nodes", writes, n.NodeCount())
	}
	put("one-more", 0)
	n.nodeCount.nextAt = start
	if writes := count(start); writes != 0 || n.NodeCount() != 986 {
		t.Errorf("%d writes, %d nodes, want no write for one more node", writes, n.NodeCount())
	}
}
