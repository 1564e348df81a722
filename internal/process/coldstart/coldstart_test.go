package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/simulation/virtual"
	"github.com/doorstep/doorstep/internal/standin/model"
)

var (
	epoch = time.Unix(1_000_000, 0)
	// limit allows 18 requests in any second.
	limit = NewLimit(port.ColdStart{Duration: 8 * time.Second, PerSecond: 9.3}, 1.5, 5)
)

// gateGroup is a set of gates that share a store. Store calls are delayed or lost, and the gates' clocks differ.
type gateGroup struct {
	virtual.Clock
	random       *rand.Rand
	store        *model.RecordStore
	queue        task.Queue
	gates        []*Gate
	frozen       []time.Time
	arrived      []time.Time
	maxPerSecond int
	granted      int
}

func newGateGroup(seed uint64, gates int) *gateGroup {
	m := &gateGroup{Clock: virtual.Clock{Now: epoch}, random: rand.New(rand.NewPCG(seed, 1)), frozen: make([]time.Time, gates)}
	m.store = model.NewRecordStore(m.Now, model.RecordStoreOptions{WritesPerSecond: 800, ReadsPerSecond: 800, History: time.Minute})
	// Clock error per gate: some milliseconds, or up to a second.
	maxClockError := []time.Duration{10 * time.Millisecond, time.Second}[seed%2]
	for i := range gates {
		early, late := m.randomDuration(maxClockError), m.randomDuration(maxClockError)
		if i%2 == 1 {
			late = m.randomDuration(10 * time.Millisecond)
		}
		m.gates = append(m.gates, New(Options{
			Self: fmt.Sprint("node-", i), Queue: &m.queue,
			Clock: func(now time.Time) (time.Duration, time.Duration, bool) {
				reading := now.Sub(epoch)
				return reading - early, reading + late, reading > 0
			},
		}))
	}
	return m
}

func (m *gateGroup) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(longest)))
}

// do calls a gate once it is not frozen and executes its commits, which may be delayed or lose their response.
func (m *gateGroup) do(gate int, call func(now time.Time)) {
	if m.Now.Before(m.frozen[gate]) {
		m.After(m.frozen[gate].Sub(m.Now), func() { m.do(gate, call) })
		return
	}
	call(m.Now)
	for _, one := range m.queue.Take() {
		commit, ok := one.(task.Commit)
		if !ok {
			continue
		}
		there, back, lost := m.randomDuration(20*time.Millisecond), m.randomDuration(20*time.Millisecond), m.random.IntN(10) == 0
		if m.random.IntN(20) == 0 {
			there = m.randomDuration(3 * time.Second)
		}
		m.After(there, func() {
			result := m.store.Commit(m.Now, commit.Transaction)
			if lost {
				result = port.RecordResult{Status: port.RecordUnknown}
			}
			m.After(back, func() { m.do(gate, func(now time.Time) { commit.Done(now, result) }) })
		})
	}
}

// send sends a granted request after a random delay, unless its deadline has passed by then.
func (m *gateGroup) send(gate int, now time.Time) {
	m.granted++
	by := m.gates[gate].SendDeadline(now, "r")
	m.gates[gate].RecordSend(now, "r", "s", limit, Sender{Nodes: 1}, true)
	m.After(m.randomDuration(30*time.Millisecond), func() {
		if m.Now.Before(m.frozen[gate]) {
			m.After(m.frozen[gate].Sub(m.Now), func() { m.write(by) })
			return
		}
		m.write(by)
	})
}

func (m *gateGroup) write(by time.Time) {
	if m.Now.After(by) {
		return
	}
	m.arrived = slices.DeleteFunc(append(m.arrived, m.Now), func(at time.Time) bool { return m.Now.Sub(at) > time.Second })
	m.maxPerSecond = max(m.maxPerSecond, len(m.arrived))
}

