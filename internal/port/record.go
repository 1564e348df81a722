package port

import (
	"context"
	"time"
)

// SharedTable holds the records that every node watches: one watch for all of them, as
// each call to the store counts. Each concern has partitions of its own.
const SharedTable = "shared"

// RecordKey names one record of the record store.
type RecordKey struct {
	// Table and Partition say where the record lies; the records of one
	// transaction share a partition.
	Table, Partition string
	// Key names the record within its table and partition.
	Key string
}

// Record is one record as it was read.
type Record struct {
	RecordKey
	// Value is the content; empty for a deleted record.
	Value []byte
	// Revision is the store-wide revision of the last write; 0 means absent.
	Revision int64
	// Deleted marks a record that a watch saw go.
	Deleted bool
}

// Precondition demands that a record stands at a revision; 0 demands its absence.
type Precondition struct {
	RecordKey
	Revision int64
}

// RecordTransaction takes effect as a whole if all preconditions hold.
type RecordTransaction struct {
	Preconditions []Precondition
	Puts          []Record
	Deletes       []RecordKey
}

// RecordStatus is the outcome of a call to the record store.
type RecordStatus int

const (
	// RecordUnknown means that no answer came: a transaction may have taken
	// effect, or may yet while its preconditions hold.
	RecordUnknown RecordStatus = iota
	// RecordDone means success.
	RecordDone
	// RecordConflict means that a precondition did not hold: nothing was done.
	RecordConflict
	// RecordRefused means that the store refused for load or an outage: nothing
	// was done.
	RecordRefused
	// RecordCompacted means that a watch asked for history that is gone, or is more than one answer holds.
	RecordCompacted
	// RecordAbsent means that there is no such object.
	RecordAbsent
)

// RecordResult answers a call to the record store.
type RecordResult struct {
	Status RecordStatus
	// Records are those read, or after a conflict those of the preconditions.
	Records []Record
	// More says that a range goes on behind the last record.
	More bool
	// Revision is the store's newest, from which a watch goes on.
	Revision int64
	// Clock is the store's steady clock.
	Clock time.Duration
	// Value is an object's content.
	Value []byte
}

// RecordRange asks for the records of a partition with From <= key < To, in order
// of their keys. Empty bounds are open; Limit 0 is the store's own.
type RecordRange struct {
	Table, Partition string
	From, To         string
	Limit            int
}

// RecordStore is the platform's store. Every answer is linearizable; any call may
// be refused, or stay without an answer.
type RecordStore interface {
	Commit(ctx context.Context, transaction RecordTransaction) RecordResult
	Range(ctx context.Context, query RecordRange) RecordResult
	// Watch answers the records of a table that changed after a revision, as soon
	// as there is one, or none once wait has passed.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) RecordResult
}

// ReadRecord reads one record; one that is absent has revision 0. It is false when the
// store did not answer.
func ReadRecord(ctx context.Context, store RecordStore, key RecordKey) (Record, bool) {
	record, _, ok := ReadRecordAt(ctx, store, key)
	return record, ok
}

// ReadRecordAt is ReadRecord, and returns the store's steady clock at the reading.
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
