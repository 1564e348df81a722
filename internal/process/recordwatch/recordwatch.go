// Package recordwatch follows one table of the record store: it reads the table whole
// and then watches its changes. A watch may be silent while changes are made, and its
// history may be gone, so the table is read again after any trouble and now and then.
package recordwatch

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

const (
	// firstPause and longestPause bound the pause after a failed call.
	firstPause   = 60 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// refusedFor is how long a watch may be refused before it counts as broken.
	refusedFor = 1200 * time.Millisecond
	// gatherStep is the least that a refusal adds to the pause between two calls, and
	// gatherDecay the part of that pause that is left with each call that is answered.
	gatherStep  = 80 * time.Millisecond
	gatherDecay = 0.9
	// answerWithin is how soon a watch is answered if there was a change before its call, where
	// the store is no further away than that.
	answerWithin = 100 * time.Millisecond
	// rereadPerRecord bounds what whole readings cost the store: a node reads so many records a second
	// for them, whatever the table holds. 986 nodes that read 10,000 replicas each 8 s take 2,465 reads
	// and some 370 MB a second by arithmetic; at 100 records a second it is 30 KB a second for each node.
	rereadPerRecord = 10 * time.Millisecond
	// LargeTable is how many records a table has that one call does not read: such a one is watched on
	// from where it stands after a call that got no answer. Nodes that lose the store lose it together,
	// and its return would meet whole readings by all.
	LargeTable = 500
	// relaxedRate and relaxedBurst bound the calls that bring changes to a relaxed watch, by the second: 986
	// nodes would make 25 each at a pause of 40 ms, of the 16,000 reads a second that all have together. Changes come up to a
	// third of a second later then, of the seconds within which a leaving replica must be known.
	relaxedRate  = 3
	relaxedBurst = 1
)

// Options configure a Watch.
type Options struct {
	Table      string
	Partitions []string
	Queue      *task.Queue
	// Wait is how long the store may hold one call.
	Wait time.Duration
	// Reread is how long a change may go unseen that the watch missed: the table is read
	// whole that often. 0 reads it only after trouble.
	Reread time.Duration
	// Gather is the pause between two calls, in which changes gather. It grows up to
	// MostGather with each call that the store refuses at first: all nodes share its budget,
	// so each finds the pace that it bears. A watch whose two are equal yields to none.
	Gather, MostGather time.Duration
	// Relaxed, unless nil, reports whether this node has no use for changes within moments: calls that
	// bring some are then spaced.
	Relaxed func(now time.Time) bool
	// Partial, unless nil, lets the watch know less than the whole table.
	Partial *Partial
	// Jitter, from 0 to 1, spreads the nodes' calls: those that follow a refusal, and with a Distance also
	// those that follow a failure.
	Jitter float64
	// Distance returns how long calls to the store take of late; nil in a deployment of one region.
	Distance func() time.Duration
	// OnList takes the whole table, OnChange records that changed.
	OnList   func(now time.Time, records []port.Record)
	OnChange func(now time.Time, records []port.Record)
	// OnHealth is told when the watch breaks and when it is whole again.
	OnHealth func(now time.Time, healthy bool)
}

// Watch is the machine; it belongs to the node's loop.
type Watch struct {
	options Options
	busy    bool
	nextAt  time.Time
	pause   time.Duration
	// gather is the present pause between two calls. refusing is set from the first refusal
	// of a call until one is answered.
	gather   time.Duration
	refusing bool
	// watching is set while a call of the watch is under way that was sent at sentAt, the last of
	// watchCalls; answers to earlier ones are passed over.
	watching   bool
	sentAt     time.Time
	watchCalls uint64
	// listing is the partition being read, or the number of partitions once all are; target is how much
	// of the table the reading is for, which began at the key start, first is set until its first answer,
	// and wrapped once it went round by the end of the table.
	listing  int
	target   Extent
	start    string
	first    bool
	wrapped  bool
	from     string
	records  []port.Record
	after    int64
	listedAt time.Time
	everRead bool
	// known is how much of the table the last reading brought, current whether its changes are followed
	// since, wholeSince since when the whole table's are. failing is set while the store gives no answers.
	known      Extent
	current    bool
	wholeSince time.Time
	failing    bool
	// size is how many records the last whole reading brought.
	size    int
	relaxed *rate.Limiter
	healthy bool
	// answerAt is when the store last answered any call. heardAt is up to when what is known of the table is
	// confirmed; readAt is when the first answer of the reading under way came, up to which that confirms once
	// it is over.
	answerAt, heardAt, readAt time.Time
}

