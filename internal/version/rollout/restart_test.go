package rollout

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
)

// TestReportsOfAnotherIncarnation checks that no order is based on a report with another start time
// than the record. A report without a start time is accepted.
func TestReportsOfAnotherIncarnation(t *testing.T) {
	listed := time.Unix(900, 0)
	for _, c := range []struct {
		name      string
		startedAt time.Time
		orders    bool
	}{{"the same start", listed, true}, {"no start", time.Time{}, true}, {"another start", listed.Add(time.Minute), false}} {
		b := newTestBench(2)
		for _, e := range b.endpoints {
			e.StartedAt = listed
			b.generators[e.ID].StartedAt = c.startedAt
		}
		b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 2})
		b.run(5 * time.Second)
		if got := b.orders > 0; got != c.orders {
			t.Errorf("%s: %d orders sent", c.name, b.orders)
		}
	}
}

// restart restarts a replica under the same ID.
func (b *testBench) restart(index int) {
	e := b.endpoints[index]
	generator := b.generators[e.ID].Restart(b.now)
	b.generators[e.ID] = generator
	next := &endpoint.Endpoint{ReplicaRecord: e.ReplicaRecord}
	next.StartedAt, next.Versions = generator.StartedAt, map[string]int64{"m": generator.Version(b.now, "m")}
	b.endpoints[index] = next
}

// TestOrdersOfPreviousIncarnation checks that an unanswered order that arrives after a restart does
// not revert the replica to an older version.
func TestOrdersOfPreviousIncarnation(t *testing.T) {
	b := newTestBench(1)
	b.run(time.Second)
	b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 3})
	b.run(3 * time.Second)
	b.holdOrders = true
	b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 5})
	b.run(time.Second)
	b.holdOrders = false
	b.restart(0)
	b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 7})
	b.run(3 * time.Second)
	before := b.generators["r0"].Version(b.now, "m")
	for _, deliver := range b.heldOrders {
		deliver()
	}
	b.run(2 * time.Second)
	if after := b.generators["r0"].Version(b.now, "m"); len(b.heldOrders) == 0 || after < before {
		t.Errorf("%d delayed orders; version went from %d to %d", len(b.heldOrders), before, after)
	}
	b.run(12 * time.Second)
	if after := b.generators["r0"].Version(b.now, "m"); after != 7 {
		t.Errorf("final version %d, want 7", after)
	}
}

// TestAnOrderRepeatedBeforeARestart checks that a delayed order does not revert the replica when it
// was resent with the same sequence number, accepted, and the restarted replica reaches that number
// again.
func TestAnOrderRepeatedBeforeARestart(t *testing.T) {
	b := newTestBench(1)
	b.run(time.Second)
	b.holdOrders = true
	b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 3})
	b.run(time.Second)
	b.holdOrders = false
	b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 5})
	b.run(5 * time.Second)
	before := b.generators["r0"].Version(b.now, "m")
	b.restart(0)
	for _, deliver := range b.heldOrders {
		deliver()
	}
	b.run(2 * time.Second)
	if after := b.generators["r0"].Version(b.now, "m"); len(b.heldOrders) == 0 || before != 5 || after < before {
		t.Errorf("%d delayed orders; version went from %d to %d", len(b.heldOrders), before, after)
	}
}

// TestNewerVersionsWaitForAnUnansweredFirstOrder checks that no newer version is loaded while an
// unanswered first order could still take effect after a restart.
func TestNewerVersionsWaitForAnUnansweredFirstOrder(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, MaxOrderDelay - time.Second} {
		b := newTestBench(1)
		b.run(time.Second)
		b.holdOrders, b.answersProbes = true, true
		b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 3})
		b.run(time.Second)
		b.holdOrders = false
		b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 5})
		b.run(after - time.Second)
		before := b.generators["r0"].Version(b.now, "m")
		b.restart(0)
		for _, deliver := range b.heldOrders {
			deliver()
		}
		b.run(2 * time.Second)
		if got := b.generators["r0"].Version(b.now, "m"); len(b.heldOrders) == 0 || got < before {
			t.Errorf("%d orders delayed by %s; version went from %d to %d", len(b.heldOrders), after, before, got)
		}
		b.run(2 * MaxOrderDelay)
		if got := b.generators["r0"].Version(b.now, "m"); got != 5 {
			t.Errorf("orders delayed by %s: final version %d, want 5", after, got)
		}
	}
}

// TestAFormerHoldersUnansweredOrders checks that an unanswered order of a previous lease holder,
// which the new holder has no record of, does not revert a replica that restarts.
func TestAFormerHoldersUnansweredOrders(t *testing.T) {
	for _, c := range []struct {
		name        string
		holder      string
		incarnation uint64
		// accepted is the number of orders that the replica accepted before the unanswered one.
		accepted int64
		// restartsEarly is set if the replica restarts before the new holder acts, and then reaches
		// the sequence number that the order expects.
		restartsEarly bool
	}{
		{"another node", "b", 1, 0, false},
		{"another node, a later order", "b", 1, 2, false},
		{"another node, replica restarts", "b", 1, 1, true},
		{"restarted node", "a", 2, 0, false},
		{"restarted node, replica restarts", "a", 2, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBench(1)
			b.endpoints[0].StartedAt = b.now.Add(-time.Hour)
			b.generators["r0"].StartedAt, b.generators["r0"].Unfenced = b.endpoints[0].StartedAt, true
			b.run(time.Second)
			version := int64(3)
			for range c.accepted {
				b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: version})
				b.run(3 * time.Second)
				version += 2
			}
			b.holdOrders, b.answersProbes = true, true
			b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: version})
			b.run(time.Second)
			b.holdOrders = false
			b.start(c.holder, c.incarnation)
			b.readLease()
			if c.restartsEarly {
				b.restart(0)
			}
			b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: version + 2})
			b.run(5 * time.Second)
			if !c.restartsEarly {
				b.restart(0)
			}
			before := b.generators["r0"].Version(b.now, "m")
			for _, deliver := range b.heldOrders {
				deliver()
			}
			b.run(1500 * time.Millisecond)
			if got := b.generators["r0"].Version(b.now, "m"); len(b.heldOrders) == 0 || got < before {
				t.Errorf("%d delayed orders; version went from %d to %d", len(b.heldOrders), before, got)
			}
			b.run(3 * MaxOrderDelay)
			if got := b.generators["r0"].Version(b.now, "m"); got != version+2 {
				t.Errorf("final version %d, want %d", got, version+2)
			}
		})
	}
}
