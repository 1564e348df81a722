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

// startTime is the start of each test, at the beginning of a window.
var startTime = time.Unix(1_000_000, 0)

const tickInterval = 25 * time.Millisecond

// testBench runs the nodes of one deployment. Calls are answered immediately.
type testBench struct {
	now     time.Time
	records *model.RecordStore
	nodes   []*testNode
	// offsets holds the offsets of the nodes' wall clocks.
	offsets []time.Duration
	// reports holds the reports that the platform accepted, in order.
	reports []port.UsageReport
	status  func(report port.UsageReport) port.DutyStatus
}

type testNode struct {
	queue    *task.Queue
	clock    *Clock
	lease    *recordlease.Lease
	keeper   *ClockKeeper
	counter  *Counter
	reporter *Reporter
	stopped  bool
	// answer, if set, intercepts transactions. Those that it does not handle go to the store.
	answer func(t task.Commit) (port.RecordResult, bool)
}

var clockKey = port.RecordKey{Table: port.SharedTable, Partition: "leases", Key: "usage-clock"}

func newTestBench(count int) *testBench {
	b := &testBench{now: startTime, offsets: []time.Duration{time.Duration(startTime.UnixNano()), time.Duration(startTime.UnixNano())}}
	b.records = model.NewRecordStore(b.now, model.RecordStoreOptions{})
	for i := range count {
		b.start(string(rune('a'+i)), uint64(i+1))
	}
	return b
}

func (b *testBench) storeClock(at time.Time) (time.Duration, bool) { return at.Sub(startTime), true }

