package batch

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/quarantine"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/request/relay"
	"github.com/doorstep/doorstep/internal/standin/model"
)

// testNode is the batch jobs of one node with a simulated store, clock and replicas.
type testNode struct {
	now     time.Time
	store   *model.RecordStore
	queue   *task.Queue
	jobs    *Jobs
	replica *endpoint.Endpoint
	route   *port.Route
	// scoringRoute is the route of scoring calls, which are placed on scorer.
	scoringRoute *port.Route
	scorer       *endpoint.Endpoint
	clockKnown   bool
	// maxEvents is the maximum number of events of any text, or 0 if unknown.
	maxEvents int
	// watchLag is how far the watch is behind.
	watchLag time.Duration
	latency  time.Duration
	runs     []task.Run
	calls    []task.ScoringCall
	stopped  map[uint64]bool
	// commitHook may replace the result of a commit; nil applies all commits.
	// storeSilent leaves commits without an answer.
	storeSilent bool
	commitHook  func(commit task.Commit) (port.RecordResult, bool)
	// rangeHook may replace the result of a read; nil allows all reads.
	rangeHook func(query port.RecordRange) (port.RecordResult, bool)
	// holdCommit may keep a commit from being applied and answered; nil passes all commits.
	holdCommit func(commit task.Commit) bool
	// holdRange may keep a read from being answered; nil answers all reads.
	holdRange func(read task.Range) bool
	delayed   []delayedTimer
	// replicas replaces replica unless nil.
	replicas *replicaSet
	// logged holds all log events.
	logged []task.Log
}

// delayedTimer is a timer that is due at a time.
type delayedTimer struct {
	task.Timer
	at time.Time
}

var epoch = time.Unix(1000, 0)

