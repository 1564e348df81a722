package endpoint

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

const regionLatency = 40 * time.Millisecond

// testExtraLatency returns the additional round-trip time from the region north, whose zones begin with
// n.
func testExtraLatency(zone string) time.Duration {
	if strings.HasPrefix(zone, "n") {
		return 0
	}
	return regionLatency
}

// endpointIn returns an endpoint with six slots in a zone of the region north or south.
func endpointIn(id, zone string, load int) *Endpoint {
	e := newEndpoint(id)
	e.Zone, e.Region, e.Slots, e.InFlight = zone, "north", 6, load
	if strings.HasPrefix(zone, "s") {
		e.Region = "south"
	}
	return e
}

func northQuery() *Query {
	return &Query{Now: now, Zone: "n1", Region: "north", Model: "m", MaxLoad: 1.5, ExtraLatency: testExtraLatency}
}

func TestNear(t *testing.T) {
	unknown := endpointIn("u", "x", 0)
	unknown.Region = ""
	for _, c := range []struct {
		name    string
		e       *Endpoint
		several bool
		want    float64
	}{
		{"own zone", endpointIn("a", "n1", 0), true, 1},
		{"own region", endpointIn("a", "n2", 0), true, sameRegionScore},
		{"other region", endpointIn("a", "s1", 0), true, 0},
		{"unknown zone", unknown, true, 0},
		{"single region: own zone", endpointIn("a", "n1", 0), false, 1},
		{"single region: another zone", endpointIn("a", "n2", 0), false, 0},
	} {
		query := northQuery()
		if !c.several {
			query.ExtraLatency = nil
		}
		if got := Near(query, c.e); got != c.want {
			t.Errorf("%s: %g, want %g", c.name, got, c.want)
		}
	}
}

func TestInHomes(t *testing.T) {
	north, south, unknown := endpointIn("n", "n1", 0), endpointIn("s", "s1", 0), endpointIn("u", "x", 0)
	unknown.Region = ""
	for name, profile := range map[string]*Profile{"requests": &Requests, "rollouts": &Rollouts, "long": &LongRollouts, "scoring": &ScoringCalls} {
		for _, c := range []struct {
			homes port.AllowedRegions
			list  []*Endpoint
			want  *Endpoint
		}{
			{port.AllowedRegions{}, []*Endpoint{unknown}, unknown},
			{port.NewAllowedRegions([]string{"south"}), []*Endpoint{north, unknown, south}, south},
			{port.NewAllowedRegions([]string{"east"}), []*Endpoint{north, unknown, south}, nil},
			{port.NewAllowedRegions([]string{"north"}).Intersect(port.NewAllowedRegions([]string{"south"})), []*Endpoint{north, unknown, south}, nil},
		} {
			for _, ejected := range []bool{false, true} {
				query := northQuery()
				query.Homes, query.AllowEjected = c.homes, ejected
				if got := profile.Pick(query, c.list); got != c.want {
					t.Errorf("%s, homes %+v: %v", name, c.homes, got)
				}
			}
		}
	}
}

// twoRegions returns three endpoints in each region with the given loads.
func twoRegions(north, south int) []*Endpoint {
	var list []*Endpoint
	for i := range 3 {
		list = append(list, endpointIn(fmt.Sprint("n", i), fmt.Sprint("n", i), north), endpointIn(fmt.Sprint("s", i), fmt.Sprint("s", i), south))
	}
	for _, e := range list {
		e.RecordSuccess(25*time.Millisecond + testExtraLatency(e.Zone))
	}
	return list
}

// countByRegion makes a number of choices whose requests stay in flight and counts them by region.
func countByRegion(profile *Profile, list []*Endpoint, choices int, query func() *Query) map[string]int {
	counts := map[string]int{}
	for i := range choices {
		q := query()
		q.Rotation = uint64(i)
		if chosen := profile.Pick(q, list); chosen != nil {
			chosen.InFlight++
			counts[chosen.Region]++
		}
	}
	return counts
}

