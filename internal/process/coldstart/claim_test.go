package coldstart

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// TestRemovedReplicaIsForgotten checks that no state is kept for a removed replica, even if a claim for it is
// pending.
func TestRemovedReplicaIsForgotten(t *testing.T) {
	for name, result := range map[string]port.RecordResult{
		"done": {Status: port.RecordDone, Revision: 1}, "conflict": {Status: port.RecordConflict}, "refused": {Status: port.RecordRefused},
	} {
		gate, queue, _ := newExactGate()
		now, outcomes := epoch.Add(time.Second), 0
		gate.Claim(now, "r", "s", limit, 1, func(now time.Time, granted bool) {
			outcomes++
			if granted {
				t.Errorf("%s: claim for a removed replica is granted", name)
			}
			gate.RetryAfter(now, "r", limit)
		})
		claim := queue.Take()[0].(task.Commit)
		gate.Forget(now, "r")
		claim.Done(now, result)
		for _, one := range queue.Take() {
			if _, again := one.(task.Commit); again {
				t.Errorf("%s: removed replica is claimed again", name)
			}
		}
		if outcomes != 1 || len(gate.replicas) != 0 || gate.claiming != 0 {
			t.Errorf("%s: %d outcomes, %d replicas kept, %d claims pending", name, outcomes, len(gate.replicas), gate.claiming)
		}
	}
}

// TestClaimsAreBounded checks that at the limit of pending claims only replicas with a pending claim are
// claimable.
func TestClaimsAreBounded(t *testing.T) {
	gate, queue, _ := newExactGate()
	now := epoch.Add(time.Second)
	for i := range maxConcurrentClaims {
		gate.Claim(now, fmt.Sprint("r", i), "s", limit, 1, nil)
	}
	if !gate.Claimable(now, "r0", limit) || gate.Claimable(now, "another", limit) {
		t.Error("at the limit only replicas with a pending claim may be claimable")
	}
	queue.Take()[0].(task.Commit).Done(now, port.RecordResult{Status: port.RecordRefused})
	if !gate.Claimable(now, "another", limit) {
		t.Error("no claim possible after a pending one has ended")
	}
}
