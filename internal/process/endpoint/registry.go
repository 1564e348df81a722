package endpoint

import (
	"slices"

	"github.com/doorstep/doorstep/internal/port"
)

// Registry indexes endpoints by ID, address and service.
type Registry struct {
	byID      map[string]*Endpoint
	byAddress map[string]*Endpoint
	byService map[string]*Pool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{byID: map[string]*Endpoint{}, byAddress: map[string]*Endpoint{}, byService: map[string]*Pool{}}
}

// Len returns the number of listed endpoints.
func (r *Registry) Len() int { return len(r.byID) }

// Find returns an endpoint by ID, nil if it is not listed.
func (r *Registry) Find(id string) *Endpoint { return r.byID[id] }

// FindByAddress returns the endpoint most recently listed at an address, nil if there is none.
func (r *Registry) FindByAddress(address string) *Endpoint { return r.byAddress[address] }

// All returns all endpoints sorted by ID.
func (r *Registry) All() []*Endpoint {
	list := make([]*Endpoint, 0, len(r.byID))
	for _, e := range r.byID {
		list = append(list, e)
	}
	slices.SortFunc(list, compareByID)
	return list
}

// Service returns the endpoints of a service sorted by ID.
func (r *Registry) Service(name string) []*Endpoint {
	if pool := r.byService[name]; pool != nil {
		return pool.All()
	}
	return nil
}

// Pool returns the pool of a service, nil if the service never had an endpoint.
func (r *Registry) Pool(name string) *Pool { return r.byService[name] }

// Change describes a change of an endpoint.
type Change struct {
	Endpoint *Endpoint
	// Added, DrainStarted and Removed are all unset for other updates.
	Added, DrainStarted, Removed bool
	// Previous is the previous incarnation that an added endpoint replaces, nil if there is none.
	Previous *Endpoint
}

// Put applies a replica's record. Records older than the known one are ignored: a watch that resumes
// after a full read can deliver earlier changes again.
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
		change.Previous = known
		return change
	}
	leaving := record.Draining && !known.Draining
	versions := make(map[string]int64, len(record.Versions))
	for model, version := range record.Versions {
		versions[model] = max(version, known.Versions[model])
	}
	known.applyRecord(&record)
	known.pool.setVersions(known, versions)
	return Change{Endpoint: known, DrainStarted: leaving}
}

// applyRecord applies a newer record of the same incarnation, except its versions. The fields that identify the
// incarnation are equal and are not written, because requests read them without synchronization.
func (e *Endpoint) applyRecord(record *port.ReplicaRecord) {
	e.Zone, e.Slots, e.Draining, e.ColdFor, e.Revision = record.Zone, record.Slots, record.Draining, record.ColdFor, record.Revision
}

func (r *Registry) add(record port.ReplicaRecord) Change {
	fresh := &Endpoint{ReplicaRecord: record}
	r.insert(fresh)
	return Change{Endpoint: fresh, Added: true, DrainStarted: record.Draining}
}

func (r *Registry) insert(e *Endpoint) {
	r.byID[e.ID] = e
	r.byAddress[e.Address] = e
	pool := r.byService[e.Service]
	if pool == nil {
		pool = newPool()
		r.byService[e.Service] = pool
	}
	pool.add(e)
}

// newerThan reports whether the endpoint's record is newer than a revision. Revision 0 is unknown.
func (e *Endpoint) newerThan(revision int64) bool { return revision != 0 && revision < e.Revision }

// replacedBy reports whether a newer record belongs to another incarnation of the replica, which shares
// no state with this one: its requests have ended, and versions and address may differ. Incarnations are
// ordered by store revision because replica clocks may step.
func (e *Endpoint) replacedBy(record *port.ReplicaRecord) bool {
	return !record.StartedAt.Equal(e.StartedAt) || record.Service != e.Service || record.Address != e.Address
}

// HasNewerRecord reports whether a listed replica has a newer record than a removed one.
func (r *Registry) HasNewerRecord(gone port.RemovedReplica) bool {
	known := r.byID[gone.ID]
	return known != nil && known.newerThan(gone.Revision)
}

// Remove removes a replica that is no longer listed.
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

// Retain removes all endpoints except the given IDs and returns the removed ones. Their requests in
// flight continue. The pools are rebuilt because removing thousands of endpoints one by one takes
// quadratic time.
func (r *Registry) Retain(ids map[string]bool) []*Endpoint {
	var dropped []*Endpoint
	kept := NewRegistry()
	for _, e := range r.All() {
		if !ids[e.ID] {
			e.pool = nil
			dropped = append(dropped, e)
			continue
		}
		kept.insert(e)
	}
	*r = *kept
	return dropped
}
