package agent

import (
	"context"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// replicaWait bounds how long a request waits for the replicas of its service to be read. The store takes
// 4 ms for that, some 250 ms where it is slow; a node that it does not answer serves with what it knows.
const replicaWait = 400 * time.Millisecond

// useReplicas lets the node follow replicas of a route's services until the function that it returns is
// called, and waits until some are known.
func (a *Agent) useReplicas(ctx context.Context, route *port.Route) (end func()) {
	var known <-chan struct{}
	a.do(func(now time.Time) {
		if a.node.BeginRequest(now, route) {
			known = a.untilReplicasKnown()
		}
	})
	if known != nil {
		a.awaitReplicas(ctx, known)
	}
	return func() { a.do(a.node.EndRequest) }
}

// untilReplicasKnown returns what is closed once replicas were read. It is called under the lock.
func (a *Agent) untilReplicasKnown() <-chan struct{} {
	if a.replicasKnown == nil {
		a.replicasKnown = make(chan struct{})
	}
	return a.replicasKnown
}

// awaitReplicas reports whether replicas were read before the time for it was over.
func (a *Agent) awaitReplicas(ctx context.Context, known <-chan struct{}) bool {
	ctx, cancel := context.WithTimeout(ctx, replicaWait)
	defer cancel()
	select {
	case <-known:
		return true
	case <-ctx.Done():
		return false
	}
}
