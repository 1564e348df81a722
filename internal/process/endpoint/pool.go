package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// Pool holds the endpoints of one service. Its indexes avoid scanning all endpoints for a choice or an
// update.
type Pool struct {
	all ring
	// byID is sorted by ID unless unsorted is set.
	byID     []*Endpoint
	unsorted bool
	// models indexes the endpoints by model and version.
	models map[string]*versionRings
	// withPace holds the endpoints whose pace was updated recently.
	withPace []*Endpoint
}

// versionRings indexes the endpoints that hold a model by version.
type versionRings struct {
	// versions are the versions in use, in descending order.
	versions []int64
	rings    map[int64]*ring
}

func newPool() *Pool { return &Pool{models: map[string]*versionRings{}} }

// Len returns the number of endpoints.
func (p *Pool) Len() int { return len(p.all.list) }

// All returns the endpoints sorted by ID.
func (p *Pool) All() []*Endpoint {
	if p.unsorted {
		slices.SortFunc(p.byID, compareByID)
		p.unsorted = false
	}
	return p.byID
}

// FirstSchedulable returns the first endpoint accepting new work at or after the ring position of a name, nil if
// there is none.
func (p *Pool) FirstSchedulable(name string) *Endpoint {
	var first *Endpoint
	p.all.walk(ringPosition(name), func(e *Endpoint) bool {
		if !e.Unschedulable() {
			first = e
		}
		return first == nil
	})
	return first
}

func compareByID(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) }

func (p *Pool) add(e *Endpoint) {
	e.pool, e.position, e.paceTracked = p, ringPosition(e.ID), false
	p.all.add(e)
	p.unsorted = p.unsorted || len(p.byID) > 0 && compareByID(p.byID[len(p.byID)-1], e) > 0
	p.byID = append(p.byID, e)
	for model, version := range e.Versions {
		p.rings(model).add(version, e)
	}
}

func (p *Pool) remove(e *Endpoint) {
	e.pool = nil
	p.all.remove(e)
	if at, found := slices.BinarySearchFunc(p.All(), e, compareByID); found {
		p.byID = slices.Delete(p.byID, at, at+1)
	}
	for model, version := range e.Versions {
		p.rings(model).remove(version, e)
	}
	if e.paceTracked {
		p.withPace = slices.DeleteFunc(p.withPace, func(one *Endpoint) bool { return one == e })
	}
}

func (p *Pool) rings(model string) *versionRings {
	known := p.models[model]
	if known == nil {
		known = &versionRings{rings: map[int64]*ring{}}
		p.models[model] = known
	}
	return known
}

// setVersions replaces the endpoint's versions.
func (p *Pool) setVersions(e *Endpoint, versions map[string]int64) {
	for model, version := range e.Versions {
		if next, holds := versions[model]; !holds || next != version {
			p.rings(model).remove(version, e)
		}
	}
	for model, version := range versions {
		if before, held := e.Versions[model]; !held || before != version {
			p.rings(model).add(version, e)
		}
	}
	e.Versions = versions
}

// updateVersion moves an endpoint to the ring of a new version of a model.
func (p *Pool) updateVersion(e *Endpoint, model string, version int64) {
	known := p.rings(model)
	if before, held := e.Versions[model]; held {
		known.remove(before, e)
	}
	known.add(version, e)
}

func (v *versionRings) add(version int64, e *Endpoint) {
	known := v.rings[version]
	if known == nil {
		known = &ring{}
		v.rings[version] = known
		at, _ := slices.BinarySearchFunc(v.versions, version, func(a, b int64) int { return cmp.Compare(b, a) })
		v.versions = slices.Insert(v.versions, at, version)
	}
	known.add(e)
}

func (v *versionRings) remove(version int64, e *Endpoint) {
	known := v.rings[version]
	if known == nil {
		return
	}
	known.remove(e)
	if len(known.list) == 0 {
		delete(v.rings, version)
		v.versions = slices.DeleteFunc(v.versions, func(one int64) bool { return one == version })
	}
}

// trackPace adds an endpoint to withPace.
func (p *Pool) trackPace(e *Endpoint) {
	if !e.paceTracked {
		e.paceTracked = true
		p.withPace = append(p.withPace, e)
	}
}

// BestPace returns the shortest known time between two events within the home regions, 0 if none is
// known. Endpoints that get no new work are ignored, as items could not reach their pace.
func (p *Pool) BestPace(now time.Time, homes port.AllowedRegions) time.Duration {
	best := time.Duration(0)
	p.withPace = slices.DeleteFunc(p.withPace, func(e *Endpoint) bool {
		pace := e.Pace(now)
		if pace == 0 {
			e.paceTracked = false
			return true
		}
		if (best == 0 || pace < best) && !e.Unschedulable() && !e.Ejected(now) && homes.Allows(e.Region) {
			best = pace
		}
		return false
	})
	return best
}

// Demand is the capacity that a model requires: a number of slots and a minimum number of endpoints.
type Demand struct{ Slots, Endpoints int }

// WorkingSet returns the endpoints that serve the models, sorted by ID. For each model it selects the
// endpoints that follow the model's ring position until the model's need is met. All nodes select the
// same endpoints, a membership change replaces only one of them, and each endpoint counts for one
// model. Endpoints that get no new work are included but do not count towards the need. Services of up
// to FullScanLimit endpoints are returned completely.
func (p *Pool) WorkingSet(needs map[string]Demand) []*Endpoint {
	if p.Len() <= FullScanLimit {
		return slices.DeleteFunc(slices.Clone(p.All()), func(e *Endpoint) bool { return len(e.Versions) == 0 })
	}
	taken := map[*Endpoint]bool{}
	var set []*Endpoint
	for _, model := range sortedModels(needs) {
		left := needs[model]
		p.all.walk(ringPosition(model), func(e *Endpoint) bool {
			if left.Slots <= 0 && left.Endpoints <= 0 {
				return false
			}
			if _, holds := e.Versions[model]; !holds || taken[e] {
				return true
			}
			taken[e] = true
			set = append(set, e)
			if !e.Unschedulable() {
				left.Slots -= max(e.Slots, 1)
				left.Endpoints--
			}
			return true
		})
	}
	slices.SortFunc(set, compareByID)
	return set
}

func sortedModels(needs map[string]Demand) []string {
	models := make([]string, 0, len(needs))
	for model := range needs {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}