// Requests take 25 ms on endpoints with six slots, and the round trip to the other region takes 40 ms.
func TestRequestsSpillByExpectedDelay(t *testing.T) {
	for _, c := range []struct {
		name         string
		north, south int
		choices      int
		// least and most bound the number of choices in the south.
		least, most int
	}{
		{"both idle: the own region serves up to its slots", 0, 0, 18, 0, 0},
		{"own slots taken: a short wait costs less than the round trip", 6, 0, 3, 0, 0},
		{"own queues cost as much as the round trip", 7, 0, 18, 18, 18},
		{"own region full, other region idle", 30, 0, 10, 10, 10},
		{"other region full, own region idle", 0, 30, 10, 0, 0},
		{"both full", 30, 30, 5, 0, 0},
	} {
		counts := countByRegion(&Requests, twoRegions(c.north, c.south), c.choices, northQuery)
		if south := counts["south"]; south < c.least || south > c.most || south+counts["north"] != c.choices {
			t.Errorf("%s: %v of %d", c.name, counts, c.choices)
		}
	}
}

// A hedged request goes to another endpoint in its own region first and to another region after all of
// those were tried.
func TestHedgesPreferOwnRegion(t *testing.T) {
	list := twoRegions(5, 0)
	tried := map[string]bool{}
	for i := range 4 {
		query := northQuery()
		query.Exclude = tried
		chosen := Requests.Pick(query, list)
		if want := map[bool]string{true: "north", false: "south"}[i < 3]; chosen.Region != want {
			t.Errorf("attempt %d went to %s, want region %s", i+1, chosen.ID, want)
		}
		tried[chosen.ID] = true
	}
}

// Distance only decides between otherwise equal endpoints for items that take seconds.
func TestItemsPreferPaceAndMemoryOverDistance(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(near, far *Endpoint)
		want   string
	}{
		{"equal", func(_, _ *Endpoint) {}, "near"},
		{"near endpoint 1.5 times slower", func(near, far *Endpoint) {
			near.UpdatePace(now, 60*time.Millisecond)
			far.UpdatePace(now, 40*time.Millisecond)
		}, "far"},
		{"near endpoint out of memory", func(near, _ *Endpoint) { near.Tokens = 15_000 }, "far"},
		{"near endpoint without a free slot", func(near, _ *Endpoint) { near.InFlight = 6 }, "far"},
	} {
		near, far := endpointIn("near", "n2", 0), endpointIn("far", "s1", 0)
		c.change(near, far)
		for rotation := range uint64(4) {
			query := northQuery()
			query.Tokens, query.MemoryTokens, query.Rotation = 2_000, 20_000, rotation
			query.BestPace = poolOf(near, far).BestPace(now, port.AllowedRegions{})
			if got := LongRollouts.Pick(query, []*Endpoint{near, far}); got == nil || got.ID != c.want {
				t.Errorf("%s: %v", c.name, got)
			}
		}
	}
	for rotation := range uint64(4) {
		query := northQuery()
		query.Rotation = rotation
		if got := Rollouts.Pick(query, []*Endpoint{endpointIn("far", "s1", 0), endpointIn("near", "n2", 0)}); got.ID != "near" {
			t.Errorf("item placed on the %s of two equal endpoints", got.ID)
		}
	}
}

// Guards the sequence of choices in a single-region deployment against changes.
func TestSingleRegionPickSequence(t *testing.T) {
	for name, c := range map[string]struct {
		profile *Profile
		want    string
	}{
		"requests": {&Requests, "14140214310324021431"},
		"rollouts": {&Rollouts, "13144103242301302402"},
		"long":     {&LongRollouts, "02431032140413201423"},
		"scoring":  {&ScoringCalls, "14140214310324021431"},
	} {
		if got := sequence(c.profile); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
}

// sequence returns the IDs of twenty choices among five endpoints in three zones.
func sequence(profile *Profile) string {
	var list []*Endpoint
	for i := range 5 {
		e := newEndpoint(fmt.Sprint(i))
		e.Zone = fmt.Sprint("z", i%3)
		e.RecordSuccess(time.Duration(20+7*i) * time.Millisecond)
		e.UpdatePace(now, time.Duration(40+5*(i%2))*time.Millisecond)
		list = append(list, e)
	}
	var names strings.Builder
	for i := range uint64(20) {
		query := &Query{Now: now, Zone: "z1", Model: "m", MaxLoad: 1.5, Rotation: i, Tokens: 100, MemoryTokens: 5000, BestPace: 40 * time.Millisecond}
		if chosen := profile.Pick(query, list); chosen != nil {
			chosen.InFlight++
			chosen.Tokens += 100
			names.WriteString(chosen.ID)
		}
	}
	return names.String()
}

// poolOf returns a pool of endpoints with tracked paces.
func poolOf(list ...*Endpoint) *Pool {
	pool := newPool()
	for _, e := range list {
		pool.add(e)
		pool.trackPace(e)
	}
	return pool
}
