package rollout

import (
	"fmt"
	"testing"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
)

func loads(model string, n int, behind int64) []pendingLoad {
	var list []pendingLoad
	for i := range n {
		e := &endpoint.Endpoint{ReplicaRecord: port.ReplicaRecord{ID: fmt.Sprintf("%s%d", model, i)}}
		list = append(list, pendingLoad{endpoint: e, model: model, behind: behind})
	}
	return list
}

// TestMergeQueues checks that no model's loads wait until all replicas of another model have
// loaded.
func TestMergeQueues(t *testing.T) {
	for _, c := range []struct {
		name   string
		queues []*loadQueue
		want   string
	}{
		{"empty", nil, ""},
		{"two models without a usable replica take turns", []*loadQueue{
			{required: loads("a", 3, 9), group: 3}, {required: loads("b", 3, 2), group: 3},
		}, "ababab"},
		{"the smaller usable share goes first", []*loadQueue{
			{required: loads("a", 2, 2), usable: 2, group: 4}, {required: loads("b", 3, 2), usable: 1, group: 4},
		}, "babab"},
		{"a larger group gets more", []*loadQueue{
			{required: loads("a", 4, 2), group: 8}, {required: loads("b", 2, 2), group: 4},
		}, "abaaba"},
		{"optional loads come last", []*loadQueue{
			{optional: loads("a", 2, 1), usable: 4, group: 4}, {required: loads("b", 1, 2), usable: 3, group: 4},
		}, "baa"},
	} {
		got := ""
		for _, load := range mergeQueues(c.queues) {
			got += load.model
		}
		if got != c.want {
			t.Errorf("%s: order %s, want %s", c.name, got, c.want)
		}
	}
}
