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

// testBench runs a Rollout whose node holds the lease, with simulated replicas.
type testBench struct {
	now        time.Time
	queue      *task.Queue
	lease      *recordlease.Lease
	rollout    *Rollout
	endpoints  []*endpoint.Endpoint
	generators map[string]*model.Generator
	records    *model.RecordStore
	// orders counts the load orders, without probes.
	orders     int
	maxLoading int
	demand     map[string]int64
	longest    map[string]int64
	// reportLag is the age of the reports. delayedReports holds those not delivered yet.
	reportLag      time.Duration
	delayedReports []func()
	// holdOrders leaves orders unanswered and stores them in heldOrders.
	holdOrders bool
	heldOrders []func()
	// answersProbes answers probes even while orders are held.
	answersProbes bool
	// fenced makes replicas reject orders as if they had seen a newer fence. sent holds the orders,
	// leaseLeft the remaining validity of the lease when each was sent.
	fenced    bool
	sent      []task.OrderVersion
	leaseLeft []time.Duration
}

func newTestBench(replicas int) *testBench {
	b := &testBench{now: time.Unix(1000, 0), generators: map[string]*model.Generator{}}
	b.records = model.NewRecordStore(b.now, model.RecordStoreOptions{})
	b.start("a", 1)
	for i := range replicas {
		id := fmt.Sprintf("r%d", i)
		b.generators[id] = &model.Generator{ID: id, Slots: 4, LoadDuration: 900 * time.Millisecond, Versions: map[string]int64{"m": 1}}
		b.endpoints = append(b.endpoints, &endpoint.Endpoint{ReplicaRecord: port.ReplicaRecord{ID: id, Address: id, Service: "s", Slots: 4, Versions: map[string]int64{"m": 1}}})
	}
	return b
}

// start starts a new incarnation of the node without any of the previous state.
func (b *testBench) start(name string, incarnation uint64) {
	b.queue = &task.Queue{}
	b.lease = recordlease.New(recordlease.Options{Key: port.RecordKey{Table: "leases", Key: "l"}, Holder: name, Incarnation: incarnation, Queue: b.queue, Pause: time.Second,
		ObservedUntil: func(now time.Time) time.Time { return now },
		Clock:         func(now time.Time) (least, most time.Duration, known bool) { return 0, 0, true },
		MaxActDelay:   MaxOrderDelay, Unanswered: func(now time.Time) []string { return b.rollout.Unanswered(now) }})
	b.rollout = New(Options{Self: name, Queue: b.queue, Lease: b.lease, Endpoints: func(time.Time, []string) []*endpoint.Endpoint { return b.endpoints },
		Demand:         func(time.Time) map[string]int64 { return b.demand },
		MaxTextLengths: func(time.Time) map[string]int64 { return b.longest }})
}

// readLease delivers the lease record to the node.
func (b *testBench) readLease() {
	for _, record := range b.records.Range(b.now, port.RecordRange{Table: "leases"}).Records {
		b.lease.OnRecord(b.now, record)
	}
}

func (b *testBench) run(length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(50 * time.Millisecond) {
		asked := b.delayedReports
		b.delayedReports = nil
		for _, answer := range asked {
			answer()
		}
		b.lease.Tick(b.now)
		b.rollout.Tick(b.now)
		for tasks := b.queue.Take(); len(tasks) > 0; tasks = b.queue.Take() {
			for _, next := range tasks {
				b.execute(next)
			}
		}
		loading := 0
		for _, next := range b.generators {
			if next.Report(b.now).Loading {
				loading++
			}
		}
		b.maxLoading = max(b.maxLoading, loading)
	}
}

func (b *testBench) execute(next task.Task) {
	switch t := next.(type) {
	case task.Commit:
		t.Done(b.now, b.records.Commit(b.now, t.Transaction))
	case task.Range:
		t.Done(b.now, b.records.Range(b.now, t.Query))
	case task.FetchReport:
		if b.reportLag > 0 {
			report := b.generators[t.Replica].Report(b.now.Add(-b.reportLag))
			b.delayedReports = append(b.delayedReports, func() { t.Done(b.now, report) })
			return
		}
		t.Done(b.now, b.generators[t.Replica].Report(b.now))
	case task.OrderVersion:
		if !t.Order.IsProbe() {
			b.orders++
		}
		b.sent = append(b.sent, t)
		b.leaseLeft = append(b.leaseLeft, b.lease.Remaining(b.now))
		if b.fenced {
			t.Done(b.now, port.VersionOrderFenced)
			return
		}
		if b.holdOrders && !(b.answersProbes && t.Order.IsProbe()) {
			b.heldOrders = append(b.heldOrders, func() { b.generators[t.Order.Replica].Order(b.now, t.Order) })
			t.Done(b.now, port.VersionOrderUnknown)
			return
		}
		t.Done(b.now, b.generators[t.Order.Replica].Order(b.now, t.Order))
	}
}

