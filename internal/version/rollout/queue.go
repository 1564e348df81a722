package rollout

import (
	"cmp"
	"slices"
)

// loadQueue holds the pending loads of one model's group.
type loadQueue struct {
	// required holds the replicas that cannot run the model's steps, optional those that can.
	required, optional []pendingLoad
	// usable is the number of replicas in the group that can run the model's steps, including those
	// that are loading. group is the size of the group.
	usable, group int
}

// sort orders the loads by versions behind, then by requests in flight at the replica.
func (q *loadQueue) sort() {
	order := func(a, b pendingLoad) int {
		return cmp.Or(cmp.Compare(b.behind, a.behind), cmp.Compare(a.endpoint.InFlight, b.endpoint.InFlight),
			cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	}
	slices.SortFunc(q.required, order)
	slices.SortFunc(q.optional, order)
}

// share returns the fraction of the group that can run the model's steps.
func (q *loadQueue) share() float64 { return float64(q.usable) / float64(q.group) }

// mergeQueues merges the models' queues. The model with the smallest usable share comes first,
// since its trainer may be blocked.
func mergeQueues(queues []*loadQueue) []pendingLoad {
	var list []pendingLoad
	for {
		var lowest *loadQueue
		for _, q := range queues {
			if len(q.required) > 0 && (lowest == nil || q.share() < lowest.share()) {
				lowest = q
			}
		}
		if lowest == nil {
			break
		}
		list = append(list, lowest.required[0])
		lowest.required = lowest.required[1:]
		lowest.usable++
	}
	for _, q := range queues {
		list = append(list, q.optional...)
	}
	return list
}
