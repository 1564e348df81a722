package quarantine

import (
	"testing"
	"time"
)

// lift notifies all nodes that operators have lifted a request's quarantine now.
func (c *testCluster) lift(request Request) {
	for _, n := range c.nodes {
		n.Lift(c.now, map[Fingerprint]time.Duration{request.Fingerprint: c.now.Sub(epoch)})
	}
	c.settle()
}

// TestLiftedQuarantine checks that entries before a lift are void on every node, even if a record of one is
// written late, and that later crashes count.
func TestLiftedQuarantine(t *testing.T) {
	c := newTestCluster(3)
	request, other := requestOf("mended"), requestOf("poison")
	c.crash(request, "r1", "r2", "r3")
	c.crash(other, "r1", "r2", "r3")
	late := c.nodes[0].record(entryName{request.Fingerprint, crashEntry, "r4"}, c.nodes[0].suspects[request.Fingerprint], c.now.Sub(epoch))
	c.now = c.now.Add(time.Second)
	c.lift(request)
	c.expect(t, "after the lift", request, Allowed)
	c.expect(t, "another request", other, Held)
	if rows := c.rows(); rows != 3 {
		t.Errorf("%d records left, want the 3 of the other request", rows)
	}
	c.nodes[1].OnRecord(late)
	c.settle()
	if c.nodes[1].suspects[request.Fingerprint] != nil {
		t.Error("crash before the lift counts because its record was written late")
	}
	c.now = c.now.Add(time.Second)
	c.crash(request, "r5", "r6", "r7")
	c.expect(t, "after three crashes since", request, Held)
}
