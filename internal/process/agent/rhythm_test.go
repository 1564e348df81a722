package agent

import (
	"testing"
	"time"
)

func TestRhythm(t *testing.T) {
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
		// told counts how often the pace is to be told.
		told int
	}{
		{"too few events", repeat(40*ms, 7), 0, 0},
		{"usual", repeat(40*ms, 16), 40 * ms, 2},
		{"a load in between is no matter of pace", append(repeat(40*ms, 8), append([]time.Duration{900 * ms}, repeat(40*ms, 8)...)...), 40 * ms, 2},
		{"turned slow on the way", append(repeat(40*ms, 16), repeat(150*ms, 3)...), 150 * ms, 3},
		{"slow: noticed after a few events", repeat(150*ms, 3), 150 * ms, 1},
		{"so slow that each gap is as long as a pause", repeat(240*ms, 4), 240 * ms, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r rhythm
			now := time.Unix(1000, 0)
			r.note(now)
			told := 0
			for _, gap := range c.gaps {
				now = now.Add(gap)
				if r.note(now) {
					told++
				}
			}
			if got := r.pace(); got != c.pace || told != c.told {
				t.Errorf("pace %s, told %d times; should be %s, %d", got, told, c.pace, c.told)
			}
		})
	}
}
