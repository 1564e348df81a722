package endpoint

import (
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

var now = time.Unix(1000, 0)

func newEndpoint(id string) *Endpoint {
	return &Endpoint{ReplicaRecord: port.ReplicaRecord{ID: id, Service: "s", Zone: "z", Slots: 4, Versions: map[string]int64{"m": 3}}}
}

func TestFilters(t *testing.T) {
	cases := []struct {
		name             string
		change           func(e *Endpoint)
		request, rollout bool
	}{
		{"usable", func(*Endpoint) {}, true, true},
		{"leaving", func(e *Endpoint) { e.Draining = true }, false, false},
		{"excluded", func(e *Endpoint) { e.ID = "tried" }, false, false},
		{"one failure", func(e *Endpoint) { e.RecordFailure(now) }, true, true},
		{"consecutive failures", func(e *Endpoint) { e.RecordFailure(now); e.RecordFailure(now) }, false, false},
		{"failures with a success in between", func(e *Endpoint) { e.RecordFailure(now); e.RecordSuccess(time.Millisecond); e.RecordFailure(now) }, true, true},
		{"expired ejection", func(e *Endpoint) { e.RecordFailure(now.Add(-time.Second)); e.RecordFailure(now.Add(-time.Second)) }, true, true},
		{"old weights", func(e *Endpoint) { e.Versions["m"] = 1 }, false, false},
		{"loading the model", func(e *Endpoint) { e.SetLoading("m", now.Add(time.Second)) }, true, false},
		{"loading another model", func(e *Endpoint) { e.SetLoading("n", now.Add(time.Second)) }, true, true},
		{"full by its report", func(e *Endpoint) { e.UpdateLoad(now, 4, 2) }, true, false},
		{"full by an expired report", func(e *Endpoint) { e.UpdateLoad(now.Add(-loadTTL), 4, 2) }, true, true},
		{"full by own attempts", func(e *Endpoint) { e.InFlight = 6 }, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := newEndpoint("e")
			c.change(e)
			query := &Query{Now: now, Model: "m", MinVersion: 2, MaxLoad: 1.5, Exclude: map[string]bool{"tried": true}}
			if got := Requests.Pick(query, []*Endpoint{e}) != nil; got != c.request {
				t.Errorf("requests: eligible %t, want %t", got, c.request)
			}
			if got := Rollouts.Pick(query, []*Endpoint{e}) != nil; got != c.rollout {
				t.Errorf("rollouts: eligible %t, want %t", got, c.rollout)
			}
		})
	}
}

func TestScores(t *testing.T) {
	idle, busy, slow := newEndpoint("idle"), newEndpoint("busy"), newEndpoint("slow")
	busy.InFlight = 4
	idle.UpdatePace(now, 40*time.Millisecond)
	slow.UpdatePace(now, 80*time.Millisecond)
	batch := newEndpoint("batch")
	batch.UpdatePace(now, 44*time.Millisecond)
	query := &Query{Now: now, Zone: "z", BestPace: 40 * time.Millisecond, PreferredID: "busy", MaxLoad: 2}
	for _, c := range []struct {
		name      string
		got, want float64
	}{
		{"idle", LeastLoad(query, idle), 1}, {"all slots taken", LeastLoad(query, busy), 0.5},
		{"fastest", FastPace(query, idle), 1}, {"as slow as a full batch", FastPace(query, batch), 1}, {"slow", FastPace(query, slow), 0.56}, {"unknown pace", FastPace(query, busy), 1},
		{"free slot", FreeSlot(query, idle), 1}, {"no free slot", FreeSlot(query, busy), 0},
		{"own zone", Near(query, idle), 1}, {"prompt cached", Preferred(query, busy), 1}, {"prompt not cached", Preferred(query, idle), 0},
	} {
		if c.got != c.want {
			t.Errorf("%s: score %f, want %f", c.name, c.got, c.want)
		}
	}
	if got := LongRollouts.Pick(query, []*Endpoint{slow, idle}); got != idle {
		t.Errorf("long item placed on %v", got.ID)
	}
	registry := NewRegistry()
	for id, pace := range map[string]time.Duration{"idle": 40 * time.Millisecond, "slow": 80 * time.Millisecond, "busy": 0} {
		registry.Put(newEndpoint(id).ReplicaRecord).Endpoint.UpdatePace(now, pace)
	}
	if got := registry.Pool("s").BestPace(now, port.AllowedRegions{}); got != 40*time.Millisecond {
		t.Errorf("best pace %s", got)
	}
	registry.Find("idle").OperatorDrained = true
	if got := registry.Pool("s").BestPace(now, port.AllowedRegions{}); got != 80*time.Millisecond {
		t.Errorf("best pace %s includes an endpoint that gets no new work", got)
	}
	if got := registry.Pool("s").BestPace(now.Add(time.Minute), port.AllowedRegions{}); got != 0 {
		t.Errorf("best pace %s after a minute, want none", got)
	}
}

