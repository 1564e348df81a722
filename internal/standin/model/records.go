package model

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/doorstep/doorstep/internal/port"
)

// Bounds of the record store, as the platform states them.
const (
	// RecordBytes bounds a value, TransactionEntries and TransactionBytes a transaction.
	RecordBytes        = 65536
	TransactionEntries = 100
	TransactionBytes   = 1 << 20
	// RangeRecords bounds a range.
	RangeRecords = 500
)

// RecordsOptions configure Records.
type RecordsOptions struct {
	// WritesPerSecond and ReadsPerSecond are the budgets; 0 for none.
	WritesPerSecond, ReadsPerSecond float64
	// History is how long changes can be watched back.
	History time.Duration
}

// Records is the platform's record store: rows with revisions, conditional
// transactions, ranges and a watch whose history can be forgotten. It may be used by
// several goroutines.
type Records struct {
	mu       sync.Mutex
	options  RecordsOptions
	started  time.Time
	revision int64
	rows     map[port.RecordKey]port.Record
	history  []change
	// forgotten is the revision up to which history is gone.
	forgotten int64
	writes    *rate.Limiter
	reads     *rate.Limiter
	changed   chan struct{}
	// hushUntil is until when watches hear nothing.
	hushUntil time.Time
}

type change struct {
	record port.Record
	at     time.Time
}

// NewRecords returns an empty store.
func NewRecords(now time.Time, options RecordsOptions) *Records {
	r := &Records{options: options, started: now, rows: map[port.RecordKey]port.Record{}, changed: make(chan struct{})}
	if options.WritesPerSecond > 0 {
		r.writes = rate.NewLimiter(rate.Limit(options.WritesPerSecond), int(options.WritesPerSecond/4)+1)
	}
	if options.ReadsPerSecond > 0 {
		r.reads = rate.NewLimiter(rate.Limit(options.ReadsPerSecond), int(options.ReadsPerSecond/4)+1)
	}
	return r
}

func (r *Records) answer(now time.Time, status port.RecordStatus) port.RecordResult {
	return port.RecordResult{Status: status, Revision: r.revision, Clock: now.Sub(r.started)}
}

// Commit carries out a transaction, or none of it.
func (r *Records) Commit(now time.Time, transaction port.RecordTransaction) port.RecordResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.writes != nil && !r.writes.AllowN(now, 1) || !allowed(transaction) {
		return port.RecordResult{Status: port.RecordRefused}
	}
	conflict := false
	for _, one := range transaction.Preconditions {
		conflict = conflict || r.rows[one.RecordKey].Revision != one.Revision
	}
	if conflict {
		result := r.answer(now, port.RecordConflict)
		for _, one := range transaction.Preconditions {
			if row, ok := r.rows[one.RecordKey]; ok {
				result.Records = append(result.Records, row)
			}
		}
		return result
	}
	r.revision++
	for _, one := range transaction.Puts {
		r.set(now, port.Record{RecordKey: one.RecordKey, Value: slices.Clone(one.Value), Revision: r.revision})
	}
	for _, key := range transaction.Deletes {
		if _, ok := r.rows[key]; ok {
			r.set(now, port.Record{RecordKey: key, Revision: r.revision, Deleted: true})
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return r.answer(now, port.RecordDone)
}

// allowed reports whether a transaction is within the bounds: one partition, and not
// too large.
func allowed(transaction port.RecordTransaction) bool {
	entries := len(transaction.Preconditions) + len(transaction.Puts) + len(transaction.Deletes)
	size := 0
	partitions := map[string]bool{}
	for _, one := range transaction.Preconditions {
		partitions[one.Partition] = true
	}
	for _, one := range transaction.Puts {
		partitions[one.Partition] = true
		size += len(one.Value) * 4 / 3
		if len(one.Value) > RecordBytes {
			return false
		}
	}
	for _, one := range transaction.Deletes {
		partitions[one.Partition] = true
	}
	return entries <= TransactionEntries && size <= TransactionBytes && len(partitions) <= 1
}

func (r *Records) set(now time.Time, record port.Record) {
	if record.Deleted {
		delete(r.rows, record.RecordKey)
	} else {
		r.rows[record.RecordKey] = record
	}
	r.history = append(r.history, change{record: record, at: now})
	for r.options.History > 0 && len(r.history) > 0 && now.Sub(r.history[0].at) > r.options.History {
		r.forgotten = r.history[0].record.Revision
		r.history = r.history[1:]
	}
}

// Range reads a partition in the order of its keys.
func (r *Records) Range(now time.Time, query port.RecordRange) port.RecordResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reads != nil && !r.reads.AllowN(now, 1) {
		return port.RecordResult{Status: port.RecordRefused}
	}
	result := r.answer(now, port.RecordDone)
	for key, row := range r.rows {
		if key.Table == query.Table && key.Partition == query.Partition && key.Key >= query.From && (query.To == "" || key.Key < query.To) {
			result.Records = append(result.Records, row)
		}
	}
	slices.SortFunc(result.Records, func(a, b port.Record) int { return cmp.Compare(a.Key, b.Key) })
	limit := RangeRecords
	if query.Limit > 0 {
		limit = min(limit, query.Limit)
	}
	size := 0
	for i, row := range result.Records {
		size += len(row.Value)
		if i > 0 && size > TransactionBytes || i >= limit {
			result.Records = result.Records[:i]
			result.More = true
			break
		}
	}
	return result
}

// Changes returns the changes of a table after a revision, and a channel that is closed
// at the next change of anything.
func (r *Records) Changes(now time.Time, table string, after int64) (port.RecordResult, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.forgotten {
		return port.RecordResult{Status: port.RecordCompacted}, r.changed
	}
	result := r.answer(now, port.RecordDone)
	if now.Before(r.hushUntil) {
		result.Revision = after
		return result, r.changed
	}
	for _, one := range r.history {
		if one.record.Table == table && one.record.Revision > after {
			result.Records = append(result.Records, one.record)
		}
	}
	return result, r.changed
}

// Forget drops the history; watches hear nothing until then.
func (r *Records) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgotten = r.revision
	r.history = nil
	close(r.changed)
	r.changed = make(chan struct{})
}

// Hush makes watches hear nothing until then, while changes are made.
func (r *Records) Hush(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hushUntil = until
}

// All returns every record as it stands, in no order.
func (r *Records) All() []port.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]port.Record, 0, len(r.rows))
	for _, record := range r.rows {
		list = append(list, record)
	}
	return list
}
