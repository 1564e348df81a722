package batch

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

// TestPeakItemsFollowResultDeadlines guards against too few replicas for models whose jobs take minutes, and too many for
// those whose jobs take a second.
func TestPeakItemsFollowResultDeadlines(t *testing.T) {
	for _, c := range []struct {
		name               string
		deadline, interval time.Duration
		want               int
	}{
		{"one job after the other", 2 * time.Second, 3 * time.Second, 10},
		{"overlapping by half", 8 * time.Second, 4 * time.Second, 20},
		{"long jobs", 2 * time.Minute, 30 * time.Second, 40},
		{"without a deadline", 0, 30 * time.Second, 50},
	} {
		n := newTestNode("a", newStore())
		n.route.ResultDeadline = c.deadline
		for i := range 5 {
			value, err := proto.Marshal(&doorstepv1.BatchJobHead{Model: "m", Total: 10, AcceptedAtMs: int64(i) * c.interval.Milliseconds()})
			if err != nil {
				t.Fatal(err)
			}
			n.jobs.OnHead(n.now, port.Record{RecordKey: headKey(fmt.Sprint("j", i)), Value: value, Revision: int64(i) + 1})
		}
		if got := n.jobs.PeakItems(n.now)["m"]; got != c.want {
			t.Errorf("%s: %d items, want %d", c.name, got, c.want)
		}
	}
}

// TestRemainingWork guards against work that is taken as small because its lengths are unknown, or counted again after
// its results were listed.
func TestRemainingWork(t *testing.T) {
	head := func(model string, total, listed int32, tokens int64, ended bool) *doorstepv1.BatchJobHead {
		return &doorstepv1.BatchJobHead{Model: model, Total: total, Listed: listed, ExpectedTokens: tokens, Ended: ended}
	}
	n := newTestNode("a", newStore())
	for i, one := range []*doorstepv1.BatchJobHead{
		head("m", 10, 0, 1000, false), head("m", 10, 5, 400, false), head("m", 10, 0, 1000, true),
		head("hintless", 10, 0, 10, false), head("hintless", 10, 0, 1000, false), head("done", 10, 10, 500, false),
	} {
		value, err := proto.Marshal(one)
		if err != nil {
			t.Fatal(err)
		}
		n.jobs.OnHead(n.now, port.Record{RecordKey: headKey(fmt.Sprint("j", i)), Value: value, Revision: int64(i) + 1})
	}
	want := map[string]Work{"m": {Items: 15, Tokens: 1200}, "hintless": {Items: 20}}
	if got := n.jobs.RemainingWork(); !maps.Equal(got, want) {
		t.Errorf("remaining work %v, want %v", got, want)
	}
}
