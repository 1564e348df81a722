package clustersim

import "testing"

func simulateRestarts(t *testing.T, seed uint64, names string, unfenced bool) {
	t.Helper()
	faults, err := ParseFaults(names)
	if err != nil {
		t.Fatal(err)
	}
	options := Options{Seed: seed, Nodes: 6, Replicas: 5, Length: testLength, Faults: faults, Unfenced: unfenced}
	reportViolations(t, seed, New(options).Run())
}

// TestRestartsUnderOneID tests that a replica that restarts under its ID is not moved back to an older
// version by an unanswered order to its previous incarnation.
func TestRestartsUnderOneID(t *testing.T) {
	for _, seed := range []uint64{40, 92, 145} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			simulateRestarts(t, seed, "replica-restart,orders-late,replica-cold,node-cut,store-forgets", true)
		})
	}
}

// TestOrdersOfFormerIncarnations tests that an unanswered order that was repeated with the same sequence
// is not executed by a restarted replica that reaches that sequence again. See also
// TestAnOrderRepeatedBeforeARestart in package rollout.
func TestOrdersOfFormerIncarnations(t *testing.T) {
	for _, seed := range []uint64{111, 120, 189, 194, 500179} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			simulateRestarts(t, seed, "replica-restart,orders-late", false)
		})
	}
}

// TestOrdersOfFormerHolders tests that an order left unanswered by the previous lease holder does not
// move a restarted replica back to an older version.
func TestOrdersOfFormerHolders(t *testing.T) {
	for _, seed := range []uint64{510078, 510214} {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			simulateRestarts(t, seed, "replica-restart,orders-late,node-kill,holder-freeze,planned-stop,kill-all", false)
		})
	}
}
