// Package rollout loads model versions onto replicas. Only the lease holder sends load orders. Each
// order carries the lease's fence, the replica's incarnation and the sequence number that it
// expects at the replica, so that a delayed order is rejected.
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
	// A replica is polled initialReportDelay after an order and every reportInterval from then on.
	initialReportDelay = 950 * time.Millisecond
	reportInterval     = 200 * time.Millisecond
	// reportMaxAge is the maximum age of a report that an order may be based on.
	reportMaxAge = 400 * time.Millisecond
	// An order that is not acknowledged within acknowledgeTimeout is sent again. A load that takes
	// longer than loadTimeout is abandoned.
	acknowledgeTimeout = 1200 * time.Millisecond
	loadTimeout        = 6 * time.Second
	// tickIntervalPerReplica scales the interval between two ticks with the number of replicas, so
	// that the processor time spent on them stays constant.
	tickIntervalPerReplica = 35 * time.Microsecond
	// retryDelay is the delay after a replica rejected an order or did not report.
	retryDelay = 400 * time.Millisecond
)

// Options configures a Rollout.
type Options struct {
	Self  string
	Queue *task.Queue
	Lease *recordlease.Lease
	// Endpoints returns the replicas that load the given models, ordered by ID within each service.
	Endpoints func(now time.Time, models []string) []*endpoint.Endpoint
	// Demand returns the number of tokens that trainers recently requested, by model.
	Demand func(now time.Time) map[string]int64
	// MaxTextLengths returns the length of each model's longest texts in events, as far as known.
	MaxTextLengths func(now time.Time) map[string]int64
	// WallClock returns the node's wall-clock time. If nil, the times passed in are used.
	WallClock func(now time.Time) time.Time
}

// Rollout is the state machine that orders loads. It must only be used from the node's event loop.
type Rollout struct {
	options    Options
	targets    map[string]int64
	replicas   map[string]*replicaState
	groups     groups
	basePaces  basePaces
	loadLimits map[string]*loadLimit
	nextTick   time.Time
}

// New returns a Rollout without target versions.
func New(options Options) *Rollout {
	return &Rollout{options: options, targets: map[string]int64{}, replicas: map[string]*replicaState{}, basePaces: basePaces{}, loadLimits: map[string]*loadLimit{}}
}

// SetTarget sets a model's target version. Versions that are not newer than the current target are
// ignored.
func (r *Rollout) SetTarget(target port.VersionTarget) {
	if target.Version <= r.targets[target.Model] {
		return
	}
	r.targets[target.Model] = target.Version
	r.options.Queue.Log(event.VersionAnnounced, "model", target.Model, "version", target.Version)
}

// Target returns a model's target version, or 0 if it has none.
func (r *Rollout) Target(model string) int64 { return r.targets[model] }

// pendingLoad is a load that has to be ordered.
type pendingLoad struct {
	endpoint *endpoint.Endpoint
	model    string
	version  int64
	behind   int64
}

// Tick sends the orders that are due if this node holds the lease.
func (r *Rollout) Tick(now time.Time) {
	if !r.options.Lease.Held(now) {
		r.discardAllButUnanswered(now)
		return
	}
	if now.Before(r.nextTick) {
		return
	}
	endpoints := r.options.Endpoints(now, slices.Sorted(maps.Keys(r.targets)))
	r.nextTick = now.Add(time.Duration(len(endpoints)) * tickIntervalPerReplica)
	r.removeUnlisted(now, endpoints)
	demand := r.options.Demand(now)
	services := byService(endpoints)
	for _, service := range slices.Sorted(maps.Keys(services)) {
		r.tickService(now, service, services[service], demand)
	}
}

// tickService sends the orders that are due for one service.
func (r *Rollout) tickService(now time.Time, service string, members []*endpoint.Endpoint, demand map[string]int64) {
	limit := r.loadLimitOf(service)
	loading := r.trackOrders(now, members, limit)
	serving, evacuated := filterWithheld(members, endpoint.Schedulable), filterWithheld(members, endpoint.UnschedulableEvacuated)
	assignable := serving
	if len(serving) == 0 {
		// If all replicas are evacuated, their number decides whether there are enough for groups.
		assignable = evacuated
	}
	r.groups.assign(assignable, r.targets, demand)
	r.groups.assignEvacuated(evacuated, r.targets, demand)
	r.basePaces.update(now, serving)
	exchange := groupExchange{
		groups: &r.groups, members: serving, targets: r.targets, maxLengths: r.options.MaxTextLengths(now), basePaces: r.basePaces, loading: r.replicasWithOrders(serving),
	}
	exchange.run()
	maxConcurrent := limit.maxConcurrent(len(members))
	loading = r.orderLoads(now, serving, loading, maxConcurrent)
	r.orderLoads(now, evacuated, loading, max(int(evacuatedLoadFraction*float64(maxConcurrent)), 1))
}

// replicasWithOrders returns the IDs of the replicas with a pending order.
func (r *Rollout) replicasWithOrders(members []*endpoint.Endpoint) map[string]bool {
	ordered := map[string]bool{}
	for _, e := range members {
		if state := r.lookUpState(e); state != nil && state.orderPending {
			ordered[e.ID] = true
		}
	}
	return ordered
}

