package endpoint

import (
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
)

// Query describes the requirements of a request.
type Query struct {
	Now time.Time
	// Zone and Region are the node's own.
	Zone, Region string
	// Homes are the regions that the request is restricted to.
	Homes port.AllowedRegions
	// ExtraLatency returns the additional round-trip time to a zone compared with one in the node's own
	// region. It is nil in a single-region deployment.
	ExtraLatency func(zone string) time.Duration
	// WalkStart is the key whose ring position a walk over a large pool starts at.
	WalkStart string
	// Model and MinVersion restrict the weights; an empty model accepts any.
	Model      string
	MinVersion int64
	// Exclude holds the IDs of endpoints that the request has already been sent to.
	Exclude map[string]bool
	// PreferredID is the ID of the endpoint that has the request's prompt cached.
	PreferredID string
	// MaxLoad limits the requests on an endpoint, as a multiple of its slots. ReservedSlots of them are left for
	// others, unless the endpoint has no more.
	MaxLoad       float64
	ReservedSlots int
	// Tokens is the memory that the request is expected to use and MemoryTokens the memory of a
	// replica, both in tokens; 0 if unknown.
	Tokens, MemoryTokens int
	// BestPace is the shortest time between two events among the candidates, 0 if unknown.
	BestPace time.Duration
	// RequirePace restricts the choice to endpoints with a known pace, if there are any.
	RequirePace bool
	// AllowEjected includes ejected endpoints.
	AllowEjected bool
	// ColdPeriod is how long a replica stays cold after its start, 0 if replicas accept full load at
	// once. OnlyCold selects cold endpoints only; otherwise only warm ones are selected.
	ColdPeriod time.Duration
	OnlyCold   bool
	// Permit, if set, reports whether the node may currently send to an endpoint. IncludeRateLimited also
	// includes endpoints that it may send to later. DryRun marks a query that is not followed by a send.
	Permit                     func(e *Endpoint) bool
	IncludeRateLimited, DryRun bool
	// Rotation breaks ties and differs between choices.
	Rotation uint64
}

// Filter reports whether an endpoint is eligible.
type Filter func(q *Query, e *Endpoint) bool

// Scorer rates an endpoint from 0 (worst) to 1 (best).
type Scorer func(q *Query, e *Endpoint) float64

type weightedScorer struct {
	score  Scorer
	weight float64
}

// Profile is a set of filters and weighted scorers for one kind of request.
type Profile struct {
	filters []Filter
	scorers []weightedScorer
	// lowestDelay restricts the choice to the endpoints with the lowest expected delay. It suits
	// requests that take milliseconds, where the round trip to another region matters.
	lowestDelay bool
}

// Requests is the profile for callers' requests and HedgedRequests the one for further attempts
// beside one in progress. Rollouts is for items of batch jobs, which prefer the endpoint that has
// their prompt cached. LongRollouts is for items with long texts: they determine when a job
// completes, so they prefer the fastest endpoints. ScoringCalls is for scoring calls, which leave
// capacity for callers' requests.
var (
	Requests = Profile{
		filters:     []Filter{IsSchedulable, InHomes, NotExcluded, NotEjected, VersionReached},
		scorers:     []weightedScorer{{LeastLoad, 4}, {LowLatency, 2}, {Near, 1}},
		lowestDelay: true,
	}
	HedgedRequests = Profile{
		filters:     append(slices.Clone(Requests.filters), HasSlot),
		scorers:     Requests.scorers,
		lowestDelay: true,
	}
	Rollouts = Profile{
		filters: []Filter{IsSchedulable, InHomes, NotExcluded, NotEjected, VersionReached, NotLoading, BelowMaxLoad},
		scorers: []weightedScorer{{LeastLoad, 4}, {SlowPace, 4}, {Preferred, 3}, {FreeSlot, 3}, {FreeMemory, 4}, {Near, 0.5}},
	}
	LongRollouts = Profile{
		filters: Rollouts.filters,
		scorers: []weightedScorer{{FastPace, 8}, {LeastLoad, 4}, {FreeSlot, 3}, {FreeMemory, 6}, {Near, 0.1}},
	}
	// FastRollouts is used for long items while the fastest endpoints have capacity.
	FastRollouts = Profile{
		filters: append(slices.Clone(Rollouts.filters), AmongFastest, HasSlot, HasMemory),
		scorers: LongRollouts.scorers,
	}
	ScoringCalls = Profile{
		filters:     append(slices.Clone(Requests.filters), BelowMaxLoad),
		scorers:     Requests.scorers,
		lowestDelay: true,
	}
)

// IsSchedulable drops endpoints that get no new work.
func IsSchedulable(_ *Query, e *Endpoint) bool { return !e.Unschedulable() }

// NotExcluded drops endpoints that the request has already been sent to.
func NotExcluded(q *Query, e *Endpoint) bool { return !q.Exclude[e.ID] }

// NotEjected drops ejected endpoints.
func NotEjected(q *Query, e *Endpoint) bool { return q.AllowEjected || !e.Ejected(q.Now) }

// NotLoading drops endpoints that are loading a version of the model.
func NotLoading(q *Query, e *Endpoint) bool { return !e.Loading(q.Now, q.Model) }

// VersionReached drops endpoints whose version of the model is too old.
func VersionReached(q *Query, e *Endpoint) bool {
	return q.Model == "" || e.Versions[q.Model] >= q.MinVersion
}

