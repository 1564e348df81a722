package batch

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

// TestDiscardedTextsDoNotMix tests that each generation of a text has its own key prefix, and
// that texts with a gap are rejected. Either prevents mixing parts of different texts
// (scripts/proof/3-texts.patch breaks both).
func TestDiscardedTextsDoNotMix(t *testing.T) {
	n := newTestNode("a", newStore())
	n.accept(newJob("j", 1))
	owned := n.jobs.owned["j"]
	before := owned.checkpointKey(0)
	owned.items[0].discardText()
	if after := owned.checkpointKey(0); after == before {
		t.Errorf("both texts have the key %s", after.Key)
	}
	owned.items[0].state = itemWaiting
	owned.restoreText(n.now, 0, &doorstepv1.KeptText{Events: []*doorstepv1.KeptEvent{{Id: 1, Version: 2}, {Id: 3, Version: 2}}})
	if got := len(owned.items[0].events); got != 0 {
		t.Errorf("a text with a gap was restored, %d events", got)
	}
}

// TestLateWritesDoNotCutTexts tests an old write of a part that takes effect after a newer one,
// where the following part marks the text as complete. The text must not be truncated.
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
	following := first
	following.Key += "z"
	owner.store.Commit(owner.now, port.RecordTransaction{Puts: []port.Record{{RecordKey: first, Value: older}, {RecordKey: following, Value: newest}}})
	other := newTestNode("b", owner.store)
	other.now = owner.now
	syncHeads(other)
	other.elapse(2 * time.Second)
	if runs := other.takeRuns(); len(runs) != 1 || runs[0].After != 2 {
		t.Errorf("%d runs, want one that resumes after event 2", len(runs))
	}
	if got := other.results(t, "j"); len(got) != 0 {
		t.Errorf("an incomplete text was listed: %v", got)
	}
}
