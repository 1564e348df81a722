package cluster

import (
	"time"

	"github.com/doorstep/doorstep/internal/process/event"
)

const (
	// latencyDecay is the part of the longest call that is left with each call after it.
	latencyDecay = 0.8
	// tellDistanceFrom is the latency from which the store's distance is told: a region 20 ms away
	// stays below, so that a calm deployment tells none.
	tellDistanceFrom = 50 * time.Millisecond
	// tellDistanceEvery is the least time between two lines of it.
	tellDistanceEvery = 2 * time.Second
)

// callLatency follows how long calls to the store take: the longest counts, and is
// forgotten with the calls after it.
type callLatency struct {
	longest time.Duration
	// told is what the log last said, toldAt when.
	told   time.Duration
	toldAt time.Time
}

func (l *callLatency) note(took time.Duration) {
	l.longest = max(took, time.Duration(latencyDecay*float64(l.longest)))
}

// news reports whether the log is to say how far the store is: the latency has doubled or halved
// since it last did. What is below tellDistanceFrom counts as that.
func (l *callLatency) news(now time.Time) bool {
	latency, told := max(l.longest, tellDistanceFrom), max(l.told, tellDistanceFrom)
	if latency < 2*told && told < 2*latency || now.Sub(l.toldAt) < tellDistanceEvery {
		return false
	}
	l.told, l.toldAt = latency, now
	return true
}

// Latency returns how long calls to the store take of late: the longest of the last few.
func (n *Node) Latency() time.Duration { return n.latency.longest }

// storeDistance returns what tells how long calls to the store take of late, nil in a deployment of one
// region.
func (n *Node) storeDistance() func() time.Duration {
	if !n.options.Topology.Several() {
		return nil
	}
	return n.Latency
}

// tickLatency tells of the store's distance when it has changed much.
func (n *Node) tickLatency(now time.Time) {
	if n.latency.news(now) {
		n.queue.Log(event.StoreLatencyChanged, "latency_ms", n.latency.longest.Milliseconds(), "zone", n.options.Topology.Zone, "region", n.options.Topology.Region)
	}
}
