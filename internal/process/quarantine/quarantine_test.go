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

// testCluster drives the quarantines of several nodes with a shared store and immediate responses.
type testCluster struct {
	now     time.Time
	records *model.RecordStore
	nodes   []*node
	// status, unless it is RecordDone, is returned for every transaction in place of the store's result.
	status port.RecordStatus
}

type node struct {
	*Quarantine
	queue *task.Queue
	// revision is the last revision of the shared table that the node has seen.
	revision int64
	commits  int
}

func newTestCluster(nodes int) *testCluster {
	c := &testCluster{now: epoch, records: model.NewRecordStore(epoch, model.RecordStoreOptions{}), status: port.RecordDone}
	for i := range nodes {
		queue := &task.Queue{}
		c.nodes = append(c.nodes, &node{queue: queue, Quarantine: New(Options{
			Self: fmt.Sprint("node-", i), Queue: queue, StoreClock: func(at time.Time) time.Duration { return at.Sub(epoch) },
		})})
	}
	return c
}

// settle ticks all nodes until nothing is left to write, and syncs them with the store.
func (c *testCluster) settle() {
	for range 4 {
		for _, n := range c.nodes {
			n.Tick(c.now)
			c.execute(n)
		}
	}
	for _, n := range c.nodes {
		c.sync(n)
	}
}

func (c *testCluster) execute(n *node) {
	for tasks := n.queue.Take(); len(tasks) > 0; tasks = n.queue.Take() {
		for _, one := range tasks {
			commit, ok := one.(task.Commit)
			if !ok {
				continue
			}
			n.commits++
			result := port.RecordResult{Status: c.status}
			if c.status == port.RecordDone {
				result = c.records.Commit(c.now, commit.Transaction)
			}
			commit.Done(c.now, result)
		}
	}
}

func (c *testCluster) sync(n *node) {
	result, _ := c.records.Changes(c.now, port.SharedTable, n.revision)
	for _, record := range result.Records {
		n.OnRecord(record)
	}
	n.revision = result.Revision
}

// rows returns the number of records.
func (c *testCluster) rows() int {
	return len(c.records.Range(c.now, port.RecordRange{Table: port.SharedTable, Partition: Partition}).Records)
}

func (c *testCluster) states(request Request) []State {
	var states []State
	for _, n := range c.nodes {
		states = append(states, n.Check(c.now, request.Fingerprint).State)
	}
	return states
}

func (c *testCluster) expect(t *testing.T, when string, request Request, want State) {
	t.Helper()
	for i, state := range c.states(request) {
		if state != want {
			t.Errorf("%s: node %d returns state %d, want %d", when, i, state, want)
		}
	}
}

// requestOf returns a request with a given body.
func requestOf(body string) Request {
	call := Call{Method: "POST", Host: "h", Target: "/a", Body: []byte(body)}
	return Request{Fingerprint: call.Fingerprint(), Route: "r", Tenant: "t"}
}

// crash reports crashes of a request on replicas, by each node in turn.
func (c *testCluster) crash(request Request, replicas ...string) {
	for i, replica := range replicas {
		n := c.nodes[i%len(c.nodes)]
		n.RecordCrash(c.now, request, replica)
		c.execute(n)
	}
	c.settle()
}

func TestCrashesOfAllNodesCount(t *testing.T) {
	c := newTestCluster(3)
	request := requestOf("poison")
	c.crash(request, "r1", "r2")
	c.expect(t, "after two crashes", request, Allowed)
	c.crash(request, "r1")
	c.expect(t, "after a crash that two nodes saw", request, Allowed)
	c.crash(request, "r3")
	c.expect(t, "after three crashes", request, Held)
	c.expect(t, "another request", requestOf("harmless"), Allowed)
	if left := c.nodes[1].Check(c.now, request.Fingerprint).Remaining; left != trialDelays[0] {
		t.Errorf("held for %s, want %s", left, trialDelays[0])
	}
	late := newTestCluster(1)
	late.records = c.records
	late.sync(late.nodes[0])
	late.expect(t, "a node that starts later", request, Held)
}

func TestAnsweredRequestsAreNotSuspects(t *testing.T) {
	c := newTestCluster(2)
	request := requestOf("bystander")
	c.crash(request, "r1", "r2")
	c.nodes[1].RecordAnswer(c.now, request.Fingerprint)
	c.settle()
	if rows := c.rows(); rows != 0 {
		t.Errorf("%d records left for an answered request", rows)
	}
	// All replicas of a service crash together while running a request that all callers repeat.
	c.now = c.now.Add(answeredTTL / 2)
	c.nodes[0].RecordAnswer(c.now, request.Fingerprint)
	c.crash(request, "r3", "r4", "r5", "r6")
	c.expect(t, "a frequently answered request", request, Allowed)
	c.now = c.now.Add(3 * answeredTTL)
	c.crash(request, "r7", "r8", "r9")
	c.expect(t, "a request answered long ago", request, Held)
}

