package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/doorstep/doorstep/internal/connection/upstream"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/cluster"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/quarantine"
	"github.com/doorstep/doorstep/internal/request/access"
	"github.com/doorstep/doorstep/internal/request/relay"
)

// attempt is the result of sending a request to one replica.
type attempt struct {
	endpoint *endpoint.Endpoint
	outcome  relay.Outcome
	status   int
	header   http.Header
	body     []byte
	err      error
	// crashed reports that the replica stopped listening right after the attempt broke.
	crashed bool
}

// exchange is a client request in progress.
type exchange struct {
	agent   *Agent
	request *http.Request
	// header is that of the request without the fields that concern the caller's connection.
	header http.Header
	route  *port.Route
	caller access.Caller
	id     string
	body   []byte
	// identity identifies the request to the quarantine; it is the same for each retry.
	identity quarantine.Request
	// onTrial permits a quarantined request to be sent to one replica.
	onTrial bool
	relay   *relay.Relay
	exclude map[string]bool
	// tried lists the replicas attempted, with their known load.
	tried []string
	// sendBy is the deadline for sending the latest attempt; zero for none. retryAfter is when a cold
	// replica may become available; 0 if cold replicas did not prevent an attempt.
	sendBy     time.Time
	retryAfter time.Duration
	attempts   chan *attempt
	buffers    *responseBuffers
	launched   int
	started    time.Time
}

// newExchange returns the exchange of a request. The caller's time counts from its arrival, before its body was read.
func (a *Agent) newExchange(r *http.Request, arrivedAt time.Time, route *port.Route, caller access.Caller, id string, body []byte) *exchange {
	timeout, _ := a.protocol.Deadline(r.Header)
	header := r.Header.Clone()
	dropConnectionHeaders(header)
	a.mu.Lock()
	expected := a.node.ResponseTimes().Of(route.Name)
	a.mu.Unlock()
	call := quarantine.Call{Method: r.Method, Host: r.Host, Target: target(r), Tenant: caller.Tenant, Body: body}
	return &exchange{
		agent: a, request: r, header: header, route: route, caller: caller, id: id, body: body, relay: relay.New(arrivedAt, route, timeout, expected),
		identity: quarantine.Request{Fingerprint: call.Fingerprint(), Route: route.Name, Tenant: caller.Tenant},
		buffers:  a.newResponseBuffers(),
		exclude:  map[string]bool{}, attempts: make(chan *attempt, max(route.MaxAttempts, 1)), started: a.clock.Now(),
	}
}

// choose returns a replica for the next attempt, or nil if there is none. A request with no attempt in
// flight waits while more replicas are being read and none of the known ones is usable.
func (x *exchange) choose() *endpoint.Endpoint {
	chosen, quarantined, more := x.chooseKnown()
	for chosen == nil && more != nil && x.agent.awaitReplicas(x.request.Context(), more) {
		chosen, quarantined, more = x.chooseKnown()
	}
	if chosen == nil && !quarantined && !x.relay.Pending() {
		// A hedged attempt does not wait for a claim on a cold replica.
		return x.chooseCold()
	}
	return chosen
}

// chooseKnown chooses among the known replicas. more is closed once further replicas have been read; nil
// if the caller should not wait for them.
func (x *exchange) chooseKnown() (chosen *endpoint.Endpoint, quarantined bool, more <-chan struct{}) {
	x.agent.do(func(now time.Time) {
		quarantined = x.quarantined(now)
		if quarantined {
			return
		}
		chosen = x.agent.node.Choose(now, x.route, x.caller.Tenant, x.agent.protocol.Model(x.header), cluster.Attempt{
			Exclude: x.exclude, Hedge: x.relay.Pending(),
		})
		x.recordChoice(now, chosen)
		if chosen == nil && x.agent.node.AllEvacuated(x.route, x.caller.Tenant) {
			x.relay.RecordEvacuated()
		}
		if chosen == nil && !x.relay.Pending() && x.agent.node.LoadingMoreReplicas() {
			more = x.agent.replicasKnownChannel()
		}
	})
	return chosen, quarantined, more
}

// recordChoice records the replica chosen for the next attempt, if any.
func (x *exchange) recordChoice(now time.Time, chosen *endpoint.Endpoint) {
	if chosen == nil {
		return
	}
	chosen.InFlight++
	chosen.UsedAt = now
	x.sendBy = chosen.SendBy
	x.exclude[chosen.ID] = true
	x.agent.countCrossRegion(sentRequest, chosen.ID)
	x.tried = append(x.tried, fmt.Sprintf("%s(load %d)", chosen.ID, chosen.Load(now)))
}

