package batch

import (
	"strings"
	"time"

	"github.com/doorstep/doorstep/internal/process/event"
)

const (
	// overdueAfter is how long an item waits for a replica before it counts as overdue. It is below the time
	// after which trainers regard an item as lost.
	overdueAfter = 3 * time.Second
	// overdueCheckInterval is the time between two checks of a job for overdue items. A log line names at most
	// maxOverdueNamed of them.
	overdueCheckInterval = 2 * time.Second
	maxOverdueNamed      = 8
)

// WaitReason is the reason for which an item is not running on a replica.
type WaitReason string

// Wait reasons.
const (
	// WaitNoRoute items have no route in the current configuration.
	WaitNoRoute WaitReason = "no route"
	// WaitNotOwned items belong to a job whose owner cannot confirm its ownership or hands it over.
	WaitNotOwned WaitReason = "ownership unconfirmed"
	// WaitUnrecorded items have a failure that is not recorded yet.
	WaitUnrecorded WaitReason = "failure unrecorded"
	// WaitBackoff items are delayed after their last run.
	WaitBackoff WaitReason = "backoff"
	// WaitCrashPause items are delayed after replicas crashed under them.
	WaitCrashPause WaitReason = "crash pause"
	// WaitIsolated items found no replica without another isolated item.
	WaitIsolated WaitReason = "isolated"
	// WaitAvoiding items found no replica other than the one of their last run.
	WaitAvoiding WaitReason = "avoids its last replica"
	// WaitNoReplica items found no eligible replica with capacity.
	WaitNoReplica WaitReason = "no replica with capacity"
)

// WaitReasons lists all wait reasons.
var WaitReasons = []WaitReason{
	WaitNoRoute, WaitNotOwned, WaitUnrecorded, WaitBackoff, WaitCrashPause, WaitIsolated, WaitAvoiding, WaitNoReplica,
}

// placementReason returns the reason for which an item found no endpoint.
func (it *item) placementReason(now time.Time) WaitReason {
	switch {
	case !it.selective(now):
		return WaitNoReplica
	case it.runsIsolated():
		return WaitIsolated
	case it.avoidEndpoint != "":
		return WaitAvoiding
	}
	return WaitNoReplica
}

// waitForAll sets the wait reason of all waiting items.
func (o *ownedJob) waitForAll(reason WaitReason) {
	for i := range o.items {
		if o.items[i].state == itemWaiting {
			o.items[i].waitReason = reason
		}
	}
}

// overdue reports whether an item has been waiting for a replica for too long.
func (it *item) overdue(now time.Time) bool {
	return it.state == itemWaiting && now.Sub(it.waitingSince) >= overdueAfter
}

// logOverdue logs the overdue items of the job by wait reason.
func (o *ownedJob) logOverdue(now time.Time) {
	if now.Sub(o.overdueCheckedAt) < overdueCheckInterval {
		return
	}
	o.overdueCheckedAt = now
	overdue := map[WaitReason][]int{}
	for i := range o.items {
		if o.items[i].overdue(now) {
			reason := o.items[i].waitReason
			overdue[reason] = append(overdue[reason], i)
		}
	}
	for _, reason := range WaitReasons {
		if items := overdue[reason]; len(items) > 0 {
			o.logOverdueItems(now, reason, items)
		}
	}
}

// logOverdueItems logs overdue items that wait for the same reason.
func (o *ownedJob) logOverdueItems(now time.Time, reason WaitReason, items []int) {
	var names []string
	longest := time.Duration(0)
	for _, i := range items {
		longest = max(longest, now.Sub(o.items[i].waitingSince))
		if len(names) < maxOverdueNamed {
			names = append(names, o.job.Items[i].Id)
		}
	}
	o.jobs.options.Queue.Log(event.ItemsOverdue, "job", o.id, "reason", string(reason), "count", len(items),
		"waited_ms", longest.Milliseconds(), "item_ids", strings.Join(names, " "))
}

// OverdueItems returns the number of overdue items of the owned jobs by wait reason.
func (j *Jobs) OverdueItems(now time.Time) map[WaitReason]int {
	counts := map[WaitReason]int{}
	for _, job := range j.owned {
		for i := range job.items {
			if job.items[i].overdue(now) {
				counts[job.items[i].waitReason]++
			}
		}
	}
	return counts
}
