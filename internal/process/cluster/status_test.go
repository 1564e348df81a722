package cluster

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// statusRecord returns the node's status record, a zero one if there is none.
func (c *coldNode) statusRecord() port.Record {
	key := StatusKey(c.options.Name)
	for _, record := range c.store.Range(c.Now, port.RecordRange{Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00"}).Records {
		return record
	}
	return port.Record{}
}

// storedOffset returns the wall clock offset in the node's status record, false if there is none.
func (c *coldNode) storedOffset() (time.Duration, bool) { return wallOffsetOf(c.statusRecord()) }

// TestFailedStatusWriteIsRetried checks that a status is written soon after an outage at startup, as the usage
// clock depends on the nodes' wall clock offsets. Simulator seed 700015.
func TestFailedStatusWriteIsRetried(t *testing.T) {
	n := newColdNode()
	n.storeDown = true
	n.run(2 * maxFirstStatusDelay)
	n.storeDown = false
	n.run(3 * time.Second)
	if _, stored := n.storedOffset(); !stored {
		t.Error("no wall clock offset stored 3 s after the store has recovered")
	}
}

// TestWallClockJumpIsWrittenPromptly checks that a jump of the wall clock is written before the next regular status.
func TestWallClockJumpIsWrittenPromptly(t *testing.T) {
	n := newColdNode()
	ahead := time.Duration(0)
	n.options.WallClockOffset = func() time.Duration { return ahead }
	n.run(2 * maxFirstStatusDelay)
	before, stored := n.storedOffset()
	if !stored {
		t.Fatal("no wall clock offset stored")
	}
	for _, jump := range []time.Duration{2 * time.Second, 0, -3 * time.Second, 0} {
		ahead = jump
		n.run(2 * time.Second)
		got, _ := n.storedOffset()
		if off := (got - before - jump).Abs(); off > 50*time.Millisecond {
			t.Errorf("2 s after a wall clock jump of %s the stored offset has changed by %s", jump, got-before)
		}
	}
	written := n.statusRecord().Revision
	n.run(statusInterval / 2)
	if n.statusRecord().Revision != written {
		t.Error("status written again although the wall clock has not jumped")
	}
}
