package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

var start = time.Unix(1000, 0)

// happening is one input of a request's life, at a time since its start.
type happening struct {
	at       time.Duration
	launch   bool
	ended    *Outcome
	nobody   bool
	want     Action
	status   int
	comeBack bool
}

func outcome(o Outcome) *Outcome { return &o }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestRelay(t *testing.T) {
	idempotent := port.Route{Kind: port.RouteIdempotent, MaxAttempts: 2, Timeout: ms(1000), Objective: ms(100)}
	once := port.Route{Kind: port.RouteNonIdempotent, MaxAttempts: 3, Timeout: ms(1000), Objective: ms(100)}
	cases := []struct {
		name  string
		route port.Route
		life  []happening
	}{
		{"answered at once", idempotent, []happening{
			{want: Launch}, {launch: true, want: Wait}, {at: ms(10), ended: outcome(Answered), want: Deliver},
		}},
		{"no replica", once, []happening{
			{want: Launch}, {nobody: true, want: Fail, status: http.StatusServiceUnavailable, comeBack: true},
		}},
		{"turned away, then answered", once, []happening{
			{want: Launch}, {launch: true, want: Wait}, {at: ms(5), ended: outcome(NotRun), want: Launch},
			{at: ms(5), launch: true, want: Wait}, {at: ms(9), ended: outcome(Answered), want: Deliver},
		}},
		{"turned away everywhere", once, []happening{
			{launch: true, want: Wait}, {ended: outcome(NotRun), want: Launch}, {launch: true, want: Wait}, {ended: outcome(NotRun), want: Launch},
			{launch: true, want: Wait}, {ended: outcome(NotRun), want: Fail, status: http.StatusServiceUnavailable, comeBack: true},
		}},
		{"two replicas are gone: they were sent nothing, so no attempt is spent on them", idempotent, []happening{
			{launch: true, want: Wait}, {at: ms(1), ended: outcome(Refused), want: Launch},
			{at: ms(1), launch: true, want: Wait}, {at: ms(2), ended: outcome(Refused), want: Launch},
			{at: ms(2), launch: true, want: Wait}, {at: ms(9), ended: outcome(Broken), want: Launch},
			{at: ms(9), launch: true, want: Wait}, {at: ms(12), ended: outcome(Answered), want: Deliver},
		}},
		{"all replicas are gone", once, []happening{
			{launch: true, want: Wait}, {at: ms(1), ended: outcome(Refused), want: Launch},
			{at: ms(1), nobody: true, want: Fail, status: http.StatusServiceUnavailable, comeBack: true},
		}},
		{"two replicas are silent: the caller is told", idempotent, []happening{
			{launch: true, want: Wait}, {at: ms(1), ended: outcome(Unreached), want: Launch},
			{at: ms(1), launch: true, want: Wait}, {at: ms(2), ended: outcome(Unreached), want: Fail, status: http.StatusServiceUnavailable, comeBack: true},
		}},
		{"lost and not repeatable", once, []happening{
			{launch: true, want: Wait}, {at: ms(5), ended: outcome(Broken), want: Fail, status: http.StatusBadGateway},
		}},
		{"lost and repeatable", idempotent, []happening{
			{launch: true, want: Wait}, {at: ms(5), ended: outcome(Broken), want: Launch},
			{at: ms(5), launch: true, want: Wait}, {at: ms(9), ended: outcome(Broken), want: Fail, status: http.StatusBadGateway},
		}},
		{"lost once, turned away then: it may have run", idempotent, []happening{
			{launch: true, want: Wait}, {ended: outcome(Broken), want: Launch}, {launch: true, want: Wait},
			{ended: outcome(NotRun), want: Fail, status: http.StatusBadGateway},
		}},
		{"slow: another replica is tried", idempotent, []happening{
			{launch: true, want: Wait}, {at: ms(49), want: Wait}, {at: ms(51), want: Launch},
			{at: ms(51), launch: true, want: Wait}, {at: ms(60), ended: outcome(Answered), want: Deliver},
		}},
		{"slow and not repeatable: waited for", once, []happening{
			{launch: true, want: Wait}, {at: ms(500), want: Wait}, {at: ms(1000), want: Fail, status: http.StatusGatewayTimeout},
		}},
		{"its own failure is passed on when nothing is left", once, []happening{
			{launch: true, want: Wait}, {ended: outcome(Errored), want: Deliver},
		}},
		{"its own failure, repeated elsewhere", idempotent, []happening{
			{launch: true, want: Wait}, {ended: outcome(Errored), want: Launch}, {launch: true, want: Wait}, {ended: outcome(Errored), want: Deliver},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New(start, &c.route, 0)
			for i, h := range c.life {
				now := start.Add(h.at)
				if h.launch {
					r.Launched(now)
				}
				if h.ended != nil {
					r.Ended(*h.ended)
				}
				if h.nobody {
					r.NoEndpoint()
				}
				got := r.Next(now)
				if got.Action != h.want || got.Status != h.status || (got.RetryAfter > 0) != h.comeBack {
					t.Fatalf("happening %d: %+v, should be %+v", i, got, h)
				}
				if got.Action == Wait && !got.Until.After(now) {
					t.Fatalf("happening %d: waits until %s, which is past", i, got.Until)
				}
			}
		})
	}
}

func TestDeadlineIsTheShorter(t *testing.T) {
	route := port.Route{Timeout: ms(1000)}
	if got := New(start, &route, ms(300)).Left(start); got != ms(300) {
		t.Errorf("%s left", got)
	}
	if got := New(start, &route, ms(3000)).Left(start); got != ms(1000) {
		t.Errorf("%s left", got)
	}
}

// TestEvacuatedReplicas: the refusal says why, and asks the caller to come back later than others do; a
// request that may have run is not refused as one that did not.
func TestEvacuatedReplicas(t *testing.T) {
	route := port.Route{Kind: port.RouteNonIdempotent, MaxAttempts: 3, Timeout: ms(1000)}
	for _, c := range []struct {
		name   string
		before []Outcome
		status int
		after  time.Duration
	}{
		{"at once", nil, http.StatusServiceUnavailable, evacuatedRetryAfter},
		{"after a replica turned it away", []Outcome{NotRun}, http.StatusServiceUnavailable, evacuatedRetryAfter},
		{"after a replica broke off", []Outcome{NotRun, Broken}, http.StatusBadGateway, 0},
	} {
		r := New(start, &route, 0)
		for _, one := range c.before {
			r.Launched(start)
			r.Ended(one)
		}
		r.Evacuated()
		got := r.Next(start)
		if got.Action != Fail || got.Status != c.status || got.RetryAfter != c.after || got.Reason != ReasonEvacuated {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}
