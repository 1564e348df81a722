package cluster

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/version/batch"
)

// TestRequiredSlotsFollowTheWork guards against replicas that are ordered by the number of items alone: too many for
// short texts with much time, too few for long ones with little.
func TestRequiredSlotsFollowTheWork(t *testing.T) {
	const pace = 50 * time.Millisecond
	for _, c := range []struct {
		name string
		work batch.Work
		g    generation
		want int
	}{
		{"nothing to do", batch.Work{}, generation{1, pace, 100, 10 * time.Second}, 0},
		// 100 items of 20 events take 100 s in all, and the last may take 5 of the 10 s.
		{"short texts, enough time", batch.Work{Items: 100, Tokens: 2000}, generation{1, pace, 100, 10 * time.Second}, 21},
		{"the same with five tokens an event", batch.Work{Items: 100, Tokens: 10000}, generation{5, pace, 100, 10 * time.Second}, 21},
		{"ten minutes' time", batch.Work{Items: 100, Tokens: 2000}, generation{1, pace, 100, 10 * time.Minute}, 1},
		{"hardly any time beside the longest", batch.Work{Items: 100, Tokens: 2000}, generation{1, pace, 190, 10 * time.Second}, 100},
		{"the longest cannot end in time", batch.Work{Items: 100, Tokens: 2000}, generation{1, pace, 300, 10 * time.Second}, 100},
		{"unknown lengths", batch.Work{Items: 100}, generation{1, pace, 100, 10 * time.Second}, 100},
		{"unknown pace", batch.Work{Items: 100, Tokens: 2000}, generation{1, 0, 100, 10 * time.Second}, 100},
		{"no result deadline", batch.Work{Items: 100, Tokens: 2000}, generation{1, pace, 100, 0}, 100},
	} {
		if got := requiredSlots(c.work, c.g); got != c.want {
			t.Errorf("%s: %d slots, want %d", c.name, got, c.want)
		}
	}
}
