// Package recordlease keeps one holder for a duty by a record of the store.
//
// Validity counts from sending the renewal. A challenger waits until the record has
// stood unchanged for longer than that, on its own clock. The fence is the record's
// revision at the acquisition, so it rises with each holder. As back ends also want
// some time between the acts of two holders, the record tells beforehand on which targets
// its holder acts. A new holder acts on these only after a pause, on all others at once.
package recordlease

import (
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// Options configure a Lease.
type Options struct {
	Key         port.RecordKey
	Holder      string
	Incarnation uint64
	Queue       *task.Queue
	// Cadence is Prompt unless it is set.
	Cadence Cadence
	// Pause is the least time between the acts of two holders.
	Pause time.Duration
	// Fenced says that those acted on refuse an older fence. A new holder need not wait then for
	// acts of its predecessor that are under way; it only must not take turns with it, so the
	// pause counts from its own last act, or from its start.
	Fenced    bool
	StartedAt time.Time
	// Jitter, from 0 to 1, spreads the challengers; Nodes returns how many there may be, 0 where that is
	// not known.
	Jitter float64
	Nodes  func() int
	// Clock returns the least and the most that the store's steady clock may show; known
	// is false before its first answer.
	Clock func(now time.Time) (least, most time.Duration, known bool)
	// LateFor is how long an act without an answer may still take effect, 0 where none can. Unanswered returns
	// the targets of this node's acts that may.
	LateFor    time.Duration
	Unanswered func(now time.Time) []string
	// Observed returns the time up to which a change of the record would have been heard
	// of, zero before the record was read.
	Observed func(now time.Time) time.Time
}

// Lease is one node's view; it belongs to the node's loop.
type Lease struct {
	options Options

	row      *doorstepv1.OrderLease
	revision int64
	// changedAt is when this node saw the record change, or could see it again after a
	// time in which it could not.
	changedAt time.Time

	held       bool
	fence      int64
	validUntil time.Time
	busy       bool
	nextAt     time.Time
	resigned   bool

	// declared are the targets that the record surely tells of, wanted those that it is to
	// tell of next.
	declared, wanted targetSet
	// owed are the targets that wait for actAfter, as another holder acted on them.
	owed     targetSet
	actAfter time.Time
	// inherited are the targets on which acts of former holders may take effect until inheritedUntil: this node
	// doesn't know which acts those are.
	inherited      targetSet
	inheritedUntil time.Time
	// lastAct is this node's last act on any target; acted tells of each, also of the
	// former holder's.
	lastAct time.Time
	acted   actTimes
}

// New returns a lease whose record was not read yet.
func New(options Options) *Lease {
	if options.Cadence == (Cadence{}) {
		options.Cadence = Prompt
	}
	return &Lease{options: options, row: &doorstepv1.OrderLease{}}
}

// Held reports whether this node holds the lease now.
func (l *Lease) Held(now time.Time) bool { return l.held && now.Before(l.validUntil) }

// Left returns how long this node holds the lease unless it renews it. What it sends must
// have arrived by then: the pause of the next holder counts from there.
func (l *Lease) Left(now time.Time) time.Duration {
	if !l.Held(now) {
		return 0
	}
	return l.validUntil.Sub(now)
}

// Fenced notes that an act under a fence was refused as a newer holder has acted. This node
// stops at once; a later acquisition brings a newer fence.
func (l *Lease) Fenced(fence int64) {
	if l.held && fence == l.fence {
		l.lose("refused for a newer fence")
	}
}

// Fence returns the number that orders the holders.
func (l *Lease) Fence() int64 { return l.fence }

// Holder returns the last known holder.
func (l *Lease) Holder() string { return l.row.Holder }

// Act reports whether the holder may act on a target now, and notes that it does. The
// record must tell of the target beforehand, so the first call may have to wait for a
// renewal.
func (l *Lease) Act(now time.Time, target string) bool {
	if !l.Held(now) || l.resigned {
		return false
	}
	bucket := bucketOf(target)
	if l.owed.has(bucket) && now.Before(l.actAfter) {
		return false
	}
	l.wanted.add(bucket)
	if !l.declared.has(bucket) {
		return false
	}
	l.acted[bucket] = now
	l.lastAct = now
	return true
}

// Inherited reports whether an act of a former holder on a target may still take effect.
func (l *Lease) Inherited(now time.Time, target string) bool {
	return now.Before(l.inheritedUntil) && l.inherited.has(bucketOf(target))
}

// Tick renews, polls or challenges.
func (l *Lease) Tick(now time.Time) {
	if l.held && !now.Before(l.validUntil) {
		l.lose("not renewed in time")
	}
	if l.busy || now.Before(l.nextAt) && !l.mustDeclare(now) {
		return
	}
	switch {
	case l.held && l.resigned:
		l.Resign(now)
	case l.held:
		l.renew(now)
	case !l.resigned && l.free(now):
		l.acquire(now)
	}
}

// mustDeclare reports whether an act waits for the record to tell of it.
func (l *Lease) mustDeclare(now time.Time) bool {
	return l.Held(now) && !l.wanted.within(&l.declared)
}

// told returns the targets that the record has to tell of: those that this node is about to
// act on, those acted on so lately that the next holder owes them a pause, and those on which
// an act may still take effect.
func (l *Lease) told(now time.Time) targetSet {
	set := l.acted.since(now, l.options.Pause+actFor+pauseMargin)
	set.unite(&l.wanted)
	if now.Before(l.inheritedUntil) {
		set.unite(&l.inherited)
	}
	if l.options.Unanswered != nil {
		for _, target := range l.options.Unanswered(now) {
			set.add(bucketOf(target))
		}
	}
	return set
}

// inherit takes the targets that a former holder's record tells of. A try whose answer is lost may stand, so
// they are taken before it.
func (l *Lease) inherit(now time.Time, former *doorstepv1.OrderLease) {
	if !now.Before(l.inheritedUntil) {
		l.inherited = targetSet{}
	}
	targets := targetsOf(former)
	l.inherited.unite(&targets)
	l.inheritedUntil = now.Add(l.options.LateFor)
}

func (l *Lease) lose(reason string) {
	l.held = false
	l.declared = targetSet{}
	l.options.Queue.Log(event.LeaseLost, "lease", l.options.Key.Key, "fence", l.fence, "reason", reason)
}

func firstRecord(result port.RecordResult) port.Record {
	if len(result.Records) == 0 {
		return port.Record{}
	}
	return result.Records[0]
}

// OnRecord takes the record from the watch or from a conflict. What comes late is older
// than what is known and is passed over.
func (l *Lease) OnRecord(now time.Time, record port.Record) {
	if record.Revision <= l.revision {
		return
	}
	l.revision = record.Revision
	l.changedAt = now
	row := &doorstepv1.OrderLease{}
	if err := proto.Unmarshal(record.Value, row); err == nil {
		l.row = row
	}
	if l.held && !l.own() {
		l.lose("taken by " + l.row.Holder)
	}
}

// Observing notes whether the record can be seen. After a time in which it could not, the
// wait for it to stand still begins anew: its holder, which was cut off alike, may go on.
func (l *Lease) Observing(now time.Time, observing bool) {
	if observing {
		l.changedAt = now
	}
}

// own reports whether the record names this life of this node.
func (l *Lease) own() bool {
	return l.row.Holder == l.options.Holder && l.row.Incarnation == l.options.Incarnation
}

// free reports whether the lease may be taken. Taking it demands the revision that stood
// still, so that nobody renewed it meanwhile; a wrong guess costs a call and no more.
func (l *Lease) free(now time.Time) bool {
	observed := l.options.Observed(now)
	if observed.IsZero() {
		return false
	}
	// A record that names this node is from a former life, or from an acquisition
	// whose answer was lost: no other process acts under it.
	if l.row.Holder == "" || l.row.Holder == l.options.Holder {
		return true
	}
	jitter := time.Duration(l.options.Jitter * float64(SpreadOver(l.options.Cadence.TakeoverSpread, l.options.Nodes)))
	return observed.Sub(l.changedAt) >= l.options.Cadence.TakeoverAfter+jitter
}

func (l *Lease) acquire(now time.Time) {
	former := l.row
	if former.Ordering && !l.own() {
		l.inherit(now, former)
	}
	next := &doorstepv1.OrderLease{Holder: l.options.Holder, Incarnation: l.options.Incarnation, Beat: former.Beat + 1, ActsFromMs: former.ActsFromMs}
	if former.Ordering && !l.own() {
		// The pause is owed from the try on: if its answer is lost, the record names this
		// node and tells of its predecessor no more.
		l.owed = targetsOf(former)
		l.actAfter = now.Add(l.pauseLeft(now))
		next.ActsFromMs = l.clockAt(now, l.actAfter)
		// The record goes on telling of them until the pause is over, and for as long as a
		// former life of this node may have acted.
		actedAt := l.actAfter.Add(-l.options.Pause)
		if former.Holder == l.options.Holder {
			actedAt = now
		}
		l.acted.raise(&l.owed, actedAt)
	}
	setTargets(next, l.told(now))
	l.commit(now, next, func(now, sentAt time.Time, result port.RecordResult) {
		if result.Status != port.RecordDone {
			l.adopt(now, result)
			return
		}
		l.held = true
		l.fence = result.Revision
		l.validUntil = sentAt.Add(l.options.Cadence.Validity)
		l.declared = targetsOf(next)
		l.options.Queue.Log(event.LeaseAcquired, "lease", l.options.Key.Key, "fence", l.fence, "former", former.Holder,
			"owed_ms", max(0, l.untilActs(now)).Milliseconds())
	})
}

func (l *Lease) renew(now time.Time) {
	next := proto.Clone(l.row).(*doorstepv1.OrderLease)
	next.Beat++
	targets := l.told(now)
	setTargets(next, targets)
	l.wanted = targetSet{}
	// Until the answer the record may tell of either set.
	l.declared.intersect(&targets)
	l.commit(now, next, func(now, sentAt time.Time, result port.RecordResult) {
		switch {
		case result.Status == port.RecordDone:
			l.validUntil = sentAt.Add(l.options.Cadence.Validity)
			l.declared = targets
			l.nextAt = sentAt.Add(l.options.Cadence.RenewEvery)
		default:
			l.adopt(now, result)
		}
	})
}

// adopt takes the record after a conflict: it is either this node's own write whose
// answer was lost, or another holder's.
func (l *Lease) adopt(now time.Time, result port.RecordResult) {
	if result.Status != port.RecordConflict {
		return
	}
	l.OnRecord(now, firstRecord(result))
	if l.held && l.own() {
		l.nextAt = now
	}
}

func (l *Lease) commit(now time.Time, next *doorstepv1.OrderLease, done func(now, sentAt time.Time, result port.RecordResult)) {
	value, err := proto.Marshal(next)
	if err != nil {
		panic("a lease must encode: " + err.Error())
	}
	l.busy = true
	sentAt := now
	l.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: l.options.Key, Revision: l.revision}},
			Puts:          []port.Record{{RecordKey: l.options.Key, Value: value}},
		},
		Done: func(now time.Time, result port.RecordResult) {
			l.busy = false
			l.nextAt = now.Add(retryPause)
			if result.Status == port.RecordDone {
				l.row = next
				l.revision = result.Revision
				l.changedAt = now
			}
			done(now, sentAt, result)
		},
	})
}

// retryPause is the wait after a call that brought nothing.
const retryPause = 100 * time.Millisecond

// Resign gives the lease up and never takes it again. The record tells of it once no act is
// under way any more: the pause of the next holder counts from there.
func (l *Lease) Resign(now time.Time) {
	l.resigned = true
	if !l.held || l.busy || now.Sub(l.lastAct) < actFor {
		return
	}
	l.held = false
	next := &doorstepv1.OrderLease{Beat: l.row.Beat + 1}
	setTargets(next, l.told(now))
	l.options.Queue.Log(event.LeaseReleased, "lease", l.options.Key.Key, "fence", l.fence)
	l.commit(now, next, func(time.Time, time.Time, port.RecordResult) {})
}
