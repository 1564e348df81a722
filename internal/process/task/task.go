// Package task lists what the machines of a node want done outside of them. A
// machine adds tasks to a queue; the daemon or the simulator carries them out and
// hands each outcome back through Done, within the node's loop.
package task

import (
	"net/http"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/request/relay"
)

// Task is one thing to be done.
type Task interface{ isTask() }

// Commit carries out a transaction of the record store.
type Commit struct {
	Transaction port.RecordTransaction
	Done        func(now time.Time, result port.RecordResult)
}

// Range reads records.
type Range struct {
	Query port.RecordRange
	Done  func(now time.Time, result port.RecordResult)
}

// Run sends an item of a batch job to a replica and reads its stream.
type Run struct {
	// ID names the run within this node's life.
	ID uint64
	// Item is the request's id at the replica.
	Item string
	// Replica and Address say where.
	Replica, Address string
	// Target is the path, Host, Header and Body are the request's.
	Target, Host string
	Header       http.Header
	Body         []byte
	// Tenant is the job's, empty where there are none.
	Tenant string
	// Limit is the time granted to the replica.
	Limit time.Duration
	// SendBy is until when it must be sent, or not at all; zero for any time.
	SendBy time.Time
	// Waited is how long the item had waited for a replica.
	Waited time.Duration
	// Urgent asks the replica to admit the run before others.
	Urgent bool
	// After is the id of the event to continue behind, 0 for the beginning.
	After int64
	// FirstWithin and NextWithin are how long the run may be silent before its first
	// event and between two.
	FirstWithin, NextWithin time.Duration
	// Progress is told now and then which events the run made, and how fast, 0 if that is not
	// known anew; it returns whether the run is to be stopped as RunSlow.
	Progress func(now time.Time, events []port.ReplicaEvent, pace time.Duration) (stop bool)
	Done     func(now time.Time, result RunResult)
}

// StopRun cancels a run or a scoring call; its Done is called as for any other end.
type StopRun struct{ ID uint64 }

// RunOutcome is how a run ended.
type RunOutcome int

const (
	// RunCompleted means that the stream came to its proper end.
	RunCompleted RunOutcome = iota
	// RunInterrupted means that it broke off; its whole events count.
	RunInterrupted
	// RunFailed means that the replica answered with a failure of its own.
	RunFailed
	// RunImpossible means that the item can never be done.
	RunImpossible
	// RunRefused means that it did not run: the replica is full or loads.
	RunRefused
	// RunSlow means that it was stopped as its events came too slowly.
	RunSlow
	// RunUnreachable means that the replica could not be reached: the connection was refused
	// or reset before an answer.
	RunUnreachable
	// RunSilent means that the replica gave no answer in the time granted.
	RunSilent
)

// RunResult is the end of a run. Each event carries the version that made it.
type RunResult struct {
	Outcome RunOutcome
	Status  int
	Events  []port.ReplicaEvent
	// FirstEvent is how long the first event took.
	FirstEvent time.Duration
	// Pace is the mean time between two events, 0 when there were too few.
	Pace time.Duration
	// Crashed says that the replica ended while it had the run.
	Crashed bool
}

// ScoringCall sends an item's scoring call to a replica of the service that scores.
type ScoringCall struct {
	// ID names the attempt within this node's life, among those of runs; StopRun cancels it.
	ID uint64
	// Request is the call's id at the replica.
	Request string
	// Replica and Address say where.
	Replica, Address string
	// Target is the path, Host and Body are the call's.
	Target, Host string
	Body         []byte
	// Tenant is the job's, empty where there are none.
	Tenant string
	// Limit is the time granted to the attempt.
	Limit time.Duration
	// SendBy is as for a Run.
	SendBy time.Time
	Done   func(now time.Time, result ScoringResult)
}

// ScoringResult is the end of an attempt of a scoring call.
type ScoringResult struct {
	Outcome relay.Outcome
	// Status is the answer's, 0 when none came.
	Status int
	// Score is the signature of a success.
	Score string
	// Err tells why no answer came whole.
	Err error
	// Crashed says that the replica ended while it had the call.
	Crashed bool
}

// Order sends an order to a replica.
type Order struct {
	Order port.VersionOrder
	// Limit is the time in which it must have reached the replica: the sender may not order
	// any more behind it.
	Limit time.Duration
	Done  func(now time.Time, status port.VersionOrderStatus)
}

// Report asks a replica for its state.
type Report struct {
	Replica, Address string
	Done             func(now time.Time, report port.ReplicaReport)
}

// ReportUsage reports a window's use to the platform.
type ReportUsage struct {
	Report port.UsageReport
	// Limit is the time in which it must have reached the platform, as for Order.
	Limit time.Duration
	Done  func(now time.Time, status port.DutyStatus)
}

// OrderReplicas asks the platform for replicas.
type OrderReplicas struct {
	Order port.ReplicaOrder
	// Limit is the time in which it must have reached the platform, as for Order.
	Limit time.Duration
	Done  func(now time.Time, status port.DutyStatus)
}

// Wake tells those who wait for a batch job that it changed.
type Wake struct{ Job string }

// ReplicasKnown tells requests that wait for replicas to be read that some were.
type ReplicasKnown struct{}

func (ReplicasKnown) isTask() {}

// Log writes a numbered event; fields alternate names and values.
type Log struct {
	Event  int
	Fields []any
}

func (Commit) isTask()        {}
func (Range) isTask()         {}
func (Run) isTask()           {}
func (StopRun) isTask()       {}
func (ScoringCall) isTask()   {}
func (Order) isTask()         {}
func (Report) isTask()        {}
func (ReportUsage) isTask()   {}
func (OrderReplicas) isTask() {}
func (Wake) isTask()          {}
func (Log) isTask()           {}

// Queue collects tasks in order; it belongs to the node's loop.
type Queue struct{ list []Task }

// Add appends a task.
func (q *Queue) Add(one Task) { q.list = append(q.list, one) }

// Log appends a Log task.
func (q *Queue) Log(number int, fields ...any) { q.Add(Log{Event: number, Fields: fields}) }

// Take empties the queue.
func (q *Queue) Take() []Task {
	list := q.list
	q.list = nil
	return list
}

// Later calls back after a while.
type Later struct {
	After time.Duration
	Do    func(now time.Time)
}

func (Later) isTask() {}

// Watch waits for changes of a table.
type Watch struct {
	Table string
	After int64
	Wait  time.Duration
	Done  func(now time.Time, result port.RecordResult)
}

func (Watch) isTask() {}

// Forget closes the idle connections to an address.
type Forget struct{ Address string }

func (Forget) isTask() {}