func TestTrialIsGrantedToOneNode(t *testing.T) {
	c := newTestCluster(3)
	request := requestOf("poison")
	c.crash(request, "r1", "r2", "r3")
	for number, after := range trialDelays {
		c.now = c.now.Add(after - time.Second)
		c.expect(t, "before the trial", request, Held)
		c.now = c.now.Add(time.Second)
		c.expect(t, "at the trial", request, OnTrial)
		granted := 0
		for _, n := range c.nodes {
			n.ClaimTrial(c.now, request.Fingerprint, func(_ time.Time, yes bool) {
				if yes {
					granted++
				}
			})
			c.execute(n)
		}
		if granted != 1 {
			t.Errorf("trial %d granted to %d nodes", number, granted)
		}
		c.settle()
		c.expect(t, "during the trial", request, Held)
		c.crash(request, fmt.Sprint("trial-", number))
	}
	c.now = c.now.Add(quarantineTTL - time.Second)
	c.expect(t, "after all trials", request, Held)
}

func TestAnsweredTrialLiftsQuarantine(t *testing.T) {
	c := newTestCluster(3)
	request := requestOf("fixed")
	c.crash(request, "r1", "r2", "r3")
	c.now = c.now.Add(trialDelays[0])
	c.nodes[2].ClaimTrial(c.now, request.Fingerprint, func(time.Time, bool) {})
	c.settle()
	c.nodes[2].RecordAnswer(c.now, request.Fingerprint)
	c.settle()
	c.expect(t, "after the answer", request, Allowed)
	if rows := c.rows(); rows != 0 {
		t.Errorf("%d records left", rows)
	}
}

func TestRefusedWritesAreRetried(t *testing.T) {
	c := newTestCluster(2)
	request := requestOf("poison")
	c.status = port.RecordRefused
	for range 40 {
		c.crash(request, "r1", "r2", "r3")
		c.now = c.now.Add(25 * time.Millisecond)
	}
	if commits := c.nodes[0].commits; commits > 6 {
		t.Errorf("%d calls in a second to a refusing store", commits)
	}
	c.status = port.RecordDone
	c.now = c.now.Add(writeRetryDelay)
	c.settle()
	c.expect(t, "once the store answers", request, Held)
}

func TestExpiredSuspectsAreCollected(t *testing.T) {
	c := newTestCluster(2)
	suspected, held := requestOf("bystander"), requestOf("poison")
	c.crash(suspected, "r1")
	c.crash(held, "r1", "r2", "r3")
	collect := func() {
		for range 4 {
			c.now = c.now.Add(collectInterval)
			c.nodes[0].Collect(c.now)
			c.settle()
		}
	}
	collect()
	if rows := c.rows(); rows != 4 {
		t.Errorf("%d records, want 4", rows)
	}
	c.now = c.now.Add(suspectTTL)
	collect()
	if rows := c.rows(); rows != 3 {
		t.Errorf("%d records after the suspect has expired, want 3", rows)
	}
	c.now = c.now.Add(quarantineTTL)
	collect()
	if rows := c.rows(); rows != 0 {
		t.Errorf("%d records left", rows)
	}
	c.expect(t, "after the collection", held, Allowed)
}

func TestFullReadRemovesMissingRecords(t *testing.T) {
	c := newTestCluster(1)
	request := requestOf("poison")
	c.crash(request, "r1", "r2", "r3")
	fullRead := c.records.Range(c.now, port.RecordRange{Table: port.SharedTable, Partition: Partition}).Records
	c.nodes[0].OnList(fullRead)
	c.expect(t, "while its records exist", request, Held)
	c.nodes[0].OnList(fullRead[:2])
	c.expect(t, "after a record has disappeared between two reads", request, Allowed)
}

func TestReports(t *testing.T) {
	c := newTestCluster(1)
	c.crash(requestOf("poison"), "r1", "r2", "r3")
	c.now = c.now.Add(30 * time.Second)
	reports := c.nodes[0].Reports(c.now)
	want := Report{
		Request: requestOf("poison").Fingerprint.String(), Route: "r", Tenant: "t", Crashes: 3, Decision: Decision{State: Held, Remaining: trialDelays[0] - 30*time.Second},
	}
	if len(reports) != 1 || reports[0] != want {
		t.Errorf("got %+v, want %+v", reports, want)
	}
	if stats := c.nodes[0].Stats(); stats != (Stats{Crashes: 3, Suspects: 1, Held: 1}) {
		t.Errorf("got stats %+v, want 3 crashes, 1 suspect and 1 held request", stats)
	}
}

func TestUnreadableRecordsAreIgnored(t *testing.T) {
	c := newTestCluster(1)
	for _, key := range []string{"", "x", "zz/crash/r", "00/crash/r"} {
		c.nodes[0].OnRecord(port.Record{RecordKey: port.RecordKey{Table: port.SharedTable, Partition: Partition, Key: key}, Revision: 1})
	}
	if suspects := c.nodes[0].Stats().Suspects; suspects != 0 {
		t.Errorf("%d suspects from invalid records, want none", suspects)
	}
}