func newTestNode(self string, store *model.RecordStore) *testNode {
	n := &testNode{now: epoch, store: store, queue: &task.Queue{}, clockKnown: true, stopped: map[uint64]bool{}}
	n.route = &port.Route{Name: "r", Kind: port.RouteBatch, MaxAttempts: 3, MaxQueue: 30 * time.Second, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	n.replica = &endpoint.Endpoint{ReplicaRecord: port.ReplicaRecord{ID: "e", Service: "s", Slots: 100, Versions: map[string]int64{"m": 2}}}
	n.scoringRoute = &port.Route{Name: "q", Kind: port.RouteIdempotent, MaxAttempts: 2, Timeout: 1500 * time.Millisecond, Backends: []port.Backend{{Service: "q", Weight: 1}}}
	n.scorer = &endpoint.Endpoint{ReplicaRecord: port.ReplicaRecord{ID: "q", Service: "q", Slots: 6}}
	n.jobs = New(Options{
		Self: self, Incarnation: 1, Queue: n.queue, Random: rand.New(rand.NewPCG(1, 1)),
		Place: func(_ time.Time, wanted Placement) *endpoint.Endpoint {
			if n.replicas != nil {
				return n.replicas.place(wanted)
			}
			return n.replica
		},
		PlaceScoring: func(_ time.Time, _ *port.Route, _ string, exclude map[string]bool) *endpoint.Endpoint {
			if n.scorer == nil || exclude[n.scorer.ID] {
				return nil
			}
			return n.scorer
		},
		ResultTime:    func() time.Duration { return n.route.ResultDeadline },
		ResponseTimes: relay.NewResponseTimes(),
		FindEndpoint:  func(string) *endpoint.Endpoint { return n.replica },
		Route: func(_, path string) *port.Route {
			if path == scoringPath {
				return n.scoringRoute
			}
			return n.route
		},
		StoreLatency:   func() time.Duration { return n.latency },
		ObservedUntil:  func(now time.Time) time.Time { return now.Add(-n.watchLag) },
		LengthHint:     func(http.Header) int { return 0 },
		ExpectedTokens: func(*port.Route, http.Header, int) int { return 0 },
		MaxEvents:      func(*port.Route, http.Header) int { return n.maxEvents },
		MaxTextEvents:  func(*port.Route, http.Header) int { return 2 * n.maxEvents },
		StoreClock: func(now time.Time) (time.Duration, time.Duration, bool) {
			return now.Sub(epoch), now.Sub(epoch), n.clockKnown
		},
		Quarantine: quarantine.New(quarantine.Options{Self: self, Queue: n.queue, StoreClock: func(at time.Time) time.Duration { return at.Sub(epoch) }}),
	})
	n.jobs.SetObserving(n.now, true)
	return n
}

func newStore() *model.RecordStore { return model.NewRecordStore(epoch, model.RecordStoreOptions{}) }

// runTasks runs queued tasks until none are left.
func (n *testNode) runTasks() {
	for {
		tasks := n.queue.Take()
		if len(tasks) == 0 {
			return
		}
		for _, queued := range tasks {
			switch t := queued.(type) {
			case task.Commit:
				if n.holdCommit == nil || !n.holdCommit(t) {
					n.commit(t)
				}
			case task.Range:
				if n.holdRange == nil || !n.holdRange(t) {
					t.Done(n.now, n.rangeResult(t.Query))
				}
			case task.Run:
				n.runs = append(n.runs, t)
			case task.ScoringCall:
				n.calls = append(n.calls, t)
			case task.Log:
				n.logged = append(n.logged, t)
			case task.StopRun:
				n.stopped[t.ID] = true
			case task.Timer:
				n.delayed = append(n.delayed, delayedTimer{t, n.now.Add(t.After)})
			}
		}
	}
}

func (n *testNode) rangeResult(query port.RecordRange) port.RecordResult {
	if n.rangeHook != nil {
		if result, handled := n.rangeHook(query); handled {
			return result
		}
	}
	return n.store.Range(n.now, query)
}

func (n *testNode) commit(t task.Commit) {
	if n.storeSilent {
		return
	}
	if n.commitHook != nil {
		if result, handled := n.commitHook(t); handled {
			t.Done(n.now, result)
			return
		}
	}
	t.Done(n.now, n.store.Commit(n.now, t.Transaction))
}

// elapse advances the time, with a tick every 25 ms.
func (n *testNode) elapse(length time.Duration) {
	for end := n.now.Add(length); n.now.Before(end); n.now = n.now.Add(25 * time.Millisecond) {
		pending := n.delayed
		n.delayed = nil
		for _, timer := range pending {
			if n.now.Before(timer.at) {
				n.delayed = append(n.delayed, timer)
				continue
			}
			timer.Do(n.now)
		}
		n.jobs.Tick(n.now)
		n.runTasks()
	}
}

func (n *testNode) accept(job *doorstepv1.BatchJob) (outcome Outcome, answered bool) {
	n.jobs.Accept(n.now, job, time.Time{}, func(_ time.Time, got Outcome) { outcome, answered = got, true })
	n.runTasks()
	for range 200 {
		if answered {
			break
		}
		n.elapse(25 * time.Millisecond)
	}
	return outcome, answered
}

// finish ends a run with a number of events of a version.
func (n *testNode) finish(run task.Run, outcome task.RunOutcome, version int64, count int) {
	result := task.RunResult{Outcome: outcome}
	for i := range count {
		id := run.After + int64(i) + 1
		result.Events = append(result.Events, port.ReplicaEvent{ID: id, Data: fmt.Sprintf("%s#%d", run.Item, id), Version: version})
	}
	run.Done(n.now, result)
	n.runTasks()
}

func (n *testNode) takeRuns() []task.Run {
	runs := n.runs
	n.runs = nil
	return runs
}

func (n *testNode) results(t *testing.T, job string) []*doorstepv1.BatchResult {
	t.Helper()
	var got []*doorstepv1.BatchResult
	n.jobs.ReadResults(job, 0, func(_ time.Time, results []*doorstepv1.BatchResult, ok bool) {
		if !ok {
			t.Fatal("results were not read")
		}
		got = results
	})
	n.runTasks()
	return got
}

func newJob(id string, items int) *doorstepv1.BatchJob {
	job := &doorstepv1.BatchJob{Id: id, Host: "h", Path: "/p/", Model: "m", MinVersion: 2}
	for i := range items {
		job.Items = append(job.Items, &doorstepv1.BatchItem{Id: fmt.Sprintf("%s-%d", id, i), Path: "/p/x", Body: []byte("b")})
	}
	return job
}

// syncHeads delivers all head records in the store to a node.
func syncHeads(n *testNode) {
	for number := range Partitions {
		for _, record := range n.store.Range(n.now, port.RecordRange{Table: port.SharedTable, Partition: PartitionName(number)}).Records {
			n.jobs.OnHead(n.now, record)
		}
	}
}

// interruptAll ends all open runs as interrupted.
func interruptAll(n *testNode) {
	for _, run := range n.takeRuns() {
		n.finish(run, task.RunInterrupted, 2, 12)
	}
}

const (
	// progressDeadline is the result deadline of a node from newProgressNode, progressPace the pace that its runs
	// report.
	progressDeadline = 8 * time.Second
	progressPace     = 50 * time.Millisecond
)

// newGroupedJob returns a job with groups of four items, of which the client requests a number.
func newGroupedJob(groups, desired int) *doorstepv1.BatchJob {
	job := newJob("j", 4*groups)
	job.DesiredGroups = int32(desired)
	for i, batchItem := range job.Items {
		batchItem.Group = fmt.Sprint("g", i/4)
	}
	return job
}

// newProgressNode returns a node with a running job of four groups of four items and its age.
func newProgressNode(t *testing.T, desired int, age time.Duration) (*testNode, []task.Run) {
	t.Helper()
	n := newTestNode("a", newStore())
	n.route.ResultDeadline = progressDeadline
	n.maxEvents = 140
	n.accept(newGroupedJob(4, desired))
	n.elapse(200 * time.Millisecond)
	n.now = epoch.Add(age)
	return n, n.takeRuns()
}

// reportProgress reports the progress of a run to its owner.
func (n *testNode) reportProgress(run task.Run, count int) {
	run.Progress(n.now, make([]port.ReplicaEvent, count), progressPace)
	n.runTasks()
}
