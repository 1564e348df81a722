package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
)

var epoch = time.Unix(1000, 0)

// bench drives the quarantines of nodes that share a store, without time between a call and its
// answer.
type bench struct {
	now     time.Time
	records *model.RecordStore
	nodes   []*node
	// status, unless it is RecordDone, answers every transaction in the store's place.
	status port.RecordStatus
}

type node struct {
	*Quarantine
	queue *task.Queue
	// heard is the revision up to which the node has heard of changes.
	heard   int64
	commits int
}

func newBench(nodes int) *bench {
	b := &bench{now: epoch, records: model.NewRecordStore(epoch, model.RecordStoreOptions{}), status: port.RecordDone}
	for i := range nodes {
		queue := &task.Queue{}
		b.nodes = append(b.nodes, &node{queue: queue, Quarantine: New(Options{
			Self: fmt.Sprint("node-", i), Queue: queue, StoreClock: func(at time.Time) time.Duration { return at.Sub(epoch) },
		})})
	}
	return b
}

// settle ticks all nodes until nothing is left to be written or heard.
func (b *bench) settle() {
	for range 4 {
		for _, n := range b.nodes {
			n.Tick(b.now)
			b.perform(n)
		}
	}
	for _, n := range b.nodes {
		b.hear(n)
	}
}

func (b *bench) perform(n *node) {
	for tasks := n.queue.Take(); len(tasks) > 0; tasks = n.queue.Take() {
		for _, one := range tasks {
			commit, ok := one.(task.Commit)
			if !ok {
				continue
			}
			n.commits++
			result := port.RecordResult{Status: b.status}
			if b.status == port.RecordDone {
				result = b.records.Commit(b.now, commit.Transaction)
			}
			commit.Done(b.now, result)
		}
	}
}

func (b *bench) hear(n *node) {
	result, _ := b.records.Changes(b.now, port.SharedTable, n.heard)
	for _, record := range result.Records {
		n.OnRecord(record)
	}
	n.heard = result.Revision
}

// rows returns how many records there are.
func (b *bench) rows() int {
	return len(b.records.Range(b.now, port.RecordRange{Table: port.SharedTable, Partition: Partition}).Records)
}

func (b *bench) states(request Request) []State {
	var states []State
	for _, n := range b.nodes {
		states = append(states, n.Judge(b.now, request.Fingerprint).State)
	}
	return states
}

func (b *bench) expect(t *testing.T, when string, request Request, want State) {
	t.Helper()
	for i, state := range b.states(request) {
		if state != want {
			t.Errorf("%s: node %d says %d, should be %d", when, i, state, want)
		}
	}
}

// requestOf returns a request by its body.
func requestOf(body string) Request {
	call := Call{Method: "POST", Host: "h", Target: "/a", Body: []byte(body)}
	return Request{Fingerprint: call.Fingerprint(), Route: "r", Tenant: "t"}
}

// crash has a request crash replicas at the nodes in turn.
func (b *bench) crash(request Request, replicas ...string) {
	for i, replica := range replicas {
		n := b.nodes[i%len(b.nodes)]
		n.Crashed(b.now, request, replica)
		b.perform(n)
	}
	b.settle()
}

func TestCrashesOfAllNodesCount(t *testing.T) {
	b := newBench(3)
	request := requestOf("poison")
	b.crash(request, "r1", "r2")
	b.expect(t, "after two crashes", request, Clear)
	b.crash(request, "r1")
	b.expect(t, "after a crash that two nodes saw", request, Clear)
	b.crash(request, "r3")
	b.expect(t, "after three crashes", request, Held)
	b.expect(t, "another request", requestOf("harmless"), Clear)
	if left := b.nodes[1].Judge(b.now, request.Fingerprint).Left; left != trialAfter[0] {
		t.Errorf("held for %s, should be %s", left, trialAfter[0])
	}
	late := newBench(1)
	late.records = b.records
	late.hear(late.nodes[0])
	late.expect(t, "a node that starts later", request, Held)
}

func TestAnsweredRequestsAreNoSuspects(t *testing.T) {
	b := newBench(2)
	request := requestOf("bystander")
	b.crash(request, "r1", "r2")
	b.nodes[1].Answered(b.now, request.Fingerprint)
	b.settle()
	if rows := b.rows(); rows != 0 {
		t.Errorf("%d records are left of a request that was answered", rows)
	}
	// All replicas of a service end together, and each had the request that all callers repeat.
	b.now = b.now.Add(answeredFor / 2)
	b.nodes[0].Answered(b.now, request.Fingerprint)
	b.crash(request, "r3", "r4", "r5", "r6")
	b.expect(t, "a request that is answered all the time", request, Clear)
	b.now = b.now.Add(3 * answeredFor)
	b.crash(request, "r7", "r8", "r9")
	b.expect(t, "one that was answered long ago", request, Held)
}

