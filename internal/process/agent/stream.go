package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/doorstep/doorstep/internal/connection/upstream"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/request/relay"
)

// eventStream is the media type of server-sent events.
const eventStream = "text/event-stream"

// relayedStream is a streaming response that is relayed event by event.
type relayedStream struct {
	*exchange
	writer     http.ResponseWriter
	control    *http.ResponseController
	headerSent bool
	// delivered is set once the client has received a complete response.
	delivered bool
	// status is the status of the latest replica response.
	status int
	last   int64
	// clientGone is set once a write to the client fails.
	clientGone bool
}

// forwardStream relays an event stream, resuming at another replica if the route allows it.
// The response headers are those of the first replica.
func (a *Agent) forwardStream(w http.ResponseWriter, x *exchange) {
	if !x.mayForward(w) {
		return
	}
	s := &relayedStream{exchange: x, writer: w, control: http.NewResponseController(w)}
	s.last, _ = strconv.ParseInt(a.protocol.LastEvent(x.header), 10, 64)
	defer x.buffers.end()
	clientCtx := x.request.Context()
	defer a.followReplicas(clientCtx, x.route)()
	ctx, cancel := context.WithDeadline(clientCtx, s.relay.Deadline())
	defer cancel()
	defer context.AfterFunc(a.answering, cancel)()
	for {
		now := time.Now()
		decision := s.next(now)
		switch decision.Action {
		case relay.Launch:
			s.attempt(ctx, now)
		case relay.Deliver:
			if !s.delivered {
				s.fail(relay.Decision{Status: http.StatusBadGateway, Reason: relay.ReasonNoAttempt})
			}
			return
		case relay.Fail, relay.Wait:
			s.fail(decision)
			return
		}
		if !s.delivered && (s.clientGone || clientCtx.Err() != nil) {
			s.abort()
		}
	}
}

// fail ends the response: with an error status if nothing was sent yet, or else by aborting
// the connection, so that the stream does not look complete.
func (s *relayedStream) fail(decision relay.Decision) {
	if !s.headerSent {
		decision = s.coldRefusal(decision)
		s.agent.refuse(s.writer, s.id, decision.Status, decision.RetryAfter, decision.Reason)
		return
	}
	s.agent.log.add(event.RequestRefused, "request", s.id, "reason", "stream interrupted: "+decision.Reason, "last_event", s.last)
	s.abort()
}

// abort ends the response so that it does not look complete. Without chunks an orderly end of the connection would
// complete it, so that the connection is reset.
func (s *relayedStream) abort() {
	if s.headerSent && !s.request.ProtoAtLeast(1, 1) {
		if err := resetConnection(s.control); err != nil {
			s.agent.log.add(event.RequestRefused, "request", s.id, "reason", "the connection can't be reset", "error", err.Error())
		}
	}
	abortResponse()
}

// resetConnection resets the connection of a response.
func resetConnection(control *http.ResponseController) error {
	conn, _, err := control.Hijack()
	if err != nil {
		return err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		err = tcp.SetLinger(0)
	}
	return errors.Join(err, conn.Close())
}

func (s *relayedStream) attempt(ctx context.Context, now time.Time) {
	chosen := s.choose()
	if chosen == nil {
		s.relay.RecordNoEndpoint(now)
		return
	}
	s.relay.RecordLaunch(now)
	s.launched++
	outcome, err := s.relayFrom(ctx, chosen)
	ended := &attempt{endpoint: chosen, outcome: outcome, status: s.status, err: err, crashed: s.agent.crashed(ctx, chosen.Address, outcome)}
	s.relay.RecordOutcome(outcome)
	s.agent.metrics.attempt(outcome)
	s.agent.do(func(now time.Time) {
		chosen.InFlight--
		s.recordAttempt(now, ended, now.Sub(s.started), ctx.Err() != nil)
		if outcome == relay.Answered {
			s.agent.node.ResponseTimes().Record(s.route.Name, now.Sub(s.started))
		}
		s.reportToQuarantine(now, ended)
	})
	if outcome != relay.Answered {
		s.agent.log.add(event.AttemptEnded, "request", s.id, "replica", chosen.ID, "outcome", int(outcome), "error", errorText(err),
			"last_event", s.last, "fingerprint", s.identity.Fingerprint.String(), "crashed", ended.crashed)
	}
}