// New returns a watch that has read nothing.
func New(options Options) *Watch {
	options.MostGather = max(options.MostGather, options.Gather)
	w := &Watch{options: options, pause: firstPause, gather: options.Gather, relaxed: rate.NewLimiter(relaxedRate, relaxedBurst)}
	w.begin(Whole)
	if options.Partial != nil {
		w.begin(Part)
	}
	return w
}

// Read reports whether the table was read whole at least once.
func (w *Watch) Read() bool { return w.everRead }

// Healthy reports whether the last call succeeded.
func (w *Watch) Healthy() bool { return w.healthy }

// AnswerAt returns when the store last answered.
func (w *Watch) AnswerAt() time.Time { return w.answerAt }

// Tick makes the next call when it is due.
func (w *Watch) Tick(now time.Time) {
	w.cutShort(now)
	if w.busy || now.Before(w.nextAt) || w.adjust(now) {
		return
	}
	w.busy = true
	if w.listing < len(w.options.Partitions) {
		w.list()
		return
	}
	w.watching, w.sentAt = true, now
	w.watchCalls++
	number := w.watchCalls
	w.options.Queue.Add(task.Watch{Table: w.options.Table, After: w.after, Wait: w.options.Wait, Done: func(now time.Time, result port.RecordResult) {
		if number == w.watchCalls {
			w.onChanges(now, result)
		}
	}})
}

// ObservedUntil returns the time up to which changes would have been heard of: until now
// while a call waits at the store, else until the last change or whole reading. Answers to a
// reading that is not over confirm nothing. A store that is further away than
// answerWithin tells of a change that much later: at 600 ms a change that was 300 ms old counted as
// not made (TestAFarStoreIsHeardOfLater).
func (w *Watch) ObservedUntil(now time.Time) time.Time {
	distance := w.distance()
	if !w.watching || now.Sub(w.sentAt) <= max(answerWithin, distance) {
		return w.heardAt
	}
	if distance <= answerWithin {
		return now
	}
	if heard := now.Add(-distance); heard.After(w.heardAt) {
		return heard
	}
	return w.heardAt
}

func (w *Watch) distance() time.Duration {
	if w.options.Distance == nil {
		return 0
	}
	return w.options.Distance()
}

func (w *Watch) list() {
	w.options.Queue.Add(task.Range{Query: w.query(), Done: w.onRange})
}

func (w *Watch) onRange(now time.Time, result port.RecordResult) {
	w.busy = false
	if result.Status == port.RecordRefused {
		w.refused(now)
		return
	}
	if result.Status != port.RecordDone {
		w.failed(now, result.Status)
		return
	}
	w.answerAt, w.failing = now, false
	if w.first {
		// Changes made while the rest is read are watched from here.
		w.after, w.first, w.readAt = result.Revision, false, now
	}
	w.records = append(w.records, result.Records...)
	if w.readOn(result) {
		w.Tick(now)
		return
	}
	w.from = ""
	w.listing++
	if w.listing == len(w.options.Partitions) {
		w.finishList(now)
	}
	w.Tick(now)
}

func (w *Watch) finishList(now time.Time) {
	records := w.records
	w.records = nil
	w.listedAt, w.heardAt = now, w.readAt
	w.size = len(records)
	w.everRead = true
	if w.target == Whole && !w.Follows(Whole) {
		w.wholeSince = now
	}
	w.known, w.current = w.target, true
	if w.known == Part {
		w.options.Partial.OnPart(now)
	} else {
		w.options.OnList(now, records)
	}
	w.setHealthy(now, true)
}

// setHealthy tells of a watch that breaks or is whole again.
func (w *Watch) setHealthy(now time.Time, healthy bool) {
	if w.healthy == healthy {
		return
	}
	w.healthy = healthy
	if healthy {
		w.options.Queue.Log(event.StoreRegained, "table", w.options.Table, "revision", w.after)
	}
	w.options.OnHealth(now, healthy)
}

