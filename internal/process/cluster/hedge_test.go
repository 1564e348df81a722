package cluster

import "testing"

// TestHedgesNeedAFreeSlot guards against copies of slow requests that take the place of other callers' requests.
func TestHedgesNeedAFreeSlot(t *testing.T) {
	n := newZonedNode()
	n.onDeployment(start, "replicas", records("replicas", "a/1", "a/2"), true)
	first, second := n.endpoints.Find("a/1"), n.endpoints.Find("a/2")
	first.Slots, second.Slots = 2, 2
	hedge := Attempt{Exclude: map[string]bool{"a/1": true}, Hedge: true}
	if got := n.Choose(start, &evacuationRoute, "", "", hedge); got != second {
		t.Errorf("with a free slot: %v, want a/2", got)
	}
	second.InFlight = 2
	if got := n.Choose(start, &evacuationRoute, "", "", hedge); got != nil {
		t.Errorf("without a free slot: %s, want none", got.ID)
	}
	if got := n.Choose(start, &evacuationRoute, "", "", Attempt{Exclude: hedge.Exclude}); got != second {
		t.Errorf("a retry without a free slot: %v, want a/2", got)
	}
}
