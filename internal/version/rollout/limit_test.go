package rollout

import (
	"testing"
	"time"
)

// normalLoadDuration is how long a load takes while the weight source is not overloaded.
const normalLoadDuration = 900 * time.Millisecond

// observe returns a load of the given duration as seen through polling and delayed reports.
func observe(took time.Duration) observedLoad {
	const lag = 150 * time.Millisecond
	load := observedLoad{orderedAt: time.Unix(1000, 0)}
	for delay := initialReportDelay; ; delay += reportInterval {
		at := load.orderedAt.Add(delay)
		if delay-lag >= took {
			load.doneAt = at
			return load
		}
		load.lastLoadingAt = at
	}
}

// runLoads simulates loads at the limit, with a weight source that supports capacity concurrent
// loads.
func (l *loadLimit) runLoads(loads, replicas, capacity int) {
	for range loads {
		loading := l.maxConcurrent(replicas)
		l.recordLoad(observe(normalLoadDuration*time.Duration(max(loading, capacity))/time.Duration(capacity)), loading)
	}
}

func TestLimitAdaptsToSourceCapacity(t *testing.T) {
	for _, c := range []struct{ replicas, capacity, least, most int }{
		{9, 2, 2, 3}, {45, 9, 8, 15}, {48, 4, 3, 7}, {48, 14, 12, 16}, {3, 2, 2, 2}, {128, 26, 25, 40},
	} {
		var limit loadLimit
		limit.runLoads(400, c.replicas, c.capacity)
		if got := limit.maxConcurrent(c.replicas); got < c.least || got > c.most {
			t.Errorf("%d replicas, capacity for %d concurrent loads: the limit is %d", c.replicas, c.capacity, got)
		}
	}
}

func TestSingleSlowLoadKeepsLimit(t *testing.T) {
	var limit loadLimit
	before := limit.maxConcurrent(45)
	limit.recordLoad(observe(time.Second), 1)
	limit.recordLoad(observe(3*time.Second), 1)
	if got := limit.maxConcurrent(45); got != before {
		t.Errorf("a single slow load changed the limit from %d to %d", before, got)
	}
}

// Loads that a late poll observes must not count as slow, or the limit falls although the weight
// source is not overloaded.
func TestLoadsSeenAtALaterLookAreNoLimit(t *testing.T) {
	var limit loadLimit
	limit.runLoads(200, 128, 26)
	// A replica's record can show the end of a load before a poll does.
	fromRecord := observedLoad{orderedAt: time.Unix(1000, 0), doneAt: time.Unix(1000, 0).Add(920 * time.Millisecond)}
	limit.recordLoad(fromRecord, 1)
	before := limit.maxConcurrent(128)
	for range 40 {
		load := observe(normalLoadDuration)
		load.lastLoadingAt = load.orderedAt.Add(initialReportDelay + 30*time.Millisecond)
		load.doneAt = load.orderedAt.Add(1200 * time.Millisecond)
		limit.recordLoad(load, limit.maxConcurrent(128))
	}
	if got := limit.maxConcurrent(128); got < before {
		t.Errorf("loads of normal duration changed the limit from %d to %d", before, got)
	}
}

// A round of slow loads lowers the limit once, not once per load.
func TestRoundLowersTheLimitOnce(t *testing.T) {
	var limit loadLimit
	limit.runLoads(200, 128, 26)
	before := limit.maxConcurrent(128)
	for range before {
		limit.recordLoad(observe(2*normalLoadDuration), before)
	}
	if got := limit.maxConcurrent(128); got >= before || got < before/2-1 {
		t.Errorf("loads of twice the normal duration changed the limit from %d to %d", before, got)
	}
}
