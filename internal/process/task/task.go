// Package task defines the side effects requested by a node's state machines. A state machine adds
// tasks to a queue; the daemon or the simulator executes them and reports each result through Done on
// the node's event loop.
package task

import (
	"net/http"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/request/relay"
)

// Task is a side effect to be executed.
type Task interface{ isTask() }

// Commit executes a transaction of the record store.
type Commit struct {
	Transaction port.RecordTransaction
	Done        func(now time.Time, result port.RecordResult)
}

// Range reads a range of records.
type Range struct {
	Query port.RecordRange
	Done  func(now time.Time, result port.RecordResult)
}

// Run sends an item of a batch job to a replica and reads the event stream.
type Run struct {
	// ID identifies the run within the lifetime of the node process.
	ID uint64
	// Item is the request ID sent to the replica.
	Item             string
	Replica, Address string
	// Target is the request path. Host, Header and Body are sent as they are.
	Target, Host string
	Header       http.Header
	Body         []byte
	// Tenant is the job's tenant, empty without tenants.
	Tenant string
	// Limit is the time granted to the replica.
	Limit time.Duration
	// SendBy is the deadline for sending the request, after which it must not be sent; zero for none.
	SendBy time.Time
	// Waited is how long the item has waited for a replica.
	Waited time.Duration
	// Priority is the rank of the job's route.
	Priority int
	// After is the ID of the event after which to continue, 0 to start from the beginning.
	After int64
	// FirstEventTimeout is the timeout for the first event and NextEventTimeout the timeout between two
	// events.
	FirstEventTimeout, NextEventTimeout time.Duration
	// MaxEventID is the ID of the last event that the text may have, 0 if unknown. MaxBytes limits the size
	// of the run's events.
	MaxEventID int64
	MaxBytes   int
	// Progress is called periodically with the new events of the run and its pace, 0 if there is no new
	// measurement. Its result reports whether to stop the run with RunSlow.
	Progress func(now time.Time, events []port.ReplicaEvent, pace time.Duration) (stop bool)
	Done     func(now time.Time, result RunResult)
}

// StopRun cancels a run or a scoring call. Its Done is still called.
type StopRun struct{ ID uint64 }

// RunOutcome is the outcome of a run.
type RunOutcome int

const (
	// RunCompleted means that the stream ended normally.
	RunCompleted RunOutcome = iota
	// RunInterrupted means that the stream ended early. The complete events received are kept.
	RunInterrupted
	// RunFailed means that the replica answered with an error.
	RunFailed
	// RunImpossible means that the item can never succeed.
	RunImpossible
	// RunRefused means that the replica did not run the item because it is full or loading a version.
	RunRefused
	// RunSlow means that the run was stopped because its events arrived too slowly.
	RunSlow
	// RunUnreachable means that the connection was refused or was reset before an answer.
	RunUnreachable
	// RunTimedOut means that the replica did not answer in time.
	RunTimedOut
	// RunTooLong means that the stream exceeded the limits of the text or the time granted, so that none of
	// it can be kept.
	RunTooLong
)

// RunResult is the result of a run. Each event carries the version that generated it.
type RunResult struct {
	Outcome RunOutcome
	Status  int
	Events  []port.ReplicaEvent
	// FirstEvent is the time to the first event.
	FirstEvent time.Duration
	// Pace is the mean time between two events, 0 if there were too few.
	Pace time.Duration
	// Crashed reports whether the replica terminated during the run.
	Crashed bool
}

// ScoringCall sends an item's scoring call to a replica of the scoring service.
type ScoringCall struct {
	// ID identifies the attempt within the lifetime of the node process. Runs and scoring calls share
	// one ID space; StopRun cancels either.
	ID uint64
	// Request is the request ID sent to the replica.
	Request          string
	Replica, Address string
	// Target is the request path. Host and Body are sent as they are.
	Target, Host string
	Body         []byte
	// Tenant is the job's tenant, empty without tenants.
	Tenant string
	// Priority is the rank of the call's route.
	Priority int
	// Limit is the time granted to the attempt.
	Limit time.Duration
	// SendBy is the deadline for sending the call, as for a Run.
	SendBy time.Time
	Done   func(now time.Time, result ScoringResult)
}

// ScoringResult is the result of an attempt of a scoring call.
type ScoringResult struct {
	Outcome relay.Outcome
	// Status is the HTTP status, 0 if there was no answer.
	Status int
	// Score is the replica's signature of a successful answer.
	Score string
	// Err is the reason for a missing or incomplete answer.
	Err error
	// Crashed reports whether the replica terminated during the call.
	Crashed bool
}

// OrderVersion sends a version order to a replica.
type OrderVersion struct {
	Order port.VersionOrder
	// Limit is the time within which the order must reach the replica. After it the sender may no
	// longer hold the order lease.
	Limit time.Duration
	Done  func(now time.Time, status port.VersionOrderStatus)
}

// FetchReport requests the state of a replica.
type FetchReport struct {
	Replica, Address string
	Done             func(now time.Time, report port.ReplicaReport)
}

// ReportUsage sends the usage report of a window to the platform.
type ReportUsage struct {
	Report port.UsageReport
	// Limit is the time within which the report must reach the platform, as for OrderVersion.
	Limit time.Duration
	Done  func(now time.Time, status port.DutyStatus)
}

// OrderReplicas requests replicas from the platform.
type OrderReplicas struct {
	Order port.ReplicaOrder
	// Limit is the time within which the order must reach the platform, as for OrderVersion.
	Limit time.Duration
	Done  func(now time.Time, status port.DutyStatus)
}

// NotifyJob notifies the clients waiting for a batch job of a change.
type NotifyJob struct{ Job string }

// NotifyReplicasRead notifies requests that are waiting for the replica list that replicas have been
// read.
type NotifyReplicasRead struct{}

func (NotifyReplicasRead) isTask() {}

// Log writes a numbered event. Fields alternates names and values.
type Log struct {
	Event  int
	Fields []any
}

func (Commit) isTask()        {}
func (Range) isTask()         {}
func (Run) isTask()           {}
func (StopRun) isTask()       {}
func (ScoringCall) isTask()   {}
func (OrderVersion) isTask()  {}
func (FetchReport) isTask()   {}
func (ReportUsage) isTask()   {}
func (OrderReplicas) isTask() {}
func (NotifyJob) isTask()     {}
func (Log) isTask()           {}

// Queue is an ordered list of tasks. It must only be used from the node's event loop.
type Queue struct{ list []Task }

// Add appends a task.
func (q *Queue) Add(one Task) { q.list = append(q.list, one) }

// Log appends a Log task.
func (q *Queue) Log(number int, fields ...any) { q.Add(Log{Event: number, Fields: fields}) }

// Take returns all tasks and empties the queue.
func (q *Queue) Take() []Task {
	list := q.list
	q.list = nil
	return list
}

// Timer calls Do after a delay.
type Timer struct {
	After time.Duration
	Do    func(now time.Time)
}

func (Timer) isTask() {}

// Watch waits for changes of a table.
type Watch struct {
	Table string
	After int64
	Wait  time.Duration
	Done  func(now time.Time, result port.RecordResult)
}

func (Watch) isTask() {}

// CloseIdleConnections closes the idle connections to an address.
type CloseIdleConnections struct{ Address string }

func (CloseIdleConnections) isTask() {}
