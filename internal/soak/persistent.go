package soak

import (
	"context"
	"fmt"
	"net/http"

	"github.com/doorstep/doorstep/platform/platformtest"
)

// persistentCaller sends requests over persistent connections to every node, including nodes that are
// shutting down. Only such connections show whether a node closes a connection with a pending request.
func (s *Soak) persistentCaller(ctx context.Context, number int) {
	random := s.newRand(uint64(500 + number))
	clients := map[*node]platformtest.Client{}
	for _, n := range s.nodes {
		transport := &http.Transport{DisableCompression: true}
		defer transport.CloseIdleConnections()
		clients[n] = platformtest.Client{Transport: transport}
	}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("k%d.%d", number, i)
		n := s.randomNode(random)
		if random.IntN(4) == 0 {
			s.checker.MarkNonIdempotent(id)
			s.sendPlainWith(ctx, clients[n], n, restrictedPath, id)
		} else {
			s.sendPlainWith(ctx, clients[n], n, "/plain/x", id)
		}
		sleepRandom(ctx, random, meanRequestPause)
	}
}