// wait returns the next attempt to end, or nil if none does by until, before ctx ends, or before the node must answer.
func (x *exchange) wait(ctx context.Context, until time.Time) *attempt {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case ended := <-x.attempts:
		return x.recordEnded(ended)
	case <-timer.C:
	case <-ctx.Done():
	case <-x.agent.answering.Done():
	}
	select {
	case ended := <-x.attempts:
		return x.recordEnded(ended)
	default:
		return nil
	}
}

// recordEnded records the outcome of an attempt and returns the attempt.
func (x *exchange) recordEnded(ended *attempt) *attempt {
	x.relay.RecordOutcome(ended.outcome)
	if ended.outcome != relay.Answered && ended.outcome != relay.Errored {
		x.agent.log.add(event.AttemptEnded, "request", x.id, "replica", ended.endpoint.ID, "status", ended.status, "outcome", int(ended.outcome),
			"error", errorText(ended.err), "fingerprint", x.identity.Fingerprint.String(), "crashed", ended.crashed)
	}
	return ended
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// try sends the request to a replica and reads the full response.
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
		x.recordAttempt(now, ended, now.Sub(startedAt), ctx.Err() != nil)
		if ended.outcome == relay.Answered {
			x.agent.node.ResponseTimes().Record(x.route.Name, now.Sub(startedAt))
		}
		x.reportToQuarantine(now, ended)
		x.countRequest(now, startedAt, ended.outcome)
	})
	return ended
}

// countRequest adds a request to its tenant's usage, as of the time it was sent, if it may have
// started to run: it was sent and not rejected.
func (x *exchange) countRequest(now, sentAt time.Time, outcome relay.Outcome) {
	switch outcome {
	case relay.Answered, relay.Errored, relay.Broken:
		x.agent.node.CountRequest(now, sentAt, x.caller.Tenant)
	}
}

// countStarted is countRequest for a stream, which is counted when it starts: by the time it ends,
// its usage may be too old to report.
func (x *exchange) countStarted(sentAt time.Time, outcome relay.Outcome) {
	x.agent.do(func(now time.Time) { x.countRequest(now, sentAt, outcome) })
}

// recordAttempt updates the endpoint's health with the attempt's outcome. A cancelled attempt is
// ignored unless it was answered.
func (x *exchange) recordAttempt(now time.Time, ended *attempt, took time.Duration, cancelled bool) {
	if cancelled && ended.outcome != relay.Answered {
		return
	}
	if ended.endpoint.RecordAttempt(now, ended.outcome, took) {
		x.agent.log.add(event.ReplicaEjected, "replica", ended.endpoint.ID, "after_ms", took.Milliseconds())
	}
}

func (x *exchange) send(ctx context.Context, chosen *endpoint.Endpoint, call *upstream.Call) *attempt {
	ended := x.agent.doBuffered(ctx, call, x.buffers)
	ended.endpoint = chosen
	return ended
}

// doBuffered makes a call and reads the full response.
func (a *Agent) doBuffered(ctx context.Context, call *upstream.Call, buffers *responseBuffers) *attempt {
	ended := &attempt{}
	answer, err := a.upstream.Do(ctx, call)
	if err != nil {
		ended.err = err
		ended.outcome = errorOutcome(err)
		return ended
	}
	defer answer.Close()
	ended.status, ended.header = answer.Status, answer.Header
	ended.body, ended.err = buffers.read(answer)
	ended.outcome = a.responseOutcome(ended)
	return ended
}

func (x *exchange) newCall(chosen *endpoint.Endpoint, left time.Duration) *upstream.Call {
	header := x.header.Clone()
	x.agent.protocol.SetRequestID(header, x.id)
	x.agent.setTenantHeader(header, x.caller)
	x.agent.protocol.SetReplicaAndDeadline(header, chosen.ID, left)
	x.agent.protocol.SetPriority(header, x.route.Priority)
	return &upstream.Call{
		Address: chosen.Address, Method: x.request.Method, Target: target(x.request), Host: x.request.Host,
		Header: header, Body: x.body, ID: x.id, IDOf: x.agent.protocol.RequestID, DeadlinePassed: x.agent.pastDeadline(x.sendBy),
	}
}

// target returns the path and query as the client sent them.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func errorOutcome(err error) relay.Outcome {
	var failed *upstream.Error
	switch {
	case !errors.As(err, &failed) || failed.Sent:
		return relay.Broken
	case errors.Is(err, syscall.ECONNREFUSED):
		return relay.Refused
	}
	return relay.Unreached
}

// responseOutcome classifies a response. A successful response without a signature counts as broken.
func (a *Agent) responseOutcome(ended *attempt) relay.Outcome {
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
