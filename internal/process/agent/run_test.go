package agent

import (
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
			reading := runReader{events: &steadyEventReader{every: every}, reportedAt: time.Now(), limits: textLimits{bytes: 1 << 20, buffers: (&Agent{responseBudget: &byteBudget{left: 1 << 20}}).newResponseBuffers()}}
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
