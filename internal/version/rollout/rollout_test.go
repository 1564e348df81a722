package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/internal/version/recordlease"
)

// bench drives a rollout whose node holds the lease, over modelled replicas.
type bench struct {
	now        time.Time
	queue      *task.Queue
	lease      *recordlease.Lease
	rollout    *Rollout
	endpoints  []*endpoint.Endpoint
	generators map[string]*model.Generator
	records    *model.Records
	// orders counts the orders that a replica may take.
	orders  int
	atOnce  int
	demand  map[string]int64
	longest map[string]int64
	// lag is how old the answers to reports are, asked holds those that are to come.
	lag   time.Duration
	asked []func()
	// late holds orders back: they get no answer and come after a while.
	late   bool
	queued []func()
	// answersProbes has orders that change nothing answered while others are held back.
	answersProbes bool
	// fenced replicas have seen a newer holder than any; sent are the orders, left what
	// the lease still held when each was sent.
	fenced bool
	sent   []task.OrderVersion
	left   []time.Duration
}

func newBench(replicas int) *bench {
	b := &bench{now: time.Unix(1000, 0), generators: map[string]*model.Generator{}}
	b.records = model.NewRecords(b.now, model.RecordsOptions{})
	b.start("a", 1)
	for i := range replicas {
		id := fmt.Sprintf("r%d", i)
		b.generators[id] = &model.Generator{ID: id, Slots: 4, LoadFor: 900 * time.Millisecond, Versions: map[string]int64{"m": 1}}
		b.endpoints = append(b.endpoints, &endpoint.Endpoint{ReplicaRecord: port.ReplicaRecord{ID: id, Address: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}}})
	}
	return b
}

// start has a node begin a life; what the one before knew is gone.
func (b *bench) start(name string, incarnation uint64) {
	b.queue = &task.Queue{}
	b.lease = recordlease.New(recordlease.Options{Key: port.RecordKey{Table: "leases", Key: "l"}, Holder: name, Incarnation: incarnation, Queue: b.queue, Pause: time.Second,
		Observed: func(now time.Time) time.Time { return now },
		Clock:    func(now time.Time) (least, most time.Duration, known bool) { return 0, 0, true },
		LateFor:  LateFor, Unanswered: func(now time.Time) []string { return b.rollout.Unanswered(now) }})
	b.rollout = New(Options{Self: name, Queue: b.queue, Lease: b.lease, Endpoints: func(time.Time, []string) []*endpoint.Endpoint { return b.endpoints },
		Demand:  func(time.Time) map[string]int64 { return b.demand },
		Longest: func(time.Time) map[string]int64 { return b.longest }})
}

// readLease has the lease read its record.
func (b *bench) readLease() {
	for _, record := range b.records.Range(b.now, port.RecordRange{Table: "leases"}).Records {
		b.lease.OnRecord(b.now, record)
	}
}

func (b *bench) run(length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(50 * time.Millisecond) {
		asked := b.asked
		b.asked = nil
		for _, answer := range asked {
			answer()
		}
		b.lease.Tick(b.now)
		b.rollout.Tick(b.now)
		for tasks := b.queue.Take(); len(tasks) > 0; tasks = b.queue.Take() {
			for _, one := range tasks {
				b.carryOut(one)
			}
		}
		loading := 0
		for _, one := range b.generators {
			if one.Report(b.now).Loading {
				loading++
			}
		}
		b.atOnce = max(b.atOnce, loading)
	}
}

func (b *bench) carryOut(one task.Task) {
	switch t := one.(type) {
	case task.Commit:
		t.Done(b.now, b.records.Commit(b.now, t.Transaction))
	case task.Range:
		t.Done(b.now, b.records.Range(b.now, t.Query))
	case task.FetchReport:
		if b.lag > 0 {
			report := b.generators[t.Replica].Report(b.now.Add(-b.lag))
			b.asked = append(b.asked, func() { t.Done(b.now, report) })
			return
		}
		t.Done(b.now, b.generators[t.Replica].Report(b.now))
	case task.OrderVersion:
		if !t.Order.Probe() {
			b.orders++
		}
		b.sent = append(b.sent, t)
		b.left = append(b.left, b.lease.Left(b.now))
		if b.fenced {
			t.Done(b.now, port.VersionOrderFenced)
			return
		}
		if b.late && !(b.answersProbes && t.Order.Probe()) {
			b.queued = append(b.queued, func() { b.generators[t.Order.Replica].Order(b.now, t.Order) })
			t.Done(b.now, port.VersionOrderUnknown)
			return
		}
		t.Done(b.now, b.generators[t.Order.Replica].Order(b.now, t.Order))
	}
}

// versions counts the replicas by the version that they hold.
func (b *bench) versions() map[int64]int {
	count := map[int64]int{}
	for _, one := range b.generators {
		count[one.Version(b.now, "m")]++
	}
	return count
}

