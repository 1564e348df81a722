// Package recordlease implements a lease on a record of the record store.
//
// A renewal is valid from the time it was sent. Another node may take the lease over once the
// record has not changed for longer than that, measured by its own clock. The fence is the record's
// revision at the acquisition and increases with each holder. Replicas also need a pause between
// the acts of two holders. The holder therefore declares the targets of its acts in the record
// beforehand. A new holder pauses before it acts on declared targets and can act on all others
// immediately.
package recordlease

import (
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// Options configures a Lease.
type Options struct {
	Key         port.RecordKey
	Holder      string
	Incarnation uint64
	Queue       *task.Queue
	// Timing defaults to FastTiming.
	Timing Timing
	// Pause is the minimum time between the acts of two holders on a target.
	Pause time.Duration
	// Fenced states that targets reject acts with an older fence. A new holder then need not wait
	// for acts of its predecessor. The pause counts from its own last act or its start, so that two
	// holders do not alternate.
	Fenced    bool
	StartedAt time.Time
	// Jitter, from 0 to 1, spreads takeover attempts. NodeCount returns the number of nodes, or 0
	// if unknown.
	Jitter    float64
	NodeCount func() int
	// Clock returns the bounds of the store's monotonic clock. known is false before the first
	// answer of the store.
	Clock func(now time.Time) (least, most time.Duration, known bool)
	// MaxActDelay is how long an unanswered act may still take effect, or 0 if it cannot. Unanswered
	// returns the targets of this node's unanswered acts.
	MaxActDelay time.Duration
	Unanswered  func(now time.Time) []string
	// ObservedUntil returns the time up to which changes of the record have been observed, or zero if
	// the record has not been read.
	ObservedUntil func(now time.Time) time.Time
}

// Lease is one node's view of a lease. It must only be used from the node's event loop.
type Lease struct {
	options Options

	record   *doorstepv1.OrderLease
	revision int64
	// changedAt is when this node last saw the record change, or could observe it again.
	changedAt time.Time

	held          bool
	fence         int64
	validUntil    time.Time
	commitPending bool
	nextTick      time.Time
	resigned      bool

	// declared holds the targets that the record is known to declare. requested holds those that
	// the next renewal has to declare.
	declared, requested targetSet
	// pausedTargets holds the targets of the previous holder's acts. This node must not act on them
	// before pauseEnd.
	pausedTargets targetSet
	pauseEnd      time.Time
	// inherited holds the targets on which unknown acts of previous holders may take effect until
	// inheritedUntil.
	inherited      targetSet
	inheritedUntil time.Time
	// lastAct is the time of this node's last act. acted also includes acts of the previous holder.
	lastAct time.Time
	acted   actTimes
}

// New returns a lease whose record has not been read.
func New(options Options) *Lease {
	if options.Timing == (Timing{}) {
		options.Timing = FastTiming
	}
	return &Lease{options: options, record: &doorstepv1.OrderLease{}}
}

// Held reports whether this node holds the lease.
func (l *Lease) Held(now time.Time) bool { return l.held && now.Before(l.validUntil) }

// Remaining returns the remaining validity of the lease, or 0 if it is not held. Acts must have arrived
// by then, because the next holder's pause counts from that time.
func (l *Lease) Remaining(now time.Time) time.Duration {
	if !l.Held(now) {
		return 0
	}
	return l.validUntil.Sub(now)
}

// OnFenced handles the rejection of an act because of a newer fence. This node gives up the lease at
// once. It may acquire it again under a newer fence.
func (l *Lease) OnFenced(fence int64) {
	if l.held && fence == l.fence {
		l.lose("refused for a newer fence")
	}
}

// Fence returns the fencing token of the current acquisition.
func (l *Lease) Fence() int64 { return l.fence }

// Holder returns the last known holder.
func (l *Lease) Holder() string { return l.record.Holder }

// TryAct reports whether the holder may act on a target now, and records the act. The target must be
// declared in the record first, so the first call may return false until the next renewal.
func (l *Lease) TryAct(now time.Time, target string) bool {
	if !l.Held(now) || l.resigned {
		return false
	}
	bucket := bucketOf(target)
	if l.pausedTargets.has(bucket) && now.Before(l.pauseEnd) {
		return false
	}
	l.requested.add(bucket)
	if !l.declared.has(bucket) {
		return false
	}
	l.acted[bucket] = now
	l.lastAct = now
	return true
}

// Inherited reports whether an act of a previous holder on a target may still take effect.
func (l *Lease) Inherited(now time.Time, target string) bool {
	return now.Before(l.inheritedUntil) && l.inherited.has(bucketOf(target))
}

// Tick renews, acquires or releases the lease when due.
func (l *Lease) Tick(now time.Time) {
	if l.held && !now.Before(l.validUntil) {
		l.lose("not renewed in time")
	}
	if l.commitPending || now.Before(l.nextTick) && !l.mustDeclare(now) {
		return
	}
	switch {
	case l.held && l.resigned:
		l.Resign(now)
	case l.held:
		l.renew(now)
	case !l.resigned && l.available(now):
		l.acquire(now)
	}
}

// mustDeclare reports whether an act is waiting for its target to be declared.
func (l *Lease) mustDeclare(now time.Time) bool {
	return l.Held(now) && !l.requested.subsetOf(&l.declared)
}

// targetsToDeclare returns the targets that the record has to declare: those of upcoming acts,
// those of acts recent enough to require a pause of the next holder, and those of acts that may
// still take effect.
func (l *Lease) targetsToDeclare(now time.Time) targetSet {
	set := l.acted.since(now, l.options.Pause+maxActDuration+pauseMargin)
	set.union(&l.requested)
	if now.Before(l.inheritedUntil) {
		set.union(&l.inherited)
	}
	if l.options.Unanswered != nil {
		for _, target := range l.options.Unanswered(now) {
			set.add(bucketOf(target))
		}
	}
	return set
}

// inherit records the targets of a previous holder. It must be called before the acquisition is
// sent, which may succeed even if its answer is lost.
func (l *Lease) inherit(now time.Time, previous *doorstepv1.OrderLease) {
	if !now.Before(l.inheritedUntil) {
		l.inherited = targetSet{}
	}
	targets := targetsOf(previous)
	l.inherited.union(&targets)
	l.inheritedUntil = now.Add(l.options.MaxActDelay)
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

// OnRecord handles a new revision of the record. Older revisions are ignored.
func (l *Lease) OnRecord(now time.Time, record port.Record) {
	if record.Revision <= l.revision {
		return
	}
	l.revision = record.Revision
	l.changedAt = now
	decoded := &doorstepv1.OrderLease{}
	if err := proto.Unmarshal(record.Value, decoded); err == nil {
		l.record = decoded
	}
	if l.held && !l.ownRecord() {
		l.lose("taken by " + l.record.Holder)
	}
}

// SetObserving records whether the record can currently be observed. When it becomes observable
// again, the takeover time restarts, since the holder may have been disconnected as well.
func (l *Lease) SetObserving(now time.Time, observing bool) {
	if observing {
		l.changedAt = now
	}
}

// ownRecord reports whether the record names this incarnation of this node.
func (l *Lease) ownRecord() bool {
	return l.record.Holder == l.options.Holder && l.record.Incarnation == l.options.Incarnation
}

// available reports whether the lease may be acquired. The acquisition is conditional on the
// revision, so an outdated view only costs a failed call.
func (l *Lease) available(now time.Time) bool {
	observed := l.options.ObservedUntil(now)
	if observed.IsZero() {
		return false
	}
	// A record with this node's name is from a previous incarnation or from an acquisition whose
	// answer was lost. No other process acts under it.
	if l.record.Holder == "" || l.record.Holder == l.options.Holder {
		return true
	}
	jitter := time.Duration(l.options.Jitter * float64(TakeoverSpread(l.options.Timing.TakeoverSpread, l.options.NodeCount)))
	return observed.Sub(l.changedAt) >= l.options.Timing.TakeoverAfter+jitter
}

func (l *Lease) acquire(now time.Time) {
	previous := l.record
	if previous.Ordering && !l.ownRecord() {
		l.inherit(now, previous)
	}
	next := &doorstepv1.OrderLease{Holder: l.options.Holder, Incarnation: l.options.Incarnation, Beat: previous.Beat + 1, ActsFromMs: previous.ActsFromMs}
	if previous.Ordering && !l.ownRecord() {
		// Set before the acquisition is sent: if its answer is lost, the record already names this
		// node and no longer its predecessor.
		l.pausedTargets = targetsOf(previous)
		l.pauseEnd = now.Add(l.takeoverPause(now))
		next.ActsFromMs = l.storeTimeAt(now, l.pauseEnd)
		// The record declares these targets until the pause is over, and for as long as a previous
		// incarnation of this node may have acted on them.
		actedAt := l.pauseEnd.Add(-l.options.Pause)
		if previous.Holder == l.options.Holder {
			actedAt = now
		}
		l.acted.advance(&l.pausedTargets, actedAt)
	}
	setTargets(next, l.targetsToDeclare(now))
	l.commit(now, next, func(now, sentAt time.Time, result port.RecordResult) {
		if result.Status != port.RecordDone {
			l.onConflict(now, result)
			return
		}
		l.held = true
		l.fence = result.Revision
		l.validUntil = sentAt.Add(l.options.Timing.Validity)
		l.declared = targetsOf(next)
		l.options.Queue.Log(event.LeaseAcquired, "lease", l.options.Key.Key, "fence", l.fence, "former", previous.Holder,
			"owed_ms", max(0, l.pauseRemaining(now)).Milliseconds())
	})
}

func (l *Lease) renew(now time.Time) {
	next := proto.Clone(l.record).(*doorstepv1.OrderLease)
	next.Beat++
	targets := l.targetsToDeclare(now)
	setTargets(next, targets)
	l.requested = targetSet{}
	// Until the renewal is answered, only targets in both sets are known to be declared.
	l.declared.intersect(&targets)
	l.commit(now, next, func(now, sentAt time.Time, result port.RecordResult) {
		switch {
		case result.Status == port.RecordDone:
			l.validUntil = sentAt.Add(l.options.Timing.Validity)
			l.declared = targets
			l.nextTick = sentAt.Add(l.options.Timing.RenewEvery)
		default:
			l.onConflict(now, result)
		}
	})
}

// onConflict applies the record returned by a conflict. It is either this node's own write, whose
// answer was lost, or another holder's.
func (l *Lease) onConflict(now time.Time, result port.RecordResult) {
	if result.Status != port.RecordConflict {
		return
	}
	l.OnRecord(now, firstRecord(result))
	if l.held && l.ownRecord() {
		l.nextTick = now
	}
}

func (l *Lease) commit(now time.Time, next *doorstepv1.OrderLease, done func(now, sentAt time.Time, result port.RecordResult)) {
	value, err := proto.Marshal(next)
	if err != nil {
		panic("cannot encode lease record: " + err.Error())
	}
	l.commitPending = true
	sentAt := now
	l.options.Queue.Add(task.Commit{
		Transaction: port.RecordTransaction{
			Preconditions: []port.Precondition{{RecordKey: l.options.Key, Revision: l.revision}},
			Puts:          []port.Record{{RecordKey: l.options.Key, Value: value}},
		},
		Done: func(now time.Time, result port.RecordResult) {
			l.commitPending = false
			l.nextTick = now.Add(retryDelay)
			if result.Status == port.RecordDone {
				l.record = next
				l.revision = result.Revision
				l.changedAt = now
			}
			done(now, sentAt, result)
		},
	})
}

// retryDelay is the delay after an unsuccessful call.
const retryDelay = 100 * time.Millisecond

// Resign releases the lease for good. The release is delayed until no act is in flight, because the
// next holder's pause counts from it.
func (l *Lease) Resign(now time.Time) {
	l.resigned = true
	if !l.held || l.commitPending || now.Sub(l.lastAct) < maxActDuration {
		return
	}
	l.held = false
	next := &doorstepv1.OrderLease{Beat: l.record.Beat + 1}
	setTargets(next, l.targetsToDeclare(now))
	l.options.Queue.Log(event.LeaseReleased, "lease", l.options.Key.Key, "fence", l.fence)
	l.commit(now, next, func(time.Time, time.Time, port.RecordResult) {})
}
