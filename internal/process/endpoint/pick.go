package endpoint

import (
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// Query says what a request needs of an endpoint.
type Query struct {
	Now time.Time
	// Zone and Region are the node's own.
	Zone, Region string
	// Homes are the regions in which the request must stay.
	Homes port.AllowedRegions
	// Away returns how much longer the way to a zone and back is than within the own region; nil
	// where there is one region.
	Away func(zone string) time.Duration
	// Origin names the place from which a walk along the endpoints of a large service begins.
	Origin string
	// Model and MinVersion bound the weights; an empty model wants none.
	Model      string
	MinVersion int64
	// Exclude holds endpoints that this request has been to.
	Exclude map[string]bool
	// Prefer is the ID of the endpoint that holds the request's prompt.
	Prefer string
	// Room is how many requests, as a multiple of its slots, an endpoint may hold.
	Room float64
	// Tokens is the memory that the request is expected to take, MemoryTokens what a replica has;
	// 0 where that is not told.
	Tokens, MemoryTokens int
	// BestPace is the least time between two events among the candidates' runs, 0 when
	// none is known.
	BestPace time.Duration
	// Paced wants an endpoint whose pace is known, if there is one.
	Paced bool
	// AllowEjected also takes endpoints that failed lately.
	AllowEjected bool
	// ColdLasts is how long a replica is cold after its start, 0 where it bears all at once; OnlyCold
	// takes cold endpoints alone, and without it none is taken.
	ColdLasts time.Duration
	OnlyCold  bool
	// Permit, unless nil, reports whether the node may send to an endpoint at present. Unguarded asks
	// for endpoints as well that it may send to later; Look says that nothing is sent.
	Permit          func(e *Endpoint) bool
	Unguarded, Look bool
	// Rotation breaks ties; it differs from choice to choice.
	Rotation uint64
}

// Filter reports whether an endpoint may be used.
type Filter func(q *Query, e *Endpoint) bool

// Scorer rates an endpoint from 0, worst, to 1, best.
type Scorer func(q *Query, e *Endpoint) float64

type weightedScorer struct {
	score  Scorer
	weight float64
}

// Profile is one way of choosing.
type Profile struct {
	filters []Filter
	scorers []weightedScorer
	// soonest profiles choose among the endpoints that answer soonest: for a request that takes
	// milliseconds the way to another region counts, for a text that takes seconds it does not.
	soonest bool
}

// Requests is the profile for callers' requests. Rollouts is the one for items of
// batch jobs, which seek the endpoint that holds their prompt. LongRollouts is for
// items whose text is long: these decide when a job is whole, so they seek the endpoint
// that makes events fastest. ScoringCalls is for calls that callers' requests go before:
// they leave room for these.
var (
	Requests = Profile{
		filters: []Filter{NotDraining, InHomes, NotExcluded, NotEjected, VersionReached},
		scorers: []weightedScorer{{LeastLoad, 4}, {Fast, 2}, {Near, 1}},
		soonest: true,
	}
	Rollouts = Profile{
		filters: []Filter{NotDraining, InHomes, NotExcluded, NotEjected, VersionReached, NotLoading, HasRoom},
		scorers: []weightedScorer{{LeastLoad, 4}, {Leisurely, 4}, {Preferred, 3}, {FreeSlot, 3}, {FreeMemory, 4}, {Near, 0.5}},
	}
	LongRollouts = Profile{
		filters: Rollouts.filters,
		scorers: []weightedScorer{{Steady, 8}, {LeastLoad, 4}, {FreeSlot, 3}, {FreeMemory, 6}, {Near, 0.1}},
	}
	// FastRollouts is for the same items while there is room for them at the fastest endpoints.
	FastRollouts = Profile{
		filters: append(slices.Clone(Rollouts.filters), FastKind, HasSlot, HasMemory),
		scorers: LongRollouts.scorers,
	}
	ScoringCalls = Profile{
		filters: append(slices.Clone(Requests.filters), HasRoom),
		scorers: Requests.scorers,
		soonest: true,
	}
)

// NotDraining drops endpoints that leave.
func NotDraining(_ *Query, e *Endpoint) bool { return !e.Leaving() }

// NotExcluded drops endpoints that the request has been to.
func NotExcluded(q *Query, e *Endpoint) bool { return !q.Exclude[e.ID] }

// NotEjected drops endpoints that failed lately.
func NotEjected(q *Query, e *Endpoint) bool { return q.AllowEjected || !e.Ejected(q.Now) }

// NotLoading drops endpoints that load a version of the model.
func NotLoading(q *Query, e *Endpoint) bool { return !e.Loading(q.Now, q.Model) }

// VersionReached drops endpoints whose weights are too old.
func VersionReached(q *Query, e *Endpoint) bool {
	return q.Model == "" || e.Versions[q.Model] >= q.MinVersion
}

// HasRoom drops endpoints that hold as many requests as they should.
func HasRoom(q *Query, e *Endpoint) bool {
	return float64(e.Load(q.Now)) < q.Room*float64(max(e.Slots, 1))
}

// FastKind drops endpoints whose runs are known to make events more slowly than the fastest.
func FastKind(q *Query, e *Endpoint) bool {
	pace := e.Pace(q.Now)
	if pace == 0 || q.BestPace == 0 {
		return !q.Paced
	}
	return float64(pace) <= AlikePaces*float64(q.BestPace)
}

// HasSlot drops endpoints that would not begin the request at once.
func HasSlot(q *Query, e *Endpoint) bool { return e.Load(q.Now) < e.Slots }

// HasMemory drops endpoints whose memory this node's runs and the request are expected to outgrow.
func HasMemory(q *Query, e *Endpoint) bool {
	return q.MemoryTokens <= 0 || e.Tokens+q.Tokens <= q.MemoryTokens
}

// LeastLoad is 1 for an idle endpoint and falls to 0 at twice its slots.
func LeastLoad(q *Query, e *Endpoint) float64 {
	return max(0, 1-float64(e.Load(q.Now))/float64(2*max(e.Slots, 1)))
}

// FreeSlot is 1 for an endpoint that begins a run at once, 0 for one whose slots are taken.
// Behind a full batch of long texts a run waits for seconds, which LeastLoad alone does not
// say; an endpoint that is slower by half is better, one that is slower by three is not.
func FreeSlot(q *Query, e *Endpoint) float64 {
	if e.Load(q.Now) < e.Slots {
		return 1
	}
	return 0
}

// FreeMemory is the part of an endpoint's memory that is left once the request and this node's
// other runs there have grown to what they are expected to take. Where it runs out, replicas
// put back the newest run, which waits for seconds.
func FreeMemory(q *Query, e *Endpoint) float64 {
	if q.MemoryTokens <= 0 {
		return 1
	}
	return min(max(1-float64(e.Tokens+q.Tokens)/float64(q.MemoryTokens), 0), 1)
}

// typicalLatency is where Fast is one half.
const typicalLatency = 100 * time.Millisecond

// Fast falls from 1 towards 0 as the endpoint's answers take longer; an endpoint
// without answers rates as a fast one, so that it is tried.
func Fast(_ *Query, e *Endpoint) float64 {
	return float64(typicalLatency) / float64(typicalLatency+e.latency)
}

// AlikePaces times the best pace is up to where endpoints count as equally fast: a full
// batch is that much slower than a run alone.
const AlikePaces = 1.12

// Steady falls from 1, for the endpoints whose runs make events fastest, towards 0 for
// slower ones. One whose pace is not known rates as the fastest, so that it is tried.
func Steady(q *Query, e *Endpoint) float64 {
	pace := e.Pace(q.Now)
	if pace == 0 || q.BestPace == 0 {
		return 1
	}
	return min(AlikePaces*float64(q.BestPace)/float64(pace), 1)
}

// slowestUsual, times the best pace, is where an endpoint counts as in trouble rather
// than as slower by nature.
const slowestUsual = 1.7

// Leisurely rises from 0, for the fastest endpoint, to 0.4 for those that are slower by
// nature: texts that are likely short are no worse off there, and leave the fast ones to
// long texts. An endpoint in trouble rates 0.
func Leisurely(q *Query, e *Endpoint) float64 {
	pace := e.Pace(q.Now)
	if pace == 0 || q.BestPace == 0 || float64(pace) > slowestUsual*float64(q.BestPace) {
		return 0
	}
	return max(1-float64(q.BestPace)/float64(pace), 0)
}

// Preferred is 1 for the endpoint that holds the prompt, 0 for others.
func Preferred(q *Query, e *Endpoint) float64 {
	if q.Prefer != "" && e.ID == q.Prefer {
		return 1
	}
	return 0
}

// tieBand is how near to the best a score must be to count as equal.
const tieBand = 0.02

// Pick returns the chosen one of all candidates, nil when none may be used.
func (p *Profile) Pick(q *Query, candidates []*Endpoint) *Endpoint {
	var usable []*Endpoint
	for _, candidate := range candidates {
		if p.allowed(q, candidate) {
			usable = append(usable, candidate)
		}
	}
	return p.best(q, usable)
}

// best returns the chosen one of usable endpoints, nil when there is none.
func (p *Profile) best(q *Query, usable []*Endpoint) *Endpoint {
	best := -1.0
	if p.soonest {
		usable = soonest(q, usable)
	}
	sums := make([]float64, len(usable))
	for i, candidate := range usable {
		sums[i] = p.sum(q, candidate)
		best = max(best, sums[i])
	}
	equal := usable[:0]
	for i, candidate := range usable {
		if sums[i] >= best-tieBand {
			equal = append(equal, candidate)
		}
	}
	equal = nearest(q, equal)
	if len(equal) == 0 {
		return nil
	}
	return equal[q.Rotation%uint64(len(equal))]
}

func (p *Profile) allowed(q *Query, candidate *Endpoint) bool {
	for _, filter := range p.filters {
		if !filter(q, candidate) {
			return false
		}
	}
	// What cold replicas bear bounds all that is sent.
	return Warmth(q, candidate) && Permitted(q, candidate)
}

func (p *Profile) sum(q *Query, candidate *Endpoint) float64 {
	total, weights := 0.0, 0.0
	for _, scorer := range p.scorers {
		total += scorer.weight * scorer.score(q, candidate)
		weights += scorer.weight
	}
	return total / weights
}
