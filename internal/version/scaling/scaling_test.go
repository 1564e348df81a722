package scaling

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/internal/version/recordlease"
)

// testBench runs a Scaler whose node holds the lease, with a platform that starts replicas.
type testBench struct {
	now     time.Time
	queue   *task.Queue
	lease   *recordlease.Lease
	records *model.RecordStore
	scaler  *Scaler
	service Service
	// status is the platform's answer, orders the orders sent.
	status port.DutyStatus
	orders []port.ReplicaOrder
	// starting holds the ordered replica counts and when they take effect.
	starting []starting
	// listedSince is since when the list of replicas has been available.
	listedSince time.Time
}

type starting struct {
	zone, replicas int
	at             time.Time
}

const boot = 4 * time.Second

func newTestBench(zones ...int) *testBench {
	b := &testBench{now: time.Unix(1000, 0), queue: &task.Queue{}, status: port.DutyDone}
	b.records = model.NewRecordStore(b.now, model.RecordStoreOptions{})
	b.lease = recordlease.New(recordlease.Options{
		Key: port.RecordKey{Table: "leases", Key: "l"}, Holder: "a", Incarnation: 1, Queue: b.queue,
		ObservedUntil: func(now time.Time) time.Time { return now },
		Clock:         func(time.Time) (least, most time.Duration, known bool) { return 0, 0, true },
	})
	b.service = Service{Name: "s", Scaling: port.Scaling{Min: 1, Max: 12, StartupTime: boot}}
	for i, replicas := range zones {
		b.service.Zones = append(b.service.Zones, Zone{Name: string(rune('a' + i)), Replicas: replicas, Slots: 10})
	}
	b.listedSince = b.now.Add(-time.Minute)
	b.scaler = New(Options{
		Self: "a", Queue: b.queue, Lease: b.lease, Services: func(time.Time) []Service { return []Service{b.service} },
		ListedSince: func() time.Time { return b.listedSince },
	})
	return b
}

func (b *testBench) run(length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(50 * time.Millisecond) {
		for _, next := range b.starting {
			if !b.now.Before(next.at) {
				b.service.Zones[next.zone].Replicas = next.replicas
			}
		}
		b.lease.Tick(b.now)
		b.scaler.Tick(b.now)
		for tasks := b.queue.Take(); len(tasks) > 0; tasks = b.queue.Take() {
			for _, next := range tasks {
				b.execute(next)
			}
		}
	}
}

func (b *testBench) execute(next task.Task) {
	switch t := next.(type) {
	case task.Commit:
		t.Done(b.now, b.records.Commit(b.now, t.Transaction))
	case task.OrderReplicas:
		b.orders = append(b.orders, t.Order)
		if b.status == port.DutyDone {
			zone := int(t.Order.Zone[0] - 'a')
			b.starting = append(b.starting, starting{zone, t.Order.Replicas, b.now.Add(boot)})
		}
		t.Done(b.now, b.status)
	}
}

func (b *testBench) replicas() []int {
	var list []int
	for _, zone := range b.service.Zones {
		list = append(list, zone.Replicas)
	}
	return list
}

func TestReplicasScaleWithWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		zones []int
		// required is the number of slots required.
		required int
		// replicas is the expected number per zone, orders the expected number of orders.
		replicas, orders int
	}{
		{"no work", []int{5, 5, 5}, 0, 5, 0},
		{"sufficient replicas", []int{5, 5, 5}, 150, 5, 0},
		{"slightly more work than replicas", []int{11, 11, 11}, 336, 11, 0},
		{"much work", []int{5, 5, 5}, 270, 9, 3},
		{"more than the maximum", []int{5, 5, 5}, 3000, 12, 3},
		{"a zone without replicas", []int{5, 0, 5}, 150, 5, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBench(c.zones...)
			b.service.RequiredSlots = c.required
			b.run(20 * time.Second)
			for _, got := range b.replicas() {
				if got != c.replicas {
					t.Errorf("replicas by zone %v, want %d in each", b.replicas(), c.replicas)
				}
			}
			if len(b.orders) != c.orders {
				t.Errorf("%d orders, want %d: %+v", len(b.orders), c.orders, b.orders)
			}
		})
	}
}

// TestLostReplicasAreReplaced checks that lost replicas are ordered again.
func TestLostReplicasAreReplaced(t *testing.T) {
	b := newTestBench(5, 5)
	b.service.RequiredSlots = 96
	b.run(5 * time.Second)
	b.service.Zones[0].Replicas = 3
	b.run(15 * time.Second)
	if got := b.replicas(); got[0] != 5 || got[1] != 5 || len(b.orders) != 1 {
		t.Errorf("replicas by zone %v after %d orders", got, len(b.orders))
	}
}

// TestRefusedOrdersAreRepeated checks that rejected orders are repeated at a limited rate.
func TestRefusedOrdersAreRepeated(t *testing.T) {
	b := newTestBench(5)
	b.service.RequiredSlots = 90
	b.status = port.DutyRefused
	b.run(5 * time.Second)
	refused := len(b.orders)
	b.status = port.DutyDone
	b.run(10 * time.Second)
	if refused < 3 || refused > 11 || b.replicas()[0] != 9 {
		t.Errorf("%d orders while rejected, then %v replicas", refused, b.replicas())
	}
}

