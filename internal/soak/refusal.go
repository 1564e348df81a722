package soak

import (
	"context"
	"time"
)

const (
	// refusalStream is the random stream of the refusals of single nodes.
	refusalStream = 900
	// meanRefusalPause is the mean pause between two refusals.
	meanRefusalPause = 9 * time.Second
	// minRefusal and maxRefusal bound how long the store refuses a node. Its jobs are taken over after 1.2 s.
	minRefusal = 1200 * time.Millisecond
	maxRefusal = 3 * time.Second
	// minTextRefusal and maxTextRefusal bound how long it refuses the node's reads of texts afterwards. The other nodes are
	// down meanwhile, so that the node takes their jobs over.
	minTextRefusal = 1600 * time.Millisecond
	maxTextRefusal = 3 * time.Second
	// textKeyPart is a part of the keys of texts.
	textKeyPart = "/t/"
)

// injectRefusals lets the store refuse the calls of one node at a time. Once the node is served again, all others are
// killed and its reads of texts are refused for a while: it gets jobs back without what it stored.
func (s *Soak) injectRefusals(ctx context.Context) {
	random := s.newRand(refusalStream)
	for time.Since(s.startedAt) < s.Duration && ctx.Err() == nil {
		sleepRandom(ctx, random, meanRefusalPause)
		n := s.nodes[random.IntN(len(s.nodes))]
		refusal := minRefusal + time.Duration(random.Int64N(int64(maxRefusal-minRefusal)))
		textRefusal := minTextRefusal + time.Duration(random.Int64N(int64(maxTextRefusal-minTextRefusal)))
		if time.Since(s.startedAt) >= s.Duration || ctx.Err() != nil {
			return
		}
		s.Logf("%6.2f s  store refuses %s for %s, then its reads of texts for %s", time.Since(s.startedAt).Seconds(), n.name, refusal, textRefusal)
		s.refuseNode(ctx, n, refusal, textRefusal)
	}
}

func (s *Soak) refuseNode(ctx context.Context, n *node, refusal, textRefusal time.Duration) {
	s.activeFaults.Add(1)
	defer func() {
		s.markDisturbance()
		s.activeFaults.Add(-1)
	}()
	s.checker.Increment("nodes refused by the store")
	n.gate.Refusing.Store(true)
	sleep(ctx, refusal)
	part := textKeyPart
	n.gate.RefusedReads.Store(&part)
	n.gate.Refusing.Store(false)
	for _, other := range s.nodes {
		if other != n {
			other.process.Kill()
		}
	}
	sleep(ctx, textRefusal)
	n.gate.RefusedReads.Store(nil)
	for _, other := range s.nodes {
		if other != n {
			s.startNode(other)
		}
	}
}
