package cluster

import (
	"fmt"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"google.golang.org/protobuf/proto"
)

// TestWorkingSetFollowsDemand checks that the working set depends on the running items and not on the size of
// the fleet, and that a model without known jobs gets the minimum.
func TestWorkingSetFollowsDemand(t *testing.T) {
	var sizes []int
	for _, replicas := range []int{9625, 19250} {
		n := newNode()
		n.applyRoutes(start, &port.RouteTable{Version: 1, Services: []port.Service{{Name: "s"}}, Routes: []port.Route{{Name: "r", Kind: port.RouteBatch, ResultDeadline: 7500 * time.Millisecond}}})
		versions := map[string]int64{"unknown": 1}
		models := []string{"unknown"}
		for model := range 6 {
			name := fmt.Sprintf("m%d", model)
			versions[name], models = 1, append(models, name)
			for step := range 3 {
				head := &doorstepv1.BatchJobHead{Model: name, Total: 208, AcceptedAtMs: int64(step) * 4000}
				value, err := proto.Marshal(head)
				if err != nil {
					t.Fatal(err)
				}
				n.jobs.OnHead(start, port.Record{RecordKey: port.RecordKey{Key: fmt.Sprint(name, step)}, Value: value, Revision: 1})
			}
		}
		for i := range replicas {
			n.putReplica(start, n.endpoints.Put(port.ReplicaRecord{ID: fmt.Sprintf("r%d", i), Service: "s", Address: fmt.Sprint(i), Zone: fmt.Sprint(i % 5), Slots: 6, Versions: versions}))
		}
		sizes = append(sizes, len(n.workingSet(start, models)))
	}
	// Two concurrent steps of 208 items need 87 replicas of 6 slots, including the headroom.
	if want := 6*87 + minReplicas; sizes[0] != want || sizes[1] != want {
		t.Errorf("%d and %d replicas, want %d", sizes[0], sizes[1], want)
	}
}

// TestNeedsAreRefreshed checks that needs are recomputed periodically, and at once for a new model.
func TestNeedsAreRefreshed(t *testing.T) {
	n := newNode()
	n.refreshNeeds(start, []string{"m"})
	n.refreshNeeds(start.Add(time.Millisecond), []string{"m", "n"})
	if len(n.needs.byModel) != 2 {
		t.Errorf("needs %v, want those of two models", n.needs.byModel)
	}
}
