package endpoint

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

func TestLearnCold(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	type news struct {
		at       float64
		revision int64
		coldFor  time.Duration
	}
	const lasts = 3 * time.Second
	for _, c := range []struct {
		name string
		news []news
		// lifted is when the zone's evacuation was lifted, 0 for never.
		lifted float64
		warmAt float64
	}{
		{"told once", []news{{0, 1, 3 * time.Second}}, 0, 3},
		{"read again", []news{{0, 1, 3 * time.Second}, {2, 1, 3 * time.Second}}, 0, 3},
		{"told again", []news{{0, 1, 3 * time.Second}, {1, 2, 2500 * time.Millisecond}}, 0, 3.5},
		{"told less", []news{{0, 1, 3 * time.Second}, {1, 2, 500 * time.Millisecond}}, 0, 1.5},
		{"told to be warm", []news{{0, 1, 3 * time.Second}, {1, 2, 0}}, 0, 1},
		{"an older record", []news{{0, 2, 3 * time.Second}, {1, 1, 0}}, 0, 3},
		{"cold again", []news{{0, 1, time.Second}, {5, 2, 3 * time.Second}}, 0, 8},
		{"presumed after an evacuation", []news{{0, 1, 0}}, 4, 9},
		{"told after the evacuation", []news{{0, 1, 0}, {5, 2, time.Second}}, 4, 6},
		{"told before the evacuation was lifted", []news{{0, 1, 10 * time.Second}}, 4, 10},
	} {
		e := &Endpoint{ReplicaRecord: port.ReplicaRecord{ID: "r"}}
		if c.lifted > 0 {
			e.EvacuatedUntil = at(c.lifted)
		}
		for _, one := range c.news {
			e.Revision, e.ColdFor = one.revision, one.coldFor
			e.LearnCold(at(one.at))
		}
		if e.Cold(at(c.warmAt), lasts) || c.name != "told to be warm" && !e.Cold(at(c.warmAt).Add(-time.Millisecond), lasts) {
			t.Errorf("%s: warm at %s, should be after %g s", c.name, e.WarmAt(lasts).Sub(start), c.warmAt)
		}
	}
}

func TestWarmth(t *testing.T) {
	now := time.Unix(1000, 0)
	cold := &Endpoint{ColdUntil: now.Add(time.Second)}
	warm := &Endpoint{}
	for _, c := range []struct {
		name       string
		query      Query
		warm, cold bool
	}{
		{"warm ones", Query{Now: now, ColdLasts: time.Second}, true, false},
		{"cold ones", Query{Now: now, ColdLasts: time.Second, OnlyCold: true}, false, true},
		{"no cold bound", Query{Now: now}, true, true},
		{"cold ones where there are none", Query{Now: now, OnlyCold: true}, false, false},
	} {
		if Warmth(&c.query, warm) != c.warm || Warmth(&c.query, cold) != c.cold {
			t.Errorf("%s: %t %t", c.name, Warmth(&c.query, warm), Warmth(&c.query, cold))
		}
	}
}