// relayFrom sends the request to a replica and relays its events.
func (s *relayedStream) relayFrom(ctx context.Context, chosen *endpoint.Endpoint) (relay.Outcome, error) {
	call := s.newCall(chosen, s.relay.Remaining(time.Now()))
	if s.headerSent {
		s.agent.protocol.SetLastEvent(call.Header, strconv.FormatInt(s.last, 10))
	}
	sentAt := s.agent.clock.Now()
	answer, err := s.agent.upstream.Do(ctx, call)
	if err != nil {
		s.countStarted(sentAt, errorOutcome(err))
		return errorOutcome(err), err
	}
	defer answer.Close()
	s.status = answer.Status
	if !s.agent.protocol.NotExecuted(answer.Status, answer.Header) {
		s.countStarted(sentAt, relay.Answered)
	}
	if !isEventStream(answer) {
		return s.relayBuffered(chosen, answer)
	}
	if s.agent.protocol.Signature(answer.Header) == "" {
		return relay.Broken, errUnsigned
	}
	s.writeHeader(answer)
	return s.relayEvents(answer)
}

// isEventStream reports whether an answer is a successful stream of events.
func isEventStream(answer *upstream.Answer) bool {
	return answer.Status == http.StatusOK && strings.HasPrefix(answer.Header.Get("Content-Type"), eventStream)
}

// relayBuffered relays a response that is not an event stream. Once events were sent it is a failed attempt, whatever
// its status, as it does not continue them.
func (s *relayedStream) relayBuffered(chosen *endpoint.Endpoint, answer *upstream.Answer) (relay.Outcome, error) {
	ended := &attempt{endpoint: chosen, status: answer.Status, header: answer.Header}
	ended.body, ended.err = s.buffers.read(answer)
	ended.outcome = s.agent.responseOutcome(ended)
	if s.headerSent && ended.outcome == relay.Answered {
		return relay.Broken, errNotContinued
	}
	if ended.outcome == relay.NotRun || ended.outcome == relay.Broken || s.headerSent {
		return ended.outcome, ended.err
	}
	s.deliver(s.writer, ended)
	s.delivered = true
	return relay.Answered, nil
}

func (s *relayedStream) writeHeader(answer *upstream.Answer) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.relay.RecordHeadSent()
	copyResponseHeaders(s.writer.Header(), answer.Header)
	s.writer.WriteHeader(answer.Status)
	_ = s.control.Flush()
}

func (s *relayedStream) relayEvents(answer *upstream.Answer) (relay.Outcome, error) {
	events := s.agent.protocol.NewEventReader(answer)
	for {
		received, err := events.Next()
		if errors.Is(err, io.EOF) {
			s.agent.log.add(event.RequestAnswered, "request", s.id, "status", answer.Status, "attempts", s.launched,
				"took_ms", s.agent.since(s.started).Milliseconds(), "last_event", s.last)
			s.agent.metrics.answer(s.route, answer.Status, s.agent.since(s.started))
			s.delivered = true
			return relay.Answered, nil
		}
		if err != nil {
			return relay.Broken, err
		}
		if s.last > 0 && received.ID != s.last+1 {
			return relay.Broken, errEventGap
		}
		if _, err := io.WriteString(s.writer, received.Raw); err != nil || s.control.Flush() != nil {
			s.clientGone = true
			return relay.Broken, err
		}
		s.last = received.ID
	}
}

var (
	// errEventGap reports event IDs that are not consecutive.
	errEventGap = errors.New("event IDs are not consecutive")
	// errUnsigned reports an event stream without the replica's signature.
	errUnsigned = errors.New("the event stream is not signed")
	// errNotContinued reports an answer that does not continue an event stream.
	errNotContinued = errors.New("the answer does not continue the event stream")
)
