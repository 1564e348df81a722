package batch

import (
	"bytes"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// newLargeJob returns a job whose content takes several transactions, with a body that consists of one byte.
func newLargeJob(content byte, size int) *doorstepv1.BatchJob {
	job := newJob("j", 1)
	job.Items[0].Body = bytes.Repeat([]byte{content}, size)
	return job
}

// readBody returns the body of the item of job j as a node without any knowledge of it reads it, nil if it can't.
func readBody(store *testNode) []byte {
	reader := newTestNode("reader", store.store)
	syncHeads(reader)
	var body []byte
	reader.jobs.ReadContent(reader.now, "j", func(_ time.Time, job *doorstepv1.BatchJob) {
		if job != nil {
			body = job.Items[0].Body
		}
	})
	reader.runTasks()
	return body
}

func expectBody(t *testing.T, n *testNode, content byte, size int) {
	t.Helper()
	if got := readBody(n); !bytes.Equal(got, bytes.Repeat([]byte{content}, size)) {
		t.Errorf("a body of %d bytes %q..., want %d bytes of %q", len(got), got[:min(len(got), 4)], size, content)
	}
}

// TestSubmissionsDoNotReplaceAcceptedContent guards against chunks of an accepted job that a submission under its ID
// replaces: the node that takes the submission does not know the job yet, and the other one may be of another tenant.
func TestSubmissionsDoNotReplaceAcceptedContent(t *testing.T) {
	for _, size := range []int{10, 700_000, 1_500_000} {
		nodes := newNodes("a", "b")
		if outcome, _ := nodes[0].accept(newLargeJob('a', size)); outcome != Applied {
			t.Fatalf("outcome %d", outcome)
		}
		other := newLargeJob('b', 1_500_000)
		other.Tenant = "another"
		if outcome, answered := nodes[1].accept(other); !answered || outcome != TenantMismatch {
			t.Errorf("outcome %d, answered %t", outcome, answered)
		}
		expectBody(t, nodes[0], 'a', size)
	}
}

// TestSubmissionsOfTwoContentsDoNotMix guards against a job put together from two submissions under its ID that are under
// way at two nodes, and against chunks of one that was given up.
func TestSubmissionsOfTwoContentsDoNotMix(t *testing.T) {
	const large = 1_500_000
	for _, c := range []struct {
		name string
		// held is the write of the first submission that is held back until the second was accepted.
		held int
		// size is that of the second submission.
		size int
	}{
		{"second chunks", 2, large}, {"head record", 3, large}, {"second chunks, small submission", 2, 10}, {"head record, small submission", 3, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			nodes := newNodes("a", "b")
			var late task.Commit
			writes := 0
			nodes[0].holdCommit = func(commit task.Commit) bool {
				if writes++; writes == c.held {
					late = commit
				}
				return writes >= c.held
			}
			nodes[0].jobs.Accept(nodes[0].now, newLargeJob('a', large), epoch.Add(time.Minute), func(time.Time, Outcome) {})
			nodes[0].runTasks()
			nodes[0].holdCommit = nil
			if outcome, _ := nodes[1].accept(newLargeJob('b', c.size)); outcome != Applied {
				t.Fatalf("outcome %d", outcome)
			}
			late.Done(nodes[0].now, nodes[0].store.Commit(nodes[0].now, late.Transaction))
			nodes[0].elapse(time.Second)
			expectBody(t, nodes[1], 'b', c.size)
		})
	}
}

// TestSubmissionTakesOverItsClaim guards against a submission that is refused for good after an earlier try of it, or one
// of another content, was given up midway.
func TestSubmissionTakesOverItsClaim(t *testing.T) {
	for _, earlier := range []byte{'a', 'b'} {
		nodes := newNodes("a", "b")
		writes := 0
		nodes[0].commitHook = func(task.Commit) (port.RecordResult, bool) {
			writes++
			return port.RecordResult{Status: port.RecordRefused}, writes > 1
		}
		if outcome, _ := nodes[0].accept(newLargeJob(earlier, 2_000_000)); outcome != NotApplied {
			t.Fatalf("outcome %d of the earlier submission", outcome)
		}
		if outcome, _ := nodes[1].accept(newLargeJob('a', 1_500_000)); outcome != Applied {
			t.Errorf("outcome %d", outcome)
		}
		expectBody(t, nodes[1], 'a', 1_500_000)
	}
}

// TestClaimThatReturnsDoesNotKeepChunks guards against chunks of another content that are accepted because the claim holds
// the digest of the submission again.
func TestClaimThatReturnsDoesNotKeepChunks(t *testing.T) {
	const large = 1_500_000
	nodes := newNodes("a", "b", "c")
	var late task.Commit
	writes := 0
	nodes[0].holdCommit = func(commit task.Commit) bool {
		if writes++; writes == 3 {
			late = commit
		}
		return writes >= 3
	}
	nodes[0].jobs.Accept(nodes[0].now, newLargeJob('a', large), epoch.Add(time.Minute), func(time.Time, Outcome) {})
	nodes[0].runTasks()
	nodes[0].holdCommit = nil
	// The other content replaces all leading chunks, and the first content the first of them again. The first write of
	// each finds the other's claim.
	for _, next := range []struct {
		node    *testNode
		content byte
		writes  int
	}{{nodes[1], 'b', 3}, {nodes[2], 'a', 2}} {
		done := 0
		next.node.holdCommit = func(task.Commit) bool { done++; return done > next.writes }
		next.node.jobs.Accept(next.node.now, newLargeJob(next.content, large), epoch.Add(time.Minute), func(time.Time, Outcome) {})
		next.node.elapse(time.Second)
	}
	late.Done(nodes[0].now, nodes[0].store.Commit(nodes[0].now, late.Transaction))
	nodes[0].elapse(time.Second)
	expectBody(t, nodes[0], 'a', large)
}
