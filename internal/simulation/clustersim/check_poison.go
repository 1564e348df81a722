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
	// maxFastCrashes is the number of replicas that an owner may let such an item crash without a delay.
	// Afterwards each run starts at least firstCrashPause after the last crash, which doubles with each crash up to
	// longestCrashPause.
	maxFastCrashes    = 3
	firstCrashPause   = 125 * time.Millisecond
	longestCrashPause = time.Second
)

func isPoison(item string) bool { return strings.HasPrefix(item, poisonItem) }

// poisonRecord is what was observed of a poison item under one incarnation of its owner.
type poisonRecord struct {
	crashes     int
	lastCrashAt time.Time
}

// poisonOwner is a poison item with the incarnation of the node that runs it.
type poisonOwner struct {
	item, node  string
	incarnation uint64
}

// minPause returns the least time between the last crash and the next run.
func (r *poisonRecord) minPause() time.Duration {
	if r.crashes < maxFastCrashes {
		return 0
	}
	pause := firstCrashPause
	for range r.crashes - maxFastCrashes {
		pause = min(2*pause, longestCrashPause)
	}
	return pause
}

// checkPoisonRun checks a run that will crash its replica.
func (c *checker) checkPoisonRun(w *World, run *itemRun) {
	record := c.poison[run.poisonOwner()]
	if record == nil {
		return
	}
	if since, least := w.Now.Sub(record.lastCrashAt), record.minPause(); since < least {
		c.reportViolation(w, "crashes-bounded", "%s runs again %s after its crash number %d, want %s at least", run.task.Item, since, record.crashes, least)
	}
}

// recordCrash records that the owner of a poison item learns of a crash under it.
func (c *checker) recordCrash(now time.Time, run *itemRun) {
	owner := run.poisonOwner()
	record := c.poison[owner]
	if record == nil {
		record = &poisonRecord{}
		c.poison[owner] = record
	}
	record.crashes++
	record.lastCrashAt = now
}

func (run *itemRun) poisonOwner() poisonOwner {
	return poisonOwner{item: run.task.Item, node: run.node.name, incarnation: run.incarnation}
}
