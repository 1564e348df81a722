package batch

import (
	"testing"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// TestDiscardedTextsDoNotMix: a text that is begun anew is kept under a prefix of its own,
// and what does not follow event by event is not taken. Either is what keeps parts of two
// texts apart (scripts/proof/3-texts.patch breaks both).
func TestDiscardedTextsDoNotMix(t *testing.T) {
	b := newBench("a", newStore())
	b.accept(newJob("j", 1))
	owned := b.jobs.owned["j"]
	before := owned.textKey(0)
	owned.items[0].discardText()
	if after := owned.textKey(0); after == before {
		t.Errorf("both texts are kept under %s", after.Key)
	}
	owned.items[0].state = itemWaiting
	owned.adoptText(b.now, 0, &doorstepv1.KeptText{Events: []*doorstepv1.KeptEvent{{Id: 1, Version: 2}, {Id: 3, Version: 2}}})
	if got := len(owned.items[0].events); got != 0 {
		t.Errorf("a text with a gap was taken, %d events", got)
	}
}
