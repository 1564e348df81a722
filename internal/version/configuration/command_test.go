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

// patience bounds a command; no test depends on being fast.
const patience = 20 * time.Second

// faultyStore is the modelled store with a fault for each commit.
type faultyStore struct {
	*model.Records
	// commit is asked before each commit: what to answer in its place, and whether to
	// carry it out all the same.
	commit func(n int) (answer port.RecordStatus, carryOut, instead bool)
	mu     sync.Mutex
	n      int
}

func (f *faultyStore) Commit(_ context.Context, transaction port.RecordTransaction) port.RecordResult {
	f.mu.Lock()
	f.n++
	n := f.n
	f.mu.Unlock()
	if f.commit != nil {
		if answer, carryOut, instead := f.commit(n); instead {
			if carryOut {
				f.Records.Commit(time.Now(), transaction)
			}
			return port.RecordResult{Status: answer}
		}
	}
	return f.Records.Commit(time.Now(), transaction)
}

func (f *faultyStore) Range(_ context.Context, query port.RecordRange) port.RecordResult {
	return f.Records.Range(time.Now(), query)
}

func (f *faultyStore) Watch(context.Context, string, int64, time.Duration) port.RecordResult {
	return port.RecordResult{Status: port.RecordRefused}
}

func newCommander(commit func(n int) (port.RecordStatus, bool, bool)) *Commander {
	return &Commander{Store: &faultyStore{Records: model.NewRecords(time.Now(), model.RecordsOptions{}), commit: commit}, Now: time.Now}
}

func submit(t *testing.T, c *Commander, operator, token, text string, ifRevision uint64) port.OperatorReply {
	t.Helper()
	parsed, err := statement.ParseOne(text)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return c.Submit(ctx, port.OperatorCall{
		Operator: operator, Token: token, IfRevision: ifRevision, Text: parsed.Text, Command: parsed.Command, Explain: parsed.Explain,
	})
}

func TestRacingOperatorsGetOneTruth(t *testing.T) {
	c := newCommander(nil)
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
				t.Errorf("refused for %q", reply.Reason)
			}
		default:
			t.Errorf("a definite answer was wanted: %+v", reply)
		}
	}
	if held, ok := c.Read(context.Background()); accepted != 1 || !ok || len(held.Drains) != 1 || held.Revision != 2 {
		t.Errorf("%d were accepted; the store holds %v", accepted, held)
	}
}

func TestLosingOperatorIsToldWhoWon(t *testing.T) {
	c := newCommander(nil)
	submit(t, c, "first", "t1", "drain zone z", 1)
	reply := submit(t, c, "second", "t2", "drain zone y", 1)
	if reply.Status != port.Refused || !strings.Contains(reply.Reason, `"first" made revision 2`) {
		t.Errorf("%+v", reply)
	}
}

// TestLostAnswers plays each way in which the answer to the first commit may be lost: the
// command has one effect, and what is told holds.
func TestLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name     string
		answer   port.RecordStatus
		carryOut bool
	}{
		{"done, no answer", port.RecordUnknown, true},
		{"not done, no answer", port.RecordUnknown, false},
		{"refused", port.RecordRefused, false},
	} {
		commander := newCommander(func(n int) (port.RecordStatus, bool, bool) { return c.answer, c.carryOut, n == 1 })
		reply := submit(t, commander, "o", "t", "drain zone z", 0)
		if reply.Status != port.Accepted || reply.Revision != 2 {
			t.Errorf("%s: %+v", c.name, reply)
		}
		again := submit(t, commander, "o", "t", "drain zone z", 0)
		if again.Status != port.Accepted || again.Revision != 2 {
			t.Errorf("%s: the repeat says %+v", c.name, again)
		}
		if held, _ := commander.Read(context.Background()); len(held.Drains) != 1 {
			t.Errorf("%s: the store holds %v", c.name, held)
		}
	}
}

// TestRefusalHoldsAgainstALateCommit: a try without an answer may be carried out seconds
// later. Once the command was told to be refused, it can't be.
func TestRefusalHoldsAgainstALateCommit(t *testing.T) {
	var late func()
	records := model.NewRecords(time.Now(), model.RecordsOptions{})
	store := &lateStore{faultyStore: faultyStore{Records: records}, hold: func(do func()) { late = do }}
	c := &Commander{Store: store, Now: time.Now}
	done := make(chan port.OperatorReply, 1)
	store.afterFirst = func() {
		submit(t, &Commander{Store: &store.faultyStore, Now: time.Now}, "other", "t2", "drain zone z", 0)
	}
	go func() { done <- submit(t, c, "o", "t1", "drain zone z", 0) }()
	reply := <-done
	if reply.Status != port.Refused {
		t.Fatalf("%+v", reply)
	}
	late()
	if held, _ := c.Read(context.Background()); held.Revision != 2 || len(held.Drains) != 1 {
		t.Errorf("the late commit took effect: %v", held)
	}
}

// lateStore holds the first commit back without an answer.
type lateStore struct {
	faultyStore
	hold       func(do func())
	afterFirst func()
	held       bool
}

func (l *lateStore) Commit(ctx context.Context, transaction port.RecordTransaction) port.RecordResult {
	if !l.held {
		l.held = true
		l.hold(func() { l.Records.Commit(time.Now(), transaction) })
		l.afterFirst()
		return port.RecordResult{Status: port.RecordUnknown}
	}
	return l.faultyStore.Commit(ctx, transaction)
}

func TestSilentStoreLeavesACommandUndecided(t *testing.T) {
	c := newCommander(func(int) (port.RecordStatus, bool, bool) { return port.RecordUnknown, false, true })
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
	c := newCommander(nil)
	reply := submit(t, c, "o", "t", "explain drain zone z", 0)
	held, _ := c.Read(context.Background())
	if len(reply.Rows) != 1 || held.Revision != firstRevision {
		t.Errorf("%+v; the store holds %v", reply, held)
	}
	if status := submit(t, c, "o", "t", "status of t", 0); status.Status != port.Undecided {
		t.Errorf("nothing is recorded, but the status is %+v", status)
	}
}
