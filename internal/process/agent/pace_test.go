package agent

import (
	"testing"
	"time"
)

func TestPaceEstimator(t *testing.T) {
	const ms = time.Millisecond
	repeat := func(gap time.Duration, times int) []time.Duration {
		var gaps []time.Duration
		for range times {
			gaps = append(gaps, gap)
		}
		return gaps
	}
	for _, c := range []struct {
		name string
		gaps []time.Duration
		pace time.Duration
		// updates is how often a new estimate is expected.
		updates int
	}{
		{"too few events", repeat(40*ms, 7), 0, 0},
		{"steady", repeat(40*ms, 16), 40 * ms, 2},
		{"single pause is ignored", append(repeat(40*ms, 8), append([]time.Duration{900 * ms}, repeat(40*ms, 8)...)...), 40 * ms, 2},
		{"slows down", append(repeat(40*ms, 16), repeat(150*ms, 3)...), 150 * ms, 3},
		{"slow pace needs fewer events", repeat(150*ms, 3), 150 * ms, 1},
		{"every gap is as long as a pause", repeat(240*ms, 4), 240 * ms, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var e paceEstimator
			now := time.Unix(1000, 0)
			e.observe(now)
			updates := 0
			for _, gap := range c.gaps {
				now = now.Add(gap)
				if e.observe(now) {
					updates++
				}
			}
			if got := e.pace(); got != c.pace || updates != c.updates {
				t.Errorf("pace %s after %d updates, want %s after %d", got, updates, c.pace, c.updates)
			}
		})
	}
}
