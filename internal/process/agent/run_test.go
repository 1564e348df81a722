package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// steadyEvents makes an event that often.
type steadyEvents struct {
	every time.Duration
	last  int64
}

func (s *steadyEvents) Next() (port.ReplicaEvent, error) {
	time.Sleep(s.every)
	s.last++
	return port.ReplicaEvent{ID: s.last}, nil
}

// After a loss of all machines the next owners began texts 12 to 19 events of 80 ms back: the
// node was told of every eighth event, and kept these every 0.8 s.
func TestNodeIsToldOfEventsInTime(t *testing.T) {
	for _, every := range []time.Duration{20 * time.Millisecond, 80 * time.Millisecond, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			reading := runReading{events: &steadyEvents{every: every}, toldAt: time.Now()}
			told, longest := time.Now(), time.Duration(0)
			for range 100 {
				if _, err := reading.next(); err != nil {
					t.Fatal(err)
				}
				if reading.tell {
					longest = max(longest, time.Since(told))
					told = time.Now()
				}
				if reading.newPace() > 0 && !reading.tell {
					t.Error("a pace that is known anew is told")
				}
			}
			if longest > tellEvery+every {
				t.Errorf("an event each %s: the node is told after %s", every, longest)
			}
		})
	}
}
