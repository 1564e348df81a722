package agent

import (
	"errors"
	"strings"
	"testing"

	"github.com/doorstep/doorstep/internal/port"
)

// TestRunsWithoutEndAreLimited guards against a run that fills the memory of its node.
func TestRunsWithoutEndAreLimited(t *testing.T) {
	const size = 100
	for name, c := range map[string]struct {
		lastID           int64
		bytes, available int
		events           int64
		err              error
	}{
		"number of events":   {10, 1 << 20, 1 << 20, 10, errTextTooLong},
		"size of the events": {0, 50 * size, 1 << 20, 50, errTextTooLong},
		"memory of the node": {0, 1 << 20, 2 * textBlockBytes, 2 * textBlockBytes / size, errBuffersFull},
	} {
		agent := &Agent{responseBudget: &byteBudget{left: c.available}}
		buffers := agent.newResponseBuffers()
		limits := textLimits{lastID: c.lastID, bytes: c.bytes, buffers: buffers}
		event := port.ReplicaEvent{}
		event.Data = strings.Repeat("x", size-event.Size())
		var err error
		for err == nil && event.ID < 1<<20 {
			event.ID++
			err = limits.add(&event)
		}
		if !errors.Is(err, c.err) || event.ID != c.events+1 {
			t.Errorf("%s: event %d failed with %v, want event %d with %v", name, event.ID, err, c.events+1, c.err)
		}
		if buffers.end(); agent.responseBudget.left != c.available {
			t.Errorf("%s: %d of %d bytes were returned", name, agent.responseBudget.left, c.available)
		}
	}
}
