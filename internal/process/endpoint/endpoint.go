// Package endpoint tracks the replicas that a node can send requests to and selects among them. The
// state of an endpoint combines its service discovery record, the load it reports and the results of
// this node's own attempts. Selection is a pipeline of filters, scorers and a picker.
package endpoint

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/request/relay"
)

const (
	// loadTTL is how long a reported load is used.
	loadTTL = 2 * time.Second
	// ejectAfter is the number of consecutive failures that eject an endpoint. The ejection lasts
	// minEjection at first and doubles each time up to maxEjection.
	ejectAfter  = 2
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// latencyWeight is the weight of a new sample in the moving average of latencies.
	latencyWeight = 0.2
	// paceWeight is the weight of a new sample in the moving average of paces. A pace expires after
	// paceTTL.
	paceWeight = 0.3
	paceTTL    = 15 * time.Second
	// localPaceTTL is the age from which a pace reported by another node replaces the locally measured
	// one.
	localPaceTTL = time.Second
	// livenessWindow is how long after its last response an endpoint that times out is considered
	// overloaded rather than failed.
	livenessWindow = time.Second
)

// Endpoint is one incarnation of a replica. A replica that restarts becomes a new endpoint, even if it
// keeps its ID.
type Endpoint struct {
	port.ReplicaRecord
	// InFlight is the number of this node's unfinished attempts.
	InFlight int
	// Tokens is the memory, in tokens, that this node's runs are expected to use on the endpoint.
	Tokens int
	// UsedAt is when the last attempt was sent.
	UsedAt time.Time
	// Region is the region of the endpoint's zone, empty if unknown.
	Region string
	// OperatorDrained is set while an operator drains the endpoint or its zone.
	OperatorDrained bool
	// Evacuated is set while the endpoint's zone is evacuated. EvacuatedUntil is when this node
	// observed the end of the evacuation, otherwise zero; the replica may have gone cold in the
	// meantime.
	Evacuated      bool
	EvacuatedUntil time.Time
	// ColdUntil is when the endpoint becomes warm according to its records. It is never too early.
	ColdUntil time.Time
	// SendBy is the deadline for sending the request that the endpoint was last chosen for, zero for
	// none.
	SendBy time.Time

	reportedLoad       int
	loadReportedAt     time.Time
	failures           int
	ejections          int
	ejectedUntil       time.Time
	latency            time.Duration
	loading            map[string]time.Time
	pace               time.Duration
	paceUpdatedAt      time.Time
	lastHeardAt        time.Time
	coldRecordRevision int64
	coldReportedAt     time.Time

	// pool is the pool that the endpoint is listed in and position its position on the pool's rings.
	// paceTracked is set while the endpoint is in the pool's withPace list.
	pool        *Pool
	position    uint64
	paceTracked bool
}

// Load returns the number of requests on the endpoint: the larger of this node's own and the endpoint's
// last report.
func (e *Endpoint) Load(now time.Time) int {
	if now.Sub(e.loadReportedAt) < loadTTL {
		return max(e.InFlight, e.reportedLoad)
	}
	return e.InFlight
}

// Ejected reports whether the endpoint is ejected after repeated failures.
func (e *Endpoint) Ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// Loading reports whether the endpoint is assumed to be loading a version of the model. It continues to
// serve other models.
func (e *Endpoint) Loading(now time.Time, model string) bool { return now.Before(e.loading[model]) }

// SetLoading excludes the endpoint from new items of a model until the given time.
func (e *Endpoint) SetLoading(model string, until time.Time) {
	if e.loading == nil {
		e.loading = map[string]time.Time{}
	}
	e.loading[model] = until
}

// UpdateVersion records a model version reported by the endpoint. Lower versions are ignored.
func (e *Endpoint) UpdateVersion(model string, version int64) {
	if version <= e.Versions[model] || model == "" {
		return
	}
	if e.Versions == nil {
		e.Versions = map[string]int64{}
	}
	if e.pool != nil {
		e.pool.updateVersion(e, model, version)
	}
	e.Versions[model] = version
}

