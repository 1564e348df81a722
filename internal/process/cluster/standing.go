package cluster

import (
	"time"

	"github.com/doorstep/doorstep/internal/version/batch"
)

// slowShare is the part of a core below which a node leaves jobs to others: the streams of 208 items, and the
// list of 10,000 replicas, take a node of 0.192 of a core longer than the items' steps have to spare.
const slowShare = 0.5

// standing returns how fit this node is to run one more job.
func (n *Node) standing(now time.Time) batch.Fitness {
	share := n.options.ProcessorShare
	switch {
	case share > 0 && share < slowShare:
		return batch.Slow
	case !n.listIsLarge():
		return batch.Normal
	case n.listsAll() && n.jobs.Owned() == 0 && !n.leads(now):
		return batch.Ready
	}
	return batch.NotReady
}

// listIsLarge reports whether there are more replicas than nodes follow without use for them.
func (n *Node) listIsLarge() bool {
	return !n.listsAll() || n.endpoints.Len() >= n.options.largeList()
}
