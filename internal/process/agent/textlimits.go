package agent

import (
	"errors"

	"github.com/doorstep/doorstep/internal/port"
)

// textBlockBytes is the unit in which memory for the events of a run is reserved.
const textBlockBytes = 16 << 10

// errTextTooLong is returned for a stream that exceeds the limits of its run.
var errTextTooLong = errors.New("the text is too long")

// textLimits limits the events that a run holds. Without limits, a stream that does not end would fill the
// memory of the node.
type textLimits struct {
	// lastID is the ID of the last event allowed, 0 if unknown. bytes is the maximum size of all events.
	lastID int64
	bytes  int
	// buffers reserves memory; used and reserved are sizes in bytes.
	buffers        *responseBuffers
	used, reserved int
}

// add accounts for an event. It fails with errTextTooLong or, if the node has no memory for it, errBuffersFull.
func (l *textLimits) add(received *port.ReplicaEvent) error {
	l.used += received.Size()
	if l.lastID > 0 && received.ID > l.lastID || l.used > l.bytes {
		return errTextTooLong
	}
	if l.used <= l.reserved {
		return nil
	}
	block := max(textBlockBytes, l.used-l.reserved)
	if !l.buffers.take(block, l.reserved+block) {
		return errBuffersFull
	}
	l.reserved += block
	return nil
}
