// Package endpoint keeps what a node knows of the replicas it may send to: what the
// platform's list says, what their answers told, and how this node's own attempts
// fared. A choice is a pipeline of filters, scorers and a picker over that.
package endpoint

import (
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/request/relay"
)

const (
	// loadLife is how long a told load counts.
	loadLife = 2 * time.Second
	// ejectAfter failures in a row take an endpoint out, for ejectFirst at first and
	// twice as long each time, up to ejectLongest.
	ejectAfter   = 2
	ejectFirst   = 500 * time.Millisecond
	ejectLongest = 4 * time.Second
	// latencyWeight is the part of the newest latency in the running mean.
	latencyWeight = 0.2
	// paceWeight is the part of the newest pace, paceLife how long a pace counts.
	paceWeight = 0.3
	paceLife   = 15 * time.Second
	// hearsayAfter is how old an own pace is before another node's is taken.
	hearsayAfter = time.Second
	// busyFor is how long an endpoint that was heard of is not held for silent.
	busyFor = time.Second
)

// Endpoint is one incarnation of a replica. What is known of it ends with it: a replica that starts again
// is another endpoint, also under the same ID.
type Endpoint struct {
	port.ReplicaRecord
	// InFlight counts this node's attempts that have not ended.
	InFlight int
	// Tokens is the memory that this node's runs are expected to take here.
	Tokens int
	// UsedAt is when the last attempt was sent.
	UsedAt time.Time
	// Region is that of the endpoint's zone, empty if it is not known.
	Region string
	// Held is set while an operator drains the endpoint or its zone.
	Held bool
	// Evacuated is set while the endpoint's zone is evacuated. EvacuatedUntil is when this node saw
	// the evacuation lifted, zero otherwise: the replica may have turned cold meanwhile.
	Evacuated      bool
	EvacuatedUntil time.Time
	// ColdUntil is when the endpoint is warm by its records, never too early.
	ColdUntil time.Time
	// SendBy is until when the request must be sent that the endpoint was chosen for last, zero for
	// any time.
	SendBy time.Time

	told         int
	toldAt       time.Time
	failures     int
	ejections    int
	ejectedUntil time.Time
	latency      time.Duration
	loading      map[string]time.Time
	pace         time.Duration
	pacedAt      time.Time
	heardAt      time.Time
	coldRevision int64
	coldHeardAt  time.Time

	// pool holds the endpoint while it is listed, position is its place on the pool's rings; paced is set
	// while it stands among the pool's endpoints of known pace.
	pool     *Pool
	position uint64
	paced    bool
}

// Load returns the requests that are known to be at the endpoint: this node's own,
// or what its last answer told, whichever is more.
func (e *Endpoint) Load(now time.Time) int {
	if now.Sub(e.toldAt) < loadLife {
		return max(e.InFlight, e.told)
	}
	return e.InFlight
}

// Ejected reports whether failures keep the endpoint out for now.
func (e *Endpoint) Ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// Loading reports whether the endpoint is thought to load a version of a model; it
// goes on serving its other models.
func (e *Endpoint) Loading(now time.Time, model string) bool { return now.Before(e.loading[model]) }

// SetLoading notes that the endpoint takes no new requests for a model until then.
func (e *Endpoint) SetLoading(model string, until time.Time) {
	if e.loading == nil {
		e.loading = map[string]time.Time{}
	}
	e.loading[model] = until
}

// LearnVersion takes a version that the endpoint named; versions only rise.
func (e *Endpoint) LearnVersion(model string, version int64) {
	if version <= e.Versions[model] || model == "" {
		return
	}
	if e.Versions == nil {
		e.Versions = map[string]int64{}
	}
	if e.pool != nil {
		e.pool.raise(e, model, version)
	}
	e.Versions[model] = version
}

// LearnLoad takes the load that an answer told.
func (e *Endpoint) LearnLoad(now time.Time, running, waiting int) {
	e.told = running + waiting
	e.toldAt = now
	e.heardAt = now
}

// Attempted notes how an attempt of a request ended, and how long it took. It reports whether
// the endpoint was ejected.
func (e *Endpoint) Attempted(now time.Time, outcome relay.Outcome, took time.Duration) (ejected bool) {
	switch outcome {
	case relay.Answered:
		e.Succeeded(took)
	case relay.NotRun:
		e.Busy(now)
	case relay.Errored, relay.Broken, relay.Unreached, relay.Refused:
		return e.Failed(now)
	}
	return false
}

// Succeeded notes an attempt that was answered, and how long that took.
func (e *Endpoint) Succeeded(latency time.Duration) {
	e.failures = 0
	e.ejections = 0
	e.ejectedUntil = time.Time{}
	if e.latency == 0 {
		e.latency = latency
		return
	}
	e.latency += time.Duration(latencyWeight * float64(latency-e.latency))
}

// LearnPace takes the mean time between two events of a run.
func (e *Endpoint) LearnPace(now time.Time, pace time.Duration) {
	if pace <= 0 {
		return
	}
	e.heardAt = now
	if e.pace == 0 || now.Sub(e.pacedAt) > paceLife {
		e.pace = pace
	} else {
		e.pace += time.Duration(paceWeight * float64(pace-e.pace))
	}
	e.notePace(now)
}

func (e *Endpoint) notePace(now time.Time) {
	e.pacedAt = now
	if e.pool != nil {
		e.pool.notePaced(e)
	}
}

// HearPace takes a pace that another node found, unless this node knows better.
func (e *Endpoint) HearPace(now time.Time, pace time.Duration) {
	if now.Sub(e.pacedAt) >= hearsayAfter && pace > 0 {
		e.pace = pace
		e.notePace(now)
	}
}

// Pace returns the usual time between two events, 0 when it is not known.
func (e *Endpoint) Pace(now time.Time) time.Duration {
	if now.Sub(e.pacedAt) > paceLife {
		return 0
	}
	return e.pace
}

// Silent notes an attempt that got no answer in its time. An endpoint that answers
// others meanwhile is merely busy; it reports whether the endpoint was ejected.
func (e *Endpoint) Silent(now time.Time) bool {
	if now.Sub(e.heardAt) < busyFor {
		return false
	}
	return e.Failed(now)
}

// Failed notes an attempt that broke; it reports whether the endpoint was ejected.
func (e *Endpoint) Failed(now time.Time) bool {
	e.failures++
	if e.failures < ejectAfter || e.Ejected(now) {
		return false
	}
	pause := min(ejectFirst<<e.ejections, ejectLongest)
	if pause < ejectLongest {
		e.ejections++
	}
	e.ejectedUntil = now.Add(pause)
	return true
}

// refusedFor is how long an endpoint that turned an item away gets no other of its model:
// it is full, or loads a version, which takes about a second.
const refusedFor = 350 * time.Millisecond

// Refused notes that the endpoint turned an item of a model away. Only the node that
// orders versions knows which endpoints load.
func (e *Endpoint) Refused(now time.Time, model string) {
	e.Busy(now)
	if until := now.Add(refusedFor); until.After(e.loading[model]) {
		e.SetLoading(model, until)
	}
}

// Busy notes that the endpoint turned a request away for load.
func (e *Endpoint) Busy(now time.Time) {
	e.told = max(e.told, e.Slots)
	e.toldAt = now
}

// Leaving reports whether the endpoint gets no new work, for whatever reason.
func (e *Endpoint) Leaving() bool { return e.Withheld() != NotWithheld }
