package rollout

import (
	"fmt"
	"testing"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
)

func loads(model string, n int, behind int64) []wanted {
	var list []wanted
	for i := range n {
		e := &endpoint.Endpoint{ReplicaRecord: port.ReplicaRecord{ID: fmt.Sprintf("%s%d", model, i)}}
		list = append(list, wanted{endpoint: e, model: model, behind: behind})
	}
	return list
}

// TestMerge: before models took turns by what their trainers can use, one model's replicas
// all loaded first and the others' steps waited for three rounds of loads.
func TestMerge(t *testing.T) {
	for _, c := range []struct {
		name   string
		queues []*loadQueue
		want   string
	}{
		{"nothing", nil, ""},
		{"two models without a usable replica take turns", []*loadQueue{
			{must: loads("a", 3, 9), group: 3}, {must: loads("b", 3, 2), group: 3},
		}, "ababab"},
		{"the needier model goes first", []*loadQueue{
			{must: loads("a", 2, 2), usable: 2, group: 4}, {must: loads("b", 3, 2), usable: 1, group: 4},
		}, "babab"},
		{"a larger group gets more", []*loadQueue{
			{must: loads("a", 4, 2), group: 8}, {must: loads("b", 2, 2), group: 4},
		}, "abaaba"},
		{"what only evens the halves comes last", []*loadQueue{
			{may: loads("a", 2, 1), usable: 4, group: 4}, {must: loads("b", 1, 2), usable: 3, group: 4},
		}, "baa"},
	} {
		got := ""
		for _, one := range merge(c.queues) {
			got += one.model
		}
		if got != c.want {
			t.Errorf("%s: %s, should be %s", c.name, got, c.want)
		}
	}
}
