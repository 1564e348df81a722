package cluster

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/coldstart"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/settings"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/simulation/virtual"
	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/internal/version/batch"
)

const (
	// coldLasts, coldPerSecond and coldMaxPerSecond are the limits of cold replicas in these tests.
	coldLasts        = 6 * time.Second
	coldPerSecond    = 9.3
	coldMaxPerSecond = 18
	// storeRoundTrip is the duration of a store call.
	storeRoundTrip = 8 * time.Millisecond
)

func coldRoute(kind port.RouteKind) *port.Route {
	return &port.Route{Name: "r", Kind: kind, Backends: []port.Backend{{Service: "s", Weight: 1}}}
}

// coldNode is a node that owns a job, with a store and replicas that count their requests.
type coldNode struct {
	virtual.Clock
	*Node
	store *model.RecordStore
	sent  map[string][]time.Time
	// cold holds the actual time until which a replica is cold.
	cold         map[string]time.Time
	maxPerSecond int
	// storeDown is set while the store does not respond.
	storeDown bool
}

func newColdNode() *coldNode {
	c := &coldNode{Clock: virtual.Clock{Now: start}, sent: map[string][]time.Time{}, cold: map[string]time.Time{}}
	c.store = model.NewRecordStore(start, model.RecordStoreOptions{WritesPerSecond: 1500, ReadsPerSecond: 6000, History: 20 * time.Second})
	c.Node = New(start, Options{
		Name: "n", Topology: port.Topology{Zone: "z"}, Incarnation: 1, Decoder: coldDecoder{}, OrderPause: time.Second,
		Cold: settings.Cold{Overshoot: 1.5, Slack: 5},
	})
	service := port.Service{Name: "s", Models: []string{"m"}, ColdStart: &port.ColdStart{Duration: coldLasts, PerSecond: coldPerSecond}}
	c.put("operator", "routes", &port.RouteTable{Version: 1, Routes: []port.Route{*coldRoute(port.RouteBatch)}, Services: []port.Service{service}})
	c.Every(25*time.Millisecond, func() bool {
		c.do(c.Tick)
		return true
	})
	return c
}

// do calls the node and executes its store calls.
func (c *coldNode) do(call func(now time.Time)) {
	call(c.Now)
	for _, one := range c.Take() {
		sentAt := c.Now
		answer := func(done func(now time.Time, result port.RecordResult), make func() port.RecordResult) {
			c.After(storeRoundTrip/2, func() {
				result := port.RecordResult{Status: port.RecordUnknown}
				if !c.storeDown {
					result = make()
				}
				c.After(storeRoundTrip/2, func() {
					c.ObserveStoreClock(c.Now, sentAt, result.Clock)
					c.do(func(now time.Time) { done(now, result) })
				})
			})
		}
		switch t := one.(type) {
		case task.Commit:
			answer(t.Done, func() port.RecordResult { return c.store.Commit(c.Now, t.Transaction) })
		case task.Range:
			answer(t.Done, func() port.RecordResult { return c.store.Range(c.Now, t.Query) })
		case task.Watch:
			c.watch(t, c.Now.Add(t.Wait))
		case task.Timer:
			c.After(t.After, func() { c.do(t.Do) })
		}
	}
}

// watch answers a watch when its table changes or at the timeout.
func (c *coldNode) watch(t task.Watch, until time.Time) {
	result, _ := c.store.Changes(c.Now, t.Table, t.After)
	if c.storeDown {
		result = port.RecordResult{Status: port.RecordUnknown}
	}
	if result.Status == port.RecordDone && len(result.Records) == 0 && c.Now.Before(until) {
		c.After(10*time.Millisecond, func() { c.watch(t, until) })
		return
	}
	c.After(storeRoundTrip, func() { c.do(func(now time.Time) { t.Done(now, result) }) })
}

func (c *coldNode) run(length time.Duration) {
	for end := c.Now.Add(length); c.Now.Before(end); {
		c.Step()
	}
}

// put writes a deployment record.
func (c *coldNode) put(table, key string, content any) {
	value, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	c.store.Commit(c.Now, port.RecordTransaction{Puts: []port.Record{{RecordKey: port.RecordKey{Table: table, Key: key}, Value: value}}})
}

// list writes a replica's record with its remaining cold time.
func (c *coldNode) list(id string, coldFor time.Duration) {
	c.put("replicas", id, port.ReplicaRecord{ID: id, Service: "s", Zone: "z", Slots: 8, Versions: map[string]int64{"m": 1}, ColdFor: coldFor})
}

// own makes the node read all tables and own a job of one item for longer than newOwnerPeriod.
func (c *coldNode) own() {
	c.do(c.Tick)
	c.run(time.Second)
	c.accept()
	c.run(2 * newOwnerPeriod)
}

