package relay

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// TestHedgeFollowsResponseTimes guards against second attempts that start at a share of the route's target
// latency: too early for slow routes, too late for fast ones, and for callers with too little time left.
func TestHedgeFollowsResponseTimes(t *testing.T) {
	for _, c := range []struct {
		name      string
		objective time.Duration
		expected  ResponseTime
		wait      time.Duration
		// hedgeAt is when the second attempt starts, 0 if there is none.
		hedgeAt time.Duration
	}{
		{"fast replicas, long target", 10 * time.Second, ResponseTime{ms(25), ms(60)}, 0, ms(60)},
		{"slow replicas, short target", ms(100), ResponseTime{ms(300), ms(420)}, 0, ms(420)},
		{"no target", 0, ResponseTime{ms(25), ms(60)}, 0, ms(60)},
		{"unknown response time: half of the caller's time", ms(100), ResponseTime{}, ms(800), ms(400)},
		{"too little time left for another answer", ms(100), ResponseTime{ms(300), ms(420)}, ms(700), 0},
		{"just enough time left", ms(100), ResponseTime{ms(300), ms(420)}, ms(720), ms(420)},
	} {
		t.Run(c.name, func(t *testing.T) {
			route := port.Route{Kind: port.RouteIdempotent, MaxAttempts: 2, Objective: c.objective}
			r := New(start, &route, c.wait, c.expected)
			r.RecordLaunch(start)
			got := r.Next(start)
			if got.Action != Wait {
				t.Fatalf("got %+v, want to wait", got)
			}
			if c.hedgeAt == 0 {
				if got.Until != r.Deadline() {
					t.Errorf("waits until %s, want the deadline", got.Until.Sub(start))
				}
				return
			}
			if until := got.Until.Sub(start); until != c.hedgeAt {
				t.Errorf("waits until %s, want %s", until, c.hedgeAt)
			}
			if got := r.Next(start.Add(c.hedgeAt)); got.Action != Launch {
				t.Errorf("got %+v, want a second attempt", got)
			}
		})
	}
}

// TestRetryAfterHedgeWithoutRoom guards against a request that fails after its only attempt because no replica had
// room for a hedged one before.
func TestRetryAfterHedgeWithoutRoom(t *testing.T) {
	route := port.Route{Kind: port.RouteIdempotent, MaxAttempts: 2, Timeout: ms(1000)}
	r := New(start, &route, 0, ResponseTime{Mean: ms(20), Longest: ms(50)})
	r.RecordLaunch(start)
	r.RecordNoEndpoint(start.Add(ms(50)))
	if got := r.Next(start.Add(ms(50))); got.Action != Wait || got.Until != start.Add(ms(100)) {
		t.Errorf("without room: %+v, want to wait for as long again", got)
	}
	r.RecordOutcome(Broken)
	if got := r.Next(start.Add(ms(60))); got.Action != Launch {
		t.Errorf("after the first attempt broke: %+v, want another attempt", got)
	}
}

// TestResponseTimes guards against estimates that do not follow the replicas' current response times.
func TestResponseTimes(t *testing.T) {
	times := NewResponseTimes()
	if got := times.Of("r"); got != (ResponseTime{}) {
		t.Errorf("before any answer: %+v", got)
	}
	for range 50 {
		times.Record("r", ms(30))
	}
	if got := times.Of("r"); got.Mean != ms(30) || got.Longest < ms(30)+minVariation || got.Longest > ms(30)+minVariation+ms(1) {
		t.Errorf("constant times: %+v", got)
	}
	for i := range 100 {
		times.Record("r", ms(100+i%2*100))
	}
	if got := times.Of("r"); got.Mean < ms(130) || got.Mean > ms(170) || got.Longest < ms(200) {
		t.Errorf("times of 100 and 200 ms: %+v", got)
	}
	times.Record("gone", ms(30))
	times.Retain(func(route string) bool { return route == "r" })
	if times.Of("r") == (ResponseTime{}) || times.Of("gone") != (ResponseTime{}) {
		t.Error("the wrong estimate was dropped")
	}
}
