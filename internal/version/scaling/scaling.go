// Package scaling determines the number of replicas per zone for services whose replica count can
// be ordered. Only the lease holder sends orders.
//
// No state is persisted. An order states the target number rather than a change, so a new holder
// only needs the current replicas and work.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/process/task"
	"github.com/doorstep/doorstep/internal/version/recordlease"
)

const (
	// tickInterval is the interval between evaluations.
	tickInterval = 250 * time.Millisecond
	// growThreshold is the fraction by which the number needed must exceed the current one before
	// replicas are added.
	growThreshold = 0.1
	// Replicas are removed once a number of at most shrinkThreshold times the current one has been
	// sufficient throughout shrinkDelay. Adding them back takes their start-up time.
	shrinkThreshold = 0.6
	shrinkDelay     = 2 * time.Minute
	// startMargin is added to the start-up time of replicas before an unfulfilled order is sent
	// again.
	startMargin = 3 * time.Second
	// callTimeout bounds a call to the platform.
	callTimeout = 900 * time.Millisecond
	// minListedDuration is how long the list of replicas must have been continuously available.
	// Replicas write their records every second or so; after an interruption, expired ones are back
	// within two.
	minListedDuration = 5 * time.Second
	// floorWindow is the period whose maximum replica count an order that adds replicas must not
	// fall below, since the list may be missing some replicas.
	floorWindow = time.Minute
	// retryDelay is the delay after an unsuccessful call.
	retryDelay = 500 * time.Millisecond
)

// Zone describes a service's replicas in one zone.
type Zone struct {
	Name string
	// Replicas is the number of replicas that are not draining. Slots is the number of slots per
	// replica, or 0 if no replica is listed in any zone.
	Replicas, Slots int
	// Evacuated zones receive no work. They count as absent, and no replicas are ordered for them.
	Evacuated bool
}

// Service is a service whose replica count can be ordered.
type Service struct {
	Name string
	port.Scaling
	// Items is the number of batch items in progress, RequiredSlots the number of slots that complete
	// them in time.
	Items, RequiredSlots int
	Zones                []Zone
}

// Options configures a Scaler.
type Options struct {
	Self  string
	Queue *task.Queue
	Lease *recordlease.Lease
	// Services returns the current state of all services whose replica count can be ordered.
	Services func(now time.Time) []Service
	// ListedSince returns since when the list of replicas has been continuously available, or zero
	// if it is not.
	ListedSince func() time.Time
}

// Scaler is the state machine that orders replicas. It must only be used from the node's event
// loop.
type Scaler struct {
	options  Options
	nextTick time.Time
	// services holds the recent state by service, zones the recent orders by zone.
	services map[string]*serviceState
	zones    map[zoneKey]*zoneState
}

// serviceState is the recent state of a service.
type serviceState struct {
	// work tracks the number of slots required.
	work *peakTracker
	// activeZones are the zones that share the work. changedAt is when they last changed.
	activeZones []string
	changedAt   time.Time
}

type zoneKey struct{ service, zone string }

// zoneState is the recent state of a zone.
type zoneState struct {
	// listed tracks the number of listed replicas.
	listed *peakTracker
	// replicas is the number last ordered, at orderedAt.
	replicas       int
	orderedAt      time.Time
	requestPending bool
	notBefore      time.Time
}

// New returns a Scaler without any orders.
func New(options Options) *Scaler {
	return &Scaler{options: options, services: map[string]*serviceState{}, zones: map[zoneKey]*zoneState{}}
}

// Tick sends the orders that are due if this node holds the lease.
func (s *Scaler) Tick(now time.Time) {
	if !s.options.Lease.Held(now) {
		clear(s.services)
		clear(s.zones)
		return
	}
	if now.Before(s.nextTick) {
		return
	}
	s.nextTick = now.Add(tickInterval)
	for _, service := range s.options.Services(now) {
		s.tickService(now, service)
	}
}

func (s *Scaler) tickService(now time.Time, service Service) {
	state := s.services[service.Name]
	if state == nil {
		state = &serviceState{work: &peakTracker{since: now}, activeZones: activeZoneNames(service)}
		s.services[service.Name] = state
	}
	state.work.add(now, service.RequiredSlots)
	if active := activeZoneNames(service); !slices.Equal(active, state.activeZones) {
		state.activeZones, state.changedAt = active, now
	}
	for _, zone := range service.Zones {
		if zone.Evacuated {
			continue
		}
		current := s.zoneStateOf(now, service, zone)
		current.listed.add(now, zone.Replicas)
		if target := s.targetReplicas(now, service, zone, state); target != zone.Replicas && s.listComplete(now) {
			s.order(now, service, zone, target)
		}
	}
}

// activeZoneNames returns the names of the zones that share a service's work.
func activeZoneNames(service Service) []string {
	var names []string
	for _, zone := range service.Zones {
		if !zone.Evacuated {
			names = append(names, zone.Name)
		}
	}
	return names
}

