package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// TestAGoneReplicaIsForgotten: also while a claim of its window is under way. Its ID never comes back, so
// what is kept for it would be kept for good.
func TestAGoneReplicaIsForgotten(t *testing.T) {
	for name, result := range map[string]port.RecordResult{
		"done": {Status: port.RecordDone, Revision: 1}, "conflict": {Status: port.RecordConflict}, "refused": {Status: port.RecordRefused},
	} {
		gate, queue, _ := exact()
		now, outcomes := epoch.Add(time.Second), 0
		gate.Claim(now, "r", "s", bound, 1, func(now time.Time, granted bool) {
			outcomes++
			if granted {
				t.Errorf("%s: a claim of a replica that is gone is granted", name)
			}
			gate.Wait(now, "r", bound)
		})
		claim := queue.Take()[0].(task.Commit)
		gate.Forget(now, "r")
		claim.Done(now, result)
		for _, one := range queue.Take() {
			if _, again := one.(task.Commit); again {
				t.Errorf("%s: a replica that is gone is claimed again", name)
			}
		}
		if outcomes != 1 || len(gate.replicas) != 0 || gate.claiming != 0 {
			t.Errorf("%s: %d outcomes, %d replicas kept, %d claims under way", name, outcomes, len(gate.replicas), gate.claiming)
		}
	}
}

// TestClaimsAreBounded: while as many are under way as may be, only those replicas can be had that are
// being claimed. Else each caller would try all cold replicas in turn.
func TestClaimsAreBounded(t *testing.T) {
	gate, queue, _ := exact()
	now := epoch.Add(time.Second)
	for i := range claimsAtOnce {
		gate.Claim(now, fmt.Sprint("r", i), "s", bound, 1, nil)
	}
	if !gate.Claimable(now, "r0", bound) || gate.Claimable(now, "another", bound) {
		t.Error("only what is being claimed may be claimed")
	}
	queue.Take()[0].(task.Commit).Done(now, port.RecordResult{Status: port.RecordRefused})
	if !gate.Claimable(now, "another", bound) {
		t.Error("a claim that ended makes room for another")
	}
}
