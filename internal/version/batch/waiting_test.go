package batch

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
)

// overdueLines returns the reasons and numbers of items of all lines on overdue items.
func overdueLines(n *testNode) map[string]int {
	lines := map[string]int{}
	for _, logged := range n.logged {
		if logged.Event == event.ItemsOverdue {
			lines[logField(logged, "reason").(string)] = logField(logged, "count").(int)
		}
	}
	return lines
}

// logField returns a field of a log event, or nil.
func logField(logged task.Log, name string) any {
	for i := 0; i+1 < len(logged.Fields); i += 2 {
		if logged.Fields[i] == name {
			return logged.Fields[i+1]
		}
	}
	return nil
}

// TestOverdueItemsAreLoggedWithTheirReason tests that no item waits for seconds without a log line and a metric
// that say why.
func TestOverdueItemsAreLoggedWithTheirReason(t *testing.T) {
	for _, c := range []struct {
		reason  WaitReason
		arrange func(n *testNode)
	}{
		{WaitNoRoute, func(n *testNode) { n.route = nil }},
		{WaitNoReplica, func(n *testNode) { n.replicas = newReplicaSet(0) }},
		{WaitBackoff, func(n *testNode) { n.jobs.owned["j"].items[0].notBefore = n.now.Add(time.Hour) }},
		{WaitNotOwned, func(n *testNode) { n.jobs.owned["j"].startAfter = n.now.Add(time.Hour) }},
	} {
		n := newTestNode("a", newStore())
		n.replicas = newReplicaSet(0)
		n.accept(newJob("j", 1))
		n.replicas = newReplicaSet(1)
		c.arrange(n)
		n.elapse(overdueAfter / 2)
		if lines := overdueLines(n); len(lines) != 0 {
			t.Errorf("%s: logged %v too early", c.reason, lines)
		}
		n.elapse(overdueAfter)
		if lines := overdueLines(n); lines[string(c.reason)] != 1 {
			t.Errorf("%s: logged %v", c.reason, lines)
		}
		if counts := n.jobs.OverdueItems(n.now); counts[c.reason] != 1 {
			t.Errorf("%s: counted %v", c.reason, counts)
		}
	}
}
