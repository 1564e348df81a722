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
	"github.com/doorstep/doorstep/internal/standin/model"
)

// bench is one node's jobs over a store, with every call in the test's hands.
type bench struct {
	now   time.Time
	store *model.Records
	queue *task.Queue
	jobs  *Jobs
	one   *endpoint.Endpoint
	route *port.Route
	// scoringRoute is that of scoring calls, which go to scorer.
	scoringRoute *port.Route
	scorer       *endpoint.Endpoint
	clock        bool
	// mostEvents is the most that any text may have, 0 if that is not told.
	mostEvents int
	// unheard is for how long the watch has not heard.
	unheard time.Duration
	latency time.Duration
	runs    []task.Run
	calls   []task.ScoringCall
	stopped map[uint64]bool
	// answer decides over a commit's answer; nil lets all through.
	answer func(commit task.Commit) (port.RecordResult, bool)
	// read decides over a read's answer; nil lets all through.
	read  func(query port.RecordRange) (port.RecordResult, bool)
	later []task.Timer
	// fleet, unless nil, takes the place of one.
	fleet *fleet
}

var epoch = time.Unix(1000, 0)

func newBench(self string, store *model.Records) *bench {
	b := &bench{now: epoch, store: store, queue: &task.Queue{}, clock: true, stopped: map[uint64]bool{}}
	b.route = &port.Route{Name: "r", Kind: port.RouteBatch, MaxAttempts: 3, MaxQueue: 30 * time.Second, Backends: []port.Backend{{Service: "s", Weight: 1}}}
	b.one = &endpoint.Endpoint{ReplicaRecord: port.ReplicaRecord{ID: "e", Service: "s", Slots: 100, Versions: map[string]int64{"m": 2}}}
	b.scoringRoute = &port.Route{Name: "q", Kind: port.RouteIdempotent, MaxAttempts: 2, Timeout: 1500 * time.Millisecond, Backends: []port.Backend{{Service: "q", Weight: 1}}}
	b.scorer = &endpoint.Endpoint{ReplicaRecord: port.ReplicaRecord{ID: "q", Service: "q", Slots: 6}}
	b.jobs = New(Options{
		Self: self, Incarnation: 1, Queue: b.queue, Random: rand.New(rand.NewPCG(1, 1)),
		Place: func(_ time.Time, wanted Placement) *endpoint.Endpoint {
			if b.fleet != nil {
				return b.fleet.place(wanted)
			}
			return b.one
		},
		PlaceScoring: func(_ time.Time, _ *port.Route, _ string, exclude map[string]bool) *endpoint.Endpoint {
			if b.scorer == nil || exclude[b.scorer.ID] {
				return nil
			}
			return b.scorer
		},
		Find: func(string) *endpoint.Endpoint { return b.one },
		Route: func(_, path string) *port.Route {
			if path == scoringPath {
				return b.scoringRoute
			}
			return b.route
		},
		Latency:        func() time.Duration { return b.latency },
		Observed:       func(now time.Time) time.Time { return now.Add(-b.unheard) },
		LengthHint:     func(http.Header) int { return 0 },
		ExpectedTokens: func(*port.Route, http.Header, int) int { return 0 },
		MostEvents:     func(*port.Route, http.Header) int { return b.mostEvents },
		Clock: func(now time.Time) (time.Duration, time.Duration, bool) {
			return now.Sub(epoch), now.Sub(epoch), b.clock
		},
		Quarantine: quarantine.New(quarantine.Options{Self: self, Queue: b.queue, StoreClock: func(at time.Time) time.Duration { return at.Sub(epoch) }}),
	})
	b.jobs.Observing(b.now, true)
	return b
}

func newStore() *model.Records { return model.NewRecords(epoch, model.RecordsOptions{}) }

// settle carries tasks out until none is left.
func (b *bench) settle() {
	for {
		tasks := b.queue.Take()
		if len(tasks) == 0 {
			return
		}
		for _, one := range tasks {
			switch t := one.(type) {
			case task.Commit:
				b.commit(t)
			case task.Range:
				t.Done(b.now, b.rangeResult(t.Query))
			case task.Run:
				b.runs = append(b.runs, t)
			case task.ScoringCall:
				b.calls = append(b.calls, t)
			case task.StopRun:
				b.stopped[t.ID] = true
			case task.Timer:
				b.later = append(b.later, t)
			}
		}
	}
}

func (b *bench) rangeResult(query port.RecordRange) port.RecordResult {
	if b.read != nil {
		if result, own := b.read(query); own {
			return result
		}
	}
	return b.store.Range(b.now, query)
}

func (b *bench) commit(t task.Commit) {
	if b.answer != nil {
		if result, own := b.answer(t); own {
			t.Done(b.now, result)
			return
		}
	}
	t.Done(b.now, b.store.Commit(b.now, t.Transaction))
}

// pass lets time pass.
func (b *bench) pass(length time.Duration) {
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(25 * time.Millisecond) {
		due := b.later
		b.later = nil
		for _, one := range due {
			one.Do(b.now)
		}
		b.jobs.Tick(b.now)
		b.settle()
	}
}

func (b *bench) accept(job *doorstepv1.BatchJob) (outcome Outcome, answered bool) {
	b.jobs.Accept(b.now, job, func(_ time.Time, got Outcome) { outcome, answered = got, true })
	b.settle()
	for range 200 {
		if answered {
			break
		}
		b.pass(25 * time.Millisecond)
	}
	return outcome, answered
}

// finish ends a run with events of a version.
func (b *bench) finish(run task.Run, outcome task.RunOutcome, version int64, count int) {
	result := task.RunResult{Outcome: outcome}
	for i := range count {
		id := run.After + int64(i) + 1
		result.Events = append(result.Events, port.ReplicaEvent{ID: id, Data: fmt.Sprintf("%s#%d", run.Item, id), Version: version})
	}
	run.Done(b.now, result)
	b.settle()
}

func (b *bench) takeRuns() []task.Run {
	runs := b.runs
	b.runs = nil
	return runs
}

func (b *bench) results(t *testing.T, job string) []*doorstepv1.BatchResult {
	t.Helper()
	var got []*doorstepv1.BatchResult
	b.jobs.ReadResults(job, 0, func(_ time.Time, results []*doorstepv1.BatchResult, ok bool) {
		if !ok {
			t.Fatal("not read")
		}
		got = results
	})
	b.settle()
	return got
}

func newJob(id string, items int) *doorstepv1.BatchJob {
	job := &doorstepv1.BatchJob{Id: id, Host: "h", Path: "/p/", Model: "m", MinVersion: 2}
	for i := range items {
		job.Items = append(job.Items, &doorstepv1.BatchItem{Id: fmt.Sprintf("%s-%d", id, i), Path: "/p/x", Body: []byte("b")})
	}
	return job
}

// share lets another node's machine see the heads of the store.
func share(b *bench) {
	for number := range Partitions {
		for _, record := range b.store.Range(b.now, port.RecordRange{Table: port.SharedTable, Partition: PartitionName(number)}).Records {
			b.jobs.OnHead(b.now, record)
		}
	}
}

// finishAll ends all open runs as stopped.
func finishAll(b *bench) {
	for _, run := range b.takeRuns() {
		b.finish(run, task.RunInterrupted, 2, 12)
	}
}