func (c *coldNode) accept() {
	c.do(func(now time.Time) {
		c.jobs.Accept(now, &doorstepv1.BatchJob{Id: "j", Model: "m", MinVersion: 1, Host: "h", Path: "/", Items: []*doorstepv1.BatchItem{{Id: "i"}}}, time.Time{}, func(time.Time, batch.Outcome) {})
	})
}

// coldDecoder decodes routes and replicas.
type coldDecoder struct{ decoder }

func (coldDecoder) DecodeDeployment(records []port.Record) port.DeploymentUpdate {
	var change port.DeploymentUpdate
	for _, record := range records {
		if record.Table == "operator" {
			change.Routes = &port.RouteTable{}
			if err := json.Unmarshal(record.Value, change.Routes); err != nil {
				return change
			}
			continue
		}
		one := port.ReplicaRecord{}
		if err := json.Unmarshal(record.Value, &one); err != nil {
			return change
		}
		one.Revision = record.Revision
		change.Replicas = append(change.Replicas, one)
	}
	return change
}

// arrive counts a request at a replica.
func (c *coldNode) arrive(chosen *endpoint.Endpoint) {
	id := chosen.ID
	if !c.Now.Before(c.cold[id]) {
		c.sent[id] = nil
		return
	}
	c.sent[id] = slices.DeleteFunc(append(c.sent[id], c.Now), func(at time.Time) bool { return c.Now.Sub(at) > time.Second })
	c.maxPerSecond = max(c.maxPerSecond, len(c.sent[id]))
}

// burst places items that run for 300 ms each, as a job owner does on each tick. It returns the waits of the
// last and the median item. Long items try the fastest replicas first.
func (c *coldNode) burst(items int, long bool) (last, middle time.Duration) {
	began := c.Now.Add(25 * time.Millisecond)
	var waits []time.Duration
	c.Every(25*time.Millisecond, func() bool {
		c.do(func(now time.Time) {
			for len(waits) < items {
				chosen := c.placeItem(now, batch.Placement{Route: coldRoute(port.RouteBatch), Model: "m", MinVersion: 1, Long: long})
				if chosen == nil {
					return
				}
				waits = append(waits, now.Sub(began))
				chosen.InFlight++
				c.arrive(chosen)
				c.After(300*time.Millisecond, func() { chosen.InFlight-- })
			}
		})
		return len(waits) < items
	})
	for len(waits) < items && c.Now.Sub(began) < time.Minute {
		c.Step()
	}
	return waits[len(waits)-1], waits[len(waits)/2]
}

// TestColdReplicaLimitAtFullLoad checks the request limit of cold replicas for two jobs of 224 items each, if a
// third of the replicas or all of them are cold.
func TestColdReplicaLimitAtFullLoad(t *testing.T) {
	const items = 224
	for _, c := range []struct {
		name     string
		replicas int
		// recordDelay is how long after the replicas have turned cold their records are updated.
		recordDelay time.Duration
		// fresh replicas have new IDs.
		fresh bool
		// last limits the wait of the first job's last item, most the requests to a cold replica.
		last time.Duration
		most int
	}{
		{"a zone of three, known in advance", 48, 0, false, 0, 0},
		{"a zone of three, known late", 48, 1200 * time.Millisecond, false, 0, coldMaxPerSecond},
		{"the only zone, just started", 16, 0, true, 2 * time.Second, coldMaxPerSecond},
		{"the only zone, known late", 16, 1200 * time.Millisecond, false, 3 * time.Second, coldMaxPerSecond},
	} {
		for _, long := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, long items: %t", c.name, long), func(t *testing.T) {
				n := newColdNode()
				if !c.fresh {
					for i := range c.replicas {
						n.list(fmt.Sprint("r", i), 0)
					}
				}
				n.own()
				for i := range 16 {
					n.cold[fmt.Sprint("r", i)] = n.Now.Add(coldLasts)
					writeRecord := func() { n.list(fmt.Sprint("r", i), n.cold[fmt.Sprint("r", i)].Sub(n.Now)) }
					if c.recordDelay == 0 {
						writeRecord()
					} else {
						n.After(c.recordDelay, writeRecord)
					}
				}
				if c.recordDelay == 0 {
					n.run(200 * time.Millisecond)
				}
				last, middle := n.burst(items, long)
				n.burst(items, long)
				if n.maxPerSecond > c.most {
					t.Errorf("a cold replica got %d requests within a second, want at most %d", n.maxPerSecond, c.most)
				}
				if last > c.last {
					t.Errorf("the last item waited %s, want at most %s", last, c.last)
				}
				t.Logf("at most %d requests within a second; median wait %s, last %s", n.maxPerSecond, middle, last)
			})
		}
	}
}

