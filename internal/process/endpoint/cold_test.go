package endpoint

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

func TestUpdateCold(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	type update struct {
		at       float64
		revision int64
		coldFor  time.Duration
	}
	const lasts = 3 * time.Second
	for _, c := range []struct {
		name    string
		updates []update
		// lifted is when the zone's evacuation ended, 0 for no evacuation.
		lifted float64
		warmAt float64
	}{
		{"reported once", []update{{0, 1, 3 * time.Second}}, 0, 3},
		{"same revision again", []update{{0, 1, 3 * time.Second}, {2, 1, 3 * time.Second}}, 0, 3},
		{"reported again", []update{{0, 1, 3 * time.Second}, {1, 2, 2500 * time.Millisecond}}, 0, 3.5},
		{"shortened", []update{{0, 1, 3 * time.Second}, {1, 2, 500 * time.Millisecond}}, 0, 1.5},
		{"reported warm", []update{{0, 1, 3 * time.Second}, {1, 2, 0}}, 0, 1},
		{"older revision", []update{{0, 2, 3 * time.Second}, {1, 1, 0}}, 0, 3},
		{"cold again after being warm", []update{{0, 1, time.Second}, {5, 2, 3 * time.Second}}, 0, 8},
		{"assumed after an evacuation", []update{{0, 1, 0}}, 4, 9},
		{"reported after the evacuation", []update{{0, 1, 0}, {5, 2, time.Second}}, 4, 6},
		{"reported before the end of the evacuation", []update{{0, 1, 10 * time.Second}}, 4, 10},
	} {
		e := &Endpoint{ReplicaRecord: port.ReplicaRecord{ID: "r"}}
		if c.lifted > 0 {
			e.EvacuatedUntil = at(c.lifted)
		}
		for _, one := range c.updates {
			e.Revision, e.ColdFor = one.revision, one.coldFor
			e.UpdateCold(at(one.at))
		}
		if e.Cold(at(c.warmAt), lasts) || c.name != "reported warm" && !e.Cold(at(c.warmAt).Add(-time.Millisecond), lasts) {
			t.Errorf("%s: warm after %s, want %g s", c.name, e.WarmAt(lasts).Sub(start), c.warmAt)
		}
	}
}

func TestMatchesColdState(t *testing.T) {
	now := time.Unix(1000, 0)
	cold := &Endpoint{ColdUntil: now.Add(time.Second)}
	warm := &Endpoint{}
	for _, c := range []struct {
		name       string
		query      Query
		warm, cold bool
	}{
		{"warm endpoints", Query{Now: now, ColdPeriod: time.Second}, true, false},
		{"cold endpoints", Query{Now: now, ColdPeriod: time.Second, OnlyCold: true}, false, true},
		{"no cold period", Query{Now: now}, true, true},
		{"cold endpoints without a cold period", Query{Now: now, OnlyCold: true}, false, false},
	} {
		if MatchesColdState(&c.query, warm) != c.warm || MatchesColdState(&c.query, cold) != c.cold {
			t.Errorf("%s: %t %t", c.name, MatchesColdState(&c.query, warm), MatchesColdState(&c.query, cold))
		}
	}
}
