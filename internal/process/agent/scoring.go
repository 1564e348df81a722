package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/doorstep/doorstep/internal/connection/upstream"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/request/relay"
)

// callScoring makes one attempt of an item's scoring call. The context ends at its limit.
func (a *Agent) callScoring(ctx context.Context, t task.ScoringCall) {
	header := http.Header{}
	a.protocol.SetRequestID(header, t.Request)
	a.protocol.SetReplicaAndDeadline(header, t.Replica, t.Limit)
	a.mark(header, a.jobCaller(t.Tenant))
	startedAt := time.Now()
	ended := a.exchangeWhole(ctx, &upstream.Call{
		Address: t.Address, Method: http.MethodPost, Target: t.Target, Host: t.Host, Header: header, Body: t.Body,
		ID: t.Request, IDOf: a.protocol.RequestID, Late: a.lateAfter(t.SendBy),
	})
	a.metrics.scoringCall(ended.outcome, time.Since(startedAt))
	result := task.ScoringResult{Outcome: ended.outcome, Status: ended.status, Err: ended.err, Crashed: a.crashed(ctx, t.Address, ended.outcome)}
	if ended.outcome == relay.Answered {
		result.Score = a.protocol.Signature(ended.header)
	}
	a.learnLoad(t.Replica, ended.header)
	a.do(func(now time.Time) {
		if cancel := a.runs[t.ID]; cancel != nil {
			cancel()
			delete(a.runs, t.ID)
		}
		t.Done(now, result)
	})
}
