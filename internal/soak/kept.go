package soak

import (
	"context"
	"fmt"
	"net/http"

	"github.com/doorstep/doorstep/platform/platformtest"
)

// keptCaller sends requests over connections that it keeps open to every node, through planned stops
// and until the process is gone: what a node closes with a request under way is seen here alone.
func (s *Soak) keptCaller(ctx context.Context, number int) {
	random := s.random(uint64(500 + number))
	clients := map[*node]platformtest.Client{}
	for _, n := range s.nodes {
		kept := &http.Transport{DisableCompression: true}
		defer kept.CloseIdleConnections()
		clients[n] = platformtest.Client{Transport: kept}
	}
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("k%d.%d", number, i)
		n := s.pick(random)
		if random.IntN(4) == 0 {
			s.check.AtMostOnce(id)
			s.plainBy(ctx, clients[n], n, homedPath, id)
		} else {
			s.plainBy(ctx, clients[n], n, "/plain/x", id)
		}
		pause(ctx, random, requestPause)
	}
}
