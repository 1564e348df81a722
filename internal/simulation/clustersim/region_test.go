package clustersim

import (
	"fmt"
	"testing"
	"time"
)

// playFar plays a deployment whose regions lie apart by so much each way.
func playFar(seed uint64, apart time.Duration, unfenced bool, faults []Fault) Report {
	return New(Options{Seed: seed, Nodes: 6, Replicas: 5, Length: testLength, Faults: faults, Unfenced: unfenced, FarRegion: apart}).Run()
}

// TestFarRegionCalm: with a region 20 ms away (calls to the store take it 45 ms), and with one 45 ms
// away, no node takes a job from a sound owner and no lease changes hands.
func TestFarRegionCalm(t *testing.T) {
	for _, apart := range []time.Duration{20 * time.Millisecond, 45 * time.Millisecond} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s seed %d", apart, seed), func(t *testing.T) {
				t.Parallel()
				got := playFar(seed, apart, false, nil)
				report(t, seed, got)
				if got.Taken > 0 || got.LeasesLost > 0 {
					t.Errorf("%d jobs taken over, %d leases lost without a fault", got.Taken, got.LeasesLost)
				}
				if got.Accepted < 20 || got.Accepted != got.Jobs || got.ExactWindows < 4 {
					t.Errorf("%d of %d jobs accepted, %d windows exact: a calm run serves all", got.Accepted, got.Jobs, got.ExactWindows)
				}
			})
		}
	}
}

// TestFarRegionAllFaults: every fault, the regions' own among them, over regions that lie apart.
func TestFarRegionAllFaults(t *testing.T) {
	for seed := range uint64(testSeeds) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			report(t, seed, playFar(seed, 45*time.Millisecond, seed%2 == 1, Faults))
		})
	}
}

// most returns the most calls of a second from one to before another.
func most(calls map[int]int, from, to int) int {
	peak := 0
	for second := from; second < to; second++ {
		peak = max(peak, calls[second])
	}
	return peak
}

// TestRegionReturns cuts the far region of a deployment of 87 nodes, 29 of them there, off for ten
// seconds: its jobs are taken over, each once, and its return makes no storm of calls to the store. Each
// node that returns reads its tables anew, 15 parts of them; all at once they may do so within one
// second. Over five seeds the busiest second had 204 to 580 reads (94 to 180 in calm) and 107 to 197
// writes (88 to 93).
func TestRegionReturns(t *testing.T) {
	t.Parallel()
	const (
		calmFrom, cutAt, backAt, until = 6, 12, 22, 30
		farNodes, parts                = 29, 15
		seed                           = 5
	)
	w := New(Options{Seed: seed, Nodes: 87, Replicas: 12, Length: until * time.Second, FarRegion: 20 * time.Millisecond})
	w.After(cutAt*time.Second, func() {
		w.link.begin((backAt-cutAt)*time.Second, func() { w.link.noneOut++; w.link.noneIn++ }, func() { w.link.noneOut--; w.link.noneIn-- })
	})
	got := w.Run()
	report(t, seed, got)
	s := w.store
	for _, c := range []struct {
		name  string
		calls map[int]int
		// more is by how many calls a second may exceed the busiest of the calm.
		more int
	}{{"reads", s.reads, farNodes * parts}, {"writes", s.writes, 5 * farNodes}, {"watches", s.watches, 5 * farNodes}} {
		calm, back := most(c.calls, calmFrom, cutAt), most(c.calls, backAt, until)
		if back > calm+c.more {
			t.Errorf("%s: %d in the busiest second after the return, %d in calm", c.name, back, calm)
		}
	}
	for job, takes := range w.owners.takes {
		if takes > 1 {
			t.Errorf("%s was taken over %d times", job, takes)
		}
	}
	if got.Taken == 0 || got.Accepted < got.Jobs {
		t.Errorf("%d jobs taken over from the region that is cut off, %d of %d accepted", got.Taken, got.Accepted, got.Jobs)
	}
}

// TestContentStaysInItsHomes: seeds in which homes change while the store gives an owner no answer. It went on
// reading a job's content from a region that was no home any more.
func TestContentStaysInItsHomes(t *testing.T) {
	for _, seed := range []uint64{700169} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			report(t, seed, play(seed, Faults))
		})
	}
}