// TestGrantIsRevalidated checks that a granted claim is not used if the replica or the configuration has
// changed while it was pending.
func TestGrantIsRevalidated(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c *coldNode, chosen *endpoint.Endpoint)
		// other is set if the second replica may be chosen.
		other bool
	}{
		{"replica ejected", func(c *coldNode, chosen *endpoint.Endpoint) {
			for range 4 {
				chosen.RecordFailure(c.Now)
			}
		}, true},
		{"replica draining", func(_ *coldNode, chosen *endpoint.Endpoint) { chosen.Draining = true }, true},
		{"record deleted", func(c *coldNode, chosen *endpoint.Endpoint) { c.removeReplica(c.Now, chosen.ID) }, true},
		{"route restricted to another region", func(c *coldNode, _ *endpoint.Endpoint) {
			homed := *coldRoute(port.RouteBatch)
			homed.AllowedRegions = []string{"south"}
			c.applyRoutes(c.Now, &port.RouteTable{Version: 2, Routes: []port.Route{homed}, Services: c.routes.Services()})
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newColdNode()
			n.own()
			n.list("r0", coldLasts)
			n.list("r1", coldLasts)
			n.run(time.Second)
			var got, first *endpoint.Endpoint
			done := 0
			n.do(func(now time.Time) {
				n.ClaimCold(now, n.routes.RouteByName("r"), "", "m", nil, func() bool { return true }, func(_ time.Time, chosen *endpoint.Endpoint, _ time.Duration) {
					done++
					got = chosen
				})
			})
			// The store has granted the claim, but the node has not received the response.
			n.run(storeRoundTrip / 2)
			rows := n.store.Range(n.Now, port.RecordRange{Table: coldstart.Table, Partition: coldstart.Table}).Records
			if len(rows) != 1 || done != 0 {
				t.Fatalf("%d claims, %d calls of done", len(rows), done)
			}
			first = n.endpoints.Find(rows[0].Key)
			c.change(n, first)
			n.run(200 * time.Millisecond)
			if done != 1 || got == first || (got != nil) != c.other {
				t.Errorf("%d calls of done, %v chosen after a claim of %v", done, got, first)
			}
		})
	}
}

// TestReconnectedNodeIsIsolated checks that a node is treated as isolated for some time after an outage,
// as many nodes may take over jobs before they learn of each other.
func TestReconnectedNodeIsIsolated(t *testing.T) {
	n := newColdNode()
	n.own()
	n.list("r0", 0)
	n.run(2 * newOwnerPeriod)
	one := n.endpoints.Find("r0")
	if got := n.sender(n.Now, one, true).Nodes; got == 0 {
		t.Fatal("a connected node has no share of the bucket")
	}
	n.storeDown = true
	n.run(2 * maxDiscoveryAge)
	if got := n.sender(n.Now, one, true).Nodes; got != 0 {
		t.Errorf("an isolated node has a share: 1 of %d", got)
	}
	n.storeDown = false
	for back := n.Now; !n.viewConfirmed(n.Now); n.Step() {
		if n.Now.Sub(back) > 5*time.Second {
			t.Fatal("the node's view is not confirmed within 5 s")
		}
	}
	n.run(reconnectPeriod / 2)
	if got := n.sender(n.Now, one, true).Nodes; got != 0 {
		t.Errorf("a node that has just reconnected has a share: 1 of %d", got)
	}
	n.run(2 * newOwnerPeriod)
	if got := n.sender(n.Now, one, true).Nodes; got == 0 {
		t.Error("a node that knows the owners again has no share")
	}
}

// TestNewOwnerWaitsForFullBucket checks that a new owner does not use a replica's whole bucket while an
// owner with a stale view may still do so. Simulator seed 700359.
func TestNewOwnerWaitsForFullBucket(t *testing.T) {
	hasFullBucket := func(n *coldNode) bool { return n.sender(n.Now, n.endpoints.Find("r0"), true).Nodes == 1 }
	former := newColdNode()
	former.own()
	former.list("r0", 0)
	former.run(2 * newOwnerPeriod)
	if !hasFullBucket(former) {
		t.Fatal("the only owner does not have the whole bucket")
	}
	former.storeDown = true
	cutAt := former.Now
	for hasFullBucket(former) && former.Now.Sub(cutAt) < time.Minute {
		former.Step()
	}
	newcomer := newColdNode()
	newcomer.list("r0", 0)
	newcomer.run(time.Second)
	newcomer.accept()
	for newcomer.jobs.OwnedCount() == 0 {
		newcomer.Step()
	}
	ownsAt := newcomer.Now
	for !hasFullBucket(newcomer) && newcomer.Now.Sub(ownsAt) < time.Minute {
		newcomer.Step()
	}
	until, from := former.Now.Sub(cutAt), newcomer.Now.Sub(ownsAt)
	if from < until+rateWindow {
		t.Errorf("the former owner has the whole bucket for %s, the new owner has it after %s", until, from)
	}
	if from > 5*time.Second {
		t.Errorf("the new owner has the whole bucket only after %s", from)
	}
}
