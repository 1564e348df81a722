package clustersim

import "testing"

// coldAndMore are faults on which nodes and the bound on cold replicas clashed.
const coldAndMore = "store-silent,store-refusing,store-slow,store-loses,store-partly,store-forgets,node-kill,kill-all,node-freeze,node-cut,holder-freeze," +
	"planned-stop,replica-crash,item-poison,replica-dark,replica-slow,replica-breaks,replica-drains,orders-late,orders-slow,clock-step,duties-late," +
	"reporter-kill,scorer-crash,scorer-dark,scorer-fails,scorer-loses,scorer-slow,replica-cold,zone-cold-return,all-cold,scorer-drains"

// TestColdReplicasBesideOtherFaults: on these seeds a replica that had just turned cold got 19 requests of
// 18: on all but 13 as two owners of jobs did not know of one another, and each took the whole of its
// token bucket; on 13 as four nodes took jobs over at the same moment, when the store came back; on 243 as two nodes
// began beside a third within a tenth of a second; on 311 as five nodes did so when the store came back.
func TestColdReplicasBesideOtherFaults(t *testing.T) {
	faults, err := FindFaults(coldAndMore)
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range []uint64{2, 8, 9, 10, 13, 17, 30, 40, 46, 52, 60, 243, 311} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			report(t, seed, play(seed, faults))
		})
	}
}

// TestColdReplicasAreServed: replicas that turn cold again and again still run all that there is.
func TestColdReplicasAreServed(t *testing.T) {
	faults, err := FindFaults("replica-cold,zone-cold-return,all-cold")
	if err != nil {
		t.Fatal(err)
	}
	got := play(1, faults)
	report(t, 1, got)
	if got.Accepted != got.Jobs || got.Results < got.Accepted*itemsOfJob*8/10 {
		t.Errorf("%d of %d jobs accepted, %d results", got.Accepted, got.Jobs, got.Results)
	}
}

// TestColdReplicasUnderAPartlySilentStore: seeds in which owners of jobs that hadn't heard of one another each sent a
// cold replica all that it bears: answers to a reading that never ended counted as news of the whole table.
func TestColdReplicasUnderAPartlySilentStore(t *testing.T) {
	for _, seed := range []uint64{702106} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			options := Options{Seed: seed, Nodes: 6, Replicas: 5, Length: testLength, Faults: Faults, Resting: true}
			report(t, seed, New(options).Run())
		})
	}
}
