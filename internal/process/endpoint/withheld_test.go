package endpoint

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// TestWithheld: one notion of what gets nothing, which every profile goes by.
func TestWithheld(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(e *Endpoint)
		want   Withheld
	}{
		{"usable", func(*Endpoint) {}, NotWithheld},
		{"it leaves", func(e *Endpoint) { e.Draining = true }, WithheldLeaving},
		{"drained by operators", func(e *Endpoint) { e.Held = true }, WithheldDrained},
		{"in an evacuated zone", func(e *Endpoint) { e.SetEvacuated(now, true) }, WithheldEvacuated},
		{"it leaves an evacuated zone", func(e *Endpoint) { e.Draining = true; e.SetEvacuated(now, true) }, WithheldLeaving},
		{"the evacuation was lifted", func(e *Endpoint) { e.SetEvacuated(now, true); e.SetEvacuated(now, false) }, NotWithheld},
	} {
		e := usable("e")
		c.change(e)
		if got := e.Withheld(); got != c.want || e.Leaving() != (c.want != NotWithheld) {
			t.Errorf("%s: %q, should be %q", c.name, got, c.want)
		}
		for name, profile := range map[string]*Profile{"requests": &Requests, "rollouts": &Rollouts, "long": &LongRollouts, "scoring": &ScoringCalls} {
			// What was ejected is taken at need, what is withheld is not.
			query := &Query{Now: now, Model: "m", Room: 1.5, AllowEjected: true, Prefer: "e"}
			if got := profile.Pick(query, []*Endpoint{e}) != nil; got != (c.want == NotWithheld) {
				t.Errorf("%s: %s may go there: %t", c.name, name, got)
			}
		}
	}
}

func TestEvacuatedUntil(t *testing.T) {
	e := usable("e")
	for _, c := range []struct {
		name      string
		at        time.Duration
		evacuated bool
		want      time.Time
	}{
		{"never evacuated", time.Second, false, time.Time{}},
		{"evacuated", 2 * time.Second, true, time.Time{}},
		{"lifted", 3 * time.Second, false, now.Add(3 * time.Second)},
		{"its record is put again", 4 * time.Second, false, now.Add(3 * time.Second)},
		{"evacuated again", 5 * time.Second, true, time.Time{}},
	} {
		e.SetEvacuated(now.Add(c.at), c.evacuated)
		if !e.EvacuatedUntil.Equal(c.want) {
			t.Errorf("%s: until %v, should be %v", c.name, e.EvacuatedUntil, c.want)
		}
	}
}

// TestBestPaceIsOneThatCanBeHad: items are not rated against a replica that gets nothing.
func TestBestPaceIsOneThatCanBeHad(t *testing.T) {
	for _, withhold := range []func(e *Endpoint){
		func(e *Endpoint) { e.Draining = true }, func(e *Endpoint) { e.Held = true }, func(e *Endpoint) { e.Evacuated = true },
	} {
		fast, slow := usable("fast"), usable("slow")
		fast.LearnPace(now, 40*time.Millisecond)
		slow.LearnPace(now, 80*time.Millisecond)
		withhold(fast)
		if got := poolOf(fast, slow).BestPace(now, port.AllowedRegions{}); got != 80*time.Millisecond {
			t.Errorf("%s, though the replica that makes it is %s", got, fast.Withheld())
		}
	}
}