// versions returns the number of replicas by version.
func (b *testBench) versions() map[int64]int {
	count := map[int64]int{}
	for _, generator := range b.generators {
		count[generator.Version(b.now, "m")]++
	}
	return count
}

func TestHalfOfReplicasLoadEachVersion(t *testing.T) {
	b := newTestBench(6)
	b.run(time.Second)
	for version := int64(2); version <= 6; version++ {
		b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: version})
		before := b.orders
		b.run(6 * time.Second)
		count := b.versions()
		if count[version] != 3 || count[version-1] != 3 {
			t.Errorf("at version %d: replicas by version %v", version, count)
		}
		if b.orders-before != 3 {
			t.Errorf("version %d took %d orders", version, b.orders-before)
		}
	}
	if b.maxLoading > minConcurrentLoads {
		t.Errorf("%d replicas loaded concurrently", b.maxLoading)
	}
}

func TestOutdatedReplicasLoadNewestVersion(t *testing.T) {
	b := newTestBench(4)
	b.run(time.Second)
	b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 5})
	b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 3})
	b.run(8 * time.Second)
	if count := b.versions(); count[5] != 4 {
		t.Errorf("versions %v, want 5 on all replicas", count)
	}
}

func TestDrainingReplicasAreNotOrdered(t *testing.T) {
	b := newTestBench(2)
	b.endpoints[0].Draining, b.endpoints[1].Draining = true, true
	b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 3})
	b.run(4 * time.Second)
	if b.orders != 0 {
		t.Errorf("%d orders sent to draining replicas", b.orders)
	}
}

func TestDelayedOrdersAreRejected(t *testing.T) {
	b := newTestBench(1)
	b.run(time.Second)
	b.holdOrders = true
	b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 3})
	b.run(3 * time.Second)
	b.holdOrders = false
	b.run(4 * time.Second)
	if count := b.versions(); count[3] != 1 {
		t.Fatalf("replicas by version: %v", count)
	}
	for _, deliver := range b.heldOrders {
		deliver()
	}
	if b.generators["r0"].Report(b.now).Loading {
		t.Error("a delayed order took effect")
	}
}

// TestOrdersEndWithTheLease checks that no order outlives the lease. It could otherwise arrive
// during the pause of the next holder.
func TestOrdersEndWithTheLease(t *testing.T) {
	b := newTestBench(6)
	b.run(time.Second)
	for version := int64(2); version <= 6; version++ {
		b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: version})
		b.run(4 * time.Second)
	}
	if len(b.sent) == 0 {
		t.Fatal("no order was sent")
	}
	for i, order := range b.sent {
		if order.Limit <= 0 || order.Limit > b.leaseLeft[i] || order.Limit > recordlease.FastTiming.Validity {
			t.Errorf("order %d has a limit of %s, but the lease is held for %s", i, order.Limit, b.leaseLeft[i])
		}
	}
}

// TestFencedHolderStops checks that no order follows under a fence that was rejected.
func TestFencedHolderStops(t *testing.T) {
	b := newTestBench(6)
	b.run(time.Second)
	b.fenced = true
	b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 3})
	b.run(10 * time.Second)
	refused := map[int64]int{}
	for _, order := range b.sent {
		refused[order.Order.Fence]++
	}
	for fence, orders := range refused {
		// Orders sent together are in flight before the first one is rejected.
		if orders > 2 {
			t.Errorf("%d orders under fence %d", orders, fence)
		}
	}
	if len(refused) < 2 {
		t.Errorf("%d fences, want a newer one after the rejection", len(refused))
	}
}

// TestThreeModelsKeepUp checks that enough replicas keep up with the versions of three models.
func TestThreeModelsKeepUp(t *testing.T) {
	b := newTestBench(45)
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
			b.rollout.SetTarget(port.VersionTarget{Model: model, Version: version})
		}
		b.run(4 * time.Second)
		for _, model := range models {
			usable := 0
			for _, generator := range b.generators {
				if generator.Version(b.now, model) >= version-1 {
					usable++
				}
			}
			if usable < 15 {
				t.Errorf("4 s after version %d of %s, only %d replicas accept the previous version", version, model, usable)
			}
		}
	}
}

// Loads that end together must all count towards the limit, or it rises too slowly.
func TestLimitRisesThoughLoadsEndTogether(t *testing.T) {
	b := newTestBench(120)
	b.reportLag = 150 * time.Millisecond
	b.run(time.Second)
	b.rollout.SetTarget(port.VersionTarget{Model: "m", Version: 3})
	b.run(2500 * time.Millisecond)
	if want := int(rampLoadFraction * 120); b.maxLoading < want {
		t.Errorf("%d replicas loaded concurrently after two rounds, want at least %d", b.maxLoading, want)
	}
}
