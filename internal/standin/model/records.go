package model

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/doorstep/doorstep/internal/port"
)

// Limits of the platform's record store.
const (
	// MaxRecordBytes is the maximum size of a value. MaxTransactionEntries and
	// MaxTransactionBytes limit a transaction.
	MaxRecordBytes        = 65536
	MaxTransactionEntries = 100
	MaxTransactionBytes   = 1 << 20
	// MaxRangeRecords is the maximum number of records returned by a range.
	MaxRangeRecords = 500
)

// RecordStoreOptions configures a RecordStore.
type RecordStoreOptions struct {
	// WritesPerSecond and ReadsPerSecond are rate limits; 0 means unlimited.
	WritesPerSecond, ReadsPerSecond float64
	// History is how long changes are kept for watches; 0 means forever.
	History time.Duration
}

// RecordStore models the platform's record store: records with revisions, conditional transactions, ranges, and
// watches over a history that can be compacted. It is safe for concurrent use.
type RecordStore struct {
	mu       sync.Mutex
	options  RecordStoreOptions
	started  time.Time
	revision int64
	rows     map[port.RecordKey]port.Record
	history  []change
	// compactedRevision is the latest revision that is no longer in the history.
	compactedRevision int64
	writes            *rate.Limiter
	reads             *rate.Limiter
	changed           chan struct{}
	// watchesMutedUntil is the time until which watches receive no changes.
	watchesMutedUntil time.Time
}

type change struct {
	record port.Record
	at     time.Time
}

// NewRecordStore returns an empty store.
func NewRecordStore(now time.Time, options RecordStoreOptions) *RecordStore {
	r := &RecordStore{options: options, started: now, rows: map[port.RecordKey]port.Record{}, changed: make(chan struct{})}
	if options.WritesPerSecond > 0 {
		r.writes = rate.NewLimiter(rate.Limit(options.WritesPerSecond), int(options.WritesPerSecond/4)+1)
	}
	if options.ReadsPerSecond > 0 {
		r.reads = rate.NewLimiter(rate.Limit(options.ReadsPerSecond), int(options.ReadsPerSecond/4)+1)
	}
	return r
}

func (r *RecordStore) result(now time.Time, status port.RecordStatus) port.RecordResult {
	return port.RecordResult{Status: status, Revision: r.revision, Clock: now.Sub(r.started)}
}

// Commit applies a transaction atomically.
func (r *RecordStore) Commit(now time.Time, transaction port.RecordTransaction) port.RecordResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writes != nil && !r.writes.AllowN(now, 1) || !withinLimits(transaction) {
		return port.RecordResult{Status: port.RecordRefused}
	}
	conflict := false
	for _, precondition := range transaction.Preconditions {
		conflict = conflict || r.rows[precondition.RecordKey].Revision != precondition.Revision
	}
	if conflict {
		result := r.result(now, port.RecordConflict)
		for _, precondition := range transaction.Preconditions {
			if row, ok := r.rows[precondition.RecordKey]; ok {
				result.Records = append(result.Records, row)
			}
		}
		return result
	}
	r.revision++
	for _, put := range transaction.Puts {
		r.set(now, port.Record{RecordKey: put.RecordKey, Value: slices.Clone(put.Value), Revision: r.revision})
	}
	for _, key := range transaction.Deletes {
		if _, ok := r.rows[key]; ok {
			r.set(now, port.Record{RecordKey: key, Revision: r.revision, Deleted: true})
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return r.result(now, port.RecordDone)
}

// withinLimits reports whether a transaction affects a single partition and is within the size limits.
func withinLimits(transaction port.RecordTransaction) bool {
	entries := len(transaction.Preconditions) + len(transaction.Puts) + len(transaction.Deletes)
	size := 0
	partitions := map[string]bool{}
	for _, precondition := range transaction.Preconditions {
		partitions[precondition.Partition] = true
	}
	for _, put := range transaction.Puts {
		partitions[put.Partition] = true
		size += len(put.Value) * 4 / 3
		if len(put.Value) > MaxRecordBytes {
			return false
		}
	}
	for _, key := range transaction.Deletes {
		partitions[key.Partition] = true
	}
	return entries <= MaxTransactionEntries && size <= MaxTransactionBytes && len(partitions) <= 1
}

func (r *RecordStore) set(now time.Time, record port.Record) {
	if record.Deleted {
		delete(r.rows, record.RecordKey)
	} else {
		r.rows[record.RecordKey] = record
	}
	r.history = append(r.history, change{record: record, at: now})
	for r.options.History > 0 && len(r.history) > 0 && now.Sub(r.history[0].at) > r.options.History {
		r.compactedRevision = r.history[0].record.Revision
		r.history = r.history[1:]
	}
}

// Range returns the records of a partition in key order.
func (r *RecordStore) Range(now time.Time, query port.RecordRange) port.RecordResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reads != nil && !r.reads.AllowN(now, 1) {
		return port.RecordResult{Status: port.RecordRefused}
	}
	result := r.result(now, port.RecordDone)
	for key, row := range r.rows {
		if key.Table == query.Table && key.Partition == query.Partition && key.Key >= query.From && (query.To == "" || key.Key < query.To) {
			result.Records = append(result.Records, row)
		}
	}
	slices.SortFunc(result.Records, func(a, b port.Record) int { return cmp.Compare(a.Key, b.Key) })
	limit := MaxRangeRecords
	if query.Limit > 0 {
		limit = min(limit, query.Limit)
	}
	size := 0
	for i, row := range result.Records {
		size += len(row.Value)
		if i > 0 && size > MaxTransactionBytes || i >= limit {
			result.Records = result.Records[:i]
			result.More = true
			break
		}
	}
	return result
}

// Changes returns the changes of a table after a revision, and a channel that is closed at the next change of any
// table.
func (r *RecordStore) Changes(now time.Time, table string, after int64) (port.RecordResult, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.compactedRevision {
		return port.RecordResult{Status: port.RecordCompacted}, r.changed
	}
	result := r.result(now, port.RecordDone)
	if now.Before(r.watchesMutedUntil) {
		result.Revision = after
		return result, r.changed
	}
	for _, change := range r.history {
		if change.record.Table == table && change.record.Revision > after {
			result.Records = append(result.Records, change.record)
		}
	}
	return result, r.changed
}

// CompactHistory compacts the entire history, which ends watches from earlier revisions.
func (r *RecordStore) CompactHistory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.compactedRevision = r.revision
	r.history = nil
	close(r.changed)
	r.changed = make(chan struct{})
}

// MuteWatches withholds changes from watches until the given time. Writes proceed normally.
func (r *RecordStore) MuteWatches(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchesMutedUntil = until
}

// All returns all current records in no particular order.
func (r *RecordStore) All() []port.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]port.Record, 0, len(r.rows))
	for _, record := range r.rows {
		list = append(list, record)
	}
	return list
}