// run lets all gates send requests to one cold replica for half a minute.
func (m *gateGroup) run() {
	for i, gate := range m.gates {
		m.Every(10*time.Millisecond+m.randomDuration(30*time.Millisecond), func() bool {
			m.do(i, func(now time.Time) {
				late := i%2 == 1
				if !late && m.random.IntN(2) == 0 {
					gate.Claim(now, "r", "s", limit, 1, func(now time.Time, granted bool) {
						if granted {
							m.send(i, now)
						}
					})
					return
				}
				if gate.Claimable(now, "r", limit) {
					gate.Claim(now, "r", "s", limit, 5, nil)
				}
				// Some gates send at once. Others send at the end of the window and may be frozen after that.
				sent := false
				for gate.HasGrant(now, "r") && (!late || gate.timeLeft(now, gate.replicas["r"]) < 60*time.Millisecond) {
					m.send(i, now)
					sent = true
				}
				if sent && late && m.random.IntN(4) == 0 {
					m.frozen[i] = m.Now.Add(m.randomDuration(3 * time.Second))
				}
			})
			if m.random.IntN(300) == 0 {
				m.frozen[i] = m.Now.Add(m.randomDuration(3 * time.Second))
			}
			return true
		})
	}
	for end := m.Now.Add(30 * time.Second); m.Now.Before(end); {
		m.Step()
	}
}

// TestWindowsLimitTheTotal checks the total limit for gates that do not communicate, with differing clocks,
// delayed rows and frozen gates.
func TestWindowsLimitTheTotal(t *testing.T) {
	for seed := range uint64(40) {
		m := newGateGroup(seed, 7)
		m.run()
		if m.maxPerSecond > int(limit.MaxPerSecond) {
			t.Errorf("seed %d: %d requests within a second, want at most %g", seed, m.maxPerSecond, limit.MaxPerSecond)
		}
		if m.granted < 30 {
			t.Errorf("seed %d: %d requests granted in 30 s, want at least 30", seed, m.granted)
		}
	}
}

// newExactGate returns a gate with an exact store clock, whose store calls are executed by the test.
func newExactGate() (*Gate, *task.Queue, *model.RecordStore) {
	queue := &task.Queue{}
	clock := func(now time.Time) (time.Duration, time.Duration, bool) { return now.Sub(epoch), now.Sub(epoch), true }
	return New(Options{Self: "n", Queue: queue, Clock: clock}), queue, model.NewRecordStore(epoch, model.RecordStoreOptions{WritesPerSecond: 100, ReadsPerSecond: 100, History: time.Minute})
}

func execute(now time.Time, queue *task.Queue, store *model.RecordStore) (writes int) {
	for tasks := queue.Take(); len(tasks) > 0; tasks = queue.Take() {
		for _, one := range tasks {
			switch one := one.(type) {
			case task.Commit:
				writes++
				one.Done(now, store.Commit(now, one.Transaction))
			case task.Range:
				one.Done(now, store.Range(now, one.Query))
			}
		}
	}
	return writes
}

// TestWindowGrantsItsCapacity checks that callers on different nodes can use up a window one request at a
// time, and that the next caller learns when a new window begins.
func TestWindowGrantsItsCapacity(t *testing.T) {
	first, queue, store := newExactGate()
	now, served := epoch.Add(time.Second), 0
	gates := []*Gate{first}
	for range 11 {
		gates = append(gates, New(first.options))
	}
	for _, gate := range gates {
		gate.Claim(now, "r", "s", limit, 1, func(now time.Time, granted bool) {
			if granted {
				served++
				gate.RecordSend(now, "r", "s", limit, Sender{Nodes: 1}, true)
			}
		})
		execute(now, queue, store)
	}
	if served != limit.WindowCapacity() {
		t.Errorf("%d served, want %d", served, limit.WindowCapacity())
	}
	last := gates[len(gates)-1]
	if wait := last.RetryAfter(now, "r", limit); wait != windowLength {
		t.Errorf("next caller has to wait %s, want %s", wait, windowLength)
	}
	now = now.Add(windowLength)
	if !last.Claimable(now, "r", limit) {
		t.Error("no new window after the end of the previous one")
	}
}

func TestClaimOutcomes(t *testing.T) {
	for _, c := range []struct {
		name       string
		status     port.RecordStatus
		retryAfter time.Duration
	}{
		{"refused", port.RecordRefused, refusedRetryDelay},
		{"unanswered", port.RecordUnknown, unansweredRetryDelay},
	} {
		gate, queue, _ := newExactGate()
		now, outcomes := epoch.Add(time.Second), []bool{}
		gate.Claim(now, "r", "s", limit, 1, func(_ time.Time, granted bool) { outcomes = append(outcomes, granted) })
		queue.Take()[0].(task.Commit).Done(now, port.RecordResult{Status: c.status})
		if !slices.Equal(outcomes, []bool{false}) || gate.HasGrant(now, "r") {
			t.Errorf("%s: outcomes %v, want one denial and no grant", c.name, outcomes)
		}
		if wait := gate.RetryAfter(now, "r", limit); wait != c.retryAfter {
			t.Errorf("%s: next attempt after %s, want %s", c.name, wait, c.retryAfter)
		}
	}
}

