package clustersim

import (
	"strings"
	"time"
)

const (
	// poisonItem begins the ids of items that crash the replicas that begin them, and is their body.
	poisonItem = "poison"
	// poisonDown is how long a replica is gone that such an item crashed.
	poisonDown = 1500 * time.Millisecond
	// crashesAtFirst is how many replicas such an item may crash before all nodes must know of it,
	// which takes knownWithin; lateRuns bounds its runs after that.
	crashesAtFirst = 3
	knownWithin    = 3 * time.Second
	lateRuns       = 3
)

func isPoison(item string) bool { return strings.HasPrefix(item, poisonItem) }

// poisonRecord is what was seen of the items of one path that crash replicas: they ask for the same.
type poisonRecord struct {
	crashes int
	// limitAt is when the last crash was that nodes need not have stopped.
	limitAt time.Time
	late    int
}

// poisonBegan checks a run that crashes its replica.
func (c *checker) poisonBegan(w *World, one *run) {
	known := c.poison[one.task.Target]
	if known == nil {
		known = &poisonRecord{}
		c.poison[one.task.Target] = known
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
