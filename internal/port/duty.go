package port

import "context"

// UsageReport reports the number of requests that each tenant started in a window.
type UsageReport struct {
	// Window is the window's number, counted in window lengths since the Unix epoch.
	Window   int64
	Requests map[string]int64
	// Holder and Fence identify the lease.
	Holder string
	Fence  int64
}

// ReplicaOrder sets the desired number of a service's replicas in a zone.
type ReplicaOrder struct {
	Service, Zone string
	Replicas      int
	// Holder and Fence identify the lease.
	Holder string
	Fence  int64
}

// DutyStatus is the outcome of a duty call.
type DutyStatus int

const (
	// DutyUnknown means that there was no response: the call may still take effect.
	DutyUnknown DutyStatus = iota
	// DutyDone means success.
	DutyDone
	// DutyFenced means that a newer lease holder has made a call.
	DutyFenced
	// DutyRefused means that nothing was done, because of overload or an outage.
	DutyRefused
)

// String returns the status as used in logs.
func (s DutyStatus) String() string {
	return [...]string{"unknown", "done", "fenced", "refused"}[s]
}

// DutyService is the platform's interface for duties: calls that only one node, the lease holder, may make.
type DutyService interface {
	ReportUsage(ctx context.Context, report UsageReport) DutyStatus
	OrderReplicas(ctx context.Context, order ReplicaOrder) DutyStatus
}
