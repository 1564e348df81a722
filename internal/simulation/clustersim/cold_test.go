package clustersim

import "testing"

// coldConflictFaults are the faults of seeds on which the limit of cold replicas was exceeded.
const coldConflictFaults = "store-silent,store-refusing,store-slow,store-loses,store-partly,store-forgets,node-kill,kill-all,node-freeze,node-cut,holder-freeze," +
	"planned-stop,replica-crash,item-poison,replica-dark,replica-slow,replica-breaks,replica-drains,orders-late,orders-slow,clock-step,duties-late," +
	"reporter-kill,scorer-crash,scorer-dark,scorer-fails,scorer-loses,scorer-slow,replica-cold,zone-cold-return,all-cold,scorer-drains"

// TestColdReplicasBesideOtherFaults tests the limit of cold replicas on seeds in which several nodes
// start to send to a cold replica at about the same time without knowing of one another.
func TestColdReplicasBesideOtherFaults(t *testing.T) {
	faults, err := ParseFaults(coldConflictFaults)
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range []uint64{2, 8, 9, 10, 13, 17, 30, 40, 46, 52, 60, 243, 311} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			reportViolations(t, seed, simulate(seed, faults))
		})
	}
}

// TestColdReplicasAreServed tests that all jobs run on replicas that repeatedly become cold.
func TestColdReplicasAreServed(t *testing.T) {
	faults, err := ParseFaults("replica-cold,zone-cold-return,all-cold")
	if err != nil {
		t.Fatal(err)
	}
	got := simulate(1, faults)
	reportViolations(t, 1, got)
	if got.Accepted != got.Jobs || got.Results < got.Accepted*itemsPerJob*8/10 {
		t.Errorf("%d of %d jobs accepted, %d results", got.Accepted, got.Jobs, got.Results)
	}
}

// TestColdReplicasUnderAPartlySilentStore tests that the pages of an incomplete table read do not count
// as a current view of the table: owners then each used the whole limit of a cold replica.
func TestColdReplicasUnderAPartlySilentStore(t *testing.T) {
	for _, seed := range []uint64{702106} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			options := Options{Seed: seed, Nodes: 6, Replicas: 5, Length: testLength, Faults: faultsWithout("replica-crash-burst"), OnDemandReplicaLists: true}
			reportViolations(t, seed, New(options).Run())
		})
	}
}
