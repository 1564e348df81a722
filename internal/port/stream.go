package port

// ReplicaEvent is an event of a replica's stream.
type ReplicaEvent struct {
	// ID is the event's number within its stream; IDs are consecutive.
	ID int64
	// Data is the event's payload.
	Data string
	// Version is the weight version from this event on; 0 if unchanged.
	Version int64
	// Raw is the event as received, including the line that ends it.
	Raw string
}

// eventOverhead is the approximate memory of an event in bytes, in addition to its text.
const eventOverhead = 64

// Size returns the approximate memory of the event in bytes.
func (e *ReplicaEvent) Size() int { return len(e.Data) + len(e.Raw) + eventOverhead }

// EventReader reads complete events. Next returns io.EOF once the stream has ended normally.
type EventReader interface {
	Next() (ReplicaEvent, error)
}
