package scaling

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/internal/version/recordlease"
)

// bench drives a scaler whose node holds the lease, and a platform that starts replicas.
type bench struct {
	now     time.Time
	queue   *task.Queue
	lease   *recordlease.Lease
	records *model.Records
	scaler  *Scaler
	service Service
	// status is what the platform answers, orders are those sent.
	status port.DutyStatus
	orders []port.ReplicaOrder
	// starting are replicas that serve at a time.
	starting []starting
	// listedSince is since when the list of replicas is known without a break.
	listedSince time.Time
}

type starting struct {
	zone, replicas int
	at             time.Time
}

const boot = 4 * time.Second

func newBench(zones ...int) *bench {
	b := &bench{now: time.Unix(1000, 0), queue: &task.Queue{}, status: port.DutyDone}
	b.records = model.NewRecords(b.now, model.RecordsOptions{})
	b.lease = recordlease.New(recordlease.Options{
		Key: port.RecordKey{Table: "leases", Key: "l"}, Holder: "a", Incarnation: 1, Queue: b.queue,
		Observed: func(now time.Time) time.Time { return now },
		Clock:    func(time.Time) (least, most time.Duration, known bool) { return 0, 0, true },
	})
	b.service = Service{Name: "s", Scaling: port.Scaling{Min: 1, Max: 12, Boot: boot}}
	for i, replicas := range zones {
		b.service.Zones = append(b.service.Zones, Zone{Name: string(rune('a' + i)), Replicas: replicas, Slots: 10})
	}
	b.listedSince = b.now.Add(-time.Minute)
	b.scaler = New(Options{
		Self: "a", Queue: b.queue, Lease: b.lease, Services: func() []Service { return []Service{b.service} },
		ListedSince: func() time.Time { return b.listedSince },
	})
	return b
}

func (b *bench) run(length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(50 * time.Millisecond) {
		for _, one := range b.starting {
			if !b.now.Before(one.at) {
				b.service.Zones[one.zone].Replicas = one.replicas
			}
		}
		b.lease.Tick(b.now)
		b.scaler.Tick(b.now)
		for tasks := b.queue.Take(); len(tasks) > 0; tasks = b.queue.Take() {
			for _, one := range tasks {
				b.carryOut(one)
			}
		}
	}
}

func (b *bench) carryOut(one task.Task) {
	switch t := one.(type) {
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

func (b *bench) replicas() []int {
	var list []int
	for _, zone := range b.service.Zones {
		list = append(list, zone.Replicas)
	}
	return list
}

func TestReplicasFollowTheWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		zones []int
		items int
		// replicas are wanted in each zone, orders is how many calls that takes.
		replicas, orders int
	}{
		{"no work keeps what is there", []int{5, 5, 5}, 0, 5, 0},
		{"work that fits", []int{5, 5, 5}, 250, 5, 0},
		{"a little more than fits", []int{11, 11, 11}, 560, 11, 0},
		{"much work", []int{5, 5, 5}, 450, 9, 3},
		{"more than may be had", []int{5, 5, 5}, 5000, 12, 3},
		{"a zone without replicas", []int{5, 0, 5}, 250, 5, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(c.zones...)
			b.service.Items = c.items
			b.run(20 * time.Second)
			for _, got := range b.replicas() {
				if got != c.replicas {
					t.Errorf("%v replicas, should be %d in each zone", b.replicas(), c.replicas)
				}
			}
			if len(b.orders) != c.orders {
				t.Errorf("%d orders, should be %d: %+v", len(b.orders), c.orders, b.orders)
			}
		})
	}
}

// TestLostReplicasAreReplaced: replicas that were lost are ordered again, whoever took them.
func TestLostReplicasAreReplaced(t *testing.T) {
	b := newBench(5, 5)
	b.service.Items = 160
	b.run(5 * time.Second)
	b.service.Zones[0].Replicas = 3
	b.run(15 * time.Second)
	if got := b.replicas(); got[0] != 5 || got[1] != 5 || len(b.orders) != 1 {
		t.Errorf("%v replicas after %d orders", got, len(b.orders))
	}
}

// TestRefusedOrdersAreRepeated: without hurry, and each is the same.
func TestRefusedOrdersAreRepeated(t *testing.T) {
	b := newBench(5)
	b.service.Items = 150
	b.status = port.DutyRefused
	b.run(5 * time.Second)
	refused := len(b.orders)
	b.status = port.DutyDone
	b.run(10 * time.Second)
	if refused < 3 || refused > 11 || b.replicas()[0] != 9 {
		t.Errorf("%d orders while they are refused, then %v replicas", refused, b.replicas())
	}
}

// TestReplicasAreGivenBackLate: a pause between two steps must not cost the start of replicas.
func TestReplicasAreGivenBackLate(t *testing.T) {
	b := newBench(10)
	b.service.Items = 160
	b.run(10 * time.Second)
	b.service.Items = 20
	b.run(shrinkAfter - 20*time.Second)
	if len(b.orders) != 0 {
		t.Fatalf("%d orders after a short pause", len(b.orders))
	}
	b.run(time.Minute)
	if got := b.replicas()[0]; got != 2 {
		t.Errorf("%d replicas for 20 items, should be 2", got)
	}
}

