package rollout

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
)

// TestReportsOfAnotherLife: a report that tells another start than the record is no ground for an order; one
// that tells none is.
func TestReportsOfAnotherLife(t *testing.T) {
	listed := time.Unix(900, 0)
	for _, c := range []struct {
		name   string
		told   time.Time
		orders bool
	}{{"the same start", listed, true}, {"no start", time.Time{}, true}, {"another start", listed.Add(time.Minute), false}} {
		b := newBench(2)
		for _, e := range b.endpoints {
			e.StartedAt = listed
			b.generators[e.ID].StartedAt = c.told
		}
		b.rollout.Name(port.VersionTarget{Model: "m", Version: 2})
		b.run(5 * time.Second)
		if got := b.orders > 0; got != c.orders {
			t.Errorf("%s: %d orders", c.name, b.orders)
		}
	}
}

// restart has a replica start again under its ID.
func (b *bench) restart(index int) {
	e := b.endpoints[index]
	generator := b.generators[e.ID].Restart(b.now)
	b.generators[e.ID] = generator
	next := &endpoint.Endpoint{ReplicaRecord: e.ReplicaRecord}
	next.StartedAt, next.Versions = generator.StartedAt, map[string]int64{"m": generator.Version(b.now, "m")}
	b.endpoints[index] = next
}

// TestOrdersOfAFormerLife: an order without an answer is carried out after its replica started again under its
// ID. It must not have the replica go back to an older version.
func TestOrdersOfAFormerLife(t *testing.T) {
	b := newBench(1)
	b.run(time.Second)
	b.rollout.Name(port.VersionTarget{Model: "m", Version: 3})
	b.run(3 * time.Second)
	b.late = true
	b.rollout.Name(port.VersionTarget{Model: "m", Version: 5})
	b.run(time.Second)
	b.late = false
	b.restart(0)
	b.rollout.Name(port.VersionTarget{Model: "m", Version: 7})
	b.run(3 * time.Second)
	before := b.generators["r0"].Version(b.now, "m")
	for _, late := range b.queued {
		late()
	}
	b.run(2 * time.Second)
	if after := b.generators["r0"].Version(b.now, "m"); len(b.queued) == 0 || after < before {
		t.Errorf("%d late orders, version %d and then %d", len(b.queued), before, after)
	}
	b.run(12 * time.Second)
	if after := b.generators["r0"].Version(b.now, "m"); after != 7 {
		t.Errorf("version %d in the end, 7 was named", after)
	}
}

// TestAnOrderRepeatedBeforeARestart: an order without an answer is repeated with the same count and taken; the
// replica starts again, comes by that count once more, and the first order is carried out. No count tells
// the two apart. Seeds 111, 120, 189 and 194 of the simulator's replica-restart and orders-late showed it.
func TestAnOrderRepeatedBeforeARestart(t *testing.T) {
	b := newBench(1)
	b.run(time.Second)
	b.late = true
	b.rollout.Name(port.VersionTarget{Model: "m", Version: 3})
	b.run(time.Second)
	b.late = false
	b.rollout.Name(port.VersionTarget{Model: "m", Version: 5})
	b.run(5 * time.Second)
	before := b.generators["r0"].Version(b.now, "m")
	b.restart(0)
	for _, late := range b.queued {
		late()
	}
	b.run(2 * time.Second)
	if after := b.generators["r0"].Version(b.now, "m"); len(b.queued) == 0 || before != 5 || after < before {
		t.Errorf("%d late orders, version %d and then %d", len(b.queued), before, after)
	}
}

// TestNewerVersionsWaitForAnUnansweredFirstOrder: a replica answers until its first order is sent. That one may be
// carried out whenever the replica starts again, so no newer version is loaded until it can't be any more.
func TestNewerVersionsWaitForAnUnansweredFirstOrder(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, LateFor - time.Second} {
		b := newBench(1)
		b.run(time.Second)
		b.late, b.answersProbes = true, true
		b.rollout.Name(port.VersionTarget{Model: "m", Version: 3})
		b.run(time.Second)
		b.late = false
		b.rollout.Name(port.VersionTarget{Model: "m", Version: 5})
		b.run(after - time.Second)
		before := b.generators["r0"].Version(b.now, "m")
		b.restart(0)
		for _, late := range b.queued {
			late()
		}
		b.run(2 * time.Second)
		if got := b.generators["r0"].Version(b.now, "m"); len(b.queued) == 0 || got < before {
			t.Errorf("%d late orders %s after their sending, version %d and then %d", len(b.queued), after, before, got)
		}
		b.run(2 * LateFor)
		if got := b.generators["r0"].Version(b.now, "m"); got != 5 {
			t.Errorf("late orders after %s: version %d in the end, 5 was named", after, got)
		}
	}
}

// TestAFormerHoldersUnansweredOrders: a holder's order has no answer, and another holder, or a later life of that
// one, doesn't know of it. The replica must not go back when it starts again and the order is carried out, whether
// it had taken orders before or starts again before the new holder acts. Seeds 510078 and 510214 of the simulator
// showed it.
func TestAFormerHoldersUnansweredOrders(t *testing.T) {
	for _, c := range []struct {
		name        string
		holder      string
		incarnation uint64
		// taken is how many orders the replica took before the one without an answer.
		taken int64
		// restartsEarly is set where the replica starts again before the new holder acts, and then comes by the
		// count that the order expects.
		restartsEarly bool
	}{
		{"another node", "b", 1, 0, false},
		{"another node, a later order", "b", 1, 2, false},
		{"another node, a replica that starts again", "b", 1, 1, true},
		{"a later life of the node", "a", 2, 0, false},
		{"a later life of the node, a replica that starts again", "a", 2, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(1)
			b.endpoints[0].StartedAt = b.now.Add(-time.Hour)
			b.generators["r0"].StartedAt, b.generators["r0"].Unfenced = b.endpoints[0].StartedAt, true
			b.run(time.Second)
			version := int64(3)
			for range c.taken {
				b.rollout.Name(port.VersionTarget{Model: "m", Version: version})
				b.run(3 * time.Second)
				version += 2
			}
			b.late, b.answersProbes = true, true
			b.rollout.Name(port.VersionTarget{Model: "m", Version: version})
			b.run(time.Second)
			b.late = false
			b.start(c.holder, c.incarnation)
			b.readLease()
			if c.restartsEarly {
				b.restart(0)
			}
			b.rollout.Name(port.VersionTarget{Model: "m", Version: version + 2})
			b.run(5 * time.Second)
			if !c.restartsEarly {
				b.restart(0)
			}
			before := b.generators["r0"].Version(b.now, "m")
			for _, late := range b.queued {
				late()
			}
			b.run(1500 * time.Millisecond)
			if got := b.generators["r0"].Version(b.now, "m"); len(b.queued) == 0 || got < before {
				t.Errorf("%d late orders, version %d and then %d", len(b.queued), before, got)
			}
			b.run(3 * LateFor)
			if got := b.generators["r0"].Version(b.now, "m"); got != version+2 {
				t.Errorf("version %d in the end, %d was named", got, version+2)
			}
		})
	}
}