// next paces the call behind one that was answered.
func (w *Watch) next(now time.Time) {
	w.refusing = false
	w.pause = max(firstPause, w.pause*3/4)
	w.gather = max(w.options.Gather, time.Duration(gatherDecay*float64(w.gather)))
}

// refused makes the same call later. Nothing was missed: the watch goes on from where it
// stands, but counts as broken once it has heard nothing for a while.
func (w *Watch) refused(now time.Time) {
	w.nextAt = now.Add(w.jittered())
	w.pause = min(2*w.pause, longestPause)
	if !w.refusing {
		// Further refusals of the same call say nothing of the pace between two calls: a store
		// that is away refuses every one.
		w.gather = min(max(2*w.gather, w.gather+gatherStep), w.options.MostGather)
		w.refusing = true
	}
	if w.healthy && now.Sub(w.answerAt) > refusedFor {
		w.options.Queue.Log(event.StoreLost, "table", w.options.Table, "status", int(port.RecordRefused), "revision", w.after)
		w.failing = true
		w.setHealthy(now, false)
	}
}

// jittered returns the pause before the next try, from half of it to one and a half. Nodes whose
// connections are reset at one moment lose their calls at one, and without jitter came back at one
// for good (40 of 40 within 25 ms, TestNodesComeBackApart). Calls that get no answer end at times
// of their own: a silent region's return is spread either way.
func (w *Watch) jittered() time.Duration {
	return w.pause/2 + time.Duration(w.options.Jitter*float64(w.pause))
}

func (w *Watch) onChanges(now time.Time, result port.RecordResult) {
	w.busy, w.watching = false, false
	if result.Status == port.RecordRefused {
		w.refused(now)
		return
	}
	if result.Status != port.RecordDone {
		w.failed(now, result.Status)
		return
	}
	w.answerAt, w.heardAt, w.failing = now, now, false
	w.setHealthy(now, true)
	w.after = max(w.after, result.Revision)
	if len(result.Records) > 0 {
		w.options.OnChange(now, result.Records)
		w.nextAt = now.Add(max(w.gather, w.spacing(now)))
	}
	w.next(now)
	if w.options.Reread > 0 && now.Sub(w.listedAt) >= w.rereadAfter() {
		w.begin(w.known)
	}
	w.Tick(now)
}

// spacing returns the pause of a relaxed watch behind a call that brought changes.
func (w *Watch) spacing(now time.Time) time.Duration {
	if w.options.Relaxed == nil || !w.options.Relaxed(now) {
		return 0
	}
	return w.relaxed.ReserveN(now, 1).DelayFrom(now)
}

// Hasten ends the pause of a relaxed watch, as changes are waited for from now on.
func (w *Watch) Hasten(now time.Time) {
	if !w.busy && !w.refusing && w.healthy && now.Before(w.nextAt) {
		w.nextAt = now
	}
}

// rereadAfter spreads the nodes' whole reads over half of their interval: nodes that start, or come back
// in touch, at one moment read at one. Spread over a quarter of it, 87 nodes made up to 642 reads in a
// second, 156 in the first ten seconds (TestRegionReturns).
func (w *Watch) rereadAfter() time.Duration {
	interval := max(w.options.Reread, time.Duration(w.size)*rereadPerRecord)
	return interval/2 + time.Duration(w.options.Jitter*float64(interval)/2)
}

// failed begins anew with a whole read, but for a watch of a large table, which goes on from where it
// stands: nothing was missed, or its history is gone. That is no trouble of the store's, so the read
// follows at once.
func (w *Watch) failed(now time.Time, status port.RecordStatus) {
	watched := w.listing == len(w.options.Partitions)
	if status == port.RecordCompacted || !watched || w.size < LargeTable {
		w.begin(w.target)
	}
	w.failing = status != port.RecordCompacted
	if status == port.RecordCompacted {
		w.nextAt = now
		w.Tick(now)
		return
	}
	w.nextAt = now.Add(w.pause)
	if w.options.Distance != nil {
		w.nextAt = now.Add(w.jittered())
	}
	w.pause = min(2*w.pause, longestPause)
	if w.healthy {
		w.options.Queue.Log(event.StoreLost, "table", w.options.Table, "status", int(status), "revision", w.after)
		w.setHealthy(now, false)
	}
}
