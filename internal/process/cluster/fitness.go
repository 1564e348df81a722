package cluster

import (
	"time"

	"github.com/doorstep/doorstep/internal/version/batch"
)

// minProcessorShare is the fraction of a core below which a node leaves jobs to others, as it cannot process
// the events of a large job or a large list of replicas in time.
const minProcessorShare = 0.5

// fitness returns how suitable this node is to run another job.
func (n *Node) fitness(now time.Time) batch.Fitness {
	share := n.options.ProcessorShare
	switch {
	case share > 0 && share < minProcessorShare:
		return batch.Slow
	case !n.listIsLarge():
		return batch.Normal
	case n.knowsAllReplicas() && n.jobs.OwnedCount() == 0 && !n.holdsReplicaLease(now):
		return batch.Ready
	}
	return batch.NotReady
}

// listIsLarge reports whether the list of replicas is large enough to be followed only on demand.
func (n *Node) listIsLarge() bool {
	return !n.knowsAllReplicas() || n.endpoints.Len() >= n.options.largeListSize()
}
