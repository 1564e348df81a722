package coldstart

import (
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// Table holds the windows of cold replicas, in a partition of the same name. No node watches it:
	// who needs a window learns of it by the answer to its claim.
	Table = "cold-starts"
	// windowLength is the least time between the ends of two windows: the span of the bound.
	windowLength = time.Second
	// sendMargin is how long before a window's end a request must have been chosen for the replica;
	// the request is written before the end or not at all.
	sendMargin = 50 * time.Millisecond
	// settleTime passes after a replica that was warm turned cold until its first window: nodes that
	// have not heard of it may have sent as much as their buckets allow. Records are written every
	// second or so and are known within 0.8 s where the store is not slow.
	settleTime = 1500 * time.Millisecond
	// claimsAtOnce bounds a node's claims under way, refusedPause and lostPause are the waits after
	// one that the store refused or left unanswered.
	claimsAtOnce = 16
	refusedPause = 100 * time.Millisecond
	lostPause    = 300 * time.Millisecond
	// triesAtOnce is how often a claim is made anew whose row had changed.
	triesAtOnce = 4
)

// window is what this node knows of a replica's window.
type window struct {
	// revision is the row's, 0 if it is absent or not known; until and taken are its content.
	revision int64
	until    time.Duration
	taken    int
	// mine is how many requests this node may still send before mineUntil, by the store's clock.
	mine      int
	mineUntil time.Duration
	claiming  bool
	notBefore time.Time
	tries     int
	waiting   []claim
}

// claim is a wish for requests to a cold replica; done is nil where nobody waits for it.
type claim struct {
	want int
	done func(now time.Time, granted bool)
}

// WindowKey names the row of a replica's window.
func WindowKey(replica string) port.RecordKey {
	return port.RecordKey{Table: Table, Partition: Table, Key: replica}
}

// Turned notes that a replica turned cold that this node knew as warm.
func (g *Gate) Turned(now time.Time, id, service string, bound Bound) {
	g.replica(id, service, bound).window.notBefore = now.Add(settleTime)
}

// Holds reports whether this node may send a request to a cold replica now.
func (g *Gate) Holds(now time.Time, id string) bool {
	r := g.replicas[id]
	return r != nil && g.left(now, r) > 0
}

// left returns for how long this node may send to a cold replica, not above 0 if it may not.
func (g *Gate) left(now time.Time, r *replica) time.Duration {
	_, most, known := g.options.Clock(now)
	if !known || r.window.mine <= 0 {
		return 0
	}
	return r.window.mineUntil - most - sendMargin
}

// SendBy returns until when a request to a cold replica that this node holds must be written.
func (g *Gate) SendBy(now time.Time, id string) time.Time {
	return now.Add(g.left(now, g.replicas[id]) + sendMargin)
}

// Claimable reports whether requests to a cold replica may be left in its window, or a new one may
// begin; a claim finds out.
func (g *Gate) Claimable(now time.Time, id string, bound Bound) bool {
	return g.Wait(now, id, bound) == 0
}

// Wait returns how long no request can be had for a cold replica, 0 if one may be had now. Nothing is kept
// for a replica that is only asked about, which may be gone.
func (g *Gate) Wait(now time.Time, id string, bound Bound) time.Duration {
	w := window{}
	if r := g.replicas[id]; r != nil {
		w = r.window
	}
	least, most, known := g.options.Clock(now)
	wait := max(w.notBefore.Sub(now), 0)
	if !w.claiming && g.claiming >= claimsAtOnce {
		// Callers would try all cold replicas in turn otherwise, to be denied by each.
		wait = max(wait, refusedPause)
	}
	if !known || bound.Worth() == 0 {
		return max(wait, lostPause)
	}
	if w.taken < bound.Worth() && most+sendMargin < w.until {
		return wait
	}
	return max(wait, w.until-least)
}

// Claim claims some requests to a cold replica. done, unless nil, is told whether one may be sent: it
// is to be sent, and told by Sent, right then.
func (g *Gate) Claim(now time.Time, id, service string, bound Bound, want int, done func(now time.Time, granted bool)) {
	r := g.replica(id, service, bound)
	w := &r.window
	if done == nil && w.claiming {
		return
	}
	w.waiting = append(w.waiting, claim{want: want, done: done})
	if w.claiming {
		return
	}
	w.tries = 0
	g.try(now, r)
}

