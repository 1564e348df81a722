// Package rollout brings named versions onto replicas. The holder of a lease orders
// them; each order carries the lease's fence, the replica's incarnation and the count
// of orders that it must have taken, so that one that is carried out late fails.
package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/endpoint"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/version/recordlease"
)

const (
	// firstLook is when a replica is asked whether it has loaded, lookEvery how often
	// after that.
	firstLook = 950 * time.Millisecond
	lookEvery = 200 * time.Millisecond
	// reportLife is how long a report may be the ground of an order.
	reportLife = 400 * time.Millisecond
	// doubtFor is how long an order without an answer is looked for before it is
	// repeated, loadFor how long a load may take.
	doubtFor = 1200 * time.Millisecond
	loadFor  = 6 * time.Second
	// lookAtOne is the least pause between two looks at all replicas, for each of them, so
	// that looking costs the same processor time whatever their number.
	lookAtOne = 35 * time.Microsecond
	// failPause is the wait after a replica refused or gave no report.
	failPause = 400 * time.Millisecond
)

// Options configure a Rollout.
type Options struct {
	Self  string
	Queue *task.Queue
	Lease *recordlease.Lease
	// Endpoints returns the replicas that are to have the versions of the models, those of each service
	// in the order of their IDs. Others load nothing.
	Endpoints func(now time.Time, models []string) []*endpoint.Endpoint
	// Demand returns the tokens that trainers asked for lately, by model.
	Demand func(now time.Time) map[string]int64
	// Longest returns how many events the models' longest texts have, as far as is known.
	Longest func(now time.Time) map[string]int64
	// WallClock returns this node's time of day; nil where it shows the same as the times given.
	WallClock func(now time.Time) time.Time
}

// Rollout is the machine; it belongs to the node's loop.
type Rollout struct {
	options  Options
	targets  map[string]int64
	replicas map[string]*replicaState
	groups   groups
	nature   nature
	limits   map[string]*loadLimit
	// nextAt is when the replicas are looked at next.
	nextAt time.Time
}

// New returns a machine that knows no version.
func New(options Options) *Rollout {
	return &Rollout{options: options, targets: map[string]int64{}, replicas: map[string]*replicaState{}, nature: nature{}, limits: map[string]*loadLimit{}}
}

// Name takes a version that a trainer named; lower ones are old news.
func (r *Rollout) Name(target port.VersionTarget) {
	if target.Version <= r.targets[target.Model] {
		return
	}
	r.targets[target.Model] = target.Version
	r.options.Queue.Log(event.VersionNamed, "model", target.Model, "version", target.Version)
}

// Target returns the newest version of a model, 0 when none was named.
func (r *Rollout) Target(model string) int64 { return r.targets[model] }

// wanted is one load that is still to be done.
type wanted struct {
	endpoint *endpoint.Endpoint
	model    string
	version  int64
	behind   int64
}

// Tick orders what is due, if this node holds the lease.
func (r *Rollout) Tick(now time.Time) {
	if !r.options.Lease.Held(now) {
		r.keepUnanswered(now)
		return
	}
	if now.Before(r.nextAt) {
		return
	}
	endpoints := r.options.Endpoints(now, slices.Sorted(maps.Keys(r.targets)))
	r.nextAt = now.Add(time.Duration(len(endpoints)) * lookAtOne)
	r.forget(now, endpoints)
	demand := r.options.Demand(now)
	services := byService(endpoints)
	for _, service := range slices.Sorted(maps.Keys(services)) {
		r.tickService(now, service, services[service], demand)
	}
}

// tickService orders the loads of one service's replicas.
func (r *Rollout) tickService(now time.Time, service string, members []*endpoint.Endpoint, demand map[string]int64) {
	limit := r.limit(service)
	loading := r.follow(now, members, limit)
	serving, evacuated := withheldAs(members, endpoint.Schedulable), withheldAs(members, endpoint.UnschedulableEvacuated)
	dealt := serving
	if len(serving) == 0 {
		// Whether there are enough for groups goes by those that come back.
		dealt = evacuated
	}
	r.groups.assign(dealt, r.targets, demand)
	r.groups.join(evacuated, r.targets, demand)
	r.nature.note(now, serving)
	exchange := exchanges{
		groups: &r.groups, members: serving, targets: r.targets, longest: r.options.Longest(now), nature: r.nature, ordered: r.underOrder(serving),
	}
	exchange.run()
	atOnce := limit.atOnce(len(members))
	loading = r.orderLoads(now, serving, loading, atOnce)
	r.orderLoads(now, evacuated, loading, max(int(evacuatedLoads*float64(atOnce)), 1))
}

// underOrder returns the replicas with an order under way.
func (r *Rollout) underOrder(members []*endpoint.Endpoint) map[string]bool {
	ordered := map[string]bool{}
	for _, e := range members {
		if state := r.known(e); state != nil && state.ordered {
			ordered[e.ID] = true
		}
	}
	return ordered
}

