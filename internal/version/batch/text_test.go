package batch

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

// TestDiscardedTextsDoNotMix: a text that is begun anew is kept under a prefix of its own,
// and what does not follow event by event is not taken. Either is what keeps parts of two
// texts apart (scripts/proof/3-texts.patch breaks both).
func TestDiscardedTextsDoNotMix(t *testing.T) {
	n := newTestNode("a", newStore())
	n.accept(newJob("j", 1))
	owned := n.jobs.owned["j"]
	before := owned.checkpointKey(0)
	owned.items[0].discardText()
	if after := owned.checkpointKey(0); after == before {
		t.Errorf("both texts are kept under %s", after.Key)
	}
	owned.items[0].state = itemWaiting
	owned.restoreText(n.now, 0, &doorstepv1.KeptText{Events: []*doorstepv1.KeptEvent{{Id: 1, Version: 2}, {Id: 3, Version: 2}}})
	if got := len(owned.items[0].events); got != 0 {
		t.Errorf("a text with a gap was taken, %d events", got)
	}
}

// TestLateWritesDoNotCutTexts: seeds 236, 263, 272 and 280 of the simulation. An older write of
// a part takes effect behind the newer one, and the part behind it says that the text is whole.
func TestLateWritesDoNotCutTexts(t *testing.T) {
	owner := newScoringNode(t)
	owner.elapse(checkpointInterval + 100*time.Millisecond)
	first := port.RecordKey{}
	for _, record := range owner.store.Range(owner.now, port.RecordRange{Table: DataTable, Partition: Partition("j"), From: "j/t/", To: "j/t/~"}).Records {
		first = record.RecordKey
	}
	older, err := proto.Marshal(&doorstepv1.KeptText{Events: []*doorstepv1.KeptEvent{{Id: 1, Data: "j-0#1", Version: 2}, {Id: 2, Data: "j-0#2", Version: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	newest, err := proto.Marshal(&doorstepv1.KeptText{WholeEvents: 10, Score: "signed"})
	if err != nil {
		t.Fatal(err)
	}
	behind := first
	behind.Key += "z"
	owner.store.Commit(owner.now, port.RecordTransaction{Puts: []port.Record{{RecordKey: first, Value: older}, {RecordKey: behind, Value: newest}}})
	other := newTestNode("b", owner.store)
	other.now = owner.now
	syncHeads(other)
	other.elapse(2 * time.Second)
	if runs := other.takeRuns(); len(runs) != 1 || runs[0].After != 2 {
		t.Errorf("%d runs: the text goes on behind its second event", len(runs))
	}
	if got := other.results(t, "j"); len(got) != 0 {
		t.Errorf("a part of a text is listed: %v", got)
	}
}
