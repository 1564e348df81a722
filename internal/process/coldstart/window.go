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
	// Table holds the windows of cold replicas, in a partition of the same name. It is not watched: the
	// response to a claim carries the current window.
	Table = "cold-starts"
	// windowLength is the minimum time between the ends of two successive windows.
	windowLength = time.Second
	// sendMargin is the time before the end of a window at which it stops being used for new requests, so
	// that a chosen request can be written before the end.
	sendMargin = 50 * time.Millisecond
	// settleTime is the delay before the first window of a replica that turned cold while nodes knew it as
	// warm. Until they learn of it, nodes may use up their token buckets. Records are written every second or
	// so, and known within 0.8 s where the store is not slow.
	settleTime = 1500 * time.Millisecond
	// maxConcurrentClaims limits a node's pending claims. The delays apply after a claim that the store
	// refused or left unanswered.
	maxConcurrentClaims  = 16
	refusedRetryDelay    = 100 * time.Millisecond
	unansweredRetryDelay = 300 * time.Millisecond
	// maxClaimAttempts is how often a claim is attempted if its row keeps changing.
	maxClaimAttempts = 4
)

// window is a replica's window as known to this node.
type window struct {
	// revision is the row's revision, 0 if it is absent or unknown; until and taken are its content.
	revision int64
	until    time.Duration
	taken    int
	// granted is the number of requests that this node may still send before grantedUntil, by the store's
	// clock.
	granted      int
	grantedUntil time.Duration
	claiming     bool
	notBefore    time.Time
	attempts     int
	waiting      []claim
}

// claim asks for requests to a cold replica. done may be nil.
type claim struct {
	count int
	done  func(now time.Time, granted bool)
}

// WindowKey returns the key of a replica's window.
func WindowKey(replica string) port.RecordKey {
	return port.RecordKey{Table: Table, Partition: Table, Key: replica}
}

// DelayFirstWindow delays the first window of a replica that turned cold while it was known as warm.
func (g *Gate) DelayFirstWindow(now time.Time, id, service string, limit Limit) {
	g.replica(id, service, limit).window.notBefore = now.Add(settleTime)
}

// HasGrant reports whether this node has an unused grant for a cold replica.
func (g *Gate) HasGrant(now time.Time, id string) bool {
	r := g.replicas[id]
	return r != nil && g.timeLeft(now, r) > 0
}

// timeLeft returns how long this node may still send to a cold replica, zero or less if it may not.
func (g *Gate) timeLeft(now time.Time, r *replica) time.Duration {
	_, most, known := g.options.Clock(now)
	if !known || r.window.granted <= 0 {
		return 0
	}
	return r.window.grantedUntil - most - sendMargin
}

// SendDeadline returns the time by which a granted request to a cold replica must be written.
func (g *Gate) SendDeadline(now time.Time, id string) time.Time {
	return now.Add(g.timeLeft(now, g.replicas[id]) + sendMargin)
}

// Claimable reports whether a claim for a cold replica may succeed now.
func (g *Gate) Claimable(now time.Time, id string, limit Limit) bool {
	return g.RetryAfter(now, id, limit) == 0
}

// RetryAfter returns how long to wait before a claim for a cold replica may succeed, 0 if it may succeed now. It
// keeps no state for unknown replicas.
func (g *Gate) RetryAfter(now time.Time, id string, limit Limit) time.Duration {
	w := window{}
	if r := g.replicas[id]; r != nil {
		w = r.window
	}
	least, most, known := g.options.Clock(now)
	wait := max(w.notBefore.Sub(now), 0)
	if !w.claiming && g.claiming >= maxConcurrentClaims {
		// Without this limit callers would try all cold replicas in turn and be denied by each.
		wait = max(wait, refusedRetryDelay)
	}
	if !known || limit.WindowCapacity() == 0 {
		return max(wait, unansweredRetryDelay)
	}
	if w.taken < limit.WindowCapacity() && most+sendMargin < w.until {
		return wait
	}
	return max(wait, w.until-least)
}

// Claim claims requests to a cold replica. done, unless nil, is called with the outcome. If the claim is
// granted, it must send the request and call RecordSend before it returns.
func (g *Gate) Claim(now time.Time, id, service string, limit Limit, want int, done func(now time.Time, granted bool)) {
	r := g.replica(id, service, limit)
	w := &r.window
	if done == nil && w.claiming {
		return
	}
	w.waiting = append(w.waiting, claim{count: want, done: done})
	if w.claiming {
		return
	}
	w.attempts = 0
	g.tryClaim(now, r)
}

