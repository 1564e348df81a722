package cluster

import (
	"time"

	"github.com/doorstep/doorstep/internal/process/event"
)

const (
	// latencyDecay is the factor by which the maximum latency decays with each call.
	latencyDecay = 0.8
	// minLoggedLatency is the latency below which changes are not logged. A region 20 ms away stays below
	// it.
	minLoggedLatency = 50 * time.Millisecond
	// latencyLogInterval is the minimum time between two log lines.
	latencyLogInterval = 2 * time.Second
)

// callLatency tracks a decaying maximum of store call latencies.
type callLatency struct {
	longest time.Duration
	// logged is the last logged latency, loggedAt the time of that log line.
	logged   time.Duration
	loggedAt time.Time
}

func (l *callLatency) observe(took time.Duration) {
	l.longest = max(took, time.Duration(latencyDecay*float64(l.longest)))
}

// shouldLog reports whether the latency has doubled or halved since it was last logged. Latencies below
// minLoggedLatency count as minLoggedLatency.
func (l *callLatency) shouldLog(now time.Time) bool {
	latency, logged := max(l.longest, minLoggedLatency), max(l.logged, minLoggedLatency)
	if latency < 2*logged && logged < 2*latency || now.Sub(l.loggedAt) < latencyLogInterval {
		return false
	}
	l.logged, l.loggedAt = latency, now
	return true
}

// Latency returns the recent maximum latency of store calls.
func (n *Node) Latency() time.Duration { return n.latency.longest }

// storeLatency returns a function that reports the store's latency, nil in a single-region deployment.
func (n *Node) storeLatency() func() time.Duration {
	if !n.options.Topology.MultiRegion() {
		return nil
	}
	return n.Latency
}

// tickLatency logs significant changes of the store's latency.
func (n *Node) tickLatency(now time.Time) {
	if n.latency.shouldLog(now) {
		n.queue.Log(event.StoreLatencyChanged, "latency_ms", n.latency.longest.Milliseconds(), "zone", n.options.Topology.Zone, "region", n.options.Topology.Region)
	}
}
