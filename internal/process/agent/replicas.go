package agent

import (
	"context"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// replicaListTimeout bounds how long a request waits for its service's replicas to be read. After that
// the node uses the replicas it knows.
const replicaListTimeout = 400 * time.Millisecond

// followReplicas keeps the replicas of a route's services up to date until end is called, and waits until
// some are known.
func (a *Agent) followReplicas(ctx context.Context, route *port.Route) (end func()) {
	var known <-chan struct{}
	a.do(func(now time.Time) {
		if a.node.BeginRequest(now, route) {
			known = a.replicasKnownChannel()
		}
	})
	if known != nil {
		a.awaitReplicas(ctx, known)
	}
	return func() { a.do(a.node.EndRequest) }
}

// replicasKnownChannel returns a channel that is closed once replicas have been read. The caller must hold the lock.
func (a *Agent) replicasKnownChannel() <-chan struct{} {
	if a.replicasKnown == nil {
		a.replicasKnown = make(chan struct{})
	}
	return a.replicasKnown
}

// awaitReplicas reports whether replicas were read before the timeout.
func (a *Agent) awaitReplicas(ctx context.Context, known <-chan struct{}) bool {
	ctx, cancel := context.WithTimeout(ctx, replicaListTimeout)
	defer cancel()
	select {
	case <-known:
		return true
	case <-ctx.Done():
		return false
	}
}
