package clustersim

import (
	"fmt"
	"testing"
	"time"
)

// simulateFarRegion runs a simulation with the given extra one-way latency between the regions.
func simulateFarRegion(seed uint64, regionDelay time.Duration, unfenced bool, faults []Fault) Report {
	return New(Options{Seed: seed, Nodes: 6, Replicas: 5, Length: testLength, Faults: faults, Unfenced: unfenced, RegionDelay: regionDelay}).Run()
}

// TestFarRegionCalm tests that latency between the regions alone causes no takeover of a job and no loss
// of a lease.
func TestFarRegionCalm(t *testing.T) {
	for _, regionDelay := range []time.Duration{20 * time.Millisecond, 45 * time.Millisecond} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s seed %d", regionDelay, seed), func(t *testing.T) {
				t.Parallel()
				got := simulateFarRegion(seed, regionDelay, false, nil)
				reportViolations(t, seed, got)
				if got.JobsTakenOver > 0 || got.LeasesLost > 0 {
					t.Errorf("%d jobs taken over, %d leases lost without a fault", got.JobsTakenOver, got.LeasesLost)
				}
				if got.Accepted < 20 || got.Accepted != got.Jobs || got.CheckedWindows < 4 {
					t.Errorf("%d of %d jobs accepted, %d windows checked, want all jobs served in a run without faults", got.Accepted, got.Jobs, got.CheckedWindows)
				}
			})
		}
	}
}

// TestFarRegionAllFaults tests the invariants under all faults with latency between the regions.
func TestFarRegionAllFaults(t *testing.T) {
	for seed := range uint64(testSeeds) {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			reportViolations(t, seed, simulateFarRegion(seed, 45*time.Millisecond, seed%2 == 1, Faults))
		})
	}
}

// peakRate returns the maximum number of calls per second from a second up to, but not including, another.
func peakRate(calls map[int]int, from, to int) int {
	peak := 0
	for second := from; second < to; second++ {
		peak = max(peak, calls[second])
	}
	return peak
}

// TestRegionReturns tests that the jobs of a disconnected region are taken over once each, and that its
// nodes do not overload the store when they reconnect and read their tables again, in 15 parts each.
func TestRegionReturns(t *testing.T) {
	t.Parallel()
	const (
		calmFrom, cutAt, backAt, until = 6, 12, 22, 30
		farNodes, parts                = 29, 15
		seed                           = 5
	)
	w := New(Options{Seed: seed, Nodes: 87, Replicas: 12, Length: until * time.Second, RegionDelay: 20 * time.Millisecond})
	w.After(cutAt*time.Second, func() {
		w.link.apply((backAt-cutAt)*time.Second, func() { w.link.outboundCuts++; w.link.inboundCuts++ }, func() { w.link.outboundCuts--; w.link.inboundCuts-- })
	})
	got := w.Run()
	reportViolations(t, seed, got)
	s := w.store
	for _, c := range []struct {
		name  string
		calls map[int]int
		// more is the allowed increase of the peak rate.
		more int
	}{{"reads", s.reads, farNodes * parts}, {"writes", s.writes, 5 * farNodes}, {"watches", s.watches, 5 * farNodes}} {
		calm, back := peakRate(c.calls, calmFrom, cutAt), peakRate(c.calls, backAt, until)
		if back > calm+c.more {
			t.Errorf("%s: peak of %d per second after the link is restored, %d before the cut", c.name, back, calm)
		}
	}
	for job, takeovers := range w.owners.takeoversByJob {
		if takeovers > 1 {
			t.Errorf("%s was taken over %d times", job, takeovers)
		}
	}
	if got.JobsTakenOver == 0 || got.Accepted < got.Jobs {
		t.Errorf("%d jobs taken over from the disconnected region, %d of %d accepted", got.JobsTakenOver, got.Accepted, got.Jobs)
	}
}

// TestContentStaysInAllowedRegions tests that an owner stops reading a job's content from a region that
// is no longer allowed, also if the store does not respond while that changes.
func TestContentStaysInAllowedRegions(t *testing.T) {
	for _, seed := range []uint64{700169} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			reportViolations(t, seed, simulate(seed, faultsWithout("replica-crash-burst")))
		})
	}
}
