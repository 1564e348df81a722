package cluster

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/recordwatch"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
)

// listDecoder decodes deployment records as JSON.
type listDecoder struct{ decoder }

func (listDecoder) DecodeDeployment(records []port.Record) port.DeploymentUpdate {
	var change port.DeploymentUpdate
	for _, record := range records {
		var one port.ReplicaRecord
		switch {
		case record.Table == "operator":
			change.Routes = &port.RouteTable{Version: 1}
		case record.Deleted:
			change.Removed = append(change.Removed, port.RemovedReplica{ID: record.Key, Revision: record.Revision})
		case json.Unmarshal(record.Value, &one) == nil:
			one.Revision = record.Revision
			change.Replicas = append(change.Replicas, one)
		}
	}
	return change
}

// largeDeployment is a node with a store that lists many replicas, one in twenty of which serves callers.
type largeDeployment struct {
	t     *testing.T
	now   time.Time
	store *model.RecordStore
	node  *Node
	// storeDown is set while the store does not respond; read counts the replica records read.
	storeDown bool
	read      int
	// held are pending watches; known counts task.ReplicasKnown tasks.
	held  []heldWatch
	known int
}

type heldWatch struct {
	task.Watch
	until time.Time
}

var callersRoute = &port.Route{Name: "r", Kind: port.RouteIdempotent, Backends: []port.Backend{{Service: "callers", Weight: 1}}}

func newLargeDeployment(t *testing.T, replicas int) *largeDeployment {
	d := &largeDeployment{t: t, now: start, store: model.NewRecordStore(start, model.RecordStoreOptions{History: time.Minute})}
	d.put("operator", "config", port.ReplicaRecord{})
	for i := range replicas {
		d.list(i, false)
	}
	d.node = New(start, Options{Name: "n", Topology: port.Topology{Zone: "z"}, Incarnation: 1, Decoder: listDecoder{}, OrderPause: time.Second})
	return d
}

func (d *largeDeployment) list(number int, draining bool) {
	one := port.ReplicaRecord{ID: fmt.Sprintf("%05d", number*7919%100_000), Service: "model", Address: fmt.Sprint(number), Slots: 4, Draining: draining}
	if number%20 == 0 {
		one.Service = "callers"
	}
	d.put("replicas", one.ID, one)
}

func (d *largeDeployment) put(table, key string, value port.ReplicaRecord) {
	content, err := json.Marshal(value)
	if err != nil {
		d.t.Fatal(err)
	}
	result := d.store.Commit(d.now, port.RecordTransaction{Puts: []port.Record{{RecordKey: port.RecordKey{Table: table, Key: key}, Value: content}}})
	if result.Status != port.RecordDone {
		d.t.Fatalf("write of %s failed", key)
	}
}

// run ticks the node for some time.
func (d *largeDeployment) run(length time.Duration) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(25 * time.Millisecond) {
		d.node.Tick(d.now)
		d.settle()
	}
}

// settle answers the node's calls. Watches stay pending until there are changes.
func (d *largeDeployment) settle() {
	held := d.held
	d.held = nil
	for _, one := range held {
		d.watch(one)
	}
	for tasks := d.node.Take(); len(tasks) > 0; tasks = d.node.Take() {
		for _, one := range tasks {
			d.carryOut(one)
		}
	}
}

func (d *largeDeployment) carryOut(one task.Task) {
	switch t := one.(type) {
	case task.Range:
		t.Done(d.now, d.answer(t.Query.Table, d.store.Range(d.now, t.Query)))
	case task.Watch:
		d.watch(heldWatch{t, d.now.Add(t.Wait)})
	case task.Commit:
		// Other nodes hold the leases.
		t.Done(d.now, port.RecordResult{Status: port.RecordRefused})
	case task.NotifyReplicasRead:
		d.known++
	}
}

// watch answers a watch or leaves it pending.
func (d *largeDeployment) watch(one heldWatch) {
	result, _ := d.store.Changes(d.now, one.Table, one.After)
	if len(result.Records) == 0 && d.now.Before(one.until) && !d.storeDown {
		d.held = append(d.held, one)
		return
	}
	one.Done(d.now, d.answer(one.Table, result))
}

// answer returns the result of a call and counts the replica records in it.
func (d *largeDeployment) answer(table string, result port.RecordResult) port.RecordResult {
	if d.storeDown {
		return port.RecordResult{Status: port.RecordUnknown}
	}
	if table == "replicas" {
		d.read += len(result.Records)
	}
	return result
}

// serve returns the replica chosen for a caller's request.
func (d *largeDeployment) serve() string {
	d.t.Helper()
	d.node.BeginRequest(d.now, callersRoute)
	d.settle()
	defer d.node.EndRequest(d.now)
	if d.node.LoadingReplicas() {
		d.t.Fatal("replicas are still awaited")
	}
	chosen := d.node.Choose(d.now, callersRoute, "", "", Attempt{})
	if chosen == nil {
		return ""
	}
	return chosen.ID
}

// TestIdleNodeDoesNotFollowReplicas checks that the load on the store depends on a node's requests and
// not on the number of replicas.
func TestIdleNodeDoesNotFollowReplicas(t *testing.T) {
	for _, replicas := range []int{1_000, 10_000} {
		d := newLargeDeployment(t, replicas)
		d.run(time.Second)
		if d.read != recordwatch.LargeTable {
			t.Errorf("%d replicas: %d records read at startup, want those of one call", replicas, d.read)
		}
		d.read = 0
		for number := range 200 {
			d.list(number, number%2 == 0)
			d.run(50 * time.Millisecond)
		}
		if d.read != 0 || !d.node.Ready(d.now) {
			t.Errorf("%d replicas: idle node read %d records, ready %t", replicas, d.read, d.node.Ready(d.now))
		}
		if d.serve() == "" {
			t.Errorf("%d replicas: no replica for a request", replicas)
		}
		if known := d.node.endpoints.Len(); d.read > 2*recordwatch.LargeTable || known != d.read {
			t.Errorf("%d replicas: %d records read for a request, %d replicas known", replicas, d.read, known)
		}
	}
}