// TestFirstWindowIsDelayed checks the delay during which nodes unaware of the cold replica may use
// up their buckets.
func TestFirstWindowIsDelayed(t *testing.T) {
	gate, _, _ := newExactGate()
	now := epoch.Add(time.Second)
	gate.DelayFirstWindow(now, "r", "s", limit)
	if gate.Claimable(now.Add(settleTime-time.Millisecond), "r", limit) || !gate.Claimable(now.Add(settleTime), "r", limit) {
		t.Errorf("first window does not begin after %s", settleTime)
	}
}

func TestBuckets(t *testing.T) {
	for _, c := range []struct {
		name   string
		sender Sender
		// within is the number of requests allowed in the first second at maximum demand.
		within int
	}{
		{"one node's items", Sender{Items: true, Nodes: 1}, 17},
		{"three nodes' items", Sender{Items: true, Nodes: 3}, 5},
		{"items of an isolated node", Sender{Items: true}, 1},
		{"callers of an isolated node", Sender{Nodes: 1}, 17},
	} {
		gate, _, _ := newExactGate()
		passed := 0
		for now := epoch; now.Sub(epoch) < time.Second; now = now.Add(time.Millisecond) {
			for gate.Allows(now, "r", "s", limit, c.sender) {
				gate.RecordSend(now, "r", "s", limit, c.sender, false)
				passed++
			}
		}
		if passed != c.within {
			t.Errorf("%s: %d passed, want %d", c.name, passed, c.within)
		}
	}
}

// TestSendLimiterOverTime checks the limiter's bound on any second and its sustained rate.
func TestSendLimiterOverTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		sender Sender
		// most is the maximum in any second, least the minimum in ten seconds.
		most, least int
	}{
		{"one node", Sender{Items: true, Nodes: 1}, 17, 100},
		{"one of three", Sender{Items: true, Nodes: 3}, 5, 32},
		{"an isolated node", Sender{Items: true}, 1, 9},
	} {
		gate, _, _ := newExactGate()
		var passed []time.Time
		for now := epoch; now.Sub(epoch) < 10*time.Second; now = now.Add(5 * time.Millisecond) {
			for gate.Allows(now, "r", "s", limit, c.sender) {
				gate.RecordSend(now, "r", "s", limit, c.sender, false)
				passed = append(passed, now)
			}
			last := slices.DeleteFunc(slices.Clone(passed), func(at time.Time) bool { return now.Sub(at) > time.Second })
			if len(last) > c.most {
				t.Fatalf("%s: %d within a second, want at most %d", c.name, len(last), c.most)
			}
		}
		if len(passed) < c.least {
			t.Errorf("%s: %d in ten seconds, want at least %d", c.name, len(passed), c.least)
		}
	}
}

// TestCallersCountAgainstItems checks that callers' requests count against the limit of items, even before the
// first item.
func TestCallersCountAgainstItems(t *testing.T) {
	gate, _, _ := newExactGate()
	for range 17 {
		gate.RecordSend(epoch, "r", "s", limit, Sender{Nodes: 1}, false)
	}
	if gate.Allows(epoch.Add(time.Second), "r", "s", limit, Sender{Items: true, Nodes: 1}) {
		t.Error("item allowed although callers have used up the limit")
	}
}

func TestCollect(t *testing.T) {
	gate, queue, store := newExactGate()
	now := epoch.Add(time.Second)
	for _, id := range []string{"gone", "listed"} {
		gate.Claim(now, id, "s", limit, 1, nil)
	}
	execute(now, queue, store)
	listed := func(id string) bool { return id == "listed" }
	gate.Collect(now, listed)
	now = now.Add(2 * collectInterval)
	gate.Collect(now, listed)
	execute(now, queue, store)
	rows := store.Range(now, port.RecordRange{Table: Table, Partition: Table}).Records
	if len(rows) != 1 || rows[0].Key != "listed" {
		t.Errorf("rows left: %v, want only \"listed\"", rows)
	}
}
