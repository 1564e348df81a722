package agent

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// steadyEventReader returns events at a fixed interval.
type steadyEventReader struct {
	every time.Duration
	last  int64
}

func (s *steadyEventReader) Next() (port.ReplicaEvent, error) {
	time.Sleep(s.every)
	s.last++
	return port.ReplicaEvent{ID: s.last}, nil
}

// Events that are not reported are lost when the node crashes, and the next owner generates them again.
func TestEventsReportedWithinProgressInterval(t *testing.T) {
	for _, every := range []time.Duration{20 * time.Millisecond, 80 * time.Millisecond, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			reading := runReader{events: &steadyEventReader{every: every}, reportedAt: time.Now(), limits: textLimits{bytes: 1 << 20, buffers: (&Agent{responseBudget: byteBudget{left: 1 << 20}}).newResponseBuffers()}}
			reported, longest := time.Now(), time.Duration(0)
			for range 100 {
				if _, err := reading.next(); err != nil {
					t.Fatal(err)
				}
				if reading.reportDue {
					longest = max(longest, time.Since(reported))
					reported = time.Now()
				}
				if reading.newPace() > 0 && !reading.reportDue {
					t.Error("new pace estimate is not reported")
				}
			}
			if longest > progressInterval+every {
				t.Errorf("with an event every %s, longest time between reports is %s", every, longest)
			}
		})
	}
}

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
		agent := &Agent{responseBudget: byteBudget{left: c.available}}
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
