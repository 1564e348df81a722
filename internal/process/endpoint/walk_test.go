package endpoint

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// poolSizes are the pool sizes of a small service, of a deployment with 300 machines and of two large
// fleets.
var poolSizes = []int{48, 600, 9625, 19250}

func newTestPool(size int) (*Registry, *Pool) {
	registry := NewRegistry()
	for i := range size {
		registry.Put(port.ReplicaRecord{
			ID: fmt.Sprintf("i-%06x", i*7919), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Zone: fmt.Sprintf("z%d", i%5), Slots: 6,
			Versions: map[string]int64{"m": 1, "n": 1},
		})
	}
	return registry, registry.Pool("s")
}

func itemQuery(minVersion int64) *Query {
	return &Query{Now: now, Zone: "z1", Model: "m", WalkStart: "m", MinVersion: minVersion, MaxLoad: 1.5}
}

// BenchmarkChoose measures one choice for an item while 200 items run.
func BenchmarkChoose(b *testing.B) {
	for _, size := range poolSizes {
		b.Run(fmt.Sprintf("replicas=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			_, pool := newTestPool(size)
			for i := range 200 {
				q := itemQuery(1)
				q.Rotation = uint64(i)
				if chosen := Rollouts.Choose(q, pool); chosen != nil {
					chosen.InFlight++
				}
			}
			q := itemQuery(1)
			for b.Loop() {
				q.Rotation++
				Rollouts.Choose(q, pool)
			}
		})
	}
}

// countVisits returns how many endpoints a choice examines.
func countVisits(profile Profile, q *Query, pool *Pool) int {
	count := 0
	counting := func(*Query, *Endpoint) bool {
		count++
		return true
	}
	profile.filters = append([]Filter{counting}, profile.filters...)
	profile.Choose(q, pool)
	return count
}

// The number of endpoints that a choice examines must not grow with the pool.
func TestChoiceCostIndependentOfPoolSize(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(registry *Registry, pool *Pool)
		query  func(q *Query)
		most   int
	}{
		{"idle", func(*Registry, *Pool) {}, func(*Query) {}, freeTarget},
		{"caller's request", func(*Registry, *Pool) {}, func(q *Query) { q.Model, q.MinVersion, q.WalkStart = "", 0, "node" }, freeTarget},
		{"few endpoints have the version", func(_ *Registry, pool *Pool) {
			for _, e := range pool.WorkingSet(map[string]Demand{"m": {Endpoints: 20}}) {
				e.UpdateVersion("m", 2)
			}
		}, func(q *Query) { q.MinVersion = 2 }, 20},
		{"no endpoint has the version", func(*Registry, *Pool) {}, func(q *Query) { q.MinVersion = 2 }, 0},
		{"no endpoint gets new work", func(_ *Registry, pool *Pool) {
			for _, e := range pool.All() {
				e.OperatorDrained = true
			}
		}, func(*Query) {}, 2 * maxMisses},
		{"some endpoints are full", func(_ *Registry, pool *Pool) {
			for _, e := range pool.WorkingSet(map[string]Demand{"m": {Endpoints: 50}}) {
				e.InFlight = 9
			}
		}, func(*Query) {}, 50 + freeTarget},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, size := range []int{600, 9625, 19250} {
				registry, pool := newTestPool(size)
				c.change(registry, pool)
				q := itemQuery(1)
				c.query(q)
				if got := countVisits(Rollouts, q, pool); got > c.most {
					t.Errorf("visited %d of %d endpoints, want up to %d", got, size, c.most)
				}
			}
		})
	}
}

// The only eligible endpoint of a large pool is found by some of the choices.
func TestRepeatedWalksFindOnlyEligibleEndpoint(t *testing.T) {
	_, pool := newTestPool(9625)
	for _, e := range pool.All() {
		e.OperatorDrained = e != pool.All()[4711]
	}
	q := itemQuery(1)
	for q.Rotation = 0; q.Rotation < 400; q.Rotation++ {
		if Rollouts.Choose(q, pool) != nil {
			return
		}
	}
	t.Error("400 choices did not find the eligible endpoint")
}

func TestChoosePreferredEndpoint(t *testing.T) {
	_, pool := newTestPool(9625)
	q := itemQuery(1)
	for i := range 50 {
		q.PreferredID = pool.All()[i*190].ID
		if got := Rollouts.Choose(q, pool); got.ID != q.PreferredID {
			t.Errorf("chose %s, want %s, which has the prompt cached", got.ID, q.PreferredID)
		}
	}
}