func TestEjectionBackoff(t *testing.T) {
	e := newEndpoint("e")
	at := now
	var pauses []time.Duration
	for range 6 {
		e.RecordFailure(at)
		e.RecordFailure(at)
		pauses = append(pauses, e.ejectedUntil.Sub(at))
		at = e.ejectedUntil
	}
	for i := 1; i < len(pauses); i++ {
		if pauses[i] < pauses[i-1] || pauses[i] > maxEjection {
			t.Errorf("ejected for %v", pauses)
		}
	}
	if e.RecordSuccess(time.Millisecond); e.Ejected(at) {
		t.Error("still ejected after a success")
	}
}

func TestTimeoutOfRespondingEndpoint(t *testing.T) {
	e := newEndpoint("e")
	e.UpdatePace(now, 40*time.Millisecond)
	e.RecordTimeout(now.Add(livenessWindow / 2))
	if e.RecordTimeout(now.Add(livenessWindow/2)) || e.Ejected(now.Add(livenessWindow/2)) {
		t.Error("ejected although it responds to other runs")
	}
	e.RecordTimeout(now.Add(2 * livenessWindow))
	if !e.RecordTimeout(now.Add(2 * livenessWindow)) {
		t.Error("not ejected although it responds to no run")
	}
}

func TestRegistry(t *testing.T) {
	r := NewRegistry()
	if change := r.Put(newEndpoint("a").ReplicaRecord); !change.Added {
		t.Errorf("%+v", change)
	}
	r.Find("a").UpdateVersion("m", 5)
	record := newEndpoint("a").ReplicaRecord
	record.Draining = true
	if change := r.Put(record); !change.DrainStarted || r.Find("a").Versions["m"] != 5 {
		t.Errorf("%+v: a record written before a load must not lower the version", change)
	}
	r.Put(newEndpoint("b").ReplicaRecord)
	if gone := r.Remove("a"); !gone.Removed || len(r.Service("s")) != 1 {
		t.Errorf("%+v", gone)
	}
}

func TestRefusalBlocksModel(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &Endpoint{ReplicaRecord: port.ReplicaRecord{ID: "r", Slots: 8}}
	e.RecordRefusal(now, "m")
	if !e.Loading(now.Add(refusalBackoff/2), "m") || e.Loading(now.Add(refusalBackoff/2), "n") || e.Loading(now.Add(refusalBackoff), "m") {
		t.Error("a refusal must block that model for refusalBackoff and no other model")
	}
	e.SetLoading("m", now.Add(time.Minute))
	e.RecordRefusal(now, "m")
	if !e.Loading(now.Add(time.Second), "m") {
		t.Error("a refusal must not shorten a known load")
	}
}

// A minimal pace advantage must not queue long items on a full replica while others have free slots.
func TestLongItemsDoNotQueueForASlightlyFasterReplica(t *testing.T) {
	for _, c := range []struct {
		name string
		// pace is the pace of the other replica, compared with 40 ms for the fastest. held is the
		// number of the fastest replica's four slots in use.
		pace time.Duration
		held int
		want string
	}{
		{"both idle and equally fast", 44 * time.Millisecond, 0, ""},
		{"the fastest has some runs", 44 * time.Millisecond, 2, "other"},
		{"the fastest is full, the other 1.5 times slower", 60 * time.Millisecond, 4, "other"},
		{"the fastest has a slot, the other 1.5 times slower", 60 * time.Millisecond, 3, "fastest"},
		{"the fastest is full, the other degraded", 160 * time.Millisecond, 4, "fastest"},
	} {
		fastest, other := newEndpoint("fastest"), newEndpoint("other")
		fastest.InFlight = c.held
		fastest.UpdatePace(now, 40*time.Millisecond)
		other.UpdatePace(now, c.pace)
		query := &Query{Now: now, Model: "m", MinVersion: 2, MaxLoad: 1.5, BestPace: 40 * time.Millisecond}
		if got := LongRollouts.Pick(query, []*Endpoint{fastest, other}); c.want != "" && got.ID != c.want {
			t.Errorf("%s: chose the %s", c.name, got.ID)
		}
	}
}

func TestFreeMemorySpreadsLongItems(t *testing.T) {
	for _, c := range []struct {
		name   string
		memory int
		want   string
	}{
		{"more memory left", 20_000, "empty"},
		{"unknown memory is ignored", 0, "holding"},
	} {
		holding, empty := newEndpoint("holding"), newEndpoint("empty")
		holding.Tokens, holding.InFlight = 15_000, 1
		empty.Tokens, empty.InFlight = 1_000, 1
		empty.Zone = "y"
		query := &Query{Now: now, Zone: "z", Model: "m", MaxLoad: 1.5, Tokens: 8_000, MemoryTokens: c.memory}
		for name, profile := range map[string]*Profile{"long": &LongRollouts, "other": &Rollouts} {
			if got := profile.Pick(query, []*Endpoint{holding, empty}); got == nil || got.ID != c.want {
				t.Errorf("%s, %s: %v", c.name, name, got)
			}
		}
	}
}