// BelowMaxLoad drops endpoints that have reached the query's load limit.
func BelowMaxLoad(q *Query, e *Endpoint) bool {
	limit := q.MaxLoad * float64(max(e.Slots, 1))
	if q.ReservedSlots > 0 {
		limit = max(limit-float64(q.ReservedSlots), 1)
	}
	return float64(e.Load(q.Now)) < limit
}

// AmongFastest drops endpoints that are known to be slower than the fastest.
func AmongFastest(q *Query, e *Endpoint) bool {
	pace := e.Pace(q.Now)
	if pace == 0 || q.BestPace == 0 {
		return !q.RequirePace
	}
	return float64(pace) <= SimilarPaceRatio*float64(q.BestPace)
}

// HasSlot drops endpoints that have no free slot.
func HasSlot(q *Query, e *Endpoint) bool { return e.Load(q.Now) < max(e.Slots, 1) }

// HasMemory drops endpoints that would run out of memory with the request.
func HasMemory(q *Query, e *Endpoint) bool {
	return q.MemoryTokens <= 0 || e.Tokens+q.Tokens <= q.MemoryTokens
}

// LeastLoad is 1 for an idle endpoint and falls to 0 at twice its slots.
func LeastLoad(q *Query, e *Endpoint) float64 {
	return max(0, 1-float64(e.Load(q.Now))/float64(2*max(e.Slots, 1)))
}

// FreeSlot is 1 for an endpoint with a free slot and 0 otherwise. A run that waits behind a full batch
// of long texts is delayed by seconds, so a somewhat slower endpoint with a free slot is preferred.
func FreeSlot(q *Query, e *Endpoint) float64 {
	if e.Load(q.Now) < e.Slots {
		return 1
	}
	return 0
}

// FreeMemory is the fraction of the endpoint's memory that remains once the request and this node's
// other runs have reached their expected size. A replica that runs out of memory preempts its newest
// run, which delays that run by seconds.
func FreeMemory(q *Query, e *Endpoint) float64 {
	if q.MemoryTokens <= 0 {
		return 1
	}
	return min(max(1-float64(e.Tokens+q.Tokens)/float64(q.MemoryTokens), 0), 1)
}

// typicalLatency is the latency for which LowLatency is one half.
const typicalLatency = 100 * time.Millisecond

// LowLatency falls from 1 towards 0 as the endpoint's latency grows. An endpoint without a measured
// latency scores 1, so that it is tried.
func LowLatency(_ *Query, e *Endpoint) float64 {
	return float64(typicalLatency) / float64(typicalLatency+e.latency)
}

// SimilarPaceRatio is the factor of the best pace up to which endpoints count as equally fast. A full
// batch is that much slower than a single run.
const SimilarPaceRatio = 1.12

// FastPace is 1 for the fastest endpoints and falls towards 0 for slower ones. An endpoint of unknown
// pace scores 1, so that it is tried.
func FastPace(q *Query, e *Endpoint) float64 {
	pace := e.Pace(q.Now)
	if pace == 0 || q.BestPace == 0 {
		return 1
	}
	return min(SimilarPaceRatio*float64(q.BestPace)/float64(pace), 1)
}

// degradedPaceRatio is the factor of the best pace above which an endpoint counts as degraded rather
// than as slower hardware.
const degradedPaceRatio = 1.7

// SlowPace rises from 0 for the fastest endpoint to 0.4 for endpoints on slower hardware. It keeps the
// fast endpoints free for long texts. A degraded endpoint scores 0.
func SlowPace(q *Query, e *Endpoint) float64 {
	pace := e.Pace(q.Now)
	if pace == 0 || q.BestPace == 0 || float64(pace) > degradedPaceRatio*float64(q.BestPace) {
		return 0
	}
	return max(1-float64(q.BestPace)/float64(pace), 0)
}

// Preferred is 1 for the endpoint that has the prompt cached and 0 for others.
func Preferred(q *Query, e *Endpoint) float64 {
	if q.PreferredID != "" && e.ID == q.PreferredID {
		return 1
	}
	return 0
}

// tieTolerance is the score difference up to which endpoints count as equal.
const tieTolerance = 0.02

// Pick returns the best of the candidates, nil if none is eligible.
func (p *Profile) Pick(q *Query, candidates []*Endpoint) *Endpoint {
	var usable []*Endpoint
	for _, candidate := range candidates {
		if p.allowed(q, candidate) {
			usable = append(usable, candidate)
		}
	}
	return p.best(q, usable)
}

// best returns the best of the eligible endpoints, nil if there are none.
func (p *Profile) best(q *Query, usable []*Endpoint) *Endpoint {
	best := -1.0
	if p.lowestDelay {
		usable = filterByDelay(q, usable)
	}
	sums := make([]float64, len(usable))
	for i, candidate := range usable {
		sums[i] = p.weightedScore(q, candidate)
		best = max(best, sums[i])
	}
	equal := usable[:0]
	for i, candidate := range usable {
		if sums[i] >= best-tieTolerance {
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
	// The limits on cold replicas apply to every profile.
	return MatchesColdState(q, candidate) && Permitted(q, candidate)
}

func (p *Profile) weightedScore(q *Query, candidate *Endpoint) float64 {
	total, weights := 0.0, 0.0
	for _, scorer := range p.scorers {
		total += scorer.weight * scorer.score(q, candidate)
		weights += scorer.weight
	}
	return total / weights
}
