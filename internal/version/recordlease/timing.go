package recordlease

import "time"

// Timing holds the renewal and takeover times of a lease.
type Timing struct {
	// Validity is how long a renewal is valid after it was sent.
	Validity time.Duration
	// RenewEvery is the interval between renewals.
	RenewEvery time.Duration
	// The lease can be taken over once its record has not changed for TakeoverAfter plus a random
	// part of TakeoverSpread.
	TakeoverAfter, TakeoverSpread time.Duration
}

var (
	// FastTiming is for leases whose holder does work that callers wait for.
	FastTiming = Timing{Validity: 1500 * time.Millisecond, RenewEvery: 500 * time.Millisecond, TakeoverAfter: 2 * time.Second, TakeoverSpread: 700 * time.Millisecond}
	// SlowTiming is for leases whose work tolerates some seconds of delay. It halves the number
	// of renewals, each of which is sent to all nodes.
	SlowTiming = Timing{Validity: 2500 * time.Millisecond, RenewEvery: time.Second, TakeoverAfter: 3 * time.Second, TakeoverSpread: 700 * time.Millisecond}
)