// TestReplicasAreRemovedAfterDelay checks that replicas are not removed during a short pause.
func TestReplicasAreRemovedAfterDelay(t *testing.T) {
	b := newTestBench(10)
	b.service.RequiredSlots = 96
	b.run(10 * time.Second)
	b.service.RequiredSlots = 12
	b.run(shrinkDelay - 20*time.Second)
	if len(b.orders) != 0 {
		t.Fatalf("%d orders during a short pause", len(b.orders))
	}
	b.run(time.Minute)
	if got := b.replicas()[0]; got != 2 {
		t.Errorf("%d replicas for 12 slots, want 2", got)
	}
}

// TestFencedHolderStops checks that orders carry a fence, with a platform that rejects it.
func TestFencedHolderStops(t *testing.T) {
	b := newTestBench(5)
	b.service.RequiredSlots = 90
	b.status = port.DutyFenced
	b.run(time.Second)
	if len(b.orders) == 0 || b.orders[0].Fence == 0 {
		t.Errorf("orders: %+v", b.orders)
	}
}

// TestNoOrdersBeforeListIsComplete checks that an incomplete list does not lead to an order, which
// would remove replicas.
func TestNoOrdersBeforeListIsComplete(t *testing.T) {
	b := newTestBench(0, 0, 0)
	b.listedSince = b.now
	b.service.RequiredSlots = 36
	b.run(2 * time.Second)
	for i := range b.service.Zones {
		b.service.Zones[i].Replicas = 9
	}
	b.run(20 * time.Second)
	if len(b.orders) != 0 {
		t.Errorf("orders: %+v", b.orders)
	}
}

// TestReplicasWithExpiredRecordsAreKept checks that replicas whose records expired during a store
// outage are not removed.
func TestReplicasWithExpiredRecordsAreKept(t *testing.T) {
	b := newTestBench(9)
	b.service.RequiredSlots = 36
	b.run(10 * time.Second)
	b.service.Zones[0].Replicas = 0
	b.listedSince = time.Time{}
	b.run(5 * time.Second)
	if len(b.orders) != 0 {
		t.Fatalf("ordered while the list is unavailable: %+v", b.orders)
	}
	b.listedSince = b.now
	b.service.Zones[0].Replicas = 1
	b.run(10 * time.Second)
	for _, order := range b.orders {
		if order.Replicas < 9 {
			t.Errorf("order %+v removes replicas that were listed recently", order)
		}
	}
	if b.replicas()[0] != 9 {
		t.Errorf("replicas by zone %v", b.replicas())
	}
}

// TestUnknownNumberOfSlots checks that the minimum is ordered if the number of slots is unknown.
func TestUnknownNumberOfSlots(t *testing.T) {
	b := newTestBench(0, 0)
	b.service.Min = 2
	b.service.RequiredSlots = 180
	for i := range b.service.Zones {
		b.service.Zones[i].Slots = 0
	}
	b.run(3 * time.Second)
	for _, order := range b.orders {
		if order.Replicas != 2 {
			t.Errorf("order %+v with an unknown number of slots, want the minimum", order)
		}
	}
	if len(b.orders) != 2 {
		t.Errorf("%d orders, want one per zone", len(b.orders))
	}
}

// TestEvacuatedZonesAreAbsent checks that the other zones receive replicas for the work of an
// evacuated zone, and the zone itself none.
func TestEvacuatedZonesAreAbsent(t *testing.T) {
	b := newTestBench(6, 6, 6)
	b.service.RequiredSlots = 180
	b.run(shrinkDelay)
	if len(b.orders) != 0 {
		t.Fatalf("orders before the evacuation: %+v", b.orders)
	}
	evacuatedAt := b.now
	b.service.Zones[0].Evacuated = true
	b.run(time.Second)
	if len(b.orders) != 2 {
		t.Errorf("%d orders within a second of the evacuation", len(b.orders))
	}
	b.run(10*time.Second - b.now.Sub(evacuatedAt))
	if got := b.replicas(); got[0] != 6 || got[1] != 9 || got[2] != 9 {
		t.Errorf("replicas by zone %v during the evacuation", got)
	}
	b.service.Zones[0].Replicas = 1
	b.run(2 * shrinkDelay)
	for _, order := range b.orders {
		if order.Zone == "a" {
			t.Errorf("order %+v for an evacuated zone", order)
		}
	}
}

// TestNoRemovalImmediatelyAfterEvacuation checks that replicas added during an evacuation are not
// removed immediately after it.
func TestNoRemovalImmediatelyAfterEvacuation(t *testing.T) {
	b := newTestBench(5, 5)
	b.service.RequiredSlots = 96
	b.service.Zones[0].Evacuated = true
	b.run(2 * shrinkDelay)
	if got := b.replicas(); got[0] != 5 || got[1] != 10 {
		t.Fatalf("replicas by zone %v during the evacuation", got)
	}
	b.orders = nil
	b.service.Zones[0].Evacuated = false
	b.run(shrinkDelay - time.Second)
	if len(b.orders) != 0 {
		t.Errorf("orders immediately after the evacuation: %+v", b.orders)
	}
	b.run(20 * time.Second)
	if got := b.replicas(); got[0] != 5 || got[1] != 5 {
		t.Errorf("replicas by zone %v long after the evacuation", got)
	}
}

// TestAllZonesEvacuated checks that nothing is ordered while all zones are evacuated.
func TestAllZonesEvacuated(t *testing.T) {
	b := newTestBench(2, 2)
	b.service.RequiredSlots = 300
	for i := range b.service.Zones {
		b.service.Zones[i].Evacuated = true
	}
	b.run(10 * time.Second)
	if len(b.orders) != 0 {
		t.Errorf("orders: %+v", b.orders)
	}
}
