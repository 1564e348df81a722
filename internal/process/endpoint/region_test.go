package endpoint

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

const wayBetween = 40 * time.Millisecond

// away is the way from the region north, whose zones begin with n, to that of any other.
func away(zone string) time.Duration {
	if strings.HasPrefix(zone, "n") {
		return 0
	}
	return wayBetween
}

// placed returns an endpoint of six slots in a zone of the region north or south.
func placed(id, zone string, load int) *Endpoint {
	e := usable(id)
	e.Zone, e.Region, e.Slots, e.InFlight = zone, "north", 6, load
	if strings.HasPrefix(zone, "s") {
		e.Region = "south"
	}
	return e
}

func inNorth() *Query {
	return &Query{Now: now, Zone: "n1", Region: "north", Model: "m", Room: 1.5, Away: away}
}

func TestNear(t *testing.T) {
	unknown := placed("u", "x", 0)
	unknown.Region = ""
	for _, c := range []struct {
		name    string
		e       *Endpoint
		several bool
		want    float64
	}{
		{"own zone", placed("a", "n1", 0), true, 1},
		{"own region", placed("a", "n2", 0), true, sameRegion},
		{"other region", placed("a", "s1", 0), true, 0},
		{"unknown zone", unknown, true, 0},
		{"one region: own zone", placed("a", "n1", 0), false, 1},
		{"one region: another zone", placed("a", "n2", 0), false, 0},
	} {
		query := inNorth()
		if !c.several {
			query.Away = nil
		}
		if got := Near(query, c.e); got != c.want {
			t.Errorf("%s: %g, should be %g", c.name, got, c.want)
		}
	}
}

func TestInHomes(t *testing.T) {
	north, south, unknown := placed("n", "n1", 0), placed("s", "s1", 0), placed("u", "x", 0)
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
				query := inNorth()
				query.Homes, query.AllowEjected = c.homes, ejected
				if got := profile.Pick(query, c.list); got != c.want {
					t.Errorf("%s, homes %+v: %v", name, c.homes, got)
				}
			}
		}
	}
}

// fleet returns three endpoints in each region, each with the load of its region.
func fleet(north, south int) []*Endpoint {
	var list []*Endpoint
	for i := range 3 {
		list = append(list, placed(fmt.Sprint("n", i), fmt.Sprint("n", i), north), placed(fmt.Sprint("s", i), fmt.Sprint("s", i), south))
	}
	for _, e := range list {
		e.Succeeded(25*time.Millisecond + away(e.Zone))
	}
	return list
}

// picked plays so many choices, each of which stays at its endpoint, and counts them by region.
func picked(profile *Profile, list []*Endpoint, choices int, query func() *Query) map[string]int {
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

// TestRequestsSpillByWhatTheCallerGets: requests of 25 ms at endpoints of six slots, 40 ms to the other
// region and back.
func TestRequestsSpillByWhatTheCallerGets(t *testing.T) {
	for _, c := range []struct {
		name         string
		north, south int
		choices      int
		// least and most are how many of the choices go to the south.
		least, most int
	}{
		{"both idle: all that the near region has slots for", 0, 0, 18, 0, 0},
		{"near slots taken: a short wait is less than the way", 6, 0, 3, 0, 0},
		{"near queues cost as much as the way: 7 requests each", 7, 0, 18, 18, 18},
		{"near region full, far one idle", 30, 0, 10, 10, 10},
		{"far region full, near one idle", 0, 30, 10, 0, 0},
		{"both full", 30, 30, 5, 0, 0},
	} {
		counts := picked(&Requests, fleet(c.north, c.south), c.choices, inNorth)
		if south := counts["south"]; south < c.least || south > c.most || south+counts["north"] != c.choices {
			t.Errorf("%s: %v of %d", c.name, counts, c.choices)
		}
	}
}

// TestHedgesStayNear: a request that has been to near endpoints goes to another near one with room,
// and to the far region once it has been to all.
func TestHedgesStayNear(t *testing.T) {
	list := fleet(5, 0)
	tried := map[string]bool{}
	for i := range 4 {
		query := inNorth()
		query.Exclude = tried
		chosen := Requests.Pick(query, list)
		if want := map[bool]string{true: "north", false: "south"}[i < 3]; chosen.Region != want {
			t.Errorf("attempt %d goes to %s", i+1, chosen.ID)
		}
		tried[chosen.ID] = true
	}
}

// TestItemsSeekPaceAndMemoryFirst: for a text of seconds the distance decides between equals only.
func TestItemsSeekPaceAndMemoryFirst(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(near, far *Endpoint)
		want   string
	}{
		{"equals", func(_, _ *Endpoint) {}, "near"},
		{"the near one is slower by half", func(near, far *Endpoint) {
			near.LearnPace(now, 60*time.Millisecond)
			far.LearnPace(now, 40*time.Millisecond)
		}, "far"},
		{"the near one's memory is taken", func(near, _ *Endpoint) { near.Tokens = 15_000 }, "far"},
		{"the near one's slots are taken", func(near, _ *Endpoint) { near.InFlight = 6 }, "far"},
	} {
		near, far := placed("near", "n2", 0), placed("far", "s1", 0)
		c.change(near, far)
		for rotation := range uint64(4) {
			query := inNorth()
			query.Tokens, query.MemoryTokens, query.Rotation = 2_000, 20_000, rotation
			query.BestPace = poolOf(near, far).BestPace(now, port.AllowedRegions{})
			if got := LongRollouts.Pick(query, []*Endpoint{near, far}); got == nil || got.ID != c.want {
				t.Errorf("%s: %v", c.name, got)
			}
		}
	}
	for rotation := range uint64(4) {
		query := inNorth()
		query.Rotation = rotation
		if got := Rollouts.Pick(query, []*Endpoint{placed("far", "s1", 0), placed("near", "n2", 0)}); got.ID != "near" {
			t.Errorf("an item goes to the %s one of two equals", got.ID)
		}
	}
}

// TestOneRegionPicksAsBefore: a fixed sequence of choices of a deployment of one region; the names are
// those that the choices gave before regions were known.
func TestOneRegionPicksAsBefore(t *testing.T) {
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
			t.Errorf("%s: %s, should be %s", name, got, c.want)
		}
	}
}

// sequence plays twenty choices among five endpoints of three zones.
func sequence(profile *Profile) string {
	var list []*Endpoint
	for i := range 5 {
		e := usable(fmt.Sprint(i))
		e.Zone = fmt.Sprint("z", i%3)
		e.Succeeded(time.Duration(20+7*i) * time.Millisecond)
		e.LearnPace(now, time.Duration(40+5*(i%2))*time.Millisecond)
		list = append(list, e)
	}
	var names strings.Builder
	for i := range uint64(20) {
		query := &Query{Now: now, Zone: "z1", Model: "m", Room: 1.5, Rotation: i, Tokens: 100, MemoryTokens: 5000, BestPace: 40 * time.Millisecond}
		if chosen := profile.Pick(query, list); chosen != nil {
			chosen.InFlight++
			chosen.Tokens += 100
			names.WriteString(chosen.ID)
		}
	}
	return names.String()
}

// poolOf returns a pool of endpoints of which something is known.
func poolOf(list ...*Endpoint) *Pool {
	pool := newPool()
	for _, e := range list {
		pool.add(e)
		pool.notePaced(e)
	}
	return pool
}
