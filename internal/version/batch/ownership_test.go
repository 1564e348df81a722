package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
)

// sampledRuns are runs whose events name the run that generated them, as a replica that samples generates another
// text each time.
type sampledRuns struct {
	// after is the event after which each run was asked to continue.
	after map[string]int64
}

func newSampledRuns() *sampledRuns { return &sampledRuns{after: map[string]int64{}} }

// events returns a number of events of a run.
func (s *sampledRuns) events(node string, run task.Run, count int) []port.ReplicaEvent {
	name := fmt.Sprintf("%s-run-%d", node, run.ID)
	s.after[name] = run.After
	events := make([]port.ReplicaEvent, count)
	for i := range events {
		events[i] = port.ReplicaEvent{ID: run.After + int64(i) + 1, Data: name, Version: 2}
	}
	return events
}

// check reports a text in which a run continues that was not asked to do so.
func (s *sampledRuns) check(t *testing.T, text string) {
	t.Helper()
	events := strings.Split(text, "\n")
	for i, name := range events {
		if (i == 0 || events[i-1] != name) && s.after[name] != int64(i) {
			t.Errorf("event %d is of %s, which was asked to continue after event %d", i+1, name, s.after[name])
		}
	}
}

// newNodes returns nodes with different incarnations that share a store.
func newNodes(names ...string) []*testNode {
	store := newStore()
	nodes := make([]*testNode, len(names))
	for i, name := range names {
		nodes[i] = newTestNode(name, store)
		nodes[i].jobs.options.Incarnation = uint64(0x1000 + i)
	}
	return nodes
}

// takeOver lets a node take job j over from an owner that does nothing meanwhile, and returns its first run.
func takeOver(t *testing.T, next, former *testNode) task.Run {
	t.Helper()
	next.now = former.now
	syncHeads(next)
	next.elapse(takeoverTimeout + takeoverSpread + checkpointReadTimeout + 200*time.Millisecond)
	syncHeads(former)
	runs := next.takeRuns()
	if next.jobs.owned["j"] == nil || former.jobs.owned["j"] != nil || len(runs) != 1 {
		t.Fatalf("the job was not taken over, or %d runs are not one", len(runs))
	}
	return runs[0]
}

// generate reports parts of a run's text to its owner and lets it write each of them.
func (s *sampledRuns) generate(n *testNode, name string, run task.Run, parts, eventsPerPart int) {
	for part := 1; part <= parts; part++ {
		run.Progress(n.now, s.events(name, run, part*eventsPerPart), 0)
		n.elapse(checkpointInterval + 50*time.Millisecond)
	}
}

// complete lets a run complete its text, and returns the text that is listed.
func (s *sampledRuns) complete(t *testing.T, n *testNode, name string, run task.Run, count int) string {
	t.Helper()
	run.Done(n.now, task.RunResult{Outcome: task.RunCompleted, Events: s.events(name, run, count)})
	n.elapse(time.Second)
	results := n.results(t, "j")
	if len(results) != 1 || !results[0].Completed {
		t.Fatalf("results %v, want one that is completed", results)
	}
	return results[0].Message
}

func isTextRead(query port.RecordRange) bool { return strings.HasPrefix(query.From, "j/t/") }

func isTextWrite(commit task.Commit) bool {
	puts := commit.Transaction.Puts
	return len(puts) > 0 && strings.HasPrefix(puts[0].Key, "j/t/")
}

// TestTextsOfTwoOwnershipsDoNotMix guards against a text put together from two runs: a node loses a job and gets it back
// while it can't read the former texts, and its second text is stored beside parts of its first.
func TestTextsOfTwoOwnershipsDoNotMix(t *testing.T) {
	for _, c := range []struct {
		name string
		// late holds back a write of the first ownership until the second has written its text.
		late bool
	}{{"read fails", false}, {"read fails and a write takes effect late", true}} {
		t.Run(c.name, func(t *testing.T) {
			nodes, sampled := newNodes("a", "b", "c"), newSampledRuns()
			first, second, third := nodes[0], nodes[1], nodes[2]
			first.accept(newJob("j", 1))
			first.elapse(200 * time.Millisecond)
			firstRun := first.takeRuns()[0]
			sampled.generate(first, "a", firstRun, 3, 8)
			var late port.RecordTransaction
			if c.late {
				first.commitHook = func(commit task.Commit) (port.RecordResult, bool) {
					if isTextWrite(commit) {
						late = commit.Transaction
						return port.RecordResult{Status: port.RecordUnknown}, true
					}
					return port.RecordResult{}, false
				}
				sampled.generate(first, "a", firstRun, 4, 8)
				first.commitHook = nil
			}
			takeOver(t, second, first)
			first.rangeHook = func(query port.RecordRange) (port.RecordResult, bool) {
				return port.RecordResult{Status: port.RecordRefused}, isTextRead(query)
			}
			again := takeOver(t, first, second)
			sampled.generate(first, "a", again, 1, 8)
			if c.late {
				first.store.Commit(first.now, late)
			}
			sampled.check(t, sampled.complete(t, third, "c", takeOver(t, third, first), 4))
		})
	}
}

