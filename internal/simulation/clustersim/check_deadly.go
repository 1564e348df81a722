package clustersim

import (
	"strings"
	"time"
)

const (
	// deadlyItem begins the ids of items that crash the replicas that begin them, and is their body.
	deadlyItem = "deadly"
	// deadlyDown is how long a replica is gone that such an item crashed.
	deadlyDown = 1500 * time.Millisecond
	// crashesAtFirst is how many replicas such an item may crash before all nodes must know of it,
	// which takes knownWithin; lateRuns bounds its runs after that.
	crashesAtFirst = 3
	knownWithin    = 3 * time.Second
	lateRuns       = 3
)

func isDeadly(item string) bool { return strings.HasPrefix(item, deadlyItem) }

// deadlyRecord is what was seen of the items of one path that crash replicas: they ask for the same.
type deadlyRecord struct {
	crashes int
	// limitAt is when the last crash was that nodes need not have stopped.
	limitAt time.Time
	late    int
}

// deadlyBegan checks a run that crashes its replica.
func (c *checker) deadlyBegan(w *World, one *run) {
	known := c.deadly[one.task.Target]
	if known == nil {
		known = &deadlyRecord{}
		c.deadly[one.task.Target] = known
	}
	known.crashes++
	if known.crashes == crashesAtFirst {
		known.limitAt = w.Now
	}
	if known.limitAt.IsZero() || w.Now.Sub(known.limitAt) <= knownWithin || !one.node.healthy(w.Now) {
		return
	}
	known.late++
	if known.late > lateRuns {
		c.violate(w, "crashes-bounded", "%s crashes replicas after it had crashed %d, %d times by nodes that must know it", one.task.Item, known.crashes-1, known.late)
	}
}
