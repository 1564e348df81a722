package endpoint

import (
	"slices"

	"github.com/doorstep/doorstep/internal/port"
)

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
	r.enter(fresh)
	return Change{Endpoint: fresh, Added: true, Leaving: record.Draining}
}

// enter lists an endpoint under its ID, its address and its service.
func (r *Registry) enter(e *Endpoint) {
	r.byID[e.ID] = e
	r.byAddress[e.Address] = e
	pool := r.byService[e.Service]
	if pool == nil {
		pool = newPool()
		r.byService[e.Service] = pool
	}
	pool.add(e)
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

// Outlives reports whether a listed replica has a newer record than that which is gone.
func (r *Registry) Outlives(gone port.RemovedReplica) bool {
	known := r.byID[gone.ID]
	return known != nil && known.newerThan(gone.Revision)
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

// Retain drops all endpoints but those named and returns the dropped ones. Nothing is known of them any
// more; requests that they have go on. The pools are made anew, as dropping thousands one by one takes
// a time that grows with their number squared.
func (r *Registry) Retain(ids map[string]bool) []*Endpoint {
	var dropped []*Endpoint
	kept := NewRegistry()
	for _, e := range r.All() {
		if !ids[e.ID] {
			e.pool = nil
			dropped = append(dropped, e)
			continue
		}
		kept.enter(e)
	}
	*r = *kept
	return dropped
}