func TestHalfMoveAtEachVersion(t *testing.T) {
	b := newBench(6)
	b.run(time.Second)
	for version := int64(2); version <= 6; version++ {
		b.rollout.Name(port.VersionTarget{Model: "m", Version: version})
		before := b.orders
		b.run(6 * time.Second)
		count := b.versions()
		if count[version] != 3 || count[version-1] != 3 {
			t.Errorf("at version %d the replicas hold %v", version, count)
		}
		if b.orders-before != 3 {
			t.Errorf("version %d took %d orders", version, b.orders-before)
		}
	}
	if b.atOnce > leastLoads {
		t.Errorf("%d replicas load at once", b.atOnce)
	}
}

func TestStragglersMoveToTheNewest(t *testing.T) {
	b := newBench(4)
	b.run(time.Second)
	b.rollout.Name(port.VersionTarget{Model: "m", Version: 5})
	b.rollout.Name(port.VersionTarget{Model: "m", Version: 3})
	b.run(8 * time.Second)
	if count := b.versions(); count[5] != 4 {
		t.Errorf("replicas hold %v: all were two behind or more", count)
	}
}

func TestLeavingReplicasAreLeftAlone(t *testing.T) {
	b := newBench(2)
	b.endpoints[0].Draining, b.endpoints[1].Draining = true, true
	b.rollout.Name(port.VersionTarget{Model: "m", Version: 3})
	b.run(4 * time.Second)
	if b.orders != 0 {
		t.Errorf("%d orders", b.orders)
	}
}

func TestLateOrdersDoNoHarm(t *testing.T) {
	b := newBench(1)
	b.run(time.Second)
	b.late = true
	b.rollout.Name(port.VersionTarget{Model: "m", Version: 3})
	b.run(3 * time.Second)
	b.late = false
	b.run(4 * time.Second)
	if count := b.versions(); count[3] != 1 {
		t.Fatalf("replicas hold %v", count)
	}
	for _, late := range b.queued {
		late()
	}
	if b.generators["r0"].Report(b.now).Loading {
		t.Error("an order that is carried out late finds another count of orders")
	}
}

// TestOrdersEndWithTheLease: an order that is under way longer than its lease would arrive
// within the pause of the next holder, where replicas check no fences.
func TestOrdersEndWithTheLease(t *testing.T) {
	b := newBench(6)
	b.run(time.Second)
	for version := int64(2); version <= 6; version++ {
		b.rollout.Name(port.VersionTarget{Model: "m", Version: version})
		b.run(4 * time.Second)
	}
	if len(b.sent) == 0 {
		t.Fatal("no order was sent")
	}
	for i, order := range b.sent {
		if order.Limit <= 0 || order.Limit > b.left[i] || order.Limit > recordlease.Prompt.Validity {
			t.Errorf("order %d may take %s, the lease is held for %s", i, order.Limit, b.left[i])
		}
	}
}

// TestFencedHolderStops: no second order follows under a fence that was refused.
func TestFencedHolderStops(t *testing.T) {
	b := newBench(6)
	b.run(time.Second)
	b.fenced = true
	b.rollout.Name(port.VersionTarget{Model: "m", Version: 3})
	b.run(10 * time.Second)
	refused := map[int64]int{}
	for _, order := range b.sent {
		refused[order.Order.Fence]++
	}
	for fence, orders := range refused {
		// Those of one moment are under way before the first is refused.
		if orders > 2 {
			t.Errorf("%d orders under fence %d", orders, fence)
		}
	}
	if len(refused) < 2 {
		t.Errorf("%d fences: the holder takes a newer one", len(refused))
	}
}

// TestThreeModelsKeepUp: before replicas were grouped by model, and with two loads at
// once for any service, the models' versions were never on half of their replicas.
func TestThreeModelsKeepUp(t *testing.T) {
	b := newBench(45)
	models := []string{"m", "n", "o"}
	for _, e := range b.endpoints {
		for _, model := range models {
			e.Versions[model] = 1
			b.generators[e.ID].Versions[model] = 1
		}
	}
	b.run(time.Second)
	for version := int64(2); version <= 8; version++ {
		for _, model := range models {
			b.rollout.Name(port.VersionTarget{Model: model, Version: version})
		}
		b.run(4 * time.Second)
		for _, model := range models {
			usable := 0
			for _, one := range b.generators {
				if one.Version(b.now, model) >= version-1 {
					usable++
				}
			}
			if usable < 15 {
				t.Errorf("4 s after version %d of %s, %d replicas can make a step of the one before", version, model, usable)
			}
		}
	}
}

// ovc-plovdiv-large, quiet-1: for seven seconds after a change of the holder 12 of 122 replicas
// loaded at once, where the source bears 24. Loads that were ordered together ended together,
// and all but the first passed for loads below the limit, which say nothing of it.
func TestLimitRisesThoughLoadsEndTogether(t *testing.T) {
	b := newBench(120)
	b.lag = 150 * time.Millisecond
	b.run(time.Second)
	b.rollout.Name(port.VersionTarget{Model: "m", Version: 3})
	b.run(2500 * time.Millisecond)
	if want := int(rampPart * 120); b.atOnce < want {
		t.Errorf("%d replicas load at once after two rounds, should be %d", b.atOnce, want)
	}
}
