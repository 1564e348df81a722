package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/doorstep/doorstep/internal/connection/upstream"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/request/relay"
)

// callScoring makes one attempt at an item's scoring call.
func (a *Agent) callScoring(ctx context.Context, t task.ScoringCall) {
	header := http.Header{}
	a.protocol.SetRequestID(header, t.Request)
	a.protocol.SetReplicaAndDeadline(header, t.Replica, t.Limit)
	a.setTenantHeader(header, a.jobCaller(t.Tenant))
	a.protocol.SetPriority(header, t.Priority)
	startedAt := time.Now()
	buffers := a.newResponseBuffers()
	defer buffers.end()
	ended := a.doBuffered(ctx, &upstream.Call{
		Address: t.Address, Method: http.MethodPost, Target: t.Target, Host: t.Host, Header: header, Body: t.Body,
		ID: t.Request, IDOf: a.protocol.RequestID, DeadlinePassed: a.pastDeadline(t.SendBy),
	}, buffers)
	a.metrics.scoringCall(ended.outcome, time.Since(startedAt))
	result := task.ScoringResult{Outcome: ended.outcome, Status: ended.status, Err: ended.err, Crashed: a.crashed(ctx, t.Address, ended.outcome)}
	if ended.outcome == relay.Answered {
		result.Score = a.protocol.Signature(ended.header)
	}
	a.updateLoad(t.Replica, ended.header)
	a.do(func(now time.Time) {
		if cancel := a.runCancels[t.ID]; cancel != nil {
			cancel()
			delete(a.runCancels, t.ID)
		}
		t.Done(now, result)
	})
}
