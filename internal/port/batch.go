// Package port defines the interfaces and types that connect the state machines to the record
// store, replicas, clients and operators.
package port

// JobCallKind is the kind of a call about a batch job.
type JobCallKind int

const (
	// NoJobCall is a call that is not about a batch job.
	NoJobCall JobCallKind = iota
	// ReadJob reads results.
	ReadJob
	// ReadItem reads an item's body.
	ReadItem
	// EndJob ends the job.
	EndJob
)

// JobCall is a call about an existing batch job.
type JobCall struct {
	Kind JobCallKind
	// Job is the job's ID, Item the ID of the item to read.
	Job, Item string
	// From is the first position to read.
	From int
}
