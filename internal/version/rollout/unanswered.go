package rollout

import (
	"slices"
	"time"
)

// MaxOrderDelay is how long after it was sent an unanswered order may still take effect.
const MaxOrderDelay = 10 * time.Second

// unansweredOrder is an order that takes effect if the replica's sequence number matches.
type unansweredOrder struct {
	model     string
	version   int64
	sequence  int64
	expiresAt time.Time
}

// unansweredOrders holds the unanswered orders to all incarnations of a replica. Within one
// incarnation the sequence number prevents an old order from taking effect after a newer one. A
// restarted replica counts from zero, so it may reach the same number again.
type unansweredOrders []unansweredOrder

func (u *unansweredOrders) add(now time.Time, model string, version, sequence int64) {
	*u = append(u.pending(now), unansweredOrder{model: model, version: version, sequence: sequence, expiresAt: now.Add(MaxOrderDelay)})
}

// remove drops the order with the given sequence number once its outcome is known.
func (u *unansweredOrders) remove(sequence int64) {
	if i := slices.IndexFunc(*u, func(order unansweredOrder) bool { return order.sequence == sequence }); i >= 0 {
		*u = slices.Delete(*u, i, i+1)
	}
}

// pending returns the orders that may still take effect.
func (u *unansweredOrders) pending(now time.Time) unansweredOrders {
	return slices.DeleteFunc(*u, func(order unansweredOrder) bool { return !now.Before(order.expiresAt) })
}

// any reports whether an order may still take effect.
func (u *unansweredOrders) any(now time.Time) bool {
	*u = u.pending(now)
	return len(*u) > 0
}

// blocks reports whether an order must not be sent at a sequence number because an unanswered one
// could take effect after it and revert the replica to an older version:
//
//   - An order that a previous incarnation was sent at the next sequence number would be valid right after it.
//   - An unanswered first order is valid again after a restart. Until it expires, only the same order may be sent.
func (u *unansweredOrders) blocks(now time.Time, model string, version, sequence int64) bool {
	*u = u.pending(now)
	return slices.ContainsFunc(*u, func(order unansweredOrder) bool {
		return order.sequence == sequence+1 || order.sequence == 0 && (order.model != model || order.version != version)
	})
}
