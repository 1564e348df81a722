package usage

import (
	"maps"
	"testing"
	"time"
)

// TestClockIsTheMedian checks that no single node's wall clock decides, not even the holder's, and
// that requests from before the clock was set are counted.
func TestClockIsTheMedian(t *testing.T) {
	b := newTestBench(1)
	exact := time.Duration(startTime.UnixNano())
	b.offsets = []time.Duration{exact + 2*time.Second, exact - 3*time.Millisecond, exact, exact + 3*time.Millisecond, exact - 5*time.Second}
	b.run(1 * time.Second)
	b.countRequests(b.nodes[0], "x", 2)
	b.run(4100 * time.Millisecond)
	b.countRequests(b.nodes[0], "x", 1)
	b.run(20 * time.Second)
	if got := b.reportOf(t, 0); !maps.Equal(got, map[string]int64{"x": 2}) {
		t.Errorf("first window: %v", got)
	}
	if got := b.reportOf(t, 1); !maps.Equal(got, map[string]int64{"x": 1}) {
		t.Errorf("second window: %v", got)
	}
}

// TestClockIgnoresTemporaryJumps checks that clocks that jump temporarily do not move the windows,
// while an offset that a majority agrees on for long does.
func TestClockIgnoresTemporaryJumps(t *testing.T) {
	const exact, jump = time.Duration(1_000_000 * int64(time.Second)), 2 * time.Second
	for _, c := range []struct {
		name string
		// reviews are the offsets at each review, relative to the exact one.
		reviews [][]time.Duration
		// moved is the expected adjustment of the clock.
		moved time.Duration
	}{
		{"one of two clocks jumps", [][]time.Duration{{0, jump}, {0, jump}, {0, jump}, {0, jump}}, 0},
		{"a majority jumps temporarily", [][]time.Duration{{0, jump, jump}, {0, jump, jump}, {0, 0, 0}, {0, jump, jump}}, 0},
		{"all clocks jump back and forth", [][]time.Duration{{jump, jump}, {-jump, -jump}, {jump, jump}, {-jump, -jump}}, 0},
		{"difference below the minimum", [][]time.Duration{{4 * time.Millisecond, 4 * time.Millisecond}, {4 * time.Millisecond, 4 * time.Millisecond},
			{4 * time.Millisecond, 4 * time.Millisecond}, {4 * time.Millisecond, 4 * time.Millisecond}}, 0},
		{"a larger majority than at the start", [][]time.Duration{{jump, jump, jump, 0}}, jump},
		{"a larger majority than at the start, but smaller than confirmed", [][]time.Duration{{0, 0, 0, 0}, {jump, jump, jump}}, 0},
		{"a single node", [][]time.Duration{{jump}, {jump}, {jump}, {jump}}, 0},
		{"a majority agrees for several reviews", [][]time.Duration{{0, jump, jump + time.Millisecond}, {0, jump, jump}, {jump, jump}, {jump, jump}}, jump},
		{"a persistent drift", [][]time.Duration{{30 * time.Millisecond, 30 * time.Millisecond}, {31 * time.Millisecond, 31 * time.Millisecond},
			{32 * time.Millisecond, 32 * time.Millisecond}, {33 * time.Millisecond, 33 * time.Millisecond}}, 32 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestBench(1)
			b.run(startupDelay + 2*time.Second)
			for _, offsets := range c.reviews {
				b.offsets = nil
				for _, offset := range offsets {
					b.offsets = append(b.offsets, exact+offset)
				}
				b.run(reviewInterval)
			}
			if got := b.nodes[0].clock.offset - exact; got != c.moved {
				t.Errorf("the clock moved by %s, want %s", got, c.moved)
			}
		})
	}
}

// TestClockWaitsForAMajority checks that the clock is not initially set from offsets that disagree.
func TestClockWaitsForAMajority(t *testing.T) {
	const exact = time.Duration(1_000_000 * int64(time.Second))
	for _, offsets := range [][]time.Duration{{exact, exact + 2*time.Second}, {exact + 2*time.Second}} {
		b := newTestBench(1)
		b.offsets = offsets
		b.run(startupDelay + 3*time.Second)
		if b.nodes[0].clock.isSet {
			t.Fatalf("the clock was set from offsets %v", offsets)
		}
	}
	b := newTestBench(1)
	b.offsets = []time.Duration{exact, exact + 2*time.Second}
	b.run(startupDelay + 3*time.Second)
	b.offsets = append(b.offsets, exact+time.Millisecond)
	b.run(3 * time.Second)
	if got := b.nodes[0].clock.offset - exact; !b.nodes[0].clock.isSet || got.Abs() > time.Millisecond {
		t.Errorf("clock set: %t, off by %s", b.nodes[0].clock.isSet, got)
	}
	// After majorityTimeout, the median is used without a majority.
	b = newTestBench(1)
	b.offsets = []time.Duration{exact, exact + 2*time.Second}
	b.run(startupDelay + majorityTimeout + 3*time.Second)
	if !b.nodes[0].clock.isSet {
		t.Error("the clock was not set although nodes disagreed for longer than the timeout")
	}
	// The clock is corrected as soon as a majority agrees.
	b.offsets = append(b.offsets, exact)
	b.run(unconfirmedReviewInterval + time.Second)
	if got := b.nodes[0].clock.offset - exact; got != 0 {
		t.Errorf("clock off by %s although two of three nodes agree", got)
	}
}

// TestClockWaitsForStableNodeCount checks that the clock is not set from the first two offsets after
// an outage, both of which are wrong, while more nodes write theirs.
func TestClockWaitsForStableNodeCount(t *testing.T) {
	const exact, jump = time.Duration(1_000_000 * int64(time.Second)), -2 * time.Second
	b := newTestBench(1)
	b.offsets = []time.Duration{exact + jump, exact + jump}
	clock := b.nodes[0].clock
	for i := range 16 {
		if i > 0 && i <= 4 {
			b.offsets = append(b.offsets, exact)
		}
		b.run(startupDelay / 12)
		if clock.isSet && clock.offset != exact {
			t.Fatalf("clock off by %s with %d offsets", clock.offset-exact, len(b.offsets))
		}
		if i == 0 {
			b.run(startupDelay - startupDelay/12)
		}
	}
	if !clock.isSet {
		t.Error("the clock was not set")
	}
}
