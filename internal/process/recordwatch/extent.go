package recordwatch

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
)

// Extent is how much of its table a watch knows, or should know.
type Extent int

const (
	// Nothing lets a watch rest: it makes no calls, and what it read grows old.
	Nothing Extent = iota
	// Part is a number of records that stand side by side, with their changes.
	Part
	// Whole is the whole table with its changes.
	Whole
)

// Partial lets the watch of a table of one partition know less than the whole table, once that is large.
// Where each node followed all of it, 986 nodes and 10,000 replicas cost the store 3 GB until all replicas
// were listed, and 300 bytes and node for each change from then on, whether a node sent to replicas or not.
type Partial struct {
	// Large is how many records a table has at the least of which less may be known.
	Large int
	// Extent returns how much of the table is to be known.
	Extent func(now time.Time) Extent
	// Known returns how many records are known.
	Known func() int
	// Begin returns the key from which a part is read. Enough takes all records that were read from there
	// on, and reports whether they are one; otherwise it is given more, up to the whole table.
	Begin  func() string
	Enough func(records []port.Record) bool
	// OnPart is told that the records that Enough took last are a part. What was known of others is out
	// of date.
	OnPart func(now time.Time)
}

// partRecords is how many records one call reads of a part: some 70 KB of replicas with six models, which
// a machine of a fifth of a core takes 15 ms to decode and its link of 60 Mbit/s 9 ms to carry (500 records:
// 14 ms of a core, by a benchmark). Four of them are of a service that has one of 27 in the table. The first
// call of all reads as many as the store gives, which is the whole of a table that is not large.
const partRecords = 100

// Follows reports whether the watch knows so much of the table as of now, or as of when the store was last
// reached.
func (w *Watch) Follows(extent Extent) bool { return w.current && w.known >= extent }

// Awaited reports whether so much of the table will be known in a moment: it isn't, and nothing speaks
// against the store.
func (w *Watch) Awaited(extent Extent) bool { return !w.Follows(extent) && !w.failing }

// Reading reports whether the table, or a part of it, is being read.
func (w *Watch) Reading() bool { return w.listing < len(w.options.Partitions) }

// Since returns since when the whole table is known without a rest, zero while it isn't.
func (w *Watch) Since() time.Time {
	if !w.Follows(Whole) {
		return time.Time{}
	}
	return w.wholeSince
}

// wanted returns how much of the table is to be known: all of one that is not large. The first answer
// tells whether it is.
func (w *Watch) wanted(now time.Time) Extent {
	switch p := w.options.Partial; {
	case p == nil:
		return Whole
	case !w.everRead:
		return max(p.Extent(now), Part)
	case w.known == Whole && p.Known() < p.Large:
		return Whole
	default:
		return p.Extent(now)
	}
}

// adjust begins to read when more of the table is wanted than is known, and rests when none is. It reports
// whether the watch rests.
func (w *Watch) adjust(now time.Time) bool {
	wanted := w.wanted(now)
	reading := w.Reading()
	switch {
	case wanted == Nothing:
		w.rest()
		return true
	case !w.current && !reading, w.known < wanted && (!reading || w.target < wanted):
		w.begin(wanted)
	}
	return false
}

// cutShort leaves a call that waits for changes once more of the table is wanted than is known: the store
// may hold it for its whole wait.
func (w *Watch) cutShort(now time.Time) {
	if w.options.Partial != nil && w.watching && w.wanted(now) > w.known {
		w.leaveCall(now)
	}
}

func (w *Watch) leaveCall(now time.Time) {
	w.watchCalls++
	w.busy, w.watching, w.nextAt = false, false, now
}

// ReadMore reads a part of the table anew, once what was enough of it no longer is, unless one is being
// read.
func (w *Watch) ReadMore(now time.Time) {
	if !w.Follows(Part) || w.known == Whole || w.Reading() {
		return
	}
	if w.watching {
		w.leaveCall(now)
	}
	w.begin(Part)
	w.Tick(now)
}

// rest ends what the watch does; a reading that was not over is begun anew later.
func (w *Watch) rest() {
	none := len(w.options.Partitions)
	if !w.current && w.listing == none {
		return
	}
	w.current, w.failing = false, false
	w.listing, w.records, w.nextAt = none, nil, time.Time{}
	w.options.Queue.Log(event.WatchRests, "table", w.options.Table, "revision", w.after)
}

// begin begins a reading of so much of the table.
func (w *Watch) begin(extent Extent) {
	w.target, w.first, w.wrapped = extent, true, false
	w.listing, w.records, w.start = 0, nil, ""
	if extent == Part {
		w.start = w.options.Partial.Begin()
	}
	w.from = w.start
}

// query returns the next call of a reading. A part is read from its first key on, round by the end of the
// table.
func (w *Watch) query() port.RecordRange {
	query := port.RecordRange{Table: w.options.Table, Partition: w.options.Partitions[w.listing], From: w.from}
	if w.target == Part && w.everRead {
		query.Limit = partRecords
	}
	if w.wrapped {
		query.To = w.start
	}
	return query
}

// readOn reports whether a reading of the partition goes on behind an answer.
func (w *Watch) readOn(result port.RecordResult) bool {
	if result.More && len(result.Records) > 0 {
		w.from = result.Records[len(result.Records)-1].Key + "\x00"
		return w.target == Whole || !w.options.Partial.Enough(w.records)
	}
	if w.start != "" && !w.wrapped {
		w.from, w.wrapped = "", true
		return !w.options.Partial.Enough(w.records)
	}
	// The end of the table: what was read is all of it.
	w.target = Whole
	return false
}
