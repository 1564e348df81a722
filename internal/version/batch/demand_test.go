package batch

import (
	"fmt"
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
