package port

import (
	"context"
	"time"
)

// SharedTable holds the records that every node watches. Using one table needs only one watch per
// node; each subsystem has its own partitions in it.
const SharedTable = "shared"

// RecordKey identifies a record in the record store.
type RecordKey struct {
	// Table and Partition locate the record. All records of a transaction are in the same
	// partition.
	Table, Partition string
	// Key is unique within the table and partition.
	Key string
}

// Record is a record as read from the store.
type Record struct {
	RecordKey
	// Value is the content; empty if the record is deleted.
	Value []byte
	// Revision is the store-wide revision of the last write; 0 if the record is absent.
	Revision int64
	// Deleted is set if a watch reports the record's deletion.
	Deleted bool
}

// Precondition requires a record to be at a revision, or to be absent if the revision is 0.
type Precondition struct {
	RecordKey
	Revision int64
}

// RecordTransaction is applied atomically if all preconditions hold.
type RecordTransaction struct {
	Preconditions []Precondition
	Puts          []Record
	Deletes       []RecordKey
}

// RecordStatus is the outcome of a call to the record store.
type RecordStatus int

const (
	// RecordUnknown means that there was no response: a transaction may have been applied, or
	// may still be while its preconditions hold.
	RecordUnknown RecordStatus = iota
	// RecordDone means success.
	RecordDone
	// RecordConflict means that a precondition did not hold and nothing was done.
	RecordConflict
	// RecordRefused means that the store rejected the call because of overload or an outage and
	// nothing was done.
	RecordRefused
	// RecordCompacted means that the changes requested by a watch are no longer available or exceed one response.
	RecordCompacted
	// RecordAbsent means that the object does not exist.
	RecordAbsent
)

// RecordResult is the result of a call to the record store.
type RecordResult struct {
	Status RecordStatus
	// Records are the records read, or the preconditions' records after a conflict.
	Records []Record
	// More reports that the range continues after the last record.
	More bool
	// Revision is the latest store revision, from which a watch can continue.
	Revision int64
	// Clock is the store's monotonic clock.
	Clock time.Duration
	// Value is an object's content.
	Value []byte
}

// RecordRange selects the records of a partition with From <= key < To, ordered by key.
// Empty bounds are open; a Limit of 0 uses the store's limit.
type RecordRange struct {
	Table, Partition string
	From, To         string
	Limit            int
}

// RecordStore is the platform's record store. Reads and writes are linearizable; any call
// may be rejected or go unanswered.
type RecordStore interface {
	Commit(ctx context.Context, transaction RecordTransaction) RecordResult
	Range(ctx context.Context, query RecordRange) RecordResult
	// Watch returns the records of a table that changed after a revision as soon as there
	// are any, or no records once wait has elapsed.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) RecordResult
}

// ReadRecord reads a record, which has revision 0 if it is absent. It returns false if the
// store did not respond.
func ReadRecord(ctx context.Context, store RecordStore, key RecordKey) (Record, bool) {
	record, _, ok := ReadRecordAt(ctx, store, key)
	return record, ok
}

// ReadRecordAt is like ReadRecord and also returns the store's monotonic clock at the read.
func ReadRecordAt(ctx context.Context, store RecordStore, key RecordKey) (Record, time.Duration, bool) {
	result := store.Range(ctx, RecordRange{Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00", Limit: 1})
	if result.Status != RecordDone {
		return Record{}, 0, false
	}
	if len(result.Records) == 0 {
		return Record{RecordKey: key}, result.Clock, true
	}
	return result.Records[0], result.Clock, true
}