func (b *testBench) start(name string, incarnation uint64) *testNode {
	n := &testNode{queue: &task.Queue{}, clock: &Clock{Windows: Windows{Length: 5 * time.Second, ReportDelay: 10 * time.Second}}}
	n.lease = recordlease.New(recordlease.Options{
		Key: port.RecordKey{Table: port.SharedTable, Partition: "leases", Key: "usage"}, Holder: name, Incarnation: incarnation, Queue: n.queue,
		Timing: recordlease.SlowTiming, Fenced: true, Pause: 3 * time.Second, StartedAt: b.now.Add(-time.Minute),
		ObservedUntil: func(now time.Time) time.Time { return now },
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

func (b *testBench) run(length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(tickInterval) {
		for _, n := range b.nodes {
			if !n.stopped {
				b.tick(n)
			}
		}
	}
}

func (b *testBench) tick(n *testNode) {
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
		for _, next := range tasks {
			b.execute(n, next)
		}
	}
}

func (b *testBench) execute(n *testNode, next task.Task) {
	switch t := next.(type) {
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

// answerNodes returns one record per offset.
func (b *testBench) answerNodes(n *testNode, t task.Range) {
	next := 0
	n.keeper.OffsetOf = func(port.Record) (time.Duration, bool) {
		next++
		return b.offsets[next-1], true
	}
	t.Done(b.now, port.RecordResult{Status: port.RecordDone, Records: make([]port.Record, len(b.offsets))})
}

// countRequests counts requests of a tenant at a node.
func (b *testBench) countRequests(n *testNode, tenant string, count int) {
	for range count {
		n.counter.Count(b.now, b.now, tenant)
	}
}

// reportOf returns the reported counts of a window, numbered from the first one.
func (b *testBench) reportOf(t *testing.T, number int64) map[string]int64 {
	t.Helper()
	window := startTime.Unix()/5 + number
	var found map[string]int64
	for _, report := range b.reports {
		if report.Window != window {
			continue
		}
		if found != nil && !maps.Equal(found, report.Requests) {
			t.Errorf("window %d reported twice with different counts: %v and %v", number, found, report.Requests)
		}
		found = report.Requests
	}
	return found
}

func TestWindowsAreReportedOnce(t *testing.T) {
	b := newTestBench(3)
	b.run(11 * time.Second)
	b.countRequests(b.nodes[0], "x", 3)
	b.countRequests(b.nodes[1], "x", 2)
	b.countRequests(b.nodes[2], "y", 1)
	b.run(4500 * time.Millisecond)
	b.countRequests(b.nodes[1], "y", 4)
	b.run(25 * time.Second)
	if got := b.reportOf(t, 2); !maps.Equal(got, map[string]int64{"x": 5, "y": 1}) {
		t.Errorf("reported %v", got)
	}
	if got := b.reportOf(t, 3); !maps.Equal(got, map[string]int64{"y": 4}) {
		t.Errorf("reported %v", got)
	}
	if got := b.reportOf(t, 0); got == nil || len(got) != 0 {
		t.Errorf("report %v for an empty window, want an empty report", got)
	}
	var windows []int64
	for _, report := range b.reports {
		windows = append(windows, report.Window)
	}
	if !slices.IsSorted(windows) || len(slices.Compact(slices.Clone(windows))) != len(windows) {
		t.Errorf("windows %v, want each once and in order", windows)
	}
	if left := b.records.Range(b.now, port.RecordRange{Table: Table, Partition: countPartition(0)}); len(left.Records) != 0 {
		t.Errorf("%d count records not deleted", len(left.Records))
	}
}

// TestSumIsStoredBeforeItIsSent checks that a second holder sends the sum that the first one stored
// even if it knows of more requests, since the first holder's call may still arrive.
func TestSumIsStoredBeforeItIsSent(t *testing.T) {
	b := newTestBench(2)
	first := b.nodes[0]
	b.run(11 * time.Second)
	b.countRequests(first, "x", 3)
	sent := false
	b.status = func(report port.UsageReport) port.DutyStatus {
		if report.Window == startTime.Unix()/5+2 && !sent {
			sent = true
			first.stopped = true
			b.reports = append(b.reports, report)
			return port.DutyUnknown
		}
		return port.DutyDone
	}
	for !sent {
		b.run(tickInterval)
	}
	second := b.start("second", 9)
	second.keeper.OnRecord(b.records.Range(b.now, port.RecordRange{Table: clockKey.Table, Partition: clockKey.Partition, From: clockKey.Key, To: clockKey.Key + "\x00"}).Records[0])
	second.counter.Count(b.now, startTime.Add(12*time.Second), "x")
	b.run(15 * time.Second)
	if got := b.reportOf(t, 2); !maps.Equal(got, map[string]int64{"x": 3}) {
		t.Errorf("reported %v", got)
	}
	if got := b.reportOf(t, 3); got == nil {
		t.Error("the second holder does not report the next window")
	}
}

// TestCountsSurviveLostAnswers checks that lost answers and delayed writes do not change the
// counts.
func TestCountsSurviveLostAnswers(t *testing.T) {
	b := newTestBench(1)
	n := b.nodes[0]
	b.run(11 * time.Second)
	var delayed []port.RecordTransaction
	lost := 0
	n.answer = func(commit task.Commit) (port.RecordResult, bool) {
		if len(commit.Transaction.Puts) == 0 || commit.Transaction.Puts[0].Partition == ReportPartition || commit.Transaction.Puts[0].Table != Table || lost >= 3 {
			return port.RecordResult{}, false
		}
		lost++
		if lost == 2 {
			b.records.Commit(b.now, commit.Transaction)
		}
		delayed = append(delayed, commit.Transaction)
		return port.RecordResult{Status: port.RecordUnknown}, true
	}
	b.countRequests(n, "x", 2)
	b.run(500 * time.Millisecond)
	b.countRequests(n, "x", 1)
	b.run(3 * time.Second)
	for _, commit := range delayed {
		b.records.Commit(b.now, commit)
	}
	b.run(20 * time.Second)
	if got := b.reportOf(t, 2); !maps.Equal(got, map[string]int64{"x": 3}) {
		t.Errorf("reported %v", got)
	}
}

// TestRefusedReportsAreRepeated checks that rejected reports are sent again until the platform
// accepts them.
func TestRefusedReportsAreRepeated(t *testing.T) {
	b := newTestBench(1)
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
		t.Errorf("%d attempts, %d reports", tries, len(b.reports))
	}
}

// TestFencedReporterStops checks that no report follows under a fence that was rejected.
func TestFencedReporterStops(t *testing.T) {
	b := newTestBench(1)
	fences := map[int64]int{}
	b.status = func(report port.UsageReport) port.DutyStatus {
		fences[report.Fence]++
		return port.DutyFenced
	}
	b.run(30 * time.Second)
	for fence, calls := range fences {
		if calls > 1 {
			t.Errorf("%d calls under rejected fence %d", calls, fence)
		}
	}
	if len(fences) < 2 {
		t.Errorf("%d fences, want a newer one after the rejection", len(fences))
	}
}

// TestStoppingNodeLimitsWrites checks that a stopping node limits its writes while the store
// rejects them.
func TestStoppingNodeLimitsWrites(t *testing.T) {
	b := newTestBench(1)
	n := b.nodes[0]
	b.run(11 * time.Second)
	b.countRequests(n, "x", 1)
	writes := 0
	n.answer = func(next task.Commit) (port.RecordResult, bool) {
		writes++
		return port.RecordResult{Status: port.RecordRefused}, true
	}
	for end := b.now.Add(2 * time.Second); b.now.Before(end); b.now = b.now.Add(tickInterval) {
		n.counter.Tick(b.now, true)
		for _, next := range n.queue.Take() {
			b.execute(n, next)
		}
	}
	if writes < 2 || writes > 9 {
		t.Errorf("%d writes in two seconds of rejections", writes)
	}
}

// TestUndecodableReportIsSkipped checks that a window with an undecodable report is skipped.
func TestUndecodableReportIsSkipped(t *testing.T) {
	b := newTestBench(1)
	b.run(7 * time.Second)
	key := reportKey(startTime.Unix()/5 + 1)
	b.records.Commit(b.now, port.RecordTransaction{Puts: []port.Record{{RecordKey: key, Value: []byte("\xff\xff\xff")}}})
	calls := 0
	b.nodes[0].answer = func(commit task.Commit) (port.RecordResult, bool) {
		if commit.Transaction.Puts != nil && commit.Transaction.Puts[0].RecordKey == key {
			calls++
			if calls > 100 {
				t.Fatal("too many attempts to write the report")
			}
		}
		return port.RecordResult{}, false
	}
	b.run(20 * time.Second)
	if got := b.reportOf(t, 1); got != nil {
		t.Errorf("report %v sent for the undecodable window", got)
	}
	if got := b.reportOf(t, 2); got == nil {
		t.Error("the next window is not reported")
	}
}