// revoke ends a run whose events are not known to belong to the text, and lets its owner write that.
func revoke(n *testNode, run task.Run) {
	run.Done(n.now, task.RunResult{Outcome: task.RunTooLong})
	n.elapse(2 * checkpointInterval)
	n.takeRuns()
}

// TestRevokedTextsAreNotRestored guards against a text that an owner found not to be sound and that a later owner goes
// on with: its parts may be stored under the names of other ownerships.
func TestRevokedTextsAreNotRestored(t *testing.T) {
	t.Run("written by a former owner", func(t *testing.T) {
		nodes, sampled := newNodes("a", "b", "c"), newSampledRuns()
		nodes[0].accept(newJob("j", 1))
		nodes[0].elapse(200 * time.Millisecond)
		sampled.generate(nodes[0], "a", nodes[0].takeRuns()[0], 3, 8)
		taken := takeOver(t, nodes[1], nodes[0])
		if taken.After != 24 {
			t.Fatalf("the run continues after event %d, want 24", taken.After)
		}
		revoke(nodes[1], taken)
		if run := takeOver(t, nodes[2], nodes[1]); run.After != 0 {
			t.Errorf("the run continues a revoked text after event %d", run.After)
		}
	})
	t.Run("written in a former ownership of the same node", func(t *testing.T) {
		nodes, sampled := newNodes("a", "b"), newSampledRuns()
		nodes[0].accept(newJob("j", 1))
		nodes[0].elapse(200 * time.Millisecond)
		sampled.generate(nodes[0], "a", nodes[0].takeRuns()[0], 3, 8)
		takeOver(t, nodes[1], nodes[0])
		revoke(nodes[0], takeOver(t, nodes[0], nodes[1]))
		if run := takeOver(t, nodes[1], nodes[0]); run.After != 0 {
			t.Errorf("the run continues a revoked text after event %d", run.After)
		}
	})
	t.Run("the revocation is not read", func(t *testing.T) {
		nodes, sampled := newNodes("a", "b", "c"), newSampledRuns()
		nodes[0].accept(newJob("j", 1))
		nodes[0].elapse(200 * time.Millisecond)
		sampled.generate(nodes[0], "a", nodes[0].takeRuns()[0], 3, 8)
		revoke(nodes[1], takeOver(t, nodes[1], nodes[0]))
		reads := 0
		nodes[2].rangeHook = func(query port.RecordRange) (port.RecordResult, bool) {
			if !isTextRead(query) {
				return port.RecordResult{}, false
			}
			if reads++; reads > 1 {
				return port.RecordResult{Status: port.RecordRefused}, true
			}
			query.Limit = 3
			return nodes[2].store.Range(nodes[2].now, query), true
		}
		if run := takeOver(t, nodes[2], nodes[1]); run.After != 0 {
			t.Errorf("the run continues a revoked text after event %d", run.After)
		}
	})
}

