package clustersim

import (
	"strings"
	"time"
)

const (
	// poisonItem is the ID prefix and the body of items that crash the replicas that run them.
	poisonItem = "poison"
	// poisonRestartDelay is the time after which a replica crashed by such an item is replaced.
	poisonRestartDelay = 1500 * time.Millisecond
	// crashLimit is the number of crashes after which all nodes must quarantine such an item, within
	// quarantineGracePeriod. maxLateReplicas limits the replicas that it may reach after that.
	// Replicas are counted, not runs: items of two jobs can run at one replica when it crashes, and
	// the nodes that saw the first crashes may have been killed.
	crashLimit            = 3
	quarantineGracePeriod = 3 * time.Second
	maxLateReplicas       = 3
)

func isPoison(item string) bool { return strings.HasPrefix(item, poisonItem) }

// poisonRecord is what was observed of the poison items of one path, which share a fingerprint.
type poisonRecord struct {
	crashes int
	// limitReachedAt is the time of the crash that reached crashLimit.
	limitReachedAt time.Time
	// lateReplicas holds the replicas crashed after the grace period.
	lateReplicas map[string]bool
}

// checkPoisonRun checks a run that crashes its replica.
func (c *checker) checkPoisonRun(w *World, run *itemRun) {
	record := c.poison[run.task.Target]
	if record == nil {
		record = &poisonRecord{lateReplicas: map[string]bool{}}
		c.poison[run.task.Target] = record
	}
	record.crashes++
	if record.crashes == crashLimit {
		record.limitReachedAt = w.Now
	}
	if record.limitReachedAt.IsZero() || w.Now.Sub(record.limitReachedAt) <= quarantineGracePeriod || !run.node.healthy(w.Now) {
		return
	}
	record.lateReplicas[run.replica.ID] = true
	if len(record.lateReplicas) > maxLateReplicas {
		c.reportViolation(w, "crashes-bounded", "%s crashes a replica after %d earlier crashes, %d replicas after the grace period", run.task.Item, record.crashes-1, len(record.lateReplicas))
	}
}