// tryClaim grants the waiting claims from this node's grants, denies them, or writes an updated row.
func (g *Gate) tryClaim(now time.Time, r *replica) {
	w := &r.window
	w.grantWaiting(now, func() bool { return g.timeLeft(now, r) > 0 })
	if len(w.waiting) == 0 {
		return
	}
	if w.attempts >= maxClaimAttempts || g.RetryAfter(now, r.id, r.limit) > 0 {
		g.deny(now, r)
		return
	}
	w.attempts++
	next, took := g.nextRow(now, r)
	value, err := proto.Marshal(next)
	if err != nil {
		panic("marshal cold window: " + err.Error())
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
			g.onClaimResult(now, r, next, took, result)
		},
	})
}

// nextRow returns the updated row and the number of requests that this node takes with it.
func (g *Gate) nextRow(now time.Time, r *replica) (*doorstepv1.ColdWindow, int) {
	w := &r.window
	least, most, _ := g.options.Clock(now)
	want := 0
	for _, one := range w.waiting {
		want += one.count
	}
	until, taken := w.until, w.taken
	if w.revision == 0 || least >= w.until {
		// The previous window has ended by any bound of the store's clock. The new one ends at least
		// windowLength later, so that no third window can begin within a second of the first.
		until, taken = most+windowLength, 0
	}
	took := min(want, r.limit.WindowCapacity()-taken)
	return &doorstepv1.ColdWindow{
		// Rounded up, as the next window must not begin before this one ends.
		UntilMs: (until + time.Millisecond - 1).Milliseconds(), Taken: int32(taken + took),
		Node: g.options.Self, Incarnation: g.options.Incarnation, Service: r.service,
	}, took
}

func (g *Gate) onClaimResult(now time.Time, r *replica, next *doorstepv1.ColdWindow, took int, result port.RecordResult) {
	if g.replicas[r.id] != r {
		r.failWaiting(now)
		return
	}
	w := &r.window
	switch result.Status {
	case port.RecordDone:
		w.update(result.Revision, next)
		if w.grantedUntil != w.until {
			w.granted, w.grantedUntil = 0, w.until
		}
		w.granted += took
		g.stats.Granted++
		g.options.Queue.Log(event.ColdClaimed, "replica", r.id, "service", r.service, "requests", took, "taken", w.taken, "until_ms", next.UntilMs)
		g.tryClaim(now, r)
		return
	case port.RecordConflict:
		w.updateFromRow(r.id, result.Records)
		g.tryClaim(now, r)
		return
	case port.RecordRefused:
		w.notBefore = now.Add(refusedRetryDelay)
	default:
		// The claim may still take effect, in which case its requests remain unused.
		w.notBefore = now.Add(unansweredRetryDelay)
	}
	g.deny(now, r)
}

func (w *window) update(revision int64, row *doorstepv1.ColdWindow) {
	w.revision = revision
	w.until, w.taken = time.Duration(row.UntilMs)*time.Millisecond, int(row.Taken)
}

// updateFromRow sets the window from the row in a read result, if it is there.
func (w *window) updateFromRow(replica string, records []port.Record) {
	w.revision, w.until, w.taken = 0, 0, 0
	for _, record := range records {
		row := &doorstepv1.ColdWindow{}
		if record.Key == replica && record.Revision > 0 && proto.Unmarshal(record.Value, row) == nil {
			w.update(record.Revision, row)
		}
	}
}

// grantWaiting grants the waiting claims in order while this node has grants left.
func (w *window) grantWaiting(now time.Time, holds func() bool) {
	for len(w.waiting) > 0 && holds() {
		first := w.waiting[0]
		w.waiting = w.waiting[1:]
		if first.done != nil {
			first.done(now, true)
		}
	}
}

// deny rejects all waiting claims.
func (g *Gate) deny(now time.Time, r *replica) {
	g.stats.Denied += len(r.window.waiting)
	if len(r.window.waiting) > 0 {
		g.options.Queue.Log(event.ColdClaimDenied, "replica", r.id, "service", r.service, "wait_ms", g.RetryAfter(now, r.id, r.limit).Milliseconds())
	}
	r.failWaiting(now)
}

func (r *replica) failWaiting(now time.Time) {
	waiting := r.window.waiting
	r.window.waiting = nil
	for _, one := range waiting {
		if one.done != nil {
			one.done(now, false)
		}
	}
}
