// Package endpoint keeps what a node knows of the replicas it may send to: what the
// platform's list says, what their answers told, and how this node's own attempts
// fared. A choice is a pipeline of filters, scorers and a picker over that.
package endpoint

import (
	"slices"
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

// Registry holds the endpoints by the replicas' IDs and addresses, and by service.
type Registry struct {
	byID      map[string]*Endpoint
	byAddress map[string]*Endpoint
	byService map[string]*Pool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byID: map[string]*Endpoint{}, byAddress: map[string]*Endpoint{}, byService: map[string]*Pool{}}
}

// Len returns how many endpoints are listed.
func (r *Registry) Len() int { return len(r.byID) }

// Find returns an endpoint, nil when it is not listed.
func (r *Registry) Find(id string) *Endpoint { return r.byID[id] }

// At returns the endpoint at an address, the one listed last of several, nil when there is none.
func (r *Registry) At(address string) *Endpoint { return r.byAddress[address] }

// All returns all endpoints in the order of their IDs.
func (r *Registry) All() []*Endpoint {
	list := make([]*Endpoint, 0, len(r.byID))
	for _, e := range r.byID {
		list = append(list, e)
	}
	slices.SortFunc(list, compareByID)
	return list
}

// Service returns the endpoints of a service in the order of their IDs.
func (r *Registry) Service(name string) []*Endpoint {
	if pool := r.byService[name]; pool != nil {
		return pool.All()
	}
	return nil
}

// Pool returns the endpoints of a service, nil if it never had any.
func (r *Registry) Pool(name string) *Pool { return r.byService[name] }

// Change says how an endpoint changed.
type Change struct {
	Endpoint *Endpoint
	// Added, Leaving and Removed tell of the change; none is set for a mere update.
	Added, Leaving, Removed bool
	// Former is the incarnation that the added one replaces under its ID, nil if there is none.
	Former *Endpoint
}

// Put takes a replica's record. One that is older than what is known changes nothing: a watch that goes
// on behind a whole reading tells of changes again.
func (r *Registry) Put(record port.ReplicaRecord) Change {
	known := r.byID[record.ID]
	if known == nil {
		return r.add(record)
	}
	if known.newerThan(record.Revision) {
		return Change{Endpoint: known}
	}
	if known.replacedBy(&record) {
		r.Remove(record.ID)
		change := r.add(record)
		change.Former = known
		return change
	}
	leaving := record.Draining && !known.Draining
	before := known.Versions
	versions := make(map[string]int64, len(record.Versions))
	for model, version := range record.Versions {
		versions[model] = max(version, before[model])
	}
	known.ReplicaRecord = record
	known.Versions = before
	known.pool.setVersions(known, versions)
	return Change{Endpoint: known, Leaving: leaving}
}

func (r *Registry) add(record port.ReplicaRecord) Change {
	fresh := &Endpoint{ReplicaRecord: record}
	r.byID[record.ID] = fresh
	r.byAddress[record.Address] = fresh
	pool := r.byService[record.Service]
	if pool == nil {
		pool = newPool()
		r.byService[record.Service] = pool
	}
	pool.add(fresh)
	return Change{Endpoint: fresh, Added: true, Leaving: record.Draining}
}

// newerThan reports whether the endpoint is known by a newer record than that of a revision; 0 tells
// nothing.
func (e *Endpoint) newerThan(revision int64) bool { return revision != 0 && revision < e.Revision }

// replacedBy reports whether a newer record tells of another incarnation. A replica that starts again
// under its ID holds nothing of before: requests that were at it have ended, its versions may be lower,
// and its address may be another. Which of two lives is the newer one is told by the store's
// revisions, as the clocks of replicas step.
func (e *Endpoint) replacedBy(record *port.ReplicaRecord) bool {
	return !record.StartedAt.Equal(e.StartedAt) || record.Service != e.Service || record.Address != e.Address
}

// Gone drops a replica whose record is gone as of a revision, unless it has a newer one.
func (r *Registry) Gone(gone port.GoneReplica) Change {
	if known := r.byID[gone.ID]; known != nil && known.newerThan(gone.Revision) {
		return Change{}
	}
	return r.Remove(gone.ID)
}

// Remove drops a replica that is no longer listed.
func (r *Registry) Remove(id string) Change {
	known := r.byID[id]
	if known == nil {
		return Change{}
	}
	known.Draining = true
	delete(r.byID, id)
	if r.byAddress[known.Address] == known {
		delete(r.byAddress, known.Address)
	}
	known.pool.remove(known)
	return Change{Endpoint: known, Removed: true}
}
