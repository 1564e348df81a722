package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/doorstep/doorstep/platform/platformtest"
)

const (
	// longRequests is the number of long requests that are sent before a graceful shutdown, and longRequestLead how
	// long before.
	longRequests    = 2
	longRequestLead = 100 * time.Millisecond
	// maxLongRequest is the maximum duration of a long request. A replica answers it before the last sixth of the
	// grace period begins, so that it must be answered.
	maxLongRequest = stopTimeout*5/6 - 300*time.Millisecond
	// longRequestDeadline is the deadline of a long request.
	longRequestDeadline = 10 * time.Second
	// longRequestStream is the first random stream of the durations, one for each start of a node.
	longRequestStream = 950
)

// startLongRequests sends requests to a node that is about to be shut down gracefully. They are not idempotent, so that
// no other replica can answer them.
func (s *Soak) startLongRequests(n *node) {
	random := s.newRand(longRequestStream + uint64(n.starts.Load()))
	for i := range longRequests {
		duration := maxLongRequest/2 + time.Duration(random.Int64N(int64(maxLongRequest/2))).Truncate(time.Millisecond)
		go s.sendLongRequest(n, fmt.Sprintf("long.%s.%d.%d", n.name, n.starts.Load(), i), duration)
	}
	time.Sleep(longRequestLead)
}

func (s *Soak) sendLongRequest(n *node, id string, duration time.Duration) {
	undisturbed := s.undisturbedFor() > minUndisturbed
	s.checker.MarkNonIdempotent(id)
	path, body := platformtest.LongPrefix+duration.String(), "body of "+id
	response := platformtest.Client{}.Send(context.Background(), platformtest.Call{
		Address: n.address, Method: http.MethodPost, Path: path, ID: id, Key: permanentKey, Body: []byte(body), Deadline: longRequestDeadline,
	})
	s.checker.RecordResponse(id, fmt.Sprintf("POST %s %s", path, body), response)
	if response.Err == nil {
		s.checker.Increment("long requests answered during a graceful shutdown")
	}
	s.checkInterruption(n, id, response, undisturbed)
}
