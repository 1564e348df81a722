package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/doorstep/doorstep/internal/connection/upstream"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/quarantine"
	"github.com/doorstep/doorstep/internal/request/access"
	"github.com/doorstep/doorstep/internal/request/relay"
)

// answerBytes bounds an answer that is held whole.
const answerBytes = 64 << 20

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// attempt is one try of a request at a replica.
type attempt struct {
	endpoint *endpoint.Endpoint
	outcome  relay.Outcome
	status   int
	header   http.Header
	body     []byte
	err      error
	// crashed says that the replica was gone right after the attempt broke.
	crashed bool
}

// exchange is one caller's request on its way.
type exchange struct {
	agent   *Agent
	request *http.Request
	route   *port.Route
	caller  access.Caller
	id      string
	body    []byte
	// asked is what the request asks for, the same for each repeat of it.
	asked quarantine.Request
	// onTrial says that the request may be sent to one replica, though it crashed others.
	onTrial bool
	relay   *relay.Relay
	exclude map[string]bool
	// tried names the replicas with the load that was known of them.
	tried []string
	// sendBy is until when the attempt must be sent that was chosen last, zero for any time; comeBack
	// is when a cold replica may be had, 0 if none was the reason that there is no replica.
	sendBy   time.Time
	comeBack time.Duration
	attempts chan *attempt
	launched int
	started  time.Time
}

func (a *Agent) newExchange(r *http.Request, route *port.Route, who access.Caller, id string, body []byte) *exchange {
	now := time.Now()
	wait, _ := a.protocol.Deadline(r.Header)
	call := quarantine.Call{Method: r.Method, Host: r.Host, Target: target(r), Tenant: who.Tenant, Body: body}
	return &exchange{
		agent: a, request: r, route: route, caller: who, id: id, body: body, relay: relay.New(now, route, wait),
		asked:   quarantine.Request{Fingerprint: call.Fingerprint(), Route: route.Name, Tenant: who.Tenant},
		exclude: map[string]bool{}, attempts: make(chan *attempt, max(route.MaxAttempts, 1)), started: a.clock.Now(),
	}
}

// choose chooses a replica for the next attempt, nil if there is none. Where more are being read than are
// known, as none of those may be used, a request with no attempt under way waits for them: another service
// than that of the last requests was asked for, or all that were known have failed.
func (x *exchange) choose() *endpoint.Endpoint {
	chosen, quarantined, more := x.chooseKnown()
	for chosen == nil && more != nil && x.agent.awaitReplicas(x.request.Context(), more) {
		chosen, quarantined, more = x.chooseKnown()
	}
	if chosen == nil && !quarantined && !x.relay.Pending() {
		// A second replica for a request that is slow at the first is not worth the wait for a claim.
		return x.chooseCold()
	}
	return chosen
}

// chooseKnown chooses among the replicas that are known. more is closed once more of them are, and nil if
// that is not worth a wait.
func (x *exchange) chooseKnown() (chosen *endpoint.Endpoint, quarantined bool, more <-chan struct{}) {
	x.agent.do(func(now time.Time) {
		quarantined = x.quarantined(now)
		if quarantined {
			return
		}
		chosen = x.agent.node.Choose(now, x.route, x.caller.Tenant, x.agent.protocol.Model(x.request.Header), x.exclude)
		x.noteChosen(now, chosen)
		if chosen == nil && x.agent.node.AllEvacuated(x.route, x.caller.Tenant) {
			x.relay.RecordEvacuated()
		}
		if chosen == nil && !x.relay.Pending() && x.agent.node.MoreReplicasAwaited() {
			more = x.agent.untilReplicasKnown()
		}
	})
	return chosen, quarantined, more
}

// noteChosen notes the replica that the next attempt goes to, if there is one.
func (x *exchange) noteChosen(now time.Time, chosen *endpoint.Endpoint) {
	if chosen == nil {
		return
	}
	chosen.InFlight++
	chosen.UsedAt = now
	x.sendBy = chosen.SendBy
	x.exclude[chosen.ID] = true
	x.agent.noteSent(sentRequest, chosen.ID)
	x.tried = append(x.tried, fmt.Sprintf("%s(load %d)", chosen.ID, chosen.Load(now)))
}

