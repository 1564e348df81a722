package usage

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/internal/version/recordlease"
)

// begunAt is when benches begin: at the start of a window.
var begunAt = time.Unix(1_000_000, 0)

const tickEvery = 25 * time.Millisecond

// bench drives the nodes of one deployment, without time between a call and its answer.
type bench struct {
	now     time.Time
	records *model.Records
	nodes   []*benchNode
	// offsets are the wall clocks' of the nodes that tell them.
	offsets []time.Duration
	// reports are the calls that the platform took, in their order.
	reports []port.UsageReport
	status  func(report port.UsageReport) port.DutyStatus
}

// benchNode is one node.
type benchNode struct {
	queue    *task.Queue
	clock    *Clock
	lease    *recordlease.Lease
	keeper   *ClockKeeper
	counter  *Counter
	reporter *Reporter
	dead     bool
	// answer, unless nil, answers transactions in the store's place; those that it does not
	// take go to the store.
	answer func(t task.Commit) (port.RecordResult, bool)
}

var clockKey = port.RecordKey{Table: port.SharedTable, Partition: "leases", Key: "usage-clock"}

func newBench(count int) *bench {
	b := &bench{now: begunAt, offsets: []time.Duration{time.Duration(begunAt.UnixNano()), time.Duration(begunAt.UnixNano())}}
	b.records = model.NewRecords(b.now, model.RecordsOptions{})
	for i := range count {
		b.start(string(rune('a'+i)), uint64(i+1))
	}
	return b
}

func (b *bench) storeClock(at time.Time) (time.Duration, bool) { return at.Sub(begunAt), true }

// start starts a node.
func (b *bench) start(name string, incarnation uint64) *benchNode {
	n := &benchNode{queue: &task.Queue{}, clock: &Clock{Windows: Windows{Length: 5 * time.Second, Late: 10 * time.Second}}}
	n.lease = recordlease.New(recordlease.Options{
		Key: port.RecordKey{Table: port.SharedTable, Partition: "leases", Key: "usage"}, Holder: name, Incarnation: incarnation, Queue: n.queue,
		Cadence: recordlease.Unhurried, Fenced: true, Pause: 3 * time.Second, StartedAt: b.now.Add(-time.Minute),
		Observed: func(now time.Time) time.Time { return now },
		Clock: func(now time.Time) (least, most time.Duration, known bool) {
			at, _ := b.storeClock(now)
			return at, at, true
		},
	})
	n.keeper = &ClockKeeper{Queue: n.queue, Lease: n.lease, Clock: n.clock, Key: clockKey, StartedAt: b.now, StoreClock: b.storeClock,
		Nodes:    port.RecordRange{Table: "nodes"},
		OffsetOf: func(port.Record) (time.Duration, bool) { return 0, false }}
	n.counter = NewCounter(CounterOptions{Self: name, Incarnation: incarnation, Queue: n.queue, Clock: n.clock, StoreClock: b.storeClock})
	n.reporter = NewReporter(ReporterOptions{Self: name, Queue: n.queue, Lease: n.lease, Clock: n.clock, StoreClock: b.storeClock})
	b.nodes = append(b.nodes, n)
	return n
}

func (b *bench) run(length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(tickEvery) {
		for _, n := range b.nodes {
			if !n.dead {
				b.tick(n)
			}
		}
	}
}