// evacuatedLoadFraction is the fraction of the concurrent loads that replicas in evacuated zones
// may use. It keeps capacity free for serving replicas.
const evacuatedLoadFraction = 0.5

// filterWithheld returns the replicas that are withheld for the given reason.
func filterWithheld(members []*endpoint.Endpoint, reason endpoint.UnschedulableReason) []*endpoint.Endpoint {
	return slices.DeleteFunc(slices.Clone(members), func(e *endpoint.Endpoint) bool { return e.UnschedulableReason() != reason })
}

// orderLoads orders pending loads until maxConcurrent loads are in progress. It returns the number
// of loads in progress.
func (r *Rollout) orderLoads(now time.Time, members []*endpoint.Endpoint, loading, maxConcurrent int) int {
	for _, load := range r.pendingLoads(members) {
		state := r.stateOf(load.endpoint)
		if state.orderPending || now.Before(state.notBefore) {
			continue
		}
		if loading >= maxConcurrent {
			break
		}
		loading++
		r.orderLoad(now, load, state)
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

func (r *Rollout) loadLimitOf(service string) *loadLimit {
	limit := r.loadLimits[service]
	if limit == nil {
		limit = &loadLimit{}
		r.loadLimits[service] = limit
	}
	return limit
}

func (r *Rollout) removeUnlisted(now time.Time, endpoints []*endpoint.Endpoint) {
	listed := make(map[*endpoint.Endpoint]bool, len(endpoints))
	ids := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e], ids[e.ID] = true, true
	}
	for id, state := range r.replicas {
		if !listed[state.endpoint] && !state.unanswered.any(now) {
			delete(r.replicas, id)
		}
	}
	r.groups.removeUnlisted(ids)
	r.basePaces.removeUnlisted(listed)
}

// trackOrders updates the pending orders of a service's replicas and returns the number of loads in
// progress.
func (r *Rollout) trackOrders(now time.Time, members []*endpoint.Endpoint, limit *loadLimit) int {
	loading := 0
	for _, e := range members {
		if state := r.lookUpState(e); state != nil && state.orderPending {
			loading++
		}
	}
	for _, e := range members {
		state := r.lookUpState(e)
		if state == nil || !state.orderPending {
			continue
		}
		// Loads that are ordered together also finish together. With the current number alone, the
		// last of them would be recorded as a load that ran alone.
		state.maxConcurrent = max(state.maxConcurrent, loading)
		switch {
		case e.Versions[state.model] >= state.version:
			limit.recordLoad(observedLoad{orderedAt: state.orderedAt, lastLoadingAt: state.lastLoadingAt, doneAt: now}, state.maxConcurrent)
			r.completeLoad(now, e, state)
			loading--
		case now.Sub(state.orderedAt) >= loadTimeout:
			state.orderPending = false
			state.notBefore = now.Add(retryDelay)
			loading--
		case !state.requestPending && !now.Before(state.notBefore):
			r.requestReport(e, state)
		}
	}
	return loading
}

func (r *Rollout) completeLoad(now time.Time, e *endpoint.Endpoint, state *replicaState) {
	state.orderPending = false
	e.SetLoading(state.model, time.Time{})
	r.options.Queue.Log(event.VersionLoaded, "replica", e.ID, "model", state.model, "version", state.version,
		"took_ms", now.Sub(state.orderedAt).Milliseconds())
}

// pendingLoads returns the loads to order, most urgent first. Training steps accept a model's
// newest version and the one before. A replica two or more versions behind must load. Of the
// replicas one version behind, only as many load as it takes for half of the group to have the
// newest version, so that each replica loads every second version.
func (r *Rollout) pendingLoads(members []*endpoint.Endpoint) []pendingLoad {
	var queues []*loadQueue
	for _, model := range slices.Sorted(maps.Keys(r.targets)) {
		group := slices.DeleteFunc(slices.Clone(members), func(e *endpoint.Endpoint) bool { return !r.groups.follows(e, model) })
		if len(group) > 0 {
			queues = append(queues, r.loadQueueOf(model, group))
		}
	}
	return mergeQueues(queues)
}

// loadQueueOf returns the load queue of one model's group.
func (r *Rollout) loadQueueOf(model string, group []*endpoint.Endpoint) *loadQueue {
	target := r.targets[model]
	q := &loadQueue{group: len(group)}
	newest := 0
	for _, e := range group {
		load := pendingLoad{endpoint: e, model: model, version: target, behind: target - e.Versions[model]}
		switch {
		case load.behind <= 0 || r.alreadyOrdered(load):
			newest++
			q.usable++
		case load.behind == 1:
			q.usable++
			q.optional = append(q.optional, load)
		default:
			q.required = append(q.required, load)
		}
	}
	q.sort()
	optional := min(max(len(group)/2-newest-len(q.required), 0), len(q.optional))
	q.optional = q.optional[:optional]
	return q
}
