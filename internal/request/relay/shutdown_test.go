package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// TestShutdown guards against attempts that a stopping node starts although they may not end before it does.
func TestShutdown(t *testing.T) {
	const noticedAt, answerBy = 3000, 7000
	idempotent := port.Route{Kind: port.RouteIdempotent, MaxAttempts: 3}
	once := port.Route{Kind: port.RouteNonIdempotent, MaxAttempts: 3}
	stream := port.Route{Kind: port.RouteStreaming, MaxAttempts: 3}
	usual := ResponseTime{Mean: ms(200), Longest: ms(500)}
	for _, c := range []struct {
		name     string
		route    port.Route
		wait     time.Duration
		expected ResponseTime
		at       int
		launch   bool
	}{
		{"early, ends in time", once, ms(2000), usual, 100, true},
		{"early, usually ends in time", once, ms(30000), usual, 100, true},
		{"early, stream that usually ends in time", stream, ms(30000), usual, 100, true},
		{"early, usually ends too late", once, ms(30000), ResponseTime{Mean: ms(5000), Longest: ms(8000)}, 100, false},
		{"early, usually ends too late, short deadline", once, ms(5000), ResponseTime{Mean: ms(5000), Longest: ms(8000)}, 100, true},
		{"early, response time unknown", once, ms(30000), ResponseTime{}, 100, false},
		{"early, response time unknown, repeatable", idempotent, ms(30000), ResponseTime{}, 100, true},
		{"late, ends in time", once, ms(2000), usual, 4000, true},
		{"late, usually ends in time", once, ms(30000), usual, 4000, false},
		{"late, usually ends in time, repeatable", idempotent, ms(30000), usual, 4000, false},
		{"late, response time unknown", idempotent, ms(30000), ResponseTime{}, 4000, false},
		{"after the end", idempotent, ms(30000), usual, 7001, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := start.Add(ms(c.at))
			r := New(now, &c.route, c.wait, c.expected)
			r.SetShutdown(Shutdown{NoticedAt: start.Add(ms(noticedAt)), AnswerBy: start.Add(ms(answerBy))})
			got := r.Next(now)
			if c.launch {
				if got.Action != Launch {
					t.Errorf("got %+v, want to launch", got)
				}
				return
			}
			if got.Action != Fail || got.Status != http.StatusServiceUnavailable || got.RetryAfter <= 0 || got.Reason != ReasonShutdown {
				t.Errorf("got %+v, want a refusal with Retry-After", got)
			}
		})
	}
}

// TestShutdownDuringRequest guards against a second attempt that starts too late, and against a request that has no answer
// when the node exits.
func TestShutdownDuringRequest(t *testing.T) {
	shutdown := Shutdown{NoticedAt: start.Add(ms(3000)), AnswerBy: start.Add(ms(7000))}
	for _, c := range []struct {
		name    string
		kind    port.RouteKind
		outcome Outcome
		status  int
	}{
		{"not run", port.RouteNonIdempotent, NotRun, http.StatusServiceUnavailable},
		{"refused connection", port.RouteNonIdempotent, Refused, http.StatusServiceUnavailable},
		{"may have run", port.RouteNonIdempotent, Broken, http.StatusBadGateway},
		{"may have run, repeatable", port.RouteIdempotent, Broken, http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			route := port.Route{Kind: c.kind, MaxAttempts: 3}
			r := New(start, &route, ms(30000), ResponseTime{Mean: ms(20), Longest: ms(50)})
			r.RecordLaunch(start)
			r.SetShutdown(shutdown)
			r.RecordOutcome(c.outcome)
			if got := r.Next(start.Add(ms(4000))); got.Action != Fail || got.Status != c.status {
				t.Errorf("got %+v, want status %d", got, c.status)
			}
		})
	}
	route := port.Route{Kind: port.RouteNonIdempotent, MaxAttempts: 3}
	r := New(start, &route, ms(30000), ResponseTime{})
	r.RecordLaunch(start)
	r.SetShutdown(shutdown)
	if got := r.Next(start.Add(ms(4000))); got.Action != Wait || got.Until != shutdown.AnswerBy {
		t.Errorf("got %+v, want to wait until the node must answer", got)
	}
	if got := r.Next(shutdown.AnswerBy); got.Action != Fail || got.Status != http.StatusGatewayTimeout {
		t.Errorf("got %+v, want 504, as the request may run", got)
	}
}
