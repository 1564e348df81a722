package clustersim

import (
	"strings"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
)

const (
	// callLatency is the minimum one-way latency of a store call and maxSlowLatency its upper bound
	// while the store is slow. callTimeout is the timeout of a call.
	callLatency       = 2 * time.Millisecond
	maxSlowLatency    = 1200 * time.Millisecond
	callTimeout       = 900 * time.Millisecond
	watchPollInterval = 10 * time.Millisecond
)

// store is the record store, with the latency, loss and refusals that its callers see.
type store struct {
	world   *World
	records *model.RecordStore
	// Counters of active faults.
	silent, refusing, slow, losing, partial int
	lastFaultAt                             time.Time
	// reads, writes and watches count the calls that reached the store by the second since epoch.
	reads, writes, watches map[int]int
}

func countCall(calls map[int]int, now time.Time) { calls[int(now.Sub(epoch)/time.Second)]++ }

func newStore(w *World) *store {
	return &store{world: w, reads: map[int]int{}, writes: map[int]int{}, watches: map[int]int{}, records: model.NewRecordStore(w.Now, model.RecordStoreOptions{
		WritesPerSecond: 800, ReadsPerSecond: 2000, History: 20 * time.Second,
	})}
}

// stable reports whether the store has had no active fault for a while.
func (s *store) stable(now time.Time) bool {
	const recoveryPeriod = 3 * time.Second
	if s.silent+s.refusing+s.slow+s.losing+s.partial > 0 {
		s.lastFaultAt = now
	}
	return now.Sub(s.lastFaultAt) > recoveryPeriod
}

// latency returns the one-way latency of a call.
func (s *store) latency() time.Duration {
	if s.slow > 0 {
		return time.Duration(s.world.random.Int64N(int64(maxSlowLatency)))
	}
	return callLatency + time.Duration(s.world.random.Int64N(int64(callLatency)))
}

// unreachable reports whether a message between a node and the store is lost.
func (s *store) unreachable(n *node) bool {
	return n.storeCuts > 0 || s.silent > 0 || s.partial > 0 && s.world.random.IntN(3) == 0
}

// refuses reports whether the store refuses a node's call.
func (s *store) refuses(n *node) bool {
	return n.storeRefusals > 0 || s.refusing > 0 && s.world.random.IntN(4) > 0
}

// call makes one call. A call that times out takes effect all the same if it reaches the store.
func (s *store) call(n *node, timeout time.Duration, perform func(now time.Time) port.RecordResult, done func(result port.RecordResult)) {
	w := s.world
	answered := false
	answer := func(result port.RecordResult) {
		if !answered {
			answered = true
			done(result)
		}
	}
	w.After(timeout, func() { answer(port.RecordResult{Status: port.RecordUnknown}) })
	if s.unreachable(n) {
		return
	}
	if s.refuses(n) {
		w.After(callLatency, func() { answer(port.RecordResult{Status: port.RecordRefused}) })
		return
	}
	out, lost := w.link.delay(n.zone, storeZone)
	if lost {
		return
	}
	w.After(s.latency()+out, func() {
		result := perform(w.Now)
		back, lost := w.link.delay(storeZone, n.zone)
		w.After(s.latency()+back, func() {
			if !lost && !s.unreachable(n) {
				answer(result)
			}
		})
	})
}

// readRange makes a read call, which is refused if the store refuses the node's reads of texts.
func (s *store) readRange(n *node, query port.RecordRange, done func(result port.RecordResult)) {
	s.read(n, func(now time.Time) port.RecordResult {
		if n.textRefusals > 0 && strings.Contains(query.From, "/t/") {
			return port.RecordResult{Status: port.RecordRefused}
		}
		return s.records.Range(now, query)
	}, done)
}

func (s *store) read(n *node, perform func(now time.Time) port.RecordResult, done func(result port.RecordResult)) {
	s.call(n, callTimeout, func(now time.Time) port.RecordResult {
		countCall(s.reads, now)
		return perform(now)
	}, done)
}

// write makes a write call. While the losing fault is active, a third of the writes get no answer, and half of
// these take effect up to 6 s late.
func (s *store) write(n *node, perform func(now time.Time) port.RecordResult, done func(result port.RecordResult)) {
	w := s.world
	if s.losing == 0 || w.random.IntN(3) > 0 {
		s.call(n, callTimeout, func(now time.Time) port.RecordResult {
			countCall(s.writes, now)
			return perform(now)
		}, done)
		return
	}
	delay := time.Duration(0)
	if w.random.IntN(2) == 0 {
		delay = time.Second + time.Duration(w.random.Int64N(int64(5*time.Second)))
	}
	w.After(delay, func() { perform(w.Now) })
	w.After(callTimeout, func() { done(port.RecordResult{Status: port.RecordUnknown}) })
}

// watch is a long poll: it returns when the table changes or t.Wait has passed.
func (s *store) watch(n *node, t task.Watch, done func(result port.RecordResult)) {
	w := s.world
	until := w.Now.Add(t.Wait)
	var poll func()
	poll = func() {
		result, _ := s.records.Changes(w.Now, t.Table, t.After)
		if result.Status == port.RecordDone && len(result.Records) == 0 && w.Now.Before(until) {
			w.After(watchPollInterval, poll)
			return
		}
		s.call(n, callTimeout, func(time.Time) port.RecordResult { return result }, done)
	}
	s.call(n, callTimeout, func(now time.Time) port.RecordResult {
		countCall(s.watches, now)
		return port.RecordResult{Status: port.RecordDone}
	}, func(result port.RecordResult) {
		if result.Status != port.RecordDone {
			done(result)
			return
		}
		poll()
	})
}
