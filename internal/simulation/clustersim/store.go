package clustersim

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
)

const (
	// callLatency is the usual time to the store or back, slowLatency the most while it
	// is slow, answerTimeout when a caller gives a call up.
	callLatency   = 2 * time.Millisecond
	slowLatency   = 1200 * time.Millisecond
	answerTimeout = 900 * time.Millisecond
	watchPoll     = 10 * time.Millisecond
)

// store is the record store as nodes reach it.
type store struct {
	world   *World
	records *model.RecordStore
	// counts of the faults that are on.
	silent, refusing, slow, losing, partly int
	troubledAt                             time.Time
	// reads, writes and watches count the calls that reached the store, by the second since the
	// epoch.
	reads, writes, watches map[int]int
}

func count(calls map[int]int, now time.Time) { calls[int(now.Sub(epoch)/time.Second)]++ }

func newStore(w *World) *store {
	return &store{world: w, reads: map[int]int{}, writes: map[int]int{}, watches: map[int]int{}, records: model.NewRecordStore(w.Now, model.RecordStoreOptions{
		WritesPerSecond: 800, ReadsPerSecond: 2000, History: 20 * time.Second,
	})}
}

// stable reports whether the store has been without trouble for a while.
func (s *store) stable(now time.Time) bool {
	const inTouch = 3 * time.Second
	if s.silent+s.refusing+s.slow+s.losing+s.partly > 0 {
		s.troubledAt = now
	}
	return now.Sub(s.troubledAt) > inTouch
}

// latency is the time to the store or back.
func (s *store) latency() time.Duration {
	if s.slow > 0 {
		return time.Duration(s.world.random.Int64N(int64(slowLatency)))
	}
	return callLatency + time.Duration(s.world.random.Int64N(int64(callLatency)))
}

// unreachable reports whether a call of a node gets lost, and refused whether it is
// turned away.
func (s *store) unreachable(n *node) bool {
	return n.cut > 0 || s.silent > 0 || s.partly > 0 && s.world.random.IntN(3) == 0
}

func (s *store) refused() bool { return s.refusing > 0 && s.world.random.IntN(4) > 0 }

// call makes one call; a call that outlives its time is given up, but is done all the
// same.
func (s *store) call(n *node, allowance time.Duration, do func(now time.Time) port.RecordResult, done func(result port.RecordResult)) {
	w := s.world
	answered := false
	answer := func(result port.RecordResult) {
		if !answered {
			answered = true
			done(result)
		}
	}
	w.After(allowance, func() { answer(port.RecordResult{Status: port.RecordUnknown}) })
	if s.unreachable(n) {
		return
	}
	if s.refused() {
		w.After(callLatency, func() { answer(port.RecordResult{Status: port.RecordRefused}) })
		return
	}
	out, lost := w.link.way(n.zone, storeZone)
	if lost {
		return
	}
	w.After(s.latency()+out, func() {
		result := do(w.Now)
		back, lost := w.link.way(storeZone, n.zone)
		w.After(s.latency()+back, func() {
			if !lost && !s.unreachable(n) {
				answer(result)
			}
		})
	})
}

func (s *store) read(n *node, do func(now time.Time) port.RecordResult, done func(result port.RecordResult)) {
	s.call(n, answerTimeout, func(now time.Time) port.RecordResult {
		count(s.reads, now)
		return do(now)
	}, done)
}

// write makes a writing call; its answer may be lost, and its effect come late.
func (s *store) write(n *node, do func(now time.Time) port.RecordResult, done func(result port.RecordResult)) {
	w := s.world
	if s.losing == 0 || w.random.IntN(3) > 0 {
		s.call(n, answerTimeout, func(now time.Time) port.RecordResult {
			count(s.writes, now)
			return do(now)
		}, done)
		return
	}
	late := time.Duration(0)
	if w.random.IntN(2) == 0 {
		late = time.Second + time.Duration(w.random.Int64N(int64(5*time.Second)))
	}
	w.After(late, func() { do(w.Now) })
	w.After(answerTimeout, func() { done(port.RecordResult{Status: port.RecordUnknown}) })
}

// watch holds a call until the table changes.
func (s *store) watch(n *node, t task.Watch, done func(result port.RecordResult)) {
	w := s.world
	until := w.Now.Add(t.Wait)
	var look func()
	look = func() {
		result, _ := s.records.Changes(w.Now, t.Table, t.After)
		if result.Status == port.RecordDone && len(result.Records) == 0 && w.Now.Before(until) {
			w.After(watchPoll, look)
			return
		}
		s.call(n, answerTimeout, func(time.Time) port.RecordResult { return result }, done)
	}
	s.call(n, answerTimeout, func(now time.Time) port.RecordResult {
		count(s.watches, now)
		return port.RecordResult{Status: port.RecordDone}
	}, func(result port.RecordResult) {
		if result.Status != port.RecordDone {
			done(result)
			return
		}
		look()
	})
}
