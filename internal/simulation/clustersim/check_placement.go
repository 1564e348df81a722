package clustersim

import (
	"strings"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

const (
	// maxUnplaced is how long an open item may be at no replica in steady state while replicas have room.
	maxUnplaced = 5 * time.Second
	// steadyAfter is how long after the end of the last fault the deployment is in steady state.
	steadyAfter = time.Second
	// placementCheckInterval is the time between two checks.
	placementCheckInterval = 250 * time.Millisecond
)

// itemPlacement is where an item has been.
type itemPlacement struct {
	// runs counts the current runs at replicas, leftAt is when the last run ended.
	runs   int
	leftAt time.Time
	// settled is set once a replica has completed or failed the item.
	settled bool
}

// placementChecker checks that no open item stays away from replicas that have room.
type placementChecker struct {
	items map[string]*itemPlacement
	// disturbedUntil is the end of the last fault, steadySince the beginning of the current steady state or zero.
	disturbedUntil, steadySince time.Time
	// reported holds the items with a reported violation.
	reported map[string]bool
}

func newPlacementChecker() placementChecker {
	return placementChecker{items: map[string]*itemPlacement{}, reported: map[string]bool{}}
}

func (p *placementChecker) item(id string) *itemPlacement {
	found := p.items[id]
	if found == nil {
		found = &itemPlacement{}
		p.items[id] = found
	}
	return found
}

// recordFault records a fault that lasts until the given time.
func (p *placementChecker) recordFault(until time.Time) {
	if until.After(p.disturbedUntil) {
		p.disturbedUntil = until
	}
}

// recordStart records that a run of an item begins at a replica, recordEnd that it ends there.
func (p *placementChecker) recordStart(item string) { p.item(item).runs++ }

func (p *placementChecker) recordEnd(now time.Time, item string) {
	placement := p.item(item)
	placement.runs--
	placement.leftAt = now
}

// check checks all open items.
func (p *placementChecker) check(w *World) {
	if !w.steady() {
		p.steadySince = time.Time{}
		return
	}
	if p.steadySince.IsZero() {
		p.steadySince = w.Now
	}
	if w.Now.Sub(p.steadySince) <= maxUnplaced {
		return
	}
	for _, record := range w.check.jobs {
		if record.acceptedAt.IsZero() || !record.endedAt.IsZero() || w.Now.Sub(record.sentAt) >= maxQueue {
			continue
		}
		for _, item := range record.content.Items {
			p.checkItem(w, record, item)
		}
	}
}

func (p *placementChecker) checkItem(w *World, record *jobRecord, item *doorstepv1.BatchItem) {
	placement := p.item(item.Id)
	since := latest(p.steadySince, record.acceptedAt, placement.leftAt)
	if placement.settled || placement.runs > 0 || w.Now.Sub(since) <= maxUnplaced || p.reported[item.Id] {
		return
	}
	p.reported[item.Id] = true
	w.check.reportViolation(w, "items-placed", "%s of %s has been at no replica for %s, with %d runs before", item.Id, record.content.Id, w.Now.Sub(since), record.runCounts[item.Id])
}

func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, one := range times {
		if one.After(last) {
			last = one
		}
	}
	return last
}

// steady reports whether faults ended a while ago, all replicas serve, and they are less than half full.
func (w *World) steady() bool {
	if w.Now.Sub(w.check.placement.disturbedUntil) <= steadyAfter || len(w.check.evacuations.since) > 0 {
		return false
	}
	slots, running, serving := 0, 0, 0
	for _, r := range w.replicas {
		if !r.up {
			continue
		}
		if !r.drainedAt.IsZero() || w.Now.Before(r.cold.until) {
			return false
		}
		serving++
		slots += r.Slots
		running += r.Running()
	}
	return serving == w.options.Replicas && 2*running < slots
}

// settlesOnStart reports whether an item's first run already completes or fails it.
func settlesOnStart(item string) bool {
	return strings.HasPrefix(item, impossibleItem) || strings.HasPrefix(item, failingItem)
}
