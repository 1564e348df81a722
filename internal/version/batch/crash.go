package batch

import (
	"math/rand/v2"
	"net/http"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/quarantine"
)

const (
	// isolateAfter is the number of replicas that crashed under an item after which it runs apart from other such
	// items, pauseAfter the number after which its next run is delayed.
	isolateAfter = 2
	pauseAfter   = 3
	// minCrashPause is the longest first delay, which doubles with each further crash, up to maxPauseDoublings times.
	// The longest delay of 2 s is well below the time after which trainers regard a waiting item as lost.
	minCrashPause     = 250 * time.Millisecond
	maxPauseDoublings = 3
)

// crashHistory tracks the replicas that crashed under the runs of an item or under its scoring calls.
//
// An accepted item is owed to its client, however many replicas crashed under it, so it is never quarantined as a
// caller's request is. The growing delay limits the replicas that it costs if it is the cause after all.
type crashHistory struct {
	crashes int
	retryAt time.Time
}

// record adds a crash. Random delays keep items that crashed together from running together again.
func (c *crashHistory) record(now time.Time, random *rand.Rand) {
	c.crashes++
	if c.crashes < pauseAfter {
		return
	}
	pause := minCrashPause << min(c.crashes-pauseAfter, maxPauseDoublings)
	c.retryAt = now.Add(pause/2 + time.Duration(random.Int64N(int64(pause/2))))
}

// paused reports whether the next run or call is delayed.
func (c *crashHistory) paused(now time.Time) bool { return now.Before(c.retryAt) }

// limited reports whether a single replica at a time may get the item.
func (c *crashHistory) limited() bool { return c.crashes >= pauseAfter }

// runsIsolated reports whether an item should not share a replica with other such items. Isolation keeps items that
// ran beside the cause of the crashes from crashing with it again.
func (it *item) runsIsolated() bool { return it.runCrashes.crashes >= isolateAfter }

// isolationExcludes returns the endpoints that an isolated item should not use because another isolated item runs
// there.
func (o *ownedJob) isolationExcludes(it *item) map[string]bool {
	if !it.runsIsolated() {
		return nil
	}
	taken := make(map[string]bool, len(o.jobs.isolatedRuns))
	for id := range o.jobs.isolatedRuns {
		taken[id] = true
	}
	return taken
}

// isolate registers an isolated item at an endpoint until release is called.
func (o *ownedJob) isolate(it *item, endpoint string) (release func()) {
	if !it.runsIsolated() {
		return func() {}
	}
	isolatedRuns := o.jobs.isolatedRuns
	isolatedRuns[endpoint]++
	return func() {
		if isolatedRuns[endpoint]--; isolatedRuns[endpoint] == 0 {
			delete(isolatedRuns, endpoint)
		}
	}
}

// recordCrash records a replica that crashed while it was processing a request of an item.
func (o *ownedJob) recordCrash(now time.Time, index int, history *crashHistory, request quarantine.Fingerprint, chosen *endpoint.Endpoint) {
	history.record(now, o.jobs.options.Random)
	o.jobs.crashes++
	o.jobs.options.Queue.Log(event.ReplicaCrashed, "job", o.id, "item", o.job.Items[index].Id, "fingerprint", request.String(),
		"replica", chosen.Incarnation(), "route", o.job.Route, "crashes", history.crashes)
}

// Crashes returns the number of replica crashes, counted once for each item or scoring call of this node's jobs on
// the replica.
func (j *Jobs) Crashes() int { return j.crashes }

// itemFingerprint returns the fingerprint of an item's runs. A completed run clears callers' requests with the same
// content.
func (o *ownedJob) itemFingerprint(content *doorstepv1.BatchItem) quarantine.Fingerprint {
	return o.fingerprint(quarantine.Call{Host: o.job.Host, Target: content.Path, Body: content.Body})
}

// scoringFingerprint returns the fingerprint of an item's scoring calls.
func (o *ownedJob) scoringFingerprint(index int) quarantine.Fingerprint {
	call := o.job.Items[index].Scoring
	return o.fingerprint(quarantine.Call{Host: call.Host, Target: call.Path, Body: o.scoringBody(index)})
}

func (o *ownedJob) fingerprint(call quarantine.Call) quarantine.Fingerprint {
	call.Method, call.Tenant = http.MethodPost, o.job.Tenant
	return call.Fingerprint()
}
