package usage

import (
	"maps"
	"testing"
	"time"
)

// TestClockIsTheMedian: one node's wall clock, even the holder's, decides nothing; requests that
// began before the clock was known are counted once it is.
func TestClockIsTheMedian(t *testing.T) {
	b := newBench(1)
	exact := time.Duration(begunAt.UnixNano())
	b.offsets = []time.Duration{exact + 2*time.Second, exact - 3*time.Millisecond, exact, exact + 3*time.Millisecond, exact - 5*time.Second}
	b.run(1 * time.Second)
	b.begin(b.nodes[0], "x", 2)
	b.run(4100 * time.Millisecond)
	b.begin(b.nodes[0], "x", 1)
	b.run(20 * time.Second)
	if got := b.reportOf(t, 0); !maps.Equal(got, map[string]int64{"x": 2}) {
		t.Errorf("%v in the first window", got)
	}
	if got := b.reportOf(t, 1); !maps.Equal(got, map[string]int64{"x": 1}) {
		t.Errorf("%v in the second window", got)
	}
}

// TestClockFollowsOnlyWhatLasts: seeds 67 and 141 of the simulator. Clocks that jump, be it most
// of those that are told of at a look, don't move the windows; a time of day that most nodes
// agree on for long does.
func TestClockFollowsOnlyWhatLasts(t *testing.T) {
	const exact, jump = time.Duration(1_000_000 * int64(time.Second)), 2 * time.Second
	for _, c := range []struct {
		name string
		// looks are the offsets that are told of at each look, from the exact one.
		looks [][]time.Duration
		// moved is by how much the clock is set anew in the end.
		moved time.Duration
	}{
		{"one of two jumps", [][]time.Duration{{0, jump}, {0, jump}, {0, jump}, {0, jump}}, 0},
		{"most jump, and back", [][]time.Duration{{0, jump, jump}, {0, jump, jump}, {0, 0, 0}, {0, jump, jump}}, 0},
		{"all jump, to and fro", [][]time.Duration{{jump, jump}, {-jump, -jump}, {jump, jump}, {-jump, -jump}}, 0},
		{"a difference too small to matter", [][]time.Duration{{4 * time.Millisecond, 4 * time.Millisecond}, {4 * time.Millisecond, 4 * time.Millisecond},
			{4 * time.Millisecond, 4 * time.Millisecond}, {4 * time.Millisecond, 4 * time.Millisecond}}, 0},
		{"more nodes know better than those that set it", [][]time.Duration{{jump, jump, jump, 0}}, jump},
		{"more nodes know better than those that set it, but more have confirmed it", [][]time.Duration{{0, 0, 0, 0}, {jump, jump, jump}}, 0},
		{"one node alone", [][]time.Duration{{jump}, {jump}, {jump}, {jump}}, 0},
		{"most agree for long", [][]time.Duration{{0, jump, jump + time.Millisecond}, {0, jump, jump}, {jump, jump}, {jump, jump}}, jump},
		{"a drift that lasts", [][]time.Duration{{30 * time.Millisecond, 30 * time.Millisecond}, {31 * time.Millisecond, 31 * time.Millisecond},
			{32 * time.Millisecond, 32 * time.Millisecond}, {33 * time.Millisecond, 33 * time.Millisecond}}, 32 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(1)
			b.run(settleFor + 2*time.Second)
			for _, look := range c.looks {
				b.offsets = nil
				for _, one := range look {
					b.offsets = append(b.offsets, exact+one)
				}
				b.run(reviewEvery)
			}
			if got := b.nodes[0].clock.offset - exact; got != c.moved {
				t.Errorf("the clock moved by %s, should be %s", got, c.moved)
			}
		})
	}
}

// TestClockWaitsForAMajority: at first nobody knows whose clock has jumped.
func TestClockWaitsForAMajority(t *testing.T) {
	const exact = time.Duration(1_000_000 * int64(time.Second))
	for _, told := range [][]time.Duration{{exact, exact + 2*time.Second}, {exact + 2*time.Second}} {
		b := newBench(1)
		b.offsets = told
		b.run(settleFor + 3*time.Second)
		if b.nodes[0].clock.known {
			t.Fatalf("the clock was set by %v", told)
		}
	}
	b := newBench(1)
	b.offsets = []time.Duration{exact, exact + 2*time.Second}
	b.run(settleFor + 3*time.Second)
	b.offsets = append(b.offsets, exact+time.Millisecond)
	b.run(3 * time.Second)
	if got := b.nodes[0].clock.offset - exact; !b.nodes[0].clock.known || got.Abs() > time.Millisecond {
		t.Errorf("known %t, off by %s", b.nodes[0].clock.known, got)
	}
	// Without a majority for long, the middle is better than no reports.
	b = newBench(1)
	b.offsets = []time.Duration{exact, exact + 2*time.Second}
	b.run(settleFor + disagreeFor + 3*time.Second)
	if !b.nodes[0].clock.known {
		t.Error("the clock is never set where nodes don't agree")
	}
	// Seed 33 of the simulator: it is put right as soon as some agree.
	b.offsets = append(b.offsets, exact)
	b.run(doubtReview + time.Second)
	if got := b.nodes[0].clock.offset - exact; got != 0 {
		t.Errorf("off by %s although two of three nodes agree", got)
	}
}

// TestClockWaitsForAllThatTell: the store has just come back, and the nodes tell of their clocks one after the other.
// The first two that did had both jumped (seed 700015 of the simulator): until the clock was set right 25 s later
// requests were counted into the window before theirs.
func TestClockWaitsForAllThatTell(t *testing.T) {
	const exact, jump = time.Duration(1_000_000 * int64(time.Second)), -2 * time.Second
	b := newBench(1)
	b.offsets = []time.Duration{exact + jump, exact + jump}
	clock := b.nodes[0].clock
	for i := range 16 {
		if i > 0 && i <= 4 {
			b.offsets = append(b.offsets, exact)
		}
		b.run(settleFor / 12)
		if clock.known && clock.offset != exact {
			t.Fatalf("the clock is off by %s once %d nodes have told of theirs", clock.offset-exact, len(b.offsets))
		}
		if i == 0 {
			b.run(settleFor - settleFor/12)
		}
	}
	if !clock.known {
		t.Error("the clock is not set")
	}
}
