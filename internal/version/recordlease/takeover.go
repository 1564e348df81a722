package recordlease

import "time"

const (
	// takeoverInterval is the average time between the takeover attempts of two nodes. It limits
	// how many nodes write to the store before they learn of the first takeover.
	takeoverInterval = 25 * time.Millisecond
	// maxTakeoverSpread bounds the takeover time when most nodes of a large cluster are lost.
	maxTakeoverSpread = 4 * time.Second
)

// TakeoverSpread returns the time over which nodes spread their attempts to take over a lease or a
// job. It grows with the number of nodes and is at least minSpread. nodes may be nil or return 0 if
// the number is unknown.
func TakeoverSpread(minSpread time.Duration, nodes func() int) time.Duration {
	if nodes == nil {
		return minSpread
	}
	return max(minSpread, min(time.Duration(nodes())*takeoverInterval, maxTakeoverSpread))
}
