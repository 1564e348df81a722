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
	scorerName    = "scorer"
	scorerZone    = "zone-0"
	scorerCount   = 3
	scorerSlots   = 4
	scoringTime   = 30 * time.Millisecond
	slowScoring   = 600 * time.Millisecond
	scoringPath   = "/score/x"
	scoringSuffix = ".score"
	// unscorableItem begins the ids of items whose scoring calls always fail.
	unscorableItem = "unscorable"
)

// errNoAnswer says that a scoring call brought no answer.
var errNoAnswer = errors.New("no answer")

// scorer is one incarnation of a replica of the service that scores texts.
type scorer struct {
	world     *World
	id        string
	address   string
	up        bool
	drainedAt time.Time
	running   int
	// counts of the faults that are on.
	dark, failing, losing, slow int
}

func (w *World) addScorer(address string) {
	w.check.incarnations++
	s := &scorer{world: w, id: fmt.Sprintf("scorer-%d", w.check.incarnations), address: address, up: true}
	w.scorers = append(w.scorers, s)
	s.list()
}

// list writes the scorer's record.
func (s *scorer) list() {
	value, err := json.Marshal(port.ReplicaRecord{
		ID: s.id, Service: scorerName, Address: s.address, Zone: scorerZone, Slots: scorerSlots, Draining: !s.drainedAt.IsZero(),
	})
	if err != nil {
		panic("a scorer must encode: " + err.Error())
	}
	s.world.store.records.Commit(s.world.Now, port.RecordTransaction{Puts: []port.Record{{RecordKey: s.key(), Value: value}}})
}

func (s *scorer) key() port.RecordKey { return port.RecordKey{Table: replicaTable, Key: s.id} }

// crash ends the scorer; another takes its address after a while.
func (s *scorer) crash(down time.Duration) {
	if !s.up {
		return
	}
	s.up = false
	w := s.world
	w.After(3*beatEvery, func() {
		w.store.records.Commit(w.Now, port.RecordTransaction{Deletes: []port.RecordKey{s.key()}})
	})
	w.After(down, func() { w.addScorer(s.address) })
}

// drain announces that the scorer leaves; it serves on for a while.
func (s *scorer) drain() {
	if !s.up || !s.drainedAt.IsZero() {
		return
	}
	s.drainedAt = s.world.Now
	s.list()
	s.world.After(drainTime, func() { s.crash(time.Second) })
}

// anyScorer returns a scorer that is up, or the last one if none is.
func (w *World) anyScorer() *scorer {
	for range w.scorers {
		if one := w.scorers[w.random.IntN(len(w.scorers))]; one.up {
			return one
		}
	}
	return w.scorers[len(w.scorers)-1]
}

func (w *World) scorerAt(address string) *scorer {
	for _, one := range w.scorers {
		if one.address == address && one.up {
			return one
		}
	}
	return nil
}

// scoringCall is one attempt of a scoring call at a scorer.
type scoringCall struct {
	task  task.ScoringCall
	node  *node
	life  uint64
	ended bool
	// sentAt is when its node sent it.
	sentAt time.Time
}

func (w *World) startScoring(n *node, life uint64, t task.ScoringCall) {
	one := &scoringCall{task: t, node: n, life: life, sentAt: w.Now}
	n.calls[t.ID] = one
	known, _ := w.check.jobOfCall(t.Request)
	w.check.sentTo(w, n, known, scorerName, t.Request, scorerZone)
	w.After(t.Limit, func() { one.end(task.ScoringResult{Outcome: relay.Broken, Err: errNoAnswer}) })
	longer, lost := w.link.way(n.zone, scorerZone)
	w.After(callLatency+longer, func() {
		s := w.scorerAt(t.Address)
		switch {
		case one.ended || lost:
		case s == nil:
			one.end(task.ScoringResult{Outcome: relay.Refused, Err: errNoAnswer})
		case s.dark > 0:
		case s.id != t.Replica:
			one.end(task.ScoringResult{Outcome: relay.NotRun, Status: http.StatusMisdirectedRequest})
		case s.running >= scorerSlots:
			one.end(task.ScoringResult{Outcome: relay.NotRun, Status: http.StatusServiceUnavailable})
		default:
			w.check.scoringArrived(w, one, s)
			s.run(one)
		}
	})
}

// run answers a call in the way that the scorer's faults and the call's id tell.
func (s *scorer) run(one *scoringCall) {
	w := s.world
	takes := scoringTime
	if s.slow > 0 {
		takes = slowScoring
	}
	arrivedAt := w.Now
	s.running++
	w.After(takes, func() {
		s.running--
		switch {
		case !s.up || s.losing > 0 && w.random.IntN(2) == 0:
			one.end(task.ScoringResult{Outcome: relay.Broken, Err: errNoAnswer})
		case strings.HasPrefix(one.task.Request, unscorableItem) || s.failing > 0 && w.random.IntN(2) == 0:
			w.check.scoringFailed(one)
			one.end(task.ScoringResult{Outcome: relay.Errored, Status: http.StatusInternalServerError})
		default:
			score := fmt.Sprintf("%s.%s.%d", s.id, one.task.Request, w.check.scoreCount)
			w.check.scoreGiven(one, score, arrivedAt)
			one.end(task.ScoringResult{Outcome: relay.Answered, Status: http.StatusOK, Score: score})
		}
	})
}

// stop cancels the call, as its node wants.
func (one *scoringCall) stop() { one.end(task.ScoringResult{Outcome: relay.Broken, Err: errNoAnswer}) }

// abandon ends the call without a word to its node, which is gone.
func (one *scoringCall) abandon() {
	one.life = 0
	one.stop()
}

func (one *scoringCall) end(result task.ScoringResult) {
	if one.ended {
		return
	}
	one.ended = true
	n, life := one.node, one.life
	longer, _ := n.world.link.way(scorerZone, n.zone)
	n.world.After(callLatency+longer, func() {
		n.do(life, func(now time.Time) {
			delete(n.calls, one.task.ID)
			one.task.Done(now, result)
		})
	})
}