func TestOneNodeTriesAHeldRequest(t *testing.T) {
	b := newBench(3)
	request := requestOf("poison")
	b.crash(request, "r1", "r2", "r3")
	for number, after := range trialAfter {
		b.now = b.now.Add(after - time.Second)
		b.expect(t, "before the trial", request, Held)
		b.now = b.now.Add(time.Second)
		b.expect(t, "at the trial", request, OnTrial)
		granted := 0
		for _, n := range b.nodes {
			n.Claim(b.now, request.Fingerprint, func(_ time.Time, yes bool) {
				if yes {
					granted++
				}
			})
			b.perform(n)
		}
		if granted != 1 {
			t.Errorf("trial %d was granted to %d nodes", number, granted)
		}
		b.settle()
		b.expect(t, "during the trial", request, Held)
		b.crash(request, fmt.Sprint("trial-", number))
	}
	b.now = b.now.Add(keptFor - time.Second)
	b.expect(t, "after all trials", request, Held)
}

func TestATrialThatIsAnsweredLiftsTheQuarantine(t *testing.T) {
	b := newBench(3)
	request := requestOf("mended")
	b.crash(request, "r1", "r2", "r3")
	b.now = b.now.Add(trialAfter[0])
	b.nodes[2].Claim(b.now, request.Fingerprint, func(time.Time, bool) {})
	b.settle()
	b.nodes[2].Answered(b.now, request.Fingerprint)
	b.settle()
	b.expect(t, "after the answer", request, Clear)
	if rows := b.rows(); rows != 0 {
		t.Errorf("%d records are left", rows)
	}
}

func TestCrashesAreWrittenOnceTheStoreAnswers(t *testing.T) {
	b := newBench(2)
	request := requestOf("poison")
	b.status = port.RecordRefused
	for range 40 {
		b.crash(request, "r1", "r2", "r3")
		b.now = b.now.Add(25 * time.Millisecond)
	}
	if commits := b.nodes[0].commits; commits > 6 {
		t.Errorf("%d calls in a second to a store that refuses", commits)
	}
	b.status = port.RecordDone
	b.now = b.now.Add(writeRetry)
	b.settle()
	b.expect(t, "once the store answers", request, Held)
}

func TestFirstCrashesOfOwnedRequestsStayAtTheirNode(t *testing.T) {
	b := newBench(1)
	request := requestOf("item")
	request.Owned = true
	b.crash(request, "r1")
	if rows := b.rows(); rows != 0 {
		t.Errorf("%d records of a first crash", rows)
	}
	b.crash(request, "r2")
	if rows := b.rows(); rows != 2 {
		t.Errorf("%d records of two crashes", rows)
	}
}

func TestOldSuspectsAreCollected(t *testing.T) {
	b := newBench(2)
	suspected, held := requestOf("bystander"), requestOf("poison")
	b.crash(suspected, "r1")
	b.crash(held, "r1", "r2", "r3")
	collect := func() {
		for range 4 {
			b.now = b.now.Add(collectEvery)
			b.nodes[0].Collect(b.now)
			b.settle()
		}
	}
	collect()
	if rows := b.rows(); rows != 4 {
		t.Errorf("%d records, should be 4", rows)
	}
	b.now = b.now.Add(suspectedFor)
	collect()
	if rows := b.rows(); rows != 3 {
		t.Errorf("%d records once the suspect is old, should be 3", rows)
	}
	b.now = b.now.Add(keptFor)
	collect()
	if rows := b.rows(); rows != 0 {
		t.Errorf("%d records are left", rows)
	}
	b.expect(t, "after the collection", held, Clear)
}

func TestAWholeReadForgetsWhatIsGone(t *testing.T) {
	b := newBench(1)
	request := requestOf("poison")
	b.crash(request, "r1", "r2", "r3")
	whole := b.records.Range(b.now, port.RecordRange{Table: port.SharedTable, Partition: Partition}).Records
	b.nodes[0].OnList(whole)
	b.expect(t, "while its records stand", request, Held)
	b.nodes[0].OnList(whole[:2])
	b.expect(t, "when one is gone that no watch told of", request, Clear)
}

func TestReports(t *testing.T) {
	b := newBench(1)
	b.crash(requestOf("poison"), "r1", "r2", "r3")
	b.now = b.now.Add(30 * time.Second)
	reports := b.nodes[0].Reports(b.now)
	want := Report{
		Request: requestOf("poison").Fingerprint.String(), Route: "r", Tenant: "t", Crashes: 3, Verdict: Verdict{State: Held, Left: trialAfter[0] - 30*time.Second},
	}
	if len(reports) != 1 || reports[0] != want {
		t.Errorf("%+v, should be %+v", reports, want)
	}
	if figures := b.nodes[0].Figures(); figures != (Figures{Crashes: 3, Suspects: 1, Held: 1}) {
		t.Errorf("%+v", figures)
	}
}

func TestUnreadableRecordsArePassedOver(t *testing.T) {
	b := newBench(1)
	for _, key := range []string{"", "x", "zz/crash/r", "00/crash/r"} {
		b.nodes[0].OnRecord(port.Record{RecordKey: port.RecordKey{Table: port.SharedTable, Partition: Partition, Key: key}, Revision: 1})
	}
	if suspects := b.nodes[0].Figures().Suspects; suspects != 0 {
		t.Errorf("%d suspects of records that name none", suspects)
	}
}
