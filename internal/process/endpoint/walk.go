package endpoint

import (
	"cmp"
	"slices"
)

// A choice looks at all endpoints of a small service. Of a large one it takes the best of some usable
// ones, found by a walk along a ring: the endpoints of the newest versions that the request may use, from
// a position on that is a model's own, or for other requests the node's own. So a choice costs the same
// however many endpoints there are (BenchmarkChoose: 2.6 ms at 9,625 endpoints with a look at all, 19 us
// with a walk), and the same endpoints are chosen again: they have the weights, the prompts and open
// connections.
const (
	// WholePass is up to how many endpoints a choice looks at all: choosing the best of 48 costs as much
	// as a walk.
	WholePass = 128
	// enoughFree is how many usable endpoints with a free slot end a walk. The best of a few random ones
	// is nearly as idle as the best of all; so many have all zones and kinds among them.
	enoughFree = 32
	// mostMisses bounds the endpoints that a walk passes over for other reasons than their load. Those
	// that are full count as work: they hold requests.
	mostMisses = 192
)

// walk is the search for usable endpoints of one choice.
type walk struct {
	profile *Profile
	query   *Query
	usable  []*Endpoint
	// free counts the usable ones with a free slot, misses the idle ones that could not be used.
	free, misses int
}

// Choose returns the chosen endpoint of a pool, nil when none that was looked at may be used. What a walk
// from the request's own position misses, the next choices' second walks come by: each begins where the
// rotation of the query points.
func (p *Profile) Choose(q *Query, pool *Pool) *Endpoint {
	if pool == nil {
		return nil
	}
	if pool.Len() <= WholePass {
		return p.Pick(q, pool.All())
	}
	w := walk{profile: p, query: q, usable: make([]*Endpoint, 0, enoughFree)}
	w.preferred(pool)
	w.along(pool, positionOf(q.Origin))
	if len(w.usable) == 0 {
		w.misses = 0
		w.along(pool, positionOfRotation(q.Rotation))
	}
	return p.best(q, w.usable)
}

// positionOfRotation spreads the values of a counter over a ring, each far from the last ones
// (Fibonacci hashing).
func positionOfRotation(rotation uint64) uint64 { return rotation * 0x9e3779b97f4a7c15 }

// preferred takes the endpoint that holds the request's prompt, if it may be used.
func (w *walk) preferred(pool *Pool) {
	if w.query.Prefer == "" {
		return
	}
	at, found := slices.BinarySearchFunc(pool.All(), w.query.Prefer, func(e *Endpoint, id string) int { return cmp.Compare(e.ID, id) })
	if found {
		w.visit(pool.All()[at])
	}
}

// along walks the rings of the versions that the request may use, the newest first.
func (w *walk) along(pool *Pool, from uint64) {
	if w.query.Model == "" || w.query.MinVersion <= 0 {
		pool.all.walk(from, w.visit)
		return
	}
	known := pool.models[w.query.Model]
	if known == nil {
		return
	}
	for _, version := range known.versions {
		if version < w.query.MinVersion || w.over() {
			return
		}
		known.rings[version].walk(from, w.visit)
	}
}

// visit looks at one endpoint; it reports whether the walk goes on.
func (w *walk) visit(e *Endpoint) bool {
	idle := HasSlot(w.query, e)
	switch {
	case w.profile.allowed(w.query, e):
		if w.query.Prefer != e.ID || !slices.Contains(w.usable, e) {
			w.usable = append(w.usable, e)
		}
		if idle {
			w.free++
		}
	case idle:
		w.misses++
	}
	return !w.over()
}

func (w *walk) over() bool { return w.free >= enoughFree || w.misses >= mostMisses }