// TestFencedHolderStops: a newer holder has ordered.
func TestFencedHolderStops(t *testing.T) {
	b := newBench(5)
	b.service.Items = 150
	b.status = port.DutyFenced
	b.run(time.Second)
	if len(b.orders) == 0 || b.orders[0].Fence == 0 {
		t.Errorf("%+v", b.orders)
	}
}

// TestNothingIsOrderedBeforeTheListIsKnown: an order names a number, so one that goes by a list
// which is not whole yet takes replicas away.
func TestNothingIsOrderedBeforeTheListIsKnown(t *testing.T) {
	b := newBench(0, 0, 0)
	b.listedSince = b.now
	b.service.Items = 60
	b.run(2 * time.Second)
	for i := range b.service.Zones {
		b.service.Zones[i].Replicas = 9
	}
	b.run(20 * time.Second)
	if len(b.orders) != 0 {
		t.Errorf("%+v", b.orders)
	}
}

// TestLapsedReplicasAreNotTakenAway: while the store is away replicas' records run out, which says
// nothing of the replicas.
func TestLapsedReplicasAreNotTakenAway(t *testing.T) {
	b := newBench(9)
	b.service.Items = 60
	b.run(10 * time.Second)
	b.service.Zones[0].Replicas = 0
	b.listedSince = time.Time{}
	b.run(5 * time.Second)
	if len(b.orders) != 0 {
		t.Fatalf("ordered while the list is not known: %+v", b.orders)
	}
	b.listedSince = b.now
	b.service.Zones[0].Replicas = 1
	b.run(10 * time.Second)
	for _, order := range b.orders {
		if order.Replicas < 9 {
			t.Errorf("%+v takes replicas away that were there a moment ago", order)
		}
	}
	if b.replicas()[0] != 9 {
		t.Errorf("%v replicas", b.replicas())
	}
}

// TestNoReplicaTellsItsSlots: without one there is nothing to size an order by, so the least
// number is ordered rather than the most.
func TestNoReplicaTellsItsSlots(t *testing.T) {
	b := newBench(0, 0)
	b.service.Min = 2
	b.service.Items = 300
	for i := range b.service.Zones {
		b.service.Zones[i].Slots = 0
	}
	b.run(3 * time.Second)
	for _, order := range b.orders {
		if order.Replicas != 2 {
			t.Errorf("%+v for a service of unknown size", order)
		}
	}
	if len(b.orders) != 2 {
		t.Errorf("%d orders, should be one a zone", len(b.orders))
	}
}

// TestEvacuatedZonesAreAbsent: the other zones get what the work takes, the zone itself nothing.
func TestEvacuatedZonesAreAbsent(t *testing.T) {
	b := newBench(6, 6, 6)
	b.service.Items = 300
	b.run(shrinkAfter)
	if len(b.orders) != 0 {
		t.Fatalf("%+v before the evacuation", b.orders)
	}
	evacuatedAt := b.now
	b.service.Zones[0].Evacuated = true
	b.run(time.Second)
	if len(b.orders) != 2 {
		t.Errorf("%d orders within a second of the evacuation", len(b.orders))
	}
	b.run(10*time.Second - b.now.Sub(evacuatedAt))
	if got := b.replicas(); got[0] != 6 || got[1] != 9 || got[2] != 9 {
		t.Errorf("%v replicas while a zone is evacuated", got)
	}
	b.service.Zones[0].Replicas = 1
	b.run(2 * shrinkAfter)
	for _, order := range b.orders {
		if order.Zone == "a" {
			t.Errorf("%+v for an evacuated zone", order)
		}
	}
}

// TestNothingIsGivenBackAtOnceAfterAReturn: the zone that comes back may be cold, so the other keeps
// what it was given meanwhile for as long as replicas must have sufficed.
func TestNothingIsGivenBackAtOnceAfterAReturn(t *testing.T) {
	b := newBench(5, 5)
	b.service.Items = 160
	b.service.Zones[0].Evacuated = true
	b.run(2 * shrinkAfter)
	if got := b.replicas(); got[0] != 5 || got[1] != 10 {
		t.Fatalf("%v replicas while a zone is evacuated", got)
	}
	b.orders = nil
	b.service.Zones[0].Evacuated = false
	b.run(shrinkAfter - time.Second)
	if len(b.orders) != 0 {
		t.Errorf("%+v right after the zone's return", b.orders)
	}
	b.run(20 * time.Second)
	if got := b.replicas(); got[0] != 5 || got[1] != 5 {
		t.Errorf("%v replicas long after the return", got)
	}
}

// TestAllZonesEvacuated: nothing is ordered where nothing may be sent.
func TestAllZonesEvacuated(t *testing.T) {
	b := newBench(2, 2)
	b.service.Items = 500
	for i := range b.service.Zones {
		b.service.Zones[i].Evacuated = true
	}
	b.run(10 * time.Second)
	if len(b.orders) != 0 {
		t.Errorf("%+v", b.orders)
	}
}
