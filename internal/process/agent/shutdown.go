package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// newConnectionTimeout is how long a graceful shutdown waits for the first request on a new connection.
const newConnectionTimeout = 3 * time.Second

// activeConnections tracks the connections on which a request is being read, handled or answered.
type activeConnections struct {
	mu     sync.Mutex
	active map[net.Conn]bool
}

// observe is the ConnState callback of a server.
func (c *activeConnections) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateActive {
		delete(c.active, conn)
		return
	}
	if c.active == nil {
		c.active = map[net.Conn]bool{}
	}
	c.active[conn] = true
}

func (c *activeConnections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

// startShutdown makes the schedule of the graceful shutdown known to requests.
func (a *Agent) startShutdown() {
	a.mu.Lock()
	schedule := a.node.ShutdownSchedule(time.Now())
	a.mu.Unlock()
	a.shutdown.Store(&schedule)
}

// answerAll lets all requests end with an answer, as the node is about to exit. It may be called again.
func (a *Agent) answerAll() {
	if a.answering.Err() != nil {
		return
	}
	schedule := *a.shutdown.Load()
	schedule.AnswerBy = time.Now()
	a.shutdown.Store(&schedule)
	a.endAnswering()
}

// limitToShutdown limits the deadline of a request to that of a stopping node, the zero time for none.
func (a *Agent) limitToShutdown(deadline time.Time) time.Time {
	schedule := a.shutdown.Load()
	if schedule == nil || !deadline.IsZero() && deadline.Before(schedule.AnswerBy) {
		return deadline
	}
	return schedule.AnswerBy
}

// drain closes the listener and the idle connections of a server, and returns a channel that is closed once no request
// is in progress. Pulls of trainers, which may wait for much longer than others, are ended.
func (a *Agent) drain(ctx context.Context, server *http.Server) <-chan struct{} {
	a.cancelPulls()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		shutdown, cancel := context.WithTimeout(ctx, newConnectionTimeout)
		defer cancel()
		if server.Shutdown(shutdown) == nil {
			return
		}
		for a.connections.count() > 0 && ctx.Err() == nil {
			time.Sleep(tickInterval)
		}
	}()
	return drained
}
