package clustersim

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/request/relay"
)

const (
	scorerName          = "scorer"
	scorerZone          = "zone-0"
	scorerCount         = 3
	scorerSlots         = 4
	scoringDuration     = 30 * time.Millisecond
	slowScoringDuration = 600 * time.Millisecond
	scoringPath         = "/score/x"
	scoringSuffix       = ".score"
	// unscorableItem is the ID prefix of items whose scoring calls always fail.
	unscorableItem = "unscorable"
)

var errNoResponse = errors.New("no response")

// scorer is one incarnation of a replica of the scoring service.
type scorer struct {
	world     *World
	id        string
	address   string
	up        bool
	drainedAt time.Time
	running   int
	// Counters of active faults.
	unresponsive, failing, losing, slow int
}

func (w *World) addScorer(address string) {
	w.check.incarnations++
	s := &scorer{world: w, id: fmt.Sprintf("scorer-%d", w.check.incarnations), address: address, up: true}
	w.scorers = append(w.scorers, s)
	s.writeRecord()
}

// writeRecord writes the scorer's record to the store.
func (s *scorer) writeRecord() {
	value, err := json.Marshal(port.ReplicaRecord{
		ID: s.id, Service: scorerName, Address: s.address, Zone: scorerZone, Slots: scorerSlots, Draining: !s.drainedAt.IsZero(),
	})
	if err != nil {
		panic("encoding a scorer record: " + err.Error())
	}
	s.world.store.records.Commit(s.world.Now, port.RecordTransaction{Puts: []port.Record{{RecordKey: s.recordKey(), Value: value}}})
}

func (s *scorer) recordKey() port.RecordKey { return port.RecordKey{Table: replicaTable, Key: s.id} }

// crash ends the scorer. A new scorer starts at its address after the given time.
func (s *scorer) crash(down time.Duration) {
	if !s.up {
		return
	}
	s.up = false
	w := s.world
	w.After(3*heartbeatInterval, func() {
		w.store.records.Commit(w.Now, port.RecordTransaction{Deletes: []port.RecordKey{s.recordKey()}})
	})
	w.After(down, func() { w.addScorer(s.address) })
}

// drain marks the scorer as draining and ends it after drainPeriod.
func (s *scorer) drain() {
	if !s.up || !s.drainedAt.IsZero() {
		return
	}
	s.drainedAt = s.world.Now
	s.writeRecord()
	s.world.After(drainPeriod, func() { s.crash(time.Second) })
}

// randomScorer returns a scorer that is up, or the last one if it finds none.
func (w *World) randomScorer() *scorer {
	for range w.scorers {
		if s := w.scorers[w.random.IntN(len(w.scorers))]; s.up {
			return s
		}
	}
	return w.scorers[len(w.scorers)-1]
}

func (w *World) scorerAt(address string) *scorer {
	for _, s := range w.scorers {
		if s.address == address && s.up {
			return s
		}
	}
	return nil
}

// scoringCall is one attempt of a scoring call at a scorer.
type scoringCall struct {
	task        task.ScoringCall
	node        *node
	incarnation uint64
	ended       bool
	sentAt      time.Time
}

func (w *World) startScoring(n *node, incarnation uint64, t task.ScoringCall) {
	call := &scoringCall{task: t, node: n, incarnation: incarnation, sentAt: w.Now}
	n.calls[t.ID] = call
	record, _ := w.check.jobOfCall(t.Request)
	w.check.checkAllowedRegions(w, n, record, scorerName, t.Request, scorerZone)
	w.After(t.Limit, func() { call.end(task.ScoringResult{Outcome: relay.Broken, Err: errNoResponse}) })
	extraDelay, lost := w.link.delay(n.zone, scorerZone)
	w.After(callLatency+extraDelay, func() {
		s := w.scorerAt(t.Address)
		switch {
		case call.ended || lost:
		case s == nil:
			call.end(task.ScoringResult{Outcome: relay.Refused, Err: errNoResponse})
		case s.unresponsive > 0:
		case s.id != t.Replica:
			call.end(task.ScoringResult{Outcome: relay.NotRun, Status: http.StatusMisdirectedRequest})
		case s.running >= scorerSlots:
			call.end(task.ScoringResult{Outcome: relay.NotRun, Status: http.StatusServiceUnavailable})
		default:
			w.check.checkScoringCall(w, call, s)
			s.serve(call)
		}
	})
}

// serve answers a call depending on the active faults and the prefix of its ID.
func (s *scorer) serve(call *scoringCall) {
	w := s.world
	duration := scoringDuration
	if s.slow > 0 {
		duration = slowScoringDuration
	}
	arrivedAt := w.Now
	s.running++
	w.After(duration, func() {
		s.running--
		switch {
		case !s.up || s.losing > 0 && w.random.IntN(2) == 0:
			call.end(task.ScoringResult{Outcome: relay.Broken, Err: errNoResponse})
		case strings.HasPrefix(call.task.Request, unscorableItem) || s.failing > 0 && w.random.IntN(2) == 0:
			w.check.recordScoringFailure(call)
			call.end(task.ScoringResult{Outcome: relay.Errored, Status: http.StatusInternalServerError})
		default:
			score := fmt.Sprintf("%s.%s.%d", s.id, call.task.Request, w.check.scoreCount)
			w.check.recordScore(call, score, arrivedAt)
			call.end(task.ScoringResult{Outcome: relay.Answered, Status: http.StatusOK, Score: score})
		}
	})
}

// stop cancels the call on request of its node.
func (call *scoringCall) stop() {
	call.end(task.ScoringResult{Outcome: relay.Broken, Err: errNoResponse})
}

// abandon ends the call without notifying its node, which is down.
func (call *scoringCall) abandon() {
	call.incarnation = 0
	call.stop()
}

func (call *scoringCall) end(result task.ScoringResult) {
	if call.ended {
		return
	}
	call.ended = true
	n, incarnation := call.node, call.incarnation
	extraDelay, _ := n.world.link.delay(scorerZone, n.zone)
	n.world.After(callLatency+extraDelay, func() {
		n.invoke(incarnation, func(now time.Time) {
			delete(n.calls, call.task.ID)
			call.task.Done(now, result)
		})
	})
}