// The rings hold each endpoint at its current version after any sequence of updates.
func TestVersionRings(t *testing.T) {
	registry, pool := newTestPool(300)
	random := rand.New(rand.NewPCG(1, 2))
	for step := range 2000 {
		e := pool.All()[random.IntN(pool.Len())]
		switch random.IntN(4) {
		case 0:
			e.UpdateVersion("m", int64(random.IntN(9)))
		case 1:
			record := e.ReplicaRecord
			record.Versions = map[string]int64{"m": int64(random.IntN(9))}
			registry.Put(record)
		case 2:
			registry.Remove(e.ID)
			e.UpdateVersion("m", 20)
		case 3:
			record := e.ReplicaRecord
			record.ID, record.Versions = fmt.Sprintf("new-%d", step), map[string]int64{"n": 3}
			registry.Put(record)
		}
	}
	for _, model := range []string{"m", "n"} {
		indexed := 0
		for version, known := range pool.models[model].rings {
			for _, e := range known.sorted() {
				if e.Versions[model] != version {
					t.Errorf("%s has version %d but is on the ring of version %d", e.ID, e.Versions[model], version)
				}
				indexed++
			}
			if !slices.IsSortedFunc(known.list, compareOnRing) || !slices.Contains(pool.models[model].versions, version) {
				t.Errorf("the ring of version %d is unsorted or not listed", version)
			}
		}
		holding := 0
		for _, e := range pool.All() {
			if _, holds := e.Versions[model]; holds {
				holding++
			}
		}
		if indexed != holding || len(pool.models[model].rings) != len(pool.models[model].versions) {
			t.Errorf("%d endpoints are on the rings of model %s, want %d", indexed, model, holding)
		}
	}
}

// The working set depends on the demand rather than on the pool's size, counts each endpoint for one
// model, and changes by one endpoint when one is removed.
func TestWorkingSet(t *testing.T) {
	needs := map[string]Demand{"m": {Slots: 400}, "n": {Slots: 30, Endpoints: 12}}
	registry, pool := newTestPool(9625)
	set := pool.WorkingSet(needs)
	if want := 67 + 12; len(set) != want {
		t.Errorf("%d endpoints, want %d", len(set), want)
	}
	zones := map[string]int{}
	for _, e := range set {
		zones[e.Zone]++
	}
	for zone, count := range zones {
		if len(zones) != 5 || count > len(set)/2 {
			t.Errorf("%d of %d endpoints are in zone %s", count, len(set), zone)
		}
	}
	gone := set[7]
	registry.Remove(gone.ID)
	after := pool.WorkingSet(needs)
	fresh := slices.DeleteFunc(slices.Clone(after), func(e *Endpoint) bool { return slices.Contains(set, e) })
	if len(after) != len(set) || len(fresh) != 1 {
		t.Errorf("%d of %d endpoints are new after one was removed", len(fresh), len(after))
	}
	after[3].OperatorDrained = true
	if held := pool.WorkingSet(needs); len(held) != len(after)+1 {
		t.Errorf("%d endpoints including one that gets no new work, want %d", len(held), len(after)+1)
	}
	_, small := newTestPool(FullScanLimit)
	if got := len(small.WorkingSet(needs)); got != FullScanLimit {
		t.Errorf("%d endpoints of a small service, want all", got)
	}
}

// Items placed by walks must not finish later than items placed by full scans.
func TestWalksMatchFullScans(t *testing.T) {
	for _, items := range []int{200, 1200, 2400} {
		scanned := simulateBurst(items, func(q *Query, pool *Pool) *Endpoint { return Rollouts.Pick(q, pool.All()) })
		walked := simulateBurst(items, func(q *Query, pool *Pool) *Endpoint { return Rollouts.Choose(q, pool) })
		t.Logf("%d items on 600 endpoints of 6 slots: end after %s with full scans, %s with walks", items, scanned, walked)
		if float64(walked) > 1.05*float64(scanned) {
			t.Errorf("%d items end after %s with walks, %s with full scans", items, walked, scanned)
		}
	}
}

// simulateBurst has four owners place items, each unaware of the others' runs, and returns when the
// last run ends. A run takes 0.3 to 2 s and waits if all slots of its endpoint are taken.
func simulateBurst(items int, choose func(q *Query, pool *Pool) *Endpoint) time.Duration {
	const owners = 4
	random := rand.New(rand.NewPCG(3, 3))
	var pools [owners]*Pool
	for i := range pools {
		_, pools[i] = newTestPool(600)
	}
	type running struct {
		ends time.Time
		from *Endpoint
	}
	var open []running
	free := map[string][]time.Time{}
	last := now
	at, rotation := now, uint64(0)
	for placed := 0; placed < items; at = at.Add(25 * time.Millisecond) {
		open = slices.DeleteFunc(open, func(one running) bool {
			if one.ends.After(at) {
				return false
			}
			one.from.InFlight--
			return true
		})
		for placed < items {
			owner := placed % owners
			rotation++
			q := &Query{Now: at, Zone: "z1", Model: "m", WalkStart: fmt.Sprint("m", owner), MinVersion: 1, MaxLoad: 1.5, Rotation: rotation}
			chosen := choose(q, pools[owner])
			if chosen == nil {
				break
			}
			slots := free[chosen.ID]
			if slots == nil {
				slots = slices.Repeat([]time.Time{now}, chosen.Slots)
			}
			slot := slices.Index(slots, slices.MinFunc(slots, time.Time.Compare))
			begins := slots[slot]
			if begins.Before(at) {
				begins = at
			}
			slots[slot] = begins.Add(300*time.Millisecond + time.Duration(random.Int64N(int64(1700*time.Millisecond))))
			free[chosen.ID] = slots
			chosen.InFlight++
			open = append(open, running{slots[slot], chosen})
			if slots[slot].After(last) {
				last = slots[slot]
			}
			placed++
		}
	}
	return last.Sub(now)
}
