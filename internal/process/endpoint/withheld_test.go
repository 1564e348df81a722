package endpoint

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// Every profile excludes endpoints that get no new work.
func TestUnschedulableReason(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(e *Endpoint)
		want   UnschedulableReason
	}{
		{"usable", func(*Endpoint) {}, Schedulable},
		{"draining", func(e *Endpoint) { e.Draining = true }, UnschedulableLeaving},
		{"drained by an operator", func(e *Endpoint) { e.OperatorDrained = true }, UnschedulableDrained},
		{"in an evacuated zone", func(e *Endpoint) { e.SetEvacuated(now, true) }, UnschedulableEvacuated},
		{"draining in an evacuated zone", func(e *Endpoint) { e.Draining = true; e.SetEvacuated(now, true) }, UnschedulableLeaving},
		{"evacuation ended", func(e *Endpoint) { e.SetEvacuated(now, true); e.SetEvacuated(now, false) }, Schedulable},
	} {
		e := newEndpoint("e")
		c.change(e)
		if got := e.UnschedulableReason(); got != c.want || e.Unschedulable() != (c.want != Schedulable) {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
		for name, profile := range map[string]*Profile{"requests": &Requests, "rollouts": &Rollouts, "long": &LongRollouts, "scoring": &ScoringCalls} {
			// AllowEjected admits ejected endpoints but not those that get no new work.
			query := &Query{Now: now, Model: "m", MaxLoad: 1.5, AllowEjected: true, PreferredID: "e"}
			if got := profile.Pick(query, []*Endpoint{e}) != nil; got != (c.want == Schedulable) {
				t.Errorf("%s: eligible for %s: %t", c.name, name, got)
			}
		}
	}
}

func TestEvacuatedUntil(t *testing.T) {
	e := newEndpoint("e")
	for _, c := range []struct {
		name      string
		at        time.Duration
		evacuated bool
		want      time.Time
	}{
		{"never evacuated", time.Second, false, time.Time{}},
		{"evacuated", 2 * time.Second, true, time.Time{}},
		{"evacuation ended", 3 * time.Second, false, now.Add(3 * time.Second)},
		{"still ended", 4 * time.Second, false, now.Add(3 * time.Second)},
		{"evacuated again", 5 * time.Second, true, time.Time{}},
	} {
		e.SetEvacuated(now.Add(c.at), c.evacuated)
		if !e.EvacuatedUntil.Equal(c.want) {
			t.Errorf("%s: until %v, want %v", c.name, e.EvacuatedUntil, c.want)
		}
	}
}

func TestBestPaceIgnoresUnschedulableEndpoints(t *testing.T) {
	for _, withhold := range []func(e *Endpoint){
		func(e *Endpoint) { e.Draining = true }, func(e *Endpoint) { e.OperatorDrained = true }, func(e *Endpoint) { e.Evacuated = true },
	} {
		fast, slow := newEndpoint("fast"), newEndpoint("slow")
		fast.UpdatePace(now, 40*time.Millisecond)
		slow.UpdatePace(now, 80*time.Millisecond)
		withhold(fast)
		if got := poolOf(fast, slow).BestPace(now, port.AllowedRegions{}); got != 80*time.Millisecond {
			t.Errorf("best pace %s includes an endpoint that is %s", got, fast.UnschedulableReason())
		}
	}
}
