package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

var start = time.Unix(1000, 0)

// step is one input to a request's state and the expected decision.
type step struct {
	at         time.Duration
	launch     bool
	ended      *Outcome
	noEndpoint bool
	// headSent is set if the head of a stream was sent before the attempt ended.
	headSent   bool
	want       Action
	status     int
	retryAfter bool
}

func outcome(o Outcome) *Outcome { return &o }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestRelay(t *testing.T) {
	idempotent := port.Route{Kind: port.RouteIdempotent, MaxAttempts: 2, Timeout: ms(1000)}
	once := port.Route{Kind: port.RouteNonIdempotent, MaxAttempts: 3, Timeout: ms(1000)}
	stream := port.Route{Kind: port.RouteStreaming, Resumable: true, MaxAttempts: 3, Timeout: ms(1000)}
	cases := []struct {
		name  string
		route port.Route
		steps []step
	}{
		{"answered at once", idempotent, []step{
			{want: Launch}, {launch: true, want: Wait}, {at: ms(10), ended: outcome(Answered), want: Deliver},
		}},
		{"no replica", once, []step{
			{want: Launch}, {noEndpoint: true, want: Fail, status: http.StatusServiceUnavailable, retryAfter: true},
		}},
		{"refused for load, then answered", once, []step{
			{want: Launch}, {launch: true, want: Wait}, {at: ms(5), ended: outcome(NotRun), want: Launch},
			{at: ms(5), launch: true, want: Wait}, {at: ms(9), ended: outcome(Answered), want: Deliver},
		}},
		{"refused for load by all replicas", once, []step{
			{launch: true, want: Wait}, {ended: outcome(NotRun), want: Launch}, {launch: true, want: Wait}, {ended: outcome(NotRun), want: Launch},
			{launch: true, want: Wait}, {ended: outcome(NotRun), want: Fail, status: http.StatusServiceUnavailable, retryAfter: true},
		}},
		{"refused connections do not count as attempts", idempotent, []step{
			{launch: true, want: Wait}, {at: ms(1), ended: outcome(Refused), want: Launch},
			{at: ms(1), launch: true, want: Wait}, {at: ms(2), ended: outcome(Refused), want: Launch},
			{at: ms(2), launch: true, want: Wait}, {at: ms(9), ended: outcome(Broken), want: Launch},
			{at: ms(9), launch: true, want: Wait}, {at: ms(12), ended: outcome(Answered), want: Deliver},
		}},
		{"all connections refused", once, []step{
			{launch: true, want: Wait}, {at: ms(1), ended: outcome(Refused), want: Launch},
			{at: ms(1), noEndpoint: true, want: Fail, status: http.StatusServiceUnavailable, retryAfter: true},
		}},
		{"connection timeouts count as attempts", idempotent, []step{
			{launch: true, want: Wait}, {at: ms(1), ended: outcome(Unreached), want: Launch},
			{at: ms(1), launch: true, want: Wait}, {at: ms(2), ended: outcome(Unreached), want: Fail, status: http.StatusServiceUnavailable, retryAfter: true},
		}},
		{"answer lost, not repeatable", once, []step{
			{launch: true, want: Wait}, {at: ms(5), ended: outcome(Broken), want: Fail, status: http.StatusBadGateway},
		}},
		{"answer lost, repeatable", idempotent, []step{
			{launch: true, want: Wait}, {at: ms(5), ended: outcome(Broken), want: Launch},
			{at: ms(5), launch: true, want: Wait}, {at: ms(9), ended: outcome(Broken), want: Fail, status: http.StatusBadGateway},
		}},
		{"answer lost, then refused for load: may have run", idempotent, []step{
			{launch: true, want: Wait}, {ended: outcome(Broken), want: Launch}, {launch: true, want: Wait},
			{ended: outcome(NotRun), want: Fail, status: http.StatusBadGateway},
		}},
		{"slow request is hedged", idempotent, []step{
			{launch: true, want: Wait}, {at: ms(49), want: Wait}, {at: ms(51), want: Launch},
			{at: ms(51), launch: true, want: Wait}, {at: ms(60), ended: outcome(Answered), want: Deliver},
		}},
		{"slow and not repeatable: no hedging", once, []step{
			{launch: true, want: Wait}, {at: ms(500), want: Wait}, {at: ms(1000), want: Fail, status: http.StatusGatewayTimeout},
		}},
		{"error response is delivered if no attempt is left", once, []step{
			{launch: true, want: Wait}, {ended: outcome(Errored), want: Deliver},
		}},
		{"error response, retried on another replica", idempotent, []step{
			{launch: true, want: Wait}, {ended: outcome(Errored), want: Launch}, {launch: true, want: Wait}, {ended: outcome(Errored), want: Deliver},
		}},
		{"error response to a resumed stream, resumed again", stream, []step{
			{launch: true, want: Wait}, {headSent: true, ended: outcome(Broken), want: Launch}, {launch: true, want: Wait},
			{ended: outcome(Errored), want: Launch}, {launch: true, want: Wait}, {ended: outcome(Answered), want: Deliver},
		}},
		{"error responses to a resumed stream are not delivered", stream, []step{
			{launch: true, want: Wait}, {headSent: true, ended: outcome(Broken), want: Launch}, {launch: true, want: Wait},
			{ended: outcome(Errored), want: Launch}, {launch: true, want: Wait}, {ended: outcome(Errored), want: Fail, status: http.StatusBadGateway},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New(start, &c.route, 0, ResponseTime{Mean: ms(25), Longest: ms(50)})
			for i, s := range c.steps {
				now := start.Add(s.at)
				if s.launch {
					r.RecordLaunch(now)
				}
				if s.headSent {
					r.RecordHeadSent()
				}
				if s.ended != nil {
					r.RecordOutcome(*s.ended)
				}
				if s.noEndpoint {
					r.RecordNoEndpoint(now)
				}
				got := r.Next(now)
				if got.Action != s.want || got.Status != s.status || (got.RetryAfter > 0) != s.retryAfter {
					t.Fatalf("step %d: got %+v, want %+v", i, got, s)
				}
				if got.Action == Wait && !got.Until.After(now) {
					t.Fatalf("step %d: waits until %s, which is in the past", i, got.Until)
				}
			}
		})
	}
}