// try writes the next state of the row, unless the wishes can be granted without, or not at all.
func (g *Gate) try(now time.Time, r *replica) {
	w := &r.window
	w.serve(now, func() bool { return g.left(now, r) > 0 })
	if len(w.waiting) == 0 {
		return
	}
	if w.tries >= triesAtOnce || g.Wait(now, r.id, r.bound) > 0 {
		g.deny(now, r)
		return
	}
	w.tries++
	next, took := g.next(now, r)
	value, err := proto.Marshal(next)
	if err != nil {
		panic("a window must encode: " + err.Error())
	}
	w.claiming = true
	g.claiming++
	g.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: WindowKey(r.id), Revision: w.revision}},
			Puts:          []port.Record{{RecordKey: WindowKey(r.id), Value: value}},
		},
		Done: func(now time.Time, result port.RecordResult) {
			w.claiming = false
			g.claiming--
			g.onAnswer(now, r, next, took, result)
		},
	})
}

// next returns the row in which this node has taken requests, and how many.
func (g *Gate) next(now time.Time, r *replica) (*doorstepv1.ColdWindow, int) {
	w := &r.window
	least, most, _ := g.options.Clock(now)
	want := 0
	for _, one := range w.waiting {
		want += one.want
	}
	until, taken := w.until, w.taken
	if w.revision == 0 || least >= w.until {
		// The former window is over whatever the store's clock shows, and this one's end is at
		// least windowLength after that one's: a third can't begin within a second of the first.
		until, taken = most+windowLength, 0
	}
	took := min(want, r.bound.Worth()-taken)
	return &doorstepv1.ColdWindow{
		// Rounded up, as the end of this window bounds the next one's.
		UntilMs: (until + time.Millisecond - 1).Milliseconds(), Taken: int32(taken + took),
		Node: g.options.Self, Incarnation: g.options.Incarnation, Service: r.service,
	}, took
}

func (g *Gate) onAnswer(now time.Time, r *replica, next *doorstepv1.ColdWindow, took int, result port.RecordResult) {
	if g.replicas[r.id] != r {
		r.fail(now)
		return
	}
	w := &r.window
	switch result.Status {
	case port.RecordDone:
		w.learn(result.Revision, next)
		if w.mineUntil != w.until {
			w.mine, w.mineUntil = 0, w.until
		}
		w.mine += took
		g.figures.Granted++
		g.options.Queue.Log(event.ColdClaimed, "replica", r.id, "service", r.service, "requests", took, "taken", w.taken, "until_ms", next.UntilMs)
		g.try(now, r)
		return
	case port.RecordConflict:
		w.learnRow(r.id, result.Records)
		g.try(now, r)
		return
	case port.RecordRefused:
		w.notBefore = now.Add(refusedPause)
	default:
		// The claim may take effect later: what it took is used by nobody.
		w.notBefore = now.Add(lostPause)
	}
	g.deny(now, r)
}

func (w *window) learn(revision int64, row *doorstepv1.ColdWindow) {
	w.revision = revision
	w.until, w.taken = time.Duration(row.UntilMs)*time.Millisecond, int(row.Taken)
}

// learnRow takes the row as it stands.
func (w *window) learnRow(replica string, records []port.Record) {
	w.revision, w.until, w.taken = 0, 0, 0
	for _, record := range records {
		row := &doorstepv1.ColdWindow{}
		if record.Key == replica && record.Revision > 0 && proto.Unmarshal(record.Value, row) == nil {
			w.learn(record.Revision, row)
		}
	}
}

// serve grants the wishes in turn while this node holds requests.
func (w *window) serve(now time.Time, holds func() bool) {
	for len(w.waiting) > 0 && holds() {
		first := w.waiting[0]
		w.waiting = w.waiting[1:]
		if first.done != nil {
			first.done(now, true)
		}
	}
}

// deny tells those who wait that nothing can be had now.
func (g *Gate) deny(now time.Time, r *replica) {
	g.figures.Denied += len(r.window.waiting)
	if len(r.window.waiting) > 0 {
		g.options.Queue.Log(event.ColdClaimDenied, "replica", r.id, "service", r.service, "wait_ms", g.Wait(now, r.id, r.bound).Milliseconds())
	}
	r.fail(now)
}

func (r *replica) fail(now time.Time) {
	waiting := r.window.waiting
	r.window.waiting = nil
	for _, one := range waiting {
		if one.done != nil {
			one.done(now, false)
		}
	}
}
