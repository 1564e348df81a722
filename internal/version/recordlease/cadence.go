package recordlease

import "time"

// Cadence is how often a holder renews its lease, and how soon another may take it.
type Cadence struct {
	// Validity is how long a renewal counts after it was sent.
	Validity time.Duration
	// RenewEvery paces the holder.
	RenewEvery time.Duration
	// TakeoverAfter is how long the record must stand unchanged, TakeoverSpread spreads the
	// challengers.
	TakeoverAfter, TakeoverSpread time.Duration
}

var (
	// Prompt is the cadence of a duty that callers wait for.
	Prompt = Cadence{Validity: 1500 * time.Millisecond, RenewEvery: 500 * time.Millisecond, TakeoverAfter: 2 * time.Second, TakeoverSpread: 700 * time.Millisecond}
	// Unhurried is that of a duty with seconds to spare. Every node reads each renewal, so it
	// makes half as many of them.
	Unhurried = Cadence{Validity: 2500 * time.Millisecond, RenewEvery: time.Second, TakeoverAfter: 3 * time.Second, TakeoverSpread: 700 * time.Millisecond}
)