// evacuatedLoads is the part of the loads at once up to which replicas of evacuated zones load:
// what serves goes first, and a load that has begun takes its place for a second.
const evacuatedLoads = 0.5

// withheldAs returns the replicas that get no new work for a reason.
func withheldAs(members []*endpoint.Endpoint, reason endpoint.UnschedulableReason) []*endpoint.Endpoint {
	return slices.DeleteFunc(slices.Clone(members), func(e *endpoint.Endpoint) bool { return e.UnschedulableReason() != reason })
}

// orderLoads orders the loads that replicas want while fewer than so many are under way, and
// returns how many are then.
func (r *Rollout) orderLoads(now time.Time, members []*endpoint.Endpoint, loading, atOnce int) int {
	for _, next := range r.wanted(members) {
		state := r.state(next.endpoint)
		if state.ordered || now.Before(state.notAt) {
			continue
		}
		if loading >= atOnce {
			break
		}
		loading++
		r.order(now, next, state)
	}
	return loading
}

func byService(endpoints []*endpoint.Endpoint) map[string][]*endpoint.Endpoint {
	services := map[string][]*endpoint.Endpoint{}
	for _, e := range endpoints {
		services[e.Service] = append(services[e.Service], e)
	}
	return services
}

func (r *Rollout) limit(service string) *loadLimit {
	limit := r.limits[service]
	if limit == nil {
		limit = &loadLimit{}
		r.limits[service] = limit
	}
	return limit
}

func (r *Rollout) forget(now time.Time, endpoints []*endpoint.Endpoint) {
	listed := make(map[*endpoint.Endpoint]bool, len(endpoints))
	ids := make(map[string]bool, len(endpoints))
	for _, one := range endpoints {
		listed[one], ids[one.ID] = true, true
	}
	for id, state := range r.replicas {
		if !listed[state.endpoint] && !state.unanswered.any(now) {
			delete(r.replicas, id)
		}
	}
	r.groups.forget(ids)
	r.nature.forget(listed)
}

// follow looks after the orders under way at a service's replicas and counts them.
func (r *Rollout) follow(now time.Time, members []*endpoint.Endpoint, limit *loadLimit) int {
	loading := 0
	for _, e := range members {
		if state := r.known(e); state != nil && state.ordered {
			loading++
		}
	}
	for _, e := range members {
		state := r.known(e)
		if state == nil || !state.ordered {
			continue
		}
		// Loads that were ordered together end together: the last of them to be seen would
		// pass for one that ran alone.
		state.beside = max(state.beside, loading)
		switch {
		case e.Versions[state.model] >= state.version:
			limit.finished(load{orderedAt: state.orderedAt, loadingAt: state.loadingAt, doneAt: now}, state.beside)
			r.finish(now, e, state)
			loading--
		case now.Sub(state.orderedAt) >= loadFor:
			state.ordered = false
			state.notAt = now.Add(failPause)
			loading--
		case !state.asking && !now.Before(state.notAt):
			r.ask(e, state)
		}
	}
	return loading
}

func (r *Rollout) finish(now time.Time, one *endpoint.Endpoint, state *replicaState) {
	state.ordered = false
	one.SetLoading(state.model, time.Time{})
	r.options.Queue.Log(event.VersionLoaded, "replica", one.ID, "model", state.model, "version", state.version,
		"took_ms", now.Sub(state.orderedAt).Milliseconds())
}

// wanted lists the loads still to be done, the most urgent first. A model's steps take
// its newest version and the one before, so each replica of its group moves at every
// second version only: those that are two behind must move; of the others so many move
// that half have the newest.
func (r *Rollout) wanted(members []*endpoint.Endpoint) []wanted {
	var queues []*loadQueue
	for _, model := range slices.Sorted(maps.Keys(r.targets)) {
		group := slices.DeleteFunc(slices.Clone(members), func(e *endpoint.Endpoint) bool { return !r.groups.follows(e, model) })
		if len(group) > 0 {
			queues = append(queues, r.queueOf(model, group))
		}
	}
	return merge(queues)
}

// queueOf lists the loads of one model's group.
func (r *Rollout) queueOf(model string, group []*endpoint.Endpoint) *loadQueue {
	target := r.targets[model]
	q := &loadQueue{group: len(group)}
	newest := 0
	for _, e := range group {
		next := wanted{endpoint: e, model: model, version: target, behind: target - e.Versions[model]}
		switch {
		case next.behind <= 0 || r.underWay(next):
			newest++
			q.usable++
		case next.behind == 1:
			q.usable++
			q.may = append(q.may, next)
		default:
			q.must = append(q.must, next)
		}
	}
	q.sort()
	more := min(max(len(group)/2-newest-len(q.must), 0), len(q.may))
	q.may = q.may[:more]
	return q
}
