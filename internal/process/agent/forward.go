package agent

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/request/relay"
)

// forward relays a request whose response is buffered.
func (a *Agent) forward(w http.ResponseWriter, x *exchange) {
	if !x.mayForward(w) {
		return
	}
	defer x.buffers.end()
	clientCtx := x.request.Context()
	defer x.agent.followReplicas(clientCtx, x.route)()
	ctx, cancel := context.WithDeadline(clientCtx, x.relay.Deadline())
	defer cancel()
	var last *attempt
	for {
		now := time.Now()
		decision := x.next(now)
		switch decision.Action {
		case relay.Launch:
			x.launch(ctx, now)
		case relay.Wait:
			ended := x.wait(clientCtx, decision.Until)
			if clientCtx.Err() != nil {
				a.log.add(event.RequestRefused, "request", x.id, "reason", "client disconnected")
				abortResponse()
			}
			if ended != nil && (ended.outcome == relay.Answered || ended.outcome == relay.Errored) {
				last = ended
			}
		case relay.Deliver:
			x.deliver(w, last)
			return
		case relay.Fail:
			decision = x.coldRefusal(decision)
			a.refuse(w, x.id, decision.Status, decision.RetryAfter, decision.Reason, "attempts", x.launched, "attempts_allowed", x.route.MaxAttempts,
				"replicas", strings.Join(x.tried, " "), "held_ms", x.agent.since(x.started).Milliseconds(), "route", x.route.Name)
			return
		}
	}
}

// next returns the next step of the request.
func (x *exchange) next(now time.Time) relay.Decision {
	if shutdown := x.agent.shutdown.Load(); shutdown != nil {
		x.relay.SetShutdown(*shutdown)
	}
	return x.relay.Next(now)
}

// abortResponse ends the handler of a request without a complete response. A handler that returns without having
// written anything, or in the middle of a stream, would send one that looks complete. A client that has closed only the
// sending direction of its connection still reads it.
func abortResponse() { panic(http.ErrAbortHandler) }

// launch starts the next attempt if a replica is available.
func (x *exchange) launch(ctx context.Context, now time.Time) {
	chosen := x.choose()
	if chosen == nil {
		x.relay.RecordNoEndpoint(now)
		return
	}
	x.relay.RecordLaunch(now)
	x.launched++
	call := x.newCall(chosen, x.relay.Remaining(now))
	go func() { x.attempts <- x.try(ctx, chosen, call) }()
}

// deliver writes a replica's buffered response to the client.
func (x *exchange) deliver(w http.ResponseWriter, ended *attempt) {
	copyResponseHeaders(w.Header(), ended.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(ended.body)))
	w.WriteHeader(ended.status)
	_, _ = w.Write(ended.body)
	took := x.agent.since(x.started)
	x.agent.metrics.answer(x.route, ended.status, took)
	x.agent.log.add(event.RequestAnswered, "request", x.id, "replica", ended.endpoint.ID, "region", ended.endpoint.Region, "status", ended.status,
		"attempts", x.launched, "replicas", strings.Join(x.tried, " "), "took_ms", took.Milliseconds(), "route", x.route.Name)
}

func copyResponseHeaders(to, from http.Header) {
	kept := from.Clone()
	dropConnectionHeaders(kept)
	for name, values := range kept {
		to[name] = values
	}
}
