package port

// ReplicaEvent is one event of a replica's stream.
type ReplicaEvent struct {
	// ID numbers the event within its stream, one up from the event before.
	ID int64
	// Data is the event's payload.
	Data string
	// Version is that of the weights from this event on, 0 when unchanged.
	Version int64
	// Raw is the event as it came, with the line that ends it.
	Raw string
}

// EventReader reads whole events. Next returns io.EOF at the proper end.
type EventReader interface {
	Next() (ReplicaEvent, error)
}
