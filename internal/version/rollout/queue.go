package rollout

import (
	"cmp"
	"slices"
)

// loadQueue is what is to be loaded of one model, within its group of replicas.
type loadQueue struct {
	// must are replicas that can make no step of the model, may those that can.
	must, may []wanted
	// usable counts the replicas that can make its steps, now or once they have loaded, of
	// the group's.
	usable, group int
}

// sort puts the loads in order: those furthest behind first, then the idlest replicas.
func (q *loadQueue) sort() {
	order := func(a, b wanted) int {
		return cmp.Or(cmp.Compare(b.behind, a.behind), cmp.Compare(a.endpoint.InFlight, b.endpoint.InFlight),
			cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	}
	slices.SortFunc(q.must, order)
	slices.SortFunc(q.may, order)
}

// share is the part of the group that can make the model's steps, from 0 to 1.
func (q *loadQueue) share() float64 { return float64(q.usable) / float64(q.group) }

// merge puts the models' loads into one order. Where few replicas may load at once, a
// model whose steps no replica can make comes first: its trainer waits.
func merge(queues []*loadQueue) []wanted {
	var list []wanted
	for {
		var neediest *loadQueue
		for _, q := range queues {
			if len(q.must) > 0 && (neediest == nil || q.share() < neediest.share()) {
				neediest = q
			}
		}
		if neediest == nil {
			break
		}
		list = append(list, neediest.must[0])
		neediest.must = neediest.must[1:]
		neediest.usable++
	}
	for _, q := range queues {
		list = append(list, q.may...)
	}
	return list
}
