package recordwatch

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
)

// Extent is how much of its table a watch follows or should follow.
type Extent int

const (
	// ExtentNone suspends the watch: it makes no calls and its records become stale.
	ExtentNone Extent = iota
	// ExtentPart is a contiguous range of records and their changes.
	ExtentPart
	// ExtentFull is the entire table and its changes.
	ExtentFull
)

// PartialOptions lets the watch of a large table with one partition follow only a part of it. In a large
// fleet, having every node follow every replica would overload the store's network links: 986 nodes and
// 10,000 replicas cost 3 GB until all are listed, and 300 bytes per node for each change from then on.
type PartialOptions struct {
	// MinRecords is the number of records from which a table may be followed partially.
	MinRecords int
	// Extent returns how much of the table should be followed.
	Extent func(now time.Time) Extent
	// Known returns the number of known records.
	Known func() int
	// StartKey returns the key at which a partial read starts. Enough receives all records read from
	// there and reports whether they suffice as a part; if not, the read continues, up to the whole
	// table.
	StartKey func() string
	Enough   func(records []port.Record) bool
	// OnPart is called when the records last passed to Enough become the followed part. Records outside
	// of it are stale.
	OnPart func(now time.Time)
}

// partRecords is the number of records per call of a partial read. It keeps a response at about 70 KB.
// The first read has no limit, so that a table that is not large is read completely.
const partRecords = 100

// Follows reports whether the watch follows at least this much of the table. While the store is
// unreachable, it reports the state as of the last contact.
func (w *Watch) Follows(extent Extent) bool { return w.current && w.known >= extent }

// Pending reports whether the watch does not follow this much of the table yet but can be expected to
// do so soon, as the store is answering.
func (w *Watch) Pending(extent Extent) bool { return !w.Follows(extent) && !w.failing }

// Reading reports whether a read of the table or a part of it is in progress.
func (w *Watch) Reading() bool { return w.partition < len(w.options.Partitions) }

// FollowedSince returns since when the whole table has been followed continuously, zero if it is not.
func (w *Watch) FollowedSince() time.Time {
	if !w.Follows(ExtentFull) {
		return time.Time{}
	}
	return w.wholeSince
}

// wantedExtent returns how much of the table should be followed. Tables that are not large are followed
// completely; the first answer tells the size.
func (w *Watch) wantedExtent(now time.Time) Extent {
	switch p := w.options.Partial; {
	case p == nil:
		return ExtentFull
	case !w.everRead:
		return max(p.Extent(now), ExtentPart)
	case w.known == ExtentFull && p.Known() < p.MinRecords:
		return ExtentFull
	default:
		return p.Extent(now)
	}
}

// adjust starts a read if more of the table is wanted than is followed and suspends the watch if
// nothing is wanted. It reports whether the watch is suspended.
func (w *Watch) adjust(now time.Time) bool {
	wanted := w.wantedExtent(now)
	reading := w.Reading()
	switch {
	case wanted == ExtentNone:
		w.suspend()
		return true
	case !w.current && !reading, w.known < wanted && (!reading || w.target < wanted):
		w.startRead(wanted)
	}
	return false
}

// interruptWait abandons a waiting watch call if more of the table is wanted than is followed. The
// store could otherwise hold the call for its full wait time.
func (w *Watch) interruptWait(now time.Time) {
	if w.options.Partial != nil && w.watching && w.wantedExtent(now) > w.known {
		w.abandonCall(now)
	}
}

func (w *Watch) abandonCall(now time.Time) {
	w.watchCalls++
	w.busy, w.watching, w.nextAt = false, false, now
}

// RereadPart starts another partial read after the followed part has become insufficient, unless a read
// is in progress.
func (w *Watch) RereadPart(now time.Time) {
	if !w.Follows(ExtentPart) || w.known == ExtentFull || w.Reading() {
		return
	}
	if w.watching {
		w.abandonCall(now)
	}
	w.startRead(ExtentPart)
	w.Tick(now)
}

// suspend stops the watch. An unfinished read starts over later.
func (w *Watch) suspend() {
	none := len(w.options.Partitions)
	if !w.current && w.partition == none {
		return
	}
	w.current, w.failing = false, false
	w.partition, w.records, w.nextAt = none, nil, time.Time{}
	w.options.Queue.Log(event.WatchSuspended, "table", w.options.Table, "revision", w.revision)
}

// startRead starts a read of the given extent.
func (w *Watch) startRead(extent Extent) {
	w.target, w.firstRead, w.wrapped = extent, true, false
	w.partition, w.records, w.startKey = 0, nil, ""
	if extent == ExtentPart {
		w.startKey = w.options.Partial.StartKey()
	}
	w.nextKey = w.startKey
}

// nextRange returns the next range of a read. A partial read starts at its first key and wraps around
// at the end of the table.
func (w *Watch) nextRange() port.RecordRange {
	query := port.RecordRange{Table: w.options.Table, Partition: w.options.Partitions[w.partition], From: w.nextKey}
	if w.target == ExtentPart && w.everRead {
		query.Limit = partRecords
	}
	if w.wrapped {
		query.To = w.startKey
	}
	return query
}

// continueRead reports whether the read of the partition continues after an answer.
func (w *Watch) continueRead(result port.RecordResult) bool {
	if result.More && len(result.Records) > 0 {
		w.nextKey = result.Records[len(result.Records)-1].Key + "\x00"
		return w.target == ExtentFull || !w.options.Partial.Enough(w.records)
	}
	if w.startKey != "" && !w.wrapped {
		w.nextKey, w.wrapped = "", true
		return !w.options.Partial.Enough(w.records)
	}
	// The read has reached the end of the table and is complete.
	w.target = ExtentFull
	return false
}
