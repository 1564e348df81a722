package endpoint

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ring holds endpoints ordered by the hash of their ID. The order is the same on all nodes and a
// membership change affects only one endpoint.
type ring struct {
	list []*Endpoint
	// dirty is set while appended endpoints are unsorted. A full read appends thousands, which are
	// sorted once.
	dirty bool
}

func compareOnRing(a, b *Endpoint) int {
	return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.ID, b.ID))
}

// ringPosition returns the ring position of a name.
func ringPosition(name string) uint64 { return xxhash.Sum64String(name) }

func (r *ring) add(e *Endpoint) {
	r.dirty = r.dirty || len(r.list) > 0 && compareOnRing(r.list[len(r.list)-1], e) > 0
	r.list = append(r.list, e)
}

func (r *ring) remove(e *Endpoint) {
	if at, found := slices.BinarySearchFunc(r.sorted(), e, compareOnRing); found {
		r.list = slices.Delete(r.list, at, at+1)
	}
}

func (r *ring) sorted() []*Endpoint {
	if r.dirty {
		slices.SortFunc(r.list, compareOnRing)
		r.dirty = false
	}
	return r.list
}

// walk visits each endpoint once, starting at a position, until visit returns false.
func (r *ring) walk(from uint64, visit func(e *Endpoint) bool) {
	list := r.sorted()
	start, _ := slices.BinarySearchFunc(list, from, func(e *Endpoint, position uint64) int { return cmp.Compare(e.position, position) })
	for i := range list {
		if !visit(list[(start+i)%len(list)]) {
			return
		}
	}
}
