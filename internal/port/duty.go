package port

import "context"

// UsageReport tells the platform how many requests of each tenant began to run in a window.
type UsageReport struct {
	// Window is the window's number: that many lengths after the start of 1970.
	Window   int64
	Requests map[string]int64
	// Holder and Fence are the lease's.
	Holder string
	Fence  int64
}

// ReplicaOrder sets how many replicas of a service a zone should have.
type ReplicaOrder struct {
	Service, Zone string
	Replicas      int
	// Holder and Fence are the lease's.
	Holder string
	Fence  int64
}

// DutyStatus is the outcome of a call to the platform that one node at a time may make.
type DutyStatus int

const (
	// DutyUnknown means that no answer came: it may be carried out later.
	DutyUnknown DutyStatus = iota
	// DutyDone means success.
	DutyDone
	// DutyFenced means that a newer holder has called.
	DutyFenced
	// DutyRefused means that nothing was done, for load or an outage.
	DutyRefused
)

// String names the status as logs do.
func (s DutyStatus) String() string {
	return [...]string{"unknown", "done", "fenced", "refused"}[s]
}

// DutyService is the platform's interface for calls that one node at a time may make.
type DutyService interface {
	ReportUsage(ctx context.Context, report UsageReport) DutyStatus
	OrderReplicas(ctx context.Context, order ReplicaOrder) DutyStatus
}
