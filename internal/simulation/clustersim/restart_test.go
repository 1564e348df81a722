package clustersim

import "testing"

func playRestarts(t *testing.T, seed uint64, names string, unfenced bool) {
	t.Helper()
	faults, err := FindFaults(names)
	if err != nil {
		t.Fatal(err)
	}
	options := Options{Seed: seed, Nodes: 6, Replicas: 5, Length: testLength, Faults: faults, Unfenced: unfenced}
	report(t, seed, New(options).Run())
}

// TestRestartsUnderOneID: replicas that start again under their IDs, while orders are carried out late. Of
// these seeds each had a replica go back to an older version while a former life's unanswered orders were
// forgotten.
func TestRestartsUnderOneID(t *testing.T) {
	for _, seed := range []uint64{40, 92, 145} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			playRestarts(t, seed, "replica-restart,orders-late,replica-cold,node-cut,store-forgets", true)
		})
	}
}

// TestOrdersOfFormerLives: seeds in which an order without an answer was repeated with the same count and
// taken; the replica started again, came by that count once more, and the first order was carried out
// (TestAnOrderRepeatedBeforeARestart plays it alone).
func TestOrdersOfFormerLives(t *testing.T) {
	for _, seed := range []uint64{111, 120, 189, 194, 500179} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			playRestarts(t, seed, "replica-restart,orders-late", false)
		})
	}
}

// TestOrdersOfFormerHolders: seeds in which the holder of the lease changed while an order had no answer. The next
// one knew nothing of it, and it took a replica back that had started again.
func TestOrdersOfFormerHolders(t *testing.T) {
	for _, seed := range []uint64{510078, 510214} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			playRestarts(t, seed, "replica-restart,orders-late,node-kill,holder-freeze,planned-stop,kill-all", false)
		})
	}
}
