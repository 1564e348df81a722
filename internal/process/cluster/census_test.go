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

// holdLease has a node acquire the order lease against a store of its own.
func holdLease(t *testing.T, n *Node, store *model.RecordStore) {
	t.Helper()
	n.NoteClock(start, start, time.Hour)
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

// TestCensus: the holder counts the nodes that told of themselves of late, page by page, and tells the others
// of a count that has changed much.
func TestCensus(t *testing.T) {
	n, store := newNode(), model.NewRecordStore(start, model.RecordStoreOptions{})
	holdLease(t, n, store)
	put := func(name string, age time.Duration) {
		value, err := proto.Marshal(&doorstepv1.NodeStatus{AtMs: (time.Hour - age).Milliseconds()})
		if err != nil {
			t.Fatal(err)
		}
		store.Commit(start, port.RecordTransaction{Puts: []port.Record{{RecordKey: StatusKey(name), Value: value}}})
	}
	count := func(now time.Time) (told int) {
		n.tickCensus(now)
		for range 10 {
			for _, one := range n.Take() {
				switch call := one.(type) {
				case task.Range:
					call.Done(now, store.Range(now, call.Query))
				case task.Commit:
					told++
					call.Done(now, store.Commit(now, call.Transaction))
					for _, record := range call.Transaction.Puts {
						record.Revision = n.census.revision + 1
						n.onLeaseRecord(now, record)
					}
				}
			}
		}
		return told
	}
	for i := range 986 {
		put(fmt.Sprintf("n%04d", i), 10*time.Second)
	}
	put("long-gone", 2*statusLife)
	if told := count(start); told != 1 || n.Nodes() != 986 {
		t.Errorf("%d records tell of %d nodes, should be one of 986", told, n.Nodes())
	}
	put("one-more", 0)
	n.census.nextAt = start
	if told := count(start); told != 0 || n.Nodes() != 986 {
		t.Errorf("%d records tell of %d nodes, should be none for one more", told, n.Nodes())
	}
}
