// Package port holds the typed contracts with what lies outside the state machines: the
// record store, replicas, clients and operators.
package port

// JobCallKind says what a call about a batch job asks for.
type JobCallKind int

const (
	// NoJobCall is a call about something else.
	NoJobCall JobCallKind = iota
	// ReadJob asks for results.
	ReadJob
	// ReadItem asks for an item's body.
	ReadItem
	// EndJob ends the job.
	EndJob
)

// JobCall is a call about a batch job that was handed in before.
type JobCall struct {
	Kind JobCallKind
	// Job is the job's id, Item the item's whose body is asked for.
	Job, Item string
	// From is the first position to read.
	From int
}