func (b *bench) tick(n *benchNode) {
	for _, key := range []port.RecordKey{clockKey, {Table: port.SharedTable, Partition: "leases", Key: "usage"}} {
		found := b.records.Range(b.now, port.RecordRange{Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00"})
		for _, record := range found.Records {
			if key == clockKey {
				n.keeper.OnRecord(record)
			} else {
				n.lease.OnRecord(b.now, record)
			}
		}
	}
	n.lease.Tick(b.now)
	n.keeper.Tick(b.now)
	n.counter.Tick(b.now, false)
	n.reporter.Tick(b.now)
	for tasks := n.queue.Take(); len(tasks) > 0; tasks = n.queue.Take() {
		for _, one := range tasks {
			b.carryOut(n, one)
		}
	}
}

func (b *bench) carryOut(n *benchNode, one task.Task) {
	switch t := one.(type) {
	case task.Commit:
		if n.answer != nil {
			if result, taken := n.answer(t); taken {
				t.Done(b.now, result)
				return
			}
		}
		t.Done(b.now, b.records.Commit(b.now, t.Transaction))
	case task.Range:
		if t.Query.Table == "nodes" {
			b.answerNodes(n, t)
			return
		}
		t.Done(b.now, b.records.Range(b.now, t.Query))
	case task.ReportUsage:
		status := port.DutyDone
		if b.status != nil {
			status = b.status(t.Report)
		}
		if status == port.DutyDone {
			b.reports = append(b.reports, t.Report)
		}
		t.Done(b.now, status)
	}
}

// answerNodes tells the nodes' clocks, one by one.
func (b *bench) answerNodes(n *benchNode, t task.Range) {
	next := 0
	n.keeper.OffsetOf = func(port.Record) (time.Duration, bool) {
		next++
		return b.offsets[next-1], true
	}
	t.Done(b.now, port.RecordResult{Status: port.RecordDone, Records: make([]port.Record, len(b.offsets))})
}

// begin counts requests of a tenant at a node.
func (b *bench) begin(n *benchNode, tenant string, count int) {
	for range count {
		n.counter.Note(b.now, b.now, tenant)
	}
}

// reportOf returns what was reported for the window at a number of windows after the first.
func (b *bench) reportOf(t *testing.T, number int64) map[string]int64 {
	t.Helper()
	window := begunAt.Unix()/5 + number
	var found map[string]int64
	for _, one := range b.reports {
		if one.Window != window {
			continue
		}
		if found != nil && !maps.Equal(found, one.Requests) {
			t.Errorf("window %d was reported as %v and as %v", number, found, one.Requests)
		}
		found = one.Requests
	}
	return found
}

func TestWindowsAreReportedOnce(t *testing.T) {
	b := newBench(3)
	b.run(11 * time.Second)
	b.begin(b.nodes[0], "x", 3)
	b.begin(b.nodes[1], "x", 2)
	b.begin(b.nodes[2], "y", 1)
	b.run(4500 * time.Millisecond)
	b.begin(b.nodes[1], "y", 4)
	b.run(25 * time.Second)
	if got := b.reportOf(t, 2); !maps.Equal(got, map[string]int64{"x": 5, "y": 1}) {
		t.Errorf("%v", got)
	}
	if got := b.reportOf(t, 3); !maps.Equal(got, map[string]int64{"y": 4}) {
		t.Errorf("%v", got)
	}
	if got := b.reportOf(t, 0); got == nil || len(got) != 0 {
		t.Errorf("%v: a window without requests is reported too", got)
	}
	var windows []int64
	for _, one := range b.reports {
		windows = append(windows, one.Window)
	}
	if !slices.IsSorted(windows) || len(slices.Compact(slices.Clone(windows))) != len(windows) {
		t.Errorf("%v: each window once, oldest first", windows)
	}
	if left := b.records.Range(b.now, port.RecordRange{Table: Table, Partition: countPartition(0)}); len(left.Records) != 0 {
		t.Errorf("%d rows of counts are left", len(left.Records))
	}
}

// TestSumsAreFixedBeforeTheyAreSent: a second holder, which knows of more, sends the first one's
// sum, as the call of that may still be carried out.
func TestSumsAreFixedBeforeTheyAreSent(t *testing.T) {
	b := newBench(2)
	first := b.nodes[0]
	b.run(11 * time.Second)
	b.begin(first, "x", 3)
	sent := false
	b.status = func(report port.UsageReport) port.DutyStatus {
		if report.Window == begunAt.Unix()/5+2 && !sent {
			sent = true
			first.dead = true
			b.reports = append(b.reports, report)
			return port.DutyUnknown
		}
		return port.DutyDone
	}
	for !sent {
		b.run(tickEvery)
	}
	late := b.start("late", 9)
	late.keeper.OnRecord(b.records.Range(b.now, port.RecordRange{Table: clockKey.Table, Partition: clockKey.Partition, From: clockKey.Key, To: clockKey.Key + "\x00"}).Records[0])
	late.counter.Note(b.now, begunAt.Add(12*time.Second), "x")
	b.run(15 * time.Second)
	if got := b.reportOf(t, 2); !maps.Equal(got, map[string]int64{"x": 3}) {
		t.Errorf("%v", got)
	}
	if got := b.reportOf(t, 3); got == nil {
		t.Error("the second holder does not go on")
	}
}

// TestCountsSurviveLostAnswers: writes whose answers are lost, and that take effect late, change
// nothing of the counts.
func TestCountsSurviveLostAnswers(t *testing.T) {
	b := newBench(1)
	n := b.nodes[0]
	b.run(11 * time.Second)
	var late []port.RecordTransaction
	lost := 0
	n.answer = func(one task.Commit) (port.RecordResult, bool) {
		if len(one.Transaction.Puts) == 0 || one.Transaction.Puts[0].Partition == ReportPartition || one.Transaction.Puts[0].Table != Table || lost >= 3 {
			return port.RecordResult{}, false
		}
		lost++
		if lost == 2 {
			b.records.Commit(b.now, one.Transaction)
		}
		late = append(late, one.Transaction)
		return port.RecordResult{Status: port.RecordUnknown}, true
	}
	b.begin(n, "x", 2)
	b.run(500 * time.Millisecond)
	b.begin(n, "x", 1)
	b.run(3 * time.Second)
	for _, one := range late {
		b.records.Commit(b.now, one)
	}
	b.run(20 * time.Second)
	if got := b.reportOf(t, 2); !maps.Equal(got, map[string]int64{"x": 3}) {
		t.Errorf("%v", got)
	}
}

// TestRefusedReportsAreRepeated until the platform takes them, without hurry.
func TestRefusedReportsAreRepeated(t *testing.T) {
	b := newBench(1)
	tries := 0
	b.status = func(port.UsageReport) port.DutyStatus {
		tries++
		if tries <= 5 {
			return port.DutyRefused
		}
		return port.DutyDone
	}
	b.run(20 * time.Second)
	if len(b.reports) == 0 || tries < 6 {
		t.Errorf("%d tries, %d reports", tries, len(b.reports))
	}
}

// TestFencedReporterStops: the platform has seen a newer fence.
func TestFencedReporterStops(t *testing.T) {
	b := newBench(1)
	fences := map[int64]int{}
	b.status = func(report port.UsageReport) port.DutyStatus {
		fences[report.Fence]++
		return port.DutyFenced
	}
	b.run(30 * time.Second)
	for fence, calls := range fences {
		if calls > 1 {
			t.Errorf("%d calls under fence %d, which was refused as too old", calls, fence)
		}
	}
	if len(fences) < 2 {
		t.Errorf("%d fences: a later acquisition brings a newer one", len(fences))
	}
}

// TestStoppingNodesDoNotPressTheStore: all nodes may stop while the store refuses.
func TestStoppingNodesDoNotPressTheStore(t *testing.T) {
	b := newBench(1)
	n := b.nodes[0]
	b.run(11 * time.Second)
	b.begin(n, "x", 1)
	writes := 0
	n.answer = func(one task.Commit) (port.RecordResult, bool) {
		writes++
		return port.RecordResult{Status: port.RecordRefused}, true
	}
	for end := b.now.Add(2 * time.Second); b.now.Before(end); b.now = b.now.Add(tickEvery) {
		n.counter.Tick(b.now, true)
		for _, one := range n.queue.Take() {
			b.carryOut(n, one)
		}
	}
	if writes < 2 || writes > 9 {
		t.Errorf("%d writes in two seconds of refusals", writes)
	}
}

// TestUnreadableReportsAreToldOf: the next holder can't know what was sent, so it sends nothing.
func TestUnreadableReportsAreToldOf(t *testing.T) {
	b := newBench(1)
	b.run(7 * time.Second)
	key := reportKey(begunAt.Unix()/5 + 1)
	b.records.Commit(b.now, port.RecordTransaction{Puts: []port.Record{{RecordKey: key, Value: []byte("\xff\xff\xff")}}})
	calls := 0
	b.nodes[0].answer = func(one task.Commit) (port.RecordResult, bool) {
		if one.Transaction.Puts != nil && one.Transaction.Puts[0].RecordKey == key {
			calls++
			if calls > 100 {
				t.Fatal("the store is asked again and again")
			}
		}
		return port.RecordResult{}, false
	}
	b.run(20 * time.Second)
	if got := b.reportOf(t, 1); got != nil {
		t.Errorf("%v was sent", got)
	}
	if got := b.reportOf(t, 2); got == nil {
		t.Error("one unreadable report holds up all others")
	}
}