func (s *Scaler) zoneStateOf(now time.Time, service Service, zone Zone) *zoneState {
	key := zoneKey{service.Name, zone.Name}
	state := s.zones[key]
	if state == nil {
		state = &zoneState{listed: &peakTracker{since: now}}
		s.zones[key] = state
	}
	return state
}

// listComplete reports whether the list of replicas has been available long enough to base orders
// on it.
func (s *Scaler) listComplete(now time.Time) bool {
	since := s.options.ListedSince()
	return !since.IsZero() && now.Sub(since) >= minListedDuration
}

// targetReplicas returns the number of replicas that a zone should have.
func (s *Scaler) targetReplicas(now time.Time, service Service, zone Zone, state *serviceState) int {
	clamp := func(replicas int) int { return min(max(replicas, service.Min, 1), service.Max) }
	// A peak counts until the replicas ordered for it could have started, as an order may have to be repeated.
	peak := state.work.maxWithin(now, startupLimit(service))
	needed := clamp(replicasFor(peak, zone.Slots, len(state.activeZones)))
	if float64(needed) >= (1+growThreshold)*float64(zone.Replicas) || zone.Replicas < service.Min {
		return clamp(max(needed, s.zoneStateOf(now, service, zone).listed.maxWithin(now, floorWindow)))
	}
	// After an evacuation, the zone's replicas may be cold, so the replicas added in the meantime
	// are not removed immediately.
	if now.Sub(state.work.since) < shrinkDelay || now.Sub(state.changedAt) < shrinkDelay {
		return zone.Replicas
	}
	sufficient := clamp(replicasFor(state.work.maxWithin(now, shrinkDelay), zone.Slots, len(state.activeZones)))
	if float64(sufficient) <= shrinkThreshold*float64(zone.Replicas) {
		return sufficient
	}
	return zone.Replicas
}

// replicasFor returns the number of replicas that a zone needs for its share of the required slots,
// or 0 if the number of slots per replica is unknown.
func replicasFor(required, slots, zones int) int {
	if slots <= 0 || zones <= 0 {
		return 0
	}
	return int(math.Ceil(float64(required) / float64(slots*zones)))
}

// startupLimit returns the time within which ordered replicas should have started.
func startupLimit(service Service) time.Duration { return service.StartupTime + startMargin }

// order orders a zone's number of replicas. An order is not repeated or reduced before its replicas
// could have started.
func (s *Scaler) order(now time.Time, service Service, zone Zone, target int) {
	last := s.zoneStateOf(now, service, zone)
	repeated := last.replicas == target && now.Sub(last.orderedAt) < startupLimit(service)
	shrinking := target < last.replicas && now.Sub(last.orderedAt) < startupLimit(service)
	if last.requestPending || repeated || shrinking || now.Before(last.notBefore) || !s.options.Lease.TryAct(now, service.Name+"/"+zone.Name) {
		return
	}
	last.requestPending = true
	s.options.Queue.Add(task.OrderReplicas{
		Order: port.ReplicaOrder{Service: service.Name, Zone: zone.Name, Replicas: target, Holder: s.options.Self, Fence: s.options.Lease.Fence()},
		Limit: min(s.options.Lease.Remaining(now), callTimeout),
		Done:  func(now time.Time, status port.DutyStatus) { s.onOrdered(now, service, zone, target, last, status) },
	})
}

func (s *Scaler) onOrdered(now time.Time, service Service, zone Zone, target int, last *zoneState, status port.DutyStatus) {
	last.requestPending = false
	s.options.Queue.Log(event.ReplicasOrdered, "service", service.Name, "zone", zone.Name, "replicas", target, "listed", zone.Replicas,
		"items", service.Items, "required_slots", service.RequiredSlots, "status", status.String())
	switch status {
	case port.DutyDone:
		last.replicas, last.orderedAt = target, now
		if target < zone.Replicas {
			last.listed = &peakTracker{since: now}
		}
	case port.DutyFenced:
		s.options.Lease.OnFenced(s.options.Lease.Fence())
	case port.DutyUnknown, port.DutyRefused:
		last.notBefore = now.Add(retryDelay)
	}
}

// peakTracker holds the recent maximum of a value per second.
type peakTracker struct {
	since   time.Time
	samples []sample
}

type sample struct {
	at     time.Time
	amount int
}

// add records the current value.
func (p *peakTracker) add(now time.Time, amount int) {
	if last := len(p.samples) - 1; last >= 0 && now.Sub(p.samples[last].at) < time.Second {
		p.samples[last].amount = max(p.samples[last].amount, amount)
		return
	}
	p.samples = append(p.samples, sample{now, amount})
	p.samples = slices.DeleteFunc(p.samples, func(s sample) bool { return now.Sub(s.at) > shrinkDelay })
}

// maxWithin returns the maximum within the window.
func (p *peakTracker) maxWithin(now time.Time, window time.Duration) int {
	peak := 0
	for _, s := range p.samples {
		if now.Sub(s.at) <= window {
			peak = max(peak, s.amount)
		}
	}
	return peak
}

// SortZones sorts zones by name.
func SortZones(zones []Zone) {
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
}