// TestTextsOfEarlierBuilds guards against texts that are lost in an upgrade, or that come back although they were
// revoked: the keys of earlier builds don't tell the order of their owners.
func TestTextsOfEarlierBuilds(t *testing.T) {
	const former, other = "j/t/0000/00000000000000aa-00/000", "j/t/0000/00000000000000bb-00/000"
	const revokedByFormer, revokedByOther = "j/t/0000/00000000000000aa-01/000", "j/t/0000/00000000000000bb-01/000"
	ordered := checkpointPrefix{ownership: newOwnership(3, 1)}
	revokedByOrdered := ordered
	revokedByOrdered.generation = 1
	later := checkpointPrefix{ownership: newOwnership(7, 2)}
	for _, c := range []struct {
		name string
		keys []string
		want int
	}{
		{"one text", []string{former}, 1},
		{"texts of two builds", []string{former, ordered.key("j", 0).Key}, 2},
		{"revoked by its owner", []string{former, revokedByFormer}, 1},
		{"revoked by another owner of that build", []string{former, revokedByOther}, 1},
		{"each revoked", []string{former, other, revokedByFormer, revokedByOther}, 0},
		{"revoked by this build", []string{former, other, revokedByOrdered.key("j", 0).Key}, 1},
		{"begun after the revocation", []string{revokedByOrdered.key("j", 0).Key, later.key("j", 0).Key}, 2},
		{"begun before the revocation", []string{ordered.key("j", 0).Key, revokedByOrdered.key("j", 0).Key}, 1},
		{"revoked by a build that does not tell when", []string{ordered.key("j", 0).Key, revokedByFormer}, 1},
	} {
		n := newTestNode("a", newStore())
		n.accept(newJob("j", 1))
		records := make([]port.Record, len(c.keys))
		for i, key := range c.keys {
			records[i].Key = key
		}
		texts := n.jobs.owned["j"].storedTexts(records)
		if len(texts) != len(c.keys) {
			t.Fatalf("%s: %d texts of %d keys", c.name, len(texts), len(c.keys))
		}
		if got := len(withoutRevoked(texts)); got != c.want {
			t.Errorf("%s: %d texts, want %d", c.name, got, c.want)
		}
	}
}

// TestCheckpointKeysInEarlierBuilds guards against texts of this build that an earlier one combines with others: it
// groups parts by all that precedes the last slash, and reads the item, a number of the owner and a generation.
func TestCheckpointKeysInEarlierBuilds(t *testing.T) {
	seen := map[string]bool{}
	for _, prefix := range []checkpointPrefix{
		{ownership: newOwnership(3, 1)},
		{ownership: newOwnership(3, 2)},
		{ownership: newOwnership(9, 1)},
		{ownership: newOwnership(9, 1), generation: 1},
		{ownership: newOwnership(9, 1), index: 1},
	} {
		key := prefix.key("j", 2).Key
		group := key[:strings.LastIndexByte(key, '/')+1]
		if seen[group] || prefix.key("j", 3).Key[:len(group)] != group {
			t.Errorf("%s is not the prefix of one text", group)
		}
		seen[group] = true
		var index, generation int
		var owner uint64
		if _, err := fmt.Sscanf(group[len("j/t/"):], "%d/%x-%d/", &index, &owner, &generation); err != nil || index != prefix.index || generation != prefix.generation || owner != prefix.number {
			t.Errorf("%s reads as item %d, owner %x, generation %d, error %v", group, index, owner, generation, err)
		}
		if parsed, ok := parseCheckpointPrefix("j", key); !ok || parsed != prefix {
			t.Errorf("%s reads as %+v, want %+v", key, parsed, prefix)
		}
	}
}

// TestTextsRestoredLateDoNotMix guards against a text that is stored behind parts of another run: an item ran again and
// stored a part of its text before the read of the former texts was answered.
func TestTextsRestoredLateDoNotMix(t *testing.T) {
	nodes, sampled := newNodes("a", "b", "c"), newSampledRuns()
	nodes[0].accept(newJob("j", 1))
	nodes[0].elapse(200 * time.Millisecond)
	sampled.generate(nodes[0], "a", nodes[0].takeRuns()[0], 3, 8)
	var answer func()
	nodes[1].holdRange = func(read task.Range) bool {
		if !isTextRead(read.Query) {
			return false
		}
		answer = func() { read.Done(nodes[1].now, nodes[1].store.Range(nodes[1].now, read.Query)) }
		return true
	}
	run := takeOver(t, nodes[1], nodes[0])
	sampled.generate(nodes[1], "b", run, 1, 8)
	run.Done(nodes[1].now, task.RunResult{Outcome: task.RunInterrupted, Events: sampled.events("b", run, 8)})
	answer()
	nodes[1].elapse(500 * time.Millisecond)
	again := nodes[1].takeRuns()
	if len(again) != 1 || again[0].After != 24 {
		t.Fatalf("runs %v, want one that continues the longer text", again)
	}
	sampled.generate(nodes[1], "b", again[0], 1, 8)
	sampled.check(t, sampled.complete(t, nodes[2], "c", takeOver(t, nodes[2], nodes[1]), 4))
}

