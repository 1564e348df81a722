package endpoint

import "testing"

// TestScoringCallsLeaveASlot guards against replicas of any size on which scoring calls take all slots, or leave several
// unused while items wait for their score.
func TestScoringCallsLeaveASlot(t *testing.T) {
	for slots, want := range map[int]int{1: 1, 2: 1, 3: 2, 6: 5, 16: 15, 40: 39} {
		e := &Endpoint{}
		e.ID, e.Slots = "e", slots
		for ScoringCalls.Pick(&Query{Now: now, MaxLoad: 1, ReservedSlots: 1}, []*Endpoint{e}) != nil {
			e.InFlight++
		}
		if e.InFlight != want {
			t.Errorf("%d scoring calls on a replica with %d slots, want %d", e.InFlight, slots, want)
		}
	}
}