// TestIdleNodeRereadsReplicasBeforeSending checks that a node that stopped following the list learns of changes
// before it sends a request.
func TestIdleNodeRereadsReplicasBeforeSending(t *testing.T) {
	const replicas = 2_000
	d := newLargeDeployment(t, replicas)
	first := d.serve()
	for range 20 {
		d.run(10 * time.Second)
		for number := range replicas {
			if e := d.node.endpoints.Find(fmt.Sprintf("%05d", number*7919%100_000)); e != nil && e.Service == "callers" {
				d.list(number, true)
			}
		}
		chosen := d.serve()
		if chosen == "" {
			return
		}
		var draining []string
		for _, record := range d.store.Range(d.now, port.RecordRange{Table: "replicas", From: chosen, Limit: 1}).Records {
			if change := (listDecoder{}).DecodeDeployment([]port.Record{record}); change.Replicas[0].Draining {
				draining = append(draining, record.Key)
			}
		}
		if slices.Contains(draining, chosen) {
			t.Fatalf("request sent to %s, which is draining; the first request went to %s", chosen, first)
		}
	}
	t.Error("a replica was found although all replicas of the service are draining")
}

// TestListOriginIsStable checks that a node reads the same part of the list again, to reuse open
// connections.
func TestListOriginIsStable(t *testing.T) {
	d := newLargeDeployment(t, 5_000)
	d.run(time.Second)
	d.serve()
	origin := d.node.listOrigin()
	for range 5 {
		d.run(10 * time.Second)
		if d.node.Ready(d.now); d.node.replicas.Follows(recordwatch.ExtentPart) {
			t.Fatal("list still followed ten seconds after a request")
		}
		d.serve()
		if got := d.node.listOrigin(); got != origin {
			t.Fatalf("replicas are read from %s on, want %s", got, origin)
		}
	}
}

// TestRequestsDoNotWaitForUnavailableStore checks that requests go to known replicas while the store is unavailable.
func TestRequestsDoNotWaitForUnavailableStore(t *testing.T) {
	d := newLargeDeployment(t, 2_000)
	d.run(time.Second)
	d.serve()
	d.run(10 * time.Second)
	d.storeDown = true
	d.run(2 * time.Second)
	if d.node.BeginRequest(d.now, callersRoute) {
		t.Error("request waits although the store is known to be down")
	}
	if d.node.Choose(d.now, callersRoute, "", "", Attempt{}) == nil {
		t.Error("no replica while the store is down")
	}
	d.node.EndRequest(d.now)
	d.storeDown = false
	d.run(10 * time.Second)
	if d.serve() == "" {
		t.Error("no replica after the store has recovered")
	}
}

// TestMoreReplicasAreReadWhenKnownOnesAreFull checks that more replicas are read whenever all known ones are full, up to
// the whole list.
func TestMoreReplicasAreReadWhenKnownOnesAreFull(t *testing.T) {
	const replicas = 2_000
	d := newLargeDeployment(t, replicas)
	d.serve()
	known := d.node.endpoints.Len()
	for !d.node.knowsAllReplicas() {
		for _, e := range d.node.endpoints.Service(callersRoute.Backends[0].Service) {
			e.InFlight = e.Slots
		}
		d.node.BeginRequest(d.now, callersRoute)
		if d.serve() == "" {
			t.Fatal("no replica")
		}
		d.run(100 * time.Millisecond)
		more := d.node.endpoints.Len()
		if more <= known || known < replicas/4 && more > 4*known {
			t.Fatalf("%d of %d replicas known after all %d known ones were full", more, replicas, known)
		}
		known = more
		d.node.EndRequest(d.now)
	}
	if known != replicas {
		t.Errorf("%d of %d replicas known after reading the whole list", known, replicas)
	}
}

// TestReplicasOfAnotherServiceAreRead checks that replicas of another service are read on request, and that
// further ones are read when all known ones have failed.
func TestReplicasOfAnotherServiceAreRead(t *testing.T) {
	d := newLargeDeployment(t, 2_000)
	for number := range 5 {
		one := port.ReplicaRecord{ID: fmt.Sprintf("9%04dz", number), Service: "rare", Address: fmt.Sprint("rare-", number), Slots: 4}
		d.put("replicas", one.ID, one)
	}
	d.run(time.Second)
	d.serve()
	rare := &port.Route{Name: "q", Kind: port.RouteIdempotent, Backends: []port.Backend{{Service: "rare", Weight: 1}}}
	d.node.BeginRequest(d.now, rare)
	failed := map[string]bool{}
	for range 5 {
		chosen := d.node.Choose(d.now, rare, "", "", Attempt{Exclude: failed})
		for range 8 {
			if chosen != nil || !d.node.LoadingMoreReplicas() {
				break
			}
			d.settle()
			chosen = d.node.Choose(d.now, rare, "", "", Attempt{Exclude: failed})
		}
		if chosen == nil {
			t.Fatalf("no replica once %d failed", len(failed))
		}
		failed[chosen.ID] = true
	}
	if d.node.Choose(d.now, rare, "", "", Attempt{Exclude: failed}) != nil {
		t.Error("a sixth replica was chosen out of five")
	}
}
