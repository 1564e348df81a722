package rollout

import (
	"slices"
	"time"
)

// LateFor is how long an order without an answer may still be carried out, from its sending on: the
// platform's pages say seconds.
const LateFor = 10 * time.Second

// unansweredOrder is an order that may be carried out once the replica has taken so many others.
type unansweredOrder struct {
	model    string
	version  int64
	sequence int64
	until    time.Time
}

// unansweredOrders are those of one replica, of all its lives, from their sending on. Within one life its
// count of orders keeps an old order from being carried out behind a newer one. A replica that starts again
// under its ID counts anew, so that the count may come by the same figure once more.
type unansweredOrders []unansweredOrder

func (u *unansweredOrders) add(now time.Time, model string, version, sequence int64) {
	*u = append(u.left(now), unansweredOrder{model: model, version: version, sequence: sequence, until: now.Add(LateFor)})
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

// blocks reports whether an order must not be given at a count, as an unanswered one might be carried out after it
// and take the replica back:
//
//   - an order that a former life was sent at the next count would be valid right after it;
//   - an unanswered first order is valid again at the beginning of the replica's next life. Until it can't be
//     carried out any more, the replica gets that same order and no other.
func (u *unansweredOrders) blocks(now time.Time, model string, version, sequence int64) bool {
	*u = u.left(now)
	return slices.ContainsFunc(*u, func(one unansweredOrder) bool {
		return one.sequence == sequence+1 || one.sequence == 0 && (one.model != model || one.version != version)
	})
}