// TestLateSubmissionsDoNotStartJobsOfOthers guards against a node that runs the items of another owner's job, as its own
// submission is answered after the takeover.
func TestLateSubmissionsDoNotStartJobsOfOthers(t *testing.T) {
	nodes := newNodes("a", "b")
	var answer func()
	nodes[0].holdCommit = func(commit task.Commit) bool {
		if answer != nil {
			return false
		}
		result := nodes[0].store.Commit(nodes[0].now, commit.Transaction)
		answer = func() { commit.Done(nodes[0].now, result) }
		return true
	}
	outcome := Indeterminate
	nodes[0].jobs.Accept(nodes[0].now, newJob("j", 1), time.Time{}, func(_ time.Time, got Outcome) { outcome = got })
	nodes[0].runTasks()
	takeOver(t, nodes[1], nodes[0])
	nodes[1].elapse(heartbeatInterval)
	nodes[0].now = nodes[1].now
	syncHeads(nodes[0])
	answer()
	nodes[0].elapse(200 * time.Millisecond)
	if owned, runs := nodes[0].jobs.OwnedCount(), len(nodes[0].takeRuns()); outcome != Applied || owned != 0 || runs != 0 {
		t.Errorf("outcome %d, %d jobs owned, %d runs", outcome, owned, runs)
	}
}

// TestKnownJobsAreStartedFromTheStore guards against a job that is started without its stored texts, or with the content
// of a later submission: the submission finds that the job exists and that this node owns it.
func TestKnownJobsAreStartedFromTheStore(t *testing.T) {
	nodes, sampled := newNodes("a", "b"), newSampledRuns()
	nodes[0].accept(newJob("j", 1))
	nodes[0].elapse(200 * time.Millisecond)
	sampled.generate(nodes[0], "a", nodes[0].takeRuns()[0], 3, 8)
	// The takeover takes effect, but its answer is lost, and the watch is behind.
	other := nodes[1]
	other.now = nodes[0].now
	syncHeads(other)
	other.commitHook = func(commit task.Commit) (port.RecordResult, bool) {
		other.store.Commit(other.now, commit.Transaction)
		return port.RecordResult{Status: port.RecordUnknown}, true
	}
	for range 200 {
		if other.elapse(25 * time.Millisecond); !other.jobs.heads["j"].mutating && !other.jobs.heads["j"].retryAt.IsZero() {
			break
		}
	}
	other.commitHook = nil
	delete(other.jobs.heads, "j")
	again := newJob("j", 1)
	again.Items[0].Body = []byte("another body")
	if outcome, _ := other.accept(again); outcome != Applied {
		t.Fatalf("outcome %d", outcome)
	}
	other.elapse(time.Second)
	runs := other.takeRuns()
	if len(runs) != 1 || runs[0].After != 24 || string(runs[0].Body) != "b" {
		t.Errorf("runs %v, want one that continues after event 24 with the body that was accepted", runs)
	}
}

// TestFailedReadsOfTextsAreRetried guards against texts that are generated again because a single read of them failed.
func TestFailedReadsOfTextsAreRetried(t *testing.T) {
	nodes, sampled := newNodes("a", "b"), newSampledRuns()
	nodes[0].accept(newJob("j", 1))
	nodes[0].elapse(200 * time.Millisecond)
	sampled.generate(nodes[0], "a", nodes[0].takeRuns()[0], 3, 8)
	reads := 0
	nodes[1].rangeHook = func(query port.RecordRange) (port.RecordResult, bool) {
		if isTextRead(query) {
			reads++
		}
		return port.RecordResult{Status: port.RecordRefused}, isTextRead(query) && reads <= 2
	}
	if run := takeOver(t, nodes[1], nodes[0]); run.After != 24 {
		t.Errorf("the run continues after event %d, want 24", run.After)
	}
}

// TestTextsThatGoOnAfterACheckDoNotMix guards against a text that goes on, behind an event of one run, with another run
// that was asked for events from that one on: the end of the text had to be checked, and was none.
func TestTextsThatGoOnAfterACheckDoNotMix(t *testing.T) {
	nodes, sampled := newNodes("a", "b"), newSampledRuns()
	n := nodes[0]
	n.accept(newJob("j", 1))
	n.elapse(200 * time.Millisecond)
	first := n.takeRuns()[0]
	sampled.generate(n, "a", first, 1, 8)
	end := func(run task.Run, outcome task.RunOutcome, count int) {
		run.Done(n.now, task.RunResult{Outcome: outcome, Events: sampled.events("a", run, count)})
		n.elapse(2 * checkpointInterval)
	}
	end(first, task.RunInterrupted, 8)
	end(n.takeRuns()[0], task.RunCompleted, 0)
	end(n.takeRuns()[0], task.RunInterrupted, 5)
	sampled.check(t, sampled.complete(t, nodes[1], "b", takeOver(t, nodes[1], n), 4))
}
