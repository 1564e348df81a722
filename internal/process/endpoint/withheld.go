package endpoint

import "time"

// UnschedulableReason is the reason why an endpoint gets no new work. All sends to replicas check it
// through the IsSchedulable filter.
type UnschedulableReason string

// The reasons in order of precedence.
const (
	// Schedulable endpoints accept new work.
	Schedulable UnschedulableReason = ""
	// UnschedulableLeaving endpoints are draining according to their own record.
	UnschedulableLeaving UnschedulableReason = "leaving"
	// UnschedulableDrained endpoints are drained by an operator, individually or by zone.
	UnschedulableDrained UnschedulableReason = "drained"
	// UnschedulableEvacuated endpoints are in an evacuated zone.
	UnschedulableEvacuated UnschedulableReason = "evacuated"
)

// UnschedulableReason returns the reason why the endpoint gets no new work.
func (e *Endpoint) UnschedulableReason() UnschedulableReason {
	switch {
	case e.Draining:
		return UnschedulableLeaving
	case e.OperatorDrained:
		return UnschedulableDrained
	case e.Evacuated:
		return UnschedulableEvacuated
	}
	return Schedulable
}

// SetEvacuated updates whether the endpoint's zone is evacuated.
func (e *Endpoint) SetEvacuated(now time.Time, evacuated bool) {
	if evacuated == e.Evacuated {
		return
	}
	e.Evacuated = evacuated
	e.EvacuatedUntil = time.Time{}
	if !evacuated {
		e.EvacuatedUntil = now
	}
}
