package quarantine

import (
	"testing"
	"time"
)

// lift has all nodes hear that operators lifted a request's quarantine now.
func (b *bench) lift(request Request) {
	for _, n := range b.nodes {
		n.Lift(b.now, map[Fingerprint]time.Duration{request.Fingerprint: b.now.Sub(epoch)})
	}
	b.settle()
}

// TestLiftedQuarantine: what was noted before an operator's word is void at every node, also where
// a record of it is written late, while later crashes count.
func TestLiftedQuarantine(t *testing.T) {
	b := newBench(3)
	request, other := requestOf("mended"), requestOf("poison")
	b.crash(request, "r1", "r2", "r3")
	b.crash(other, "r1", "r2", "r3")
	late := b.nodes[0].record(entryName{request.Fingerprint, crashEntry, "r4"}, b.nodes[0].suspects[request.Fingerprint], b.now.Sub(epoch))
	b.now = b.now.Add(time.Second)
	b.lift(request)
	b.expect(t, "after the lift", request, Clear)
	b.expect(t, "another request", other, Held)
	if rows := b.rows(); rows != 3 {
		t.Errorf("%d records are left, should be those of the other request", rows)
	}
	b.nodes[1].OnRecord(late)
	b.settle()
	if b.nodes[1].Crashes(request.Fingerprint) != 0 {
		t.Error("a crash before the lift counts, as its record was written late")
	}
	b.now = b.now.Add(time.Second)
	b.crash(request, "r5", "r6", "r7")
	b.expect(t, "after three crashes since", request, Held)
}
