package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/doorstep/doorstep/internal/connection/upstream"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/request/relay"
)

// eventStream is the content type of a series of events.
const eventStream = "text/event-stream"

// relayedStream is the answer to a caller that is passed on event by event.
type relayedStream struct {
	*exchange
	writer  http.ResponseWriter
	control *http.ResponseController
	begun   bool
	// status is that of the last replica's answer.
	status int
	last   int64
	// gone is set once the caller can't be written to.
	gone bool
}

// forwardStream relays a series of events, which may be continued at another replica
// where the route allows it. The head is that of the first replica.
func (a *Agent) forwardStream(w http.ResponseWriter, x *exchange) {
	if !x.letThrough(w) {
		return
	}
	s := &relayedStream{exchange: x, writer: w, control: http.NewResponseController(w)}
	s.last, _ = strconv.ParseInt(a.protocol.LastEvent(x.request.Header), 10, 64)
	leaving := x.request.Context()
	defer a.useReplicas(leaving, x.route)()
	ctx, cancel := context.WithDeadline(leaving, s.relay.Deadline())
	defer cancel()
	for {
		now := time.Now()
		decision := s.relay.Next(now)
		switch decision.Action {
		case relay.Launch:
			s.attempt(ctx, now)
		case relay.Deliver:
			return
		case relay.Fail, relay.Wait:
			s.fail(decision)
			return
		}
		if s.gone || leaving.Err() != nil {
			return
		}
	}
}

// fail ends the answer: with a status if nothing was sent yet, else by breaking it
// off, so that it doesn't look complete.
func (s *relayedStream) fail(decision relay.Decision) {
	if !s.begun {
		decision = s.coldRefusal(decision)
		s.agent.refuse(s.writer, s.id, decision.Status, decision.RetryAfter, decision.Reason)
		return
	}
	s.agent.log.add(event.RequestRefused, "request", s.id, "reason", "the stream broke: "+decision.Reason, "last_event", s.last)
	panic(http.ErrAbortHandler)
}

func (s *relayedStream) attempt(ctx context.Context, now time.Time) {
	chosen := s.choose()
	if chosen == nil {
		s.relay.RecordNoEndpoint()
		return
	}
	s.relay.RecordLaunch(now)
	s.launched++
	outcome, err := s.pass(ctx, chosen)
	ended := &attempt{endpoint: chosen, outcome: outcome, status: s.status, err: err, crashed: s.agent.crashed(ctx, chosen.Address, outcome)}
	s.relay.RecordOutcome(outcome)
	s.agent.metrics.attempt(outcome)
	s.agent.do(func(now time.Time) {
		chosen.InFlight--
		s.account(now, ended, now.Sub(s.started), ctx.Err() != nil)
		s.noteRun(now, ended)
	})
	if outcome != relay.Answered {
		s.agent.log.add(event.AttemptEnded, "request", s.id, "replica", chosen.ID, "outcome", int(outcome), "error", errorText(err),
			"last_event", s.last, "fingerprint", s.asked.Fingerprint.String(), "crashed", ended.crashed)
	}
}

// pass sends the request to a replica and passes its events on.
func (s *relayedStream) pass(ctx context.Context, chosen *endpoint.Endpoint) (relay.Outcome, error) {
	call := s.call(chosen, s.relay.Remaining(time.Now()))
	if s.begun {
		s.agent.protocol.Resume(call.Header, strconv.FormatInt(s.last, 10))
	}
	sentAt := s.agent.clock.Now()
	answer, err := s.agent.upstream.Do(ctx, call)
	if err != nil {
		s.countBegun(sentAt, failedOutcome(err))
		return failedOutcome(err), err
	}
	defer answer.Close()
	s.status = answer.Status
	if !s.agent.protocol.NotExecuted(answer.Status, answer.Header) {
		s.countBegun(sentAt, relay.Answered)
	}
	if answer.Status != http.StatusOK || !strings.HasPrefix(answer.Header.Get("Content-Type"), eventStream) {
		return s.passWhole(chosen, answer)
	}
	s.begin(answer)
	return s.passEvents(answer)
}

// passWhole passes an answer on that is no stream, unless events were sent before.
func (s *relayedStream) passWhole(chosen *endpoint.Endpoint, answer *upstream.Answer) (relay.Outcome, error) {
	ended := &attempt{endpoint: chosen, status: answer.Status, header: answer.Header}
	ended.body, ended.err = io.ReadAll(io.LimitReader(answer, answerBytes))
	ended.outcome = s.agent.outcome(ended)
	if ended.outcome == relay.NotRun || ended.outcome == relay.Broken || s.begun {
		return ended.outcome, ended.err
	}
	s.deliver(s.writer, ended)
	return relay.Answered, nil
}

func (s *relayedStream) begin(answer *upstream.Answer) {
	if s.begun {
		return
	}
	s.begun = true
	copyAnswerHeaders(s.writer.Header(), answer.Header)
	s.writer.WriteHeader(answer.Status)
	_ = s.control.Flush()
}

func (s *relayedStream) passEvents(answer *upstream.Answer) (relay.Outcome, error) {
	events := s.agent.protocol.NewEventReader(answer)
	for {
		one, err := events.Next()
		if errors.Is(err, io.EOF) {
			s.agent.log.add(event.RequestAnswered, "request", s.id, "status", answer.Status, "attempts", s.launched,
				"took_ms", s.agent.since(s.started).Milliseconds(), "last_event", s.last)
			s.agent.metrics.answer(s.route, answer.Status, s.agent.since(s.started))
			return relay.Answered, nil
		}
		if err != nil {
			return relay.Broken, err
		}
		if s.last > 0 && one.ID != s.last+1 {
			return relay.Broken, errEventMissing
		}
		if _, err := io.WriteString(s.writer, one.Raw); err != nil || s.control.Flush() != nil {
			s.gone = true
			return relay.Broken, err
		}
		s.last = one.ID
	}
}

// errEventMissing says that a replica's events do not follow one another.
var errEventMissing = errors.New("an event is missing or stands twice")
