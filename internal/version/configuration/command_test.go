package configuration

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/request/statement"
	"github.com/doorstep/doorstep/internal/standin/model"
)

// commandTimeout bounds a command.
const commandTimeout = 20 * time.Second

// faultyStore is the simulated store with injected faults.
type faultyStore struct {
	*model.RecordStore
	// commit is called with the number of each commit. If instead is set, the commit returns answer
	// and is only executed if execute is set.
	commit func(n int) (answer port.RecordStatus, execute, instead bool)
	mu     sync.Mutex
	n      int
}

func (f *faultyStore) Commit(_ context.Context, transaction port.RecordTransaction) port.RecordResult {
	f.mu.Lock()
	f.n++
	n := f.n
	f.mu.Unlock()
	if f.commit != nil {
		if answer, execute, instead := f.commit(n); instead {
			if execute {
				f.RecordStore.Commit(time.Now(), transaction)
			}
			return port.RecordResult{Status: answer}
		}
	}
	return f.RecordStore.Commit(time.Now(), transaction)
}

func (f *faultyStore) Range(_ context.Context, query port.RecordRange) port.RecordResult {
	return f.RecordStore.Range(time.Now(), query)
}

func (f *faultyStore) Watch(context.Context, string, int64, time.Duration) port.RecordResult {
	return port.RecordResult{Status: port.RecordRefused}
}

func newExecutor(commit func(n int) (port.RecordStatus, bool, bool)) *Executor {
	return &Executor{Store: &faultyStore{RecordStore: model.NewRecordStore(time.Now(), model.RecordStoreOptions{}), commit: commit}, Now: time.Now}
}

func submit(t *testing.T, c *Executor, operator, token, text string, ifRevision uint64) port.OperatorReply {
	t.Helper()
	parsed, err := statement.ParseOne(text)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return c.Submit(ctx, port.OperatorCall{
		Operator: operator, Token: token, IfRevision: ifRevision, Text: parsed.Text, Command: parsed.Command, Explain: parsed.Explain,
	})
}

func TestConcurrentCommandsAreSerialized(t *testing.T) {
	c := newExecutor(nil)
	const operators = 12
	replies := make([]port.OperatorReply, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			replies[i] = submit(t, c, fmt.Sprint("o", i), fmt.Sprint("t", i), "drain zone z", 0)
		})
	}
	group.Wait()
	accepted := 0
	for _, reply := range replies {
		switch reply.Status {
		case port.Accepted:
			accepted++
		case port.Refused:
			if !strings.Contains(reply.Reason, "drained already") {
				t.Errorf("refused with reason %q", reply.Reason)
			}
		default:
			t.Errorf("reply %+v, want Accepted or Refused", reply)
		}
	}
	if stored, ok := c.Read(context.Background()); accepted != 1 || !ok || len(stored.Drains) != 1 || stored.Revision != 2 {
		t.Errorf("%d commands accepted; stored configuration: %v", accepted, stored)
	}
}

func TestConflictReportsOtherOperator(t *testing.T) {
	c := newExecutor(nil)
	submit(t, c, "first", "t1", "drain zone z", 1)
	reply := submit(t, c, "second", "t2", "drain zone y", 1)
	if reply.Status != port.Refused || !strings.Contains(reply.Reason, `"first" made revision 2`) {
		t.Errorf("%+v", reply)
	}
}

// TestLostAnswers checks that a command takes effect exactly once and that its reply is correct
// when the answer to the first commit is lost.
func TestLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  port.RecordStatus
		execute bool
	}{
		{"executed, no answer", port.RecordUnknown, true},
		{"not executed, no answer", port.RecordUnknown, false},
		{"refused", port.RecordRefused, false},
	} {
		executor := newExecutor(func(n int) (port.RecordStatus, bool, bool) { return c.answer, c.execute, n == 1 })
		reply := submit(t, executor, "o", "t", "drain zone z", 0)
		if reply.Status != port.Accepted || reply.Revision != 2 {
			t.Errorf("%s: %+v", c.name, reply)
		}
		repeated := submit(t, executor, "o", "t", "drain zone z", 0)
		if repeated.Status != port.Accepted || repeated.Revision != 2 {
			t.Errorf("%s: repeated command: %+v", c.name, repeated)
		}
		if stored, _ := executor.Read(context.Background()); len(stored.Drains) != 1 {
			t.Errorf("%s: stored configuration: %v", c.name, stored)
		}
	}
}

// TestRefusalHoldsAgainstALateCommit checks that a delayed commit cannot succeed after the command
// was refused.
func TestRefusalHoldsAgainstALateCommit(t *testing.T) {
	var commitDelayed func()
	records := model.NewRecordStore(time.Now(), model.RecordStoreOptions{})
	store := &delayingStore{faultyStore: faultyStore{RecordStore: records}, onDelayed: func(do func()) { commitDelayed = do }}
	c := &Executor{Store: store, Now: time.Now}
	done := make(chan port.OperatorReply, 1)
	store.afterDelayed = func() {
		submit(t, &Executor{Store: &store.faultyStore, Now: time.Now}, "other", "t2", "drain zone z", 0)
	}
	go func() { done <- submit(t, c, "o", "t1", "drain zone z", 0) }()
	reply := <-done
	if reply.Status != port.Refused {
		t.Fatalf("reply %+v, want Refused", reply)
	}
	commitDelayed()
	if stored, _ := c.Read(context.Background()); stored.Revision != 2 || len(stored.Drains) != 1 {
		t.Errorf("the delayed commit took effect: %v", stored)
	}
}

// delayingStore delays the first commit and does not answer it.
type delayingStore struct {
	faultyStore
	onDelayed    func(do func())
	afterDelayed func()
	delayed      bool
}

func (s *delayingStore) Commit(ctx context.Context, transaction port.RecordTransaction) port.RecordResult {
	if !s.delayed {
		s.delayed = true
		s.onDelayed(func() { s.RecordStore.Commit(time.Now(), transaction) })
		s.afterDelayed()
		return port.RecordResult{Status: port.RecordUnknown}
	}
	return s.faultyStore.Commit(ctx, transaction)
}

func TestUnansweredCommandIsUndecided(t *testing.T) {
	c := newExecutor(func(int) (port.RecordStatus, bool, bool) { return port.RecordUnknown, false, true })
	parsed, err := statement.ParseOne("drain zone z")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	reply := c.Submit(ctx, port.OperatorCall{Token: "t", Command: parsed.Command})
	if reply.Status != port.Undecided || reply.Token != "t" {
		t.Errorf("%+v", reply)
	}
}

func TestExplainChangesNothing(t *testing.T) {
	c := newExecutor(nil)
	reply := submit(t, c, "o", "t", "explain drain zone z", 0)
	stored, _ := c.Read(context.Background())
	if len(reply.Rows) != 1 || stored.Revision != firstRevision {
		t.Errorf("%+v; stored configuration: %v", reply, stored)
	}
	if status := submit(t, c, "o", "t", "status of t", 0); status.Status != port.Undecided {
		t.Errorf("status without a recorded command: %+v, want Undecided", status)
	}
}

// TestCommandsThatAreNotTextAreRefused guards against a command that cannot be recorded.
func TestCommandsThatAreNotTextAreRefused(t *testing.T) {
	if reply := submit(t, newExecutor(nil), "ann\xff", "t", "drain node n", 0); reply.Status != port.Refused {
		t.Errorf("reply %+v", reply)
	}
}