// wait returns the attempt that ended, or nil at the time given.
func (x *exchange) wait(ctx context.Context, until time.Time) *attempt {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case ended := <-x.attempts:
		x.relay.RecordOutcome(ended.outcome)
		if ended.outcome != relay.Answered && ended.outcome != relay.Errored {
			x.agent.log.add(event.AttemptEnded, "request", x.id, "replica", ended.endpoint.ID, "status", ended.status, "outcome", int(ended.outcome),
				"error", errorText(ended.err), "fingerprint", x.asked.Fingerprint.String(), "crashed", ended.crashed)
		}
		return ended
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// try sends the request to a replica and reads the whole answer.
func (x *exchange) try(ctx context.Context, chosen *endpoint.Endpoint, call *upstream.Call) *attempt {
	startedAt := x.agent.clock.Now()
	ended := x.send(ctx, chosen, call)
	ended.crashed = x.agent.crashed(ctx, ended.endpoint.Address, ended.outcome)
	x.agent.metrics.attempt(ended.outcome)
	x.agent.do(func(now time.Time) {
		chosen.InFlight--
		if running, waiting, _, ok := x.agent.protocol.Load(ended.header); ok {
			chosen.UpdateLoad(now, running, waiting)
		}
		x.account(now, ended, now.Sub(startedAt), ctx.Err() != nil)
		x.noteRun(now, ended)
		x.count(now, startedAt, ended.outcome)
	})
	return ended
}

// count counts a request for its tenant, as of when it was sent, if it began to run as far as
// this node can tell: one that was sent and not turned away did. On its way and in a replica's
// queue it spends milliseconds.
func (x *exchange) count(now, sentAt time.Time, outcome relay.Outcome) {
	switch outcome {
	case relay.Answered, relay.Errored, relay.Broken:
		x.agent.node.CountRequest(now, sentAt, x.caller.Tenant)
	}
}

// countBegun is count for a stream, which is counted as soon as it begins: it may outlast the
// time in which counts are of use.
func (x *exchange) countBegun(sentAt time.Time, outcome relay.Outcome) {
	x.agent.do(func(now time.Time) { x.count(now, sentAt, outcome) })
}

// account tells the endpoint how the attempt fared. An attempt that was cancelled says
// nothing of the replica, unless it was answered.
func (x *exchange) account(now time.Time, ended *attempt, took time.Duration, cancelled bool) {
	if cancelled && ended.outcome != relay.Answered {
		return
	}
	if ended.endpoint.RecordAttempt(now, ended.outcome, took) {
		x.agent.log.add(event.ReplicaEjected, "replica", ended.endpoint.ID, "after_ms", took.Milliseconds())
	}
}

func (x *exchange) send(ctx context.Context, chosen *endpoint.Endpoint, call *upstream.Call) *attempt {
	ended := x.agent.exchangeWhole(ctx, call)
	ended.endpoint = chosen
	return ended
}

// exchangeWhole makes a call and reads its answer to the end.
func (a *Agent) exchangeWhole(ctx context.Context, call *upstream.Call) *attempt {
	ended := &attempt{}
	answer, err := a.upstream.Do(ctx, call)
	if err != nil {
		ended.err = err
		ended.outcome = failedOutcome(err)
		return ended
	}
	defer answer.Close()
	ended.status, ended.header = answer.Status, answer.Header
	ended.body, ended.err = io.ReadAll(io.LimitReader(answer, answerBytes))
	ended.outcome = a.outcome(ended)
	return ended
}

func (x *exchange) call(chosen *endpoint.Endpoint, left time.Duration) *upstream.Call {
	header := x.request.Header.Clone()
	dropConnectionHeaders(header)
	x.agent.mark(header, x.caller)
	x.agent.protocol.Address(header, chosen.ID, left)
	return &upstream.Call{
		Address: chosen.Address, Method: x.request.Method, Target: target(x.request), Host: x.request.Host,
		Header: header, Body: x.body, ID: x.id, IDOf: x.agent.protocol.RequestID, Late: x.agent.lateAfter(x.sendBy),
	}
}

// target returns the path and query as the caller sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// dropConnectionHeaders removes what concerns one connection only, also the fields
// that the Connection field names.
func dropConnectionHeaders(header http.Header) {
	for _, named := range header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		header.Del(name)
	}
}

func failedOutcome(err error) relay.Outcome {
	var failed *upstream.Error
	switch {
	case !errors.As(err, &failed) || failed.Sent:
		return relay.Broken
	case errors.Is(err, syscall.ECONNREFUSED):
		return relay.Refused
	}
	return relay.Unreached
}

// outcome judges an answer. A success that no replica signed is none.
func (a *Agent) outcome(ended *attempt) relay.Outcome {
	switch {
	case a.protocol.NotExecuted(ended.status, ended.header):
		return relay.NotRun
	case ended.err != nil:
		return relay.Broken
	case ended.status < http.StatusMultipleChoices && a.protocol.Signature(ended.header) == "":
		return relay.Broken
	case ended.status >= http.StatusInternalServerError:
		return relay.Errored
	}
	return relay.Answered
}
