package endpoint

import (
	"cmp"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// Pool holds the endpoints of one service, indexed so that neither a choice nor a change looks at all of
// them.
type Pool struct {
	all ring
	// byID holds them in the order of their IDs, unless unsorted is set.
	byID     []*Endpoint
	unsorted bool
	// models holds for each model the endpoints by the version that they have.
	models map[string]*versionRings
	// paced are the endpoints whose pace was learned of late.
	paced []*Endpoint
}

// versionRings are the endpoints that hold a model, by version.
type versionRings struct {
	// versions are those that an endpoint has, the newest first.
	versions []int64
	rings    map[int64]*ring
}

func newPool() *Pool { return &Pool{models: map[string]*versionRings{}} }

// Len returns how many endpoints there are.
func (p *Pool) Len() int { return len(p.all.list) }

// All returns the endpoints in the order of their IDs.
func (p *Pool) All() []*Endpoint {
	if p.unsorted {
		slices.SortFunc(p.byID, compareByID)
		p.unsorted = false
	}
	return p.byID
}

// First returns the endpoint that gets work and stands first behind a name's place on the ring, nil if
// there is none.
func (p *Pool) First(name string) *Endpoint {
	var first *Endpoint
	p.all.walk(positionOf(name), func(e *Endpoint) bool {
		if !e.Leaving() {
			first = e
		}
		return first == nil
	})
	return first
}

func compareByID(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) }

func (p *Pool) add(e *Endpoint) {
	e.pool, e.position, e.paced = p, positionOf(e.ID), false
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
	if e.paced {
		p.paced = slices.DeleteFunc(p.paced, func(one *Endpoint) bool { return one == e })
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

// setVersions replaces the versions that an endpoint holds.
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

// raise notes that an endpoint is about to have another version of a model.
func (p *Pool) raise(e *Endpoint, model string, version int64) {
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

// notePaced notes that an endpoint's pace is known.
func (p *Pool) notePaced(e *Endpoint) {
	if !e.paced {
		e.paced = true
		p.paced = append(p.paced, e)
	}
}

// BestPace returns the least known time between two events of runs within homes, 0 when none is known.
// Endpoints that get no new work don't count: items would be rated against a pace that they can't have.
func (p *Pool) BestPace(now time.Time, homes port.AllowedRegions) time.Duration {
	best := time.Duration(0)
	p.paced = slices.DeleteFunc(p.paced, func(e *Endpoint) bool {
		pace := e.Pace(now)
		if pace == 0 {
			e.paced = false
			return true
		}
		if (best == 0 || pace < best) && !e.Leaving() && !e.Ejected(now) && homes.Allows(e.Region) {
			best = pace
		}
		return false
	})
	return best
}

// Need is what a model needs of a service: slots for its items, on at least so many endpoints.
type Need struct{ Slots, Endpoints int }

// WorkingSet returns the endpoints that serve the models, in the order of their IDs: for each model those
// that stand on the ring behind its own position, until its need is met. So all nodes name the same ones,
// one that comes or goes changes one, and each is counted for one model. Endpoints that get no new work
// are among them and meet no need. A service of up to WholePass endpoints serves as a whole.
func (p *Pool) WorkingSet(needs map[string]Need) []*Endpoint {
	if p.Len() <= WholePass {
		return slices.DeleteFunc(slices.Clone(p.All()), func(e *Endpoint) bool { return len(e.Versions) == 0 })
	}
	taken := map[*Endpoint]bool{}
	var set []*Endpoint
	for _, model := range sortedModels(needs) {
		left := needs[model]
		p.all.walk(positionOf(model), func(e *Endpoint) bool {
			if left.Slots <= 0 && left.Endpoints <= 0 {
				return false
			}
			if _, holds := e.Versions[model]; !holds || taken[e] {
				return true
			}
			taken[e] = true
			set = append(set, e)
			if !e.Leaving() {
				left.Slots -= max(e.Slots, 1)
				left.Endpoints--
			}
			return true
		})
	}
	slices.SortFunc(set, compareByID)
	return set
}

func sortedModels(needs map[string]Need) []string {
	models := make([]string, 0, len(needs))
	for model := range needs {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}