func TestShorterDeadlineApplies(t *testing.T) {
	route := port.Route{Timeout: ms(1000)}
	if got := New(start, &route, ms(300), ResponseTime{}).Remaining(start); got != ms(300) {
		t.Errorf("%s left, want the shorter timeout", got)
	}
	if got := New(start, &route, ms(3000), ResponseTime{}).Remaining(start); got != ms(1000) {
		t.Errorf("%s left, want the shorter timeout", got)
	}
}

// TestAllReplicasEvacuated checks that the failure gives the evacuation as its reason and a longer
// Retry-After, and that a request that may have run is not answered with 503.
func TestAllReplicasEvacuated(t *testing.T) {
	route := port.Route{Kind: port.RouteNonIdempotent, MaxAttempts: 3, Timeout: ms(1000)}
	for _, c := range []struct {
		name   string
		before []Outcome
		status int
		after  time.Duration
	}{
		{"no attempt", nil, http.StatusServiceUnavailable, evacuatedRetryAfter},
		{"after a refusal for load", []Outcome{NotRun}, http.StatusServiceUnavailable, evacuatedRetryAfter},
		{"after a lost answer", []Outcome{NotRun, Broken}, http.StatusBadGateway, 0},
	} {
		r := New(start, &route, 0, ResponseTime{})
		for _, outcome := range c.before {
			r.RecordLaunch(start)
			r.RecordOutcome(outcome)
		}
		r.RecordEvacuated()
		got := r.Next(start)
		if got.Action != Fail || got.Status != c.status || got.RetryAfter != c.after || got.Reason != ReasonEvacuated {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// TestRetryAfterLeavesTimeForTheRetry guards against callers that are told to come back when most of their time, or all
// of it, is over.
func TestRetryAfterLeavesTimeForTheRetry(t *testing.T) {
	route := port.Route{Kind: port.RouteNonIdempotent, MaxAttempts: 1}
	for _, c := range []struct{ wait, refusedAt, want time.Duration }{
		{30 * time.Second, 0, retryAfter},
		{ms(300), 0, ms(150)},
		{ms(300), ms(200), ms(50)},
		{ms(300), ms(300), 0},
	} {
		r := New(start, &route, c.wait, ResponseTime{})
		r.RecordLaunch(start)
		r.RecordOutcome(NotRun)
		got := r.Next(start.Add(c.refusedAt))
		if got.Action != Fail || got.Status != http.StatusServiceUnavailable || got.RetryAfter != c.want {
			t.Errorf("refused after %s of %s: %+v, want to retry after %s", c.refusedAt, c.wait, got, c.want)
		}
	}
}
