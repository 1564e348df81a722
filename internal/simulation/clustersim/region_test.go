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