// UpdateLoad records the load reported in a response.
func (e *Endpoint) UpdateLoad(now time.Time, running, waiting int) {
	e.reportedLoad = running + waiting
	e.loadReportedAt = now
	e.lastHeardAt = now
}

// RecordAttempt records the outcome and duration of an attempt. It reports whether the endpoint was
// ejected.
func (e *Endpoint) RecordAttempt(now time.Time, outcome relay.Outcome, took time.Duration) (ejected bool) {
	switch outcome {
	case relay.Answered:
		e.RecordSuccess(took)
	case relay.NotRun:
		e.RecordOverload(now)
	case relay.Errored, relay.Broken, relay.Unreached, relay.Refused:
		return e.RecordFailure(now)
	}
	return false
}

// RecordSuccess records an answered attempt and its latency.
func (e *Endpoint) RecordSuccess(latency time.Duration) {
	e.failures = 0
	e.ejections = 0
	e.ejectedUntil = time.Time{}
	if e.latency == 0 {
		e.latency = latency
		return
	}
	e.latency += time.Duration(latencyWeight * float64(latency-e.latency))
}

// UpdatePace records the mean time between two events of a run.
func (e *Endpoint) UpdatePace(now time.Time, pace time.Duration) {
	if pace <= 0 {
		return
	}
	e.lastHeardAt = now
	if e.pace == 0 || now.Sub(e.paceUpdatedAt) > paceTTL {
		e.pace = pace
	} else {
		e.pace += time.Duration(paceWeight * float64(pace-e.pace))
	}
	e.paceUpdated(now)
}

func (e *Endpoint) paceUpdated(now time.Time) {
	e.paceUpdatedAt = now
	if e.pool != nil {
		e.pool.trackPace(e)
	}
}

// UpdateRemotePace records a pace measured by another node, unless this node has a recent one of its own.
func (e *Endpoint) UpdateRemotePace(now time.Time, pace time.Duration) {
	if now.Sub(e.paceUpdatedAt) >= localPaceTTL && pace > 0 {
		e.pace = pace
		e.paceUpdated(now)
	}
}

// Pace returns the average time between two events, 0 if unknown.
func (e *Endpoint) Pace(now time.Time) time.Duration {
	if now.Sub(e.paceUpdatedAt) > paceTTL {
		return 0
	}
	return e.pace
}

// RecordTimeout records an attempt that timed out. An endpoint that recently responded to other
// requests is considered overloaded. RecordTimeout reports whether the endpoint was ejected.
func (e *Endpoint) RecordTimeout(now time.Time) bool {
	if now.Sub(e.lastHeardAt) < livenessWindow {
		return false
	}
	return e.RecordFailure(now)
}

// RecordFailure records a failed attempt and reports whether the endpoint was ejected.
func (e *Endpoint) RecordFailure(now time.Time) bool {
	e.failures++
	if e.failures < ejectAfter || e.Ejected(now) {
		return false
	}
	pause := min(minEjection<<e.ejections, maxEjection)
	if pause < maxEjection {
		e.ejections++
	}
	e.ejectedUntil = now.Add(pause)
	return true
}

// refusalBackoff is how long an endpoint that refused an item gets no other items of that model. It is
// either full or loading a version, which takes about a second.
const refusalBackoff = 350 * time.Millisecond

// RecordRefusal records that the endpoint refused an item of a model. Only the node that orders versions
// knows which endpoints are loading, so other nodes infer it from refusals.
func (e *Endpoint) RecordRefusal(now time.Time, model string) {
	e.RecordOverload(now)
	if until := now.Add(refusalBackoff); until.After(e.loading[model]) {
		e.SetLoading(model, until)
	}
}

// RecordOverload records that the endpoint refused a request because of its load.
func (e *Endpoint) RecordOverload(now time.Time) {
	e.reportedLoad = max(e.reportedLoad, e.Slots)
	e.loadReportedAt = now
}

// Unschedulable reports whether the endpoint gets no new work for any reason.
func (e *Endpoint) Unschedulable() bool { return e.UnschedulableReason() != Schedulable }
