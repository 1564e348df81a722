// Package scaling decides how many replicas each zone should have, for services whose number
// of replicas can be ordered. The holder of a lease orders them.
//
// Nothing is kept but in memory: an order names the number wanted, not a change, so a new holder
// only needs to see the replicas and the work at hand.
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
	// slotsPerItem is how many slots are wanted for an item that is under way at the peak: short
	// texts take turns on a slot within a second, the long ones hold theirs throughout.
	slotsPerItem = 0.6
	// lookEvery paces the look at the work at hand.
	lookEvery = 250 * time.Millisecond
	// peakFor is how long a peak of the work counts: trainers ask for steps every few seconds.
	peakFor = 15 * time.Second
	// growBy is by what part the number wanted must exceed the present one for an order.
	growBy = 0.1
	// shrinkTo is the part of the present number that must have sufficed throughout shrinkAfter
	// for replicas to be given back: to have them back takes their start.
	shrinkTo    = 0.6
	shrinkAfter = 2 * time.Minute
	// settleMargin is added to the time that replicas take to start before an order that did not
	// bring them is repeated.
	settleMargin = 3 * time.Second
	// callLimit bounds a call to the platform.
	callLimit = 900 * time.Millisecond
	// listedFor is how long the list of replicas must have been known without a break: replicas
	// write their records every second or so, and those that ran out are back within two.
	listedFor = 5 * time.Second
	// floorFor is how long an order that is not meant to take replicas away goes by the most that
	// were listed: the list may lack some that are there.
	floorFor = time.Minute
	// refusedPause is the wait after a call that brought nothing.
	refusedPause = 500 * time.Millisecond
)

// Zone is what is known of a service's replicas in one zone.
type Zone struct {
	Name string
	// Replicas counts those that stay, Slots is what one of them runs at once, 0 if none is listed
	// anywhere.
	Replicas, Slots int
	// Evacuated zones get no work: they count as absent, and nothing is ordered for them.
	Evacuated bool
}

// Service is one whose replicas can be ordered.
type Service struct {
	Name string
	port.Scaling
	// Items are the items of batch jobs that are under way for it.
	Items int
	Zones []Zone
}

// Options configure a Scaler.
type Options struct {
	Self  string
	Queue *task.Queue
	Lease *recordlease.Lease
	// Services returns the services whose replicas can be ordered, as they are now.
	Services func() []Service
	// ListedSince returns since when the list of replicas is known without a break, zero while it
	// is not.
	ListedSince func() time.Time
}

// Scaler is the machine; it belongs to the node's loop.
type Scaler struct {
	options Options
	nextAt  time.Time
	// services holds what is known of each service of late, zones what was ordered.
	services map[string]*serviceState
	zones    map[zoneKey]*zoneState
}

// serviceState is what is known of a service.
type serviceState struct {
	// work is the work at hand of late.
	work *peak
	// inUse are the zones that share the work, changedAt is when they last changed.
	inUse     []string
	changedAt time.Time
}

type zoneKey struct{ service, zone string }

// zoneState is what is known of a zone.
type zoneState struct {
	// listed holds how many replicas were listed of late.
	listed *peak
	// replicas is the number ordered last, at the time of the order.
	replicas int
	at       time.Time
	busy     bool
	notAt    time.Time
}

// New returns a machine that has ordered nothing.
func New(options Options) *Scaler {
	return &Scaler{options: options, services: map[string]*serviceState{}, zones: map[zoneKey]*zoneState{}}
}

// Tick orders what is due, if this node holds the lease.
func (s *Scaler) Tick(now time.Time) {
	if !s.options.Lease.Held(now) {
		clear(s.services)
		clear(s.zones)
		return
	}
	if now.Before(s.nextAt) {
		return
	}
	s.nextAt = now.Add(lookEvery)
	for _, service := range s.options.Services() {
		s.tickService(now, service)
	}
}

func (s *Scaler) tickService(now time.Time, service Service) {
	known := s.services[service.Name]
	if known == nil {
		known = &serviceState{work: &peak{since: now}, inUse: zonesInUse(service)}
		s.services[service.Name] = known
	}
	known.work.note(now, service.Items)
	if inUse := zonesInUse(service); !slices.Equal(inUse, known.inUse) {
		known.inUse, known.changedAt = inUse, now
	}
	for _, zone := range service.Zones {
		if zone.Evacuated {
			continue
		}
		state := s.zone(now, service, zone)
		state.listed.note(now, zone.Replicas)
		if wanted := s.wanted(now, service, zone, known); wanted != zone.Replicas && s.listed(now) {
			s.order(now, service, zone, wanted)
		}
	}
}

// zonesInUse names the zones that share a service's work.
func zonesInUse(service Service) []string {
	var names []string
	for _, zone := range service.Zones {
		if !zone.Evacuated {
			names = append(names, zone.Name)
		}
	}
	return names
}

func (s *Scaler) zone(now time.Time, service Service, zone Zone) *zoneState {
	key := zoneKey{service.Name, zone.Name}
	state := s.zones[key]
	if state == nil {
		state = &zoneState{listed: &peak{since: now}}
		s.zones[key] = state
	}
	return state
}

// listed reports whether the list of replicas is known for long enough to order by it.
func (s *Scaler) listed(now time.Time) bool {
	since := s.options.ListedSince()
	return !since.IsZero() && now.Sub(since) >= listedFor
}

// wanted returns how many replicas a zone should have.
func (s *Scaler) wanted(now time.Time, service Service, zone Zone, known *serviceState) int {
	bound := func(replicas int) int { return min(max(replicas, service.Min, 1), service.Max) }
	needed := bound(replicasFor(known.work.most(now, peakFor), zone.Slots, len(known.inUse)))
	if float64(needed) >= (1+growBy)*float64(zone.Replicas) || zone.Replicas < service.Min {
		return bound(max(needed, s.zone(now, service, zone).listed.most(now, floorFor)))
	}
	// A zone that comes back takes its share while its replicas may be cold, so nothing is given
	// back at once of what was ordered while it was away.
	if now.Sub(known.work.since) < shrinkAfter || now.Sub(known.changedAt) < shrinkAfter {
		return zone.Replicas
	}
	sufficed := bound(replicasFor(known.work.most(now, shrinkAfter), zone.Slots, len(known.inUse)))
	if float64(sufficed) <= shrinkTo*float64(zone.Replicas) {
		return sufficed
	}
	return zone.Replicas
}

// replicasFor returns how many replicas a zone needs for its share of items, 0 if no replica is
// listed that tells its slots.
func replicasFor(items, slots, zones int) int {
	if slots <= 0 || zones <= 0 {
		return 0
	}
	return int(math.Ceil(slotsPerItem * float64(items) / float64(slots*zones)))
}

// order sets a zone's number of replicas. The same number is ordered again only once replicas
// that were ordered before would have started.
func (s *Scaler) order(now time.Time, service Service, zone Zone, wanted int) {
	last := s.zone(now, service, zone)
	repeated := last.replicas == wanted && now.Sub(last.at) < service.Boot+settleMargin
	shrinking := wanted < last.replicas && now.Sub(last.at) < service.Boot+settleMargin
	if last.busy || repeated || shrinking || now.Before(last.notAt) || !s.options.Lease.Act(now, service.Name+"/"+zone.Name) {
		return
	}
	last.busy = true
	s.options.Queue.Add(task.OrderReplicas{
		Order: port.ReplicaOrder{Service: service.Name, Zone: zone.Name, Replicas: wanted, Holder: s.options.Self, Fence: s.options.Lease.Fence()},
		Limit: min(s.options.Lease.Left(now), callLimit),
		Done:  func(now time.Time, status port.DutyStatus) { s.onOrdered(now, service, zone, wanted, last, status) },
	})
}

func (s *Scaler) onOrdered(now time.Time, service Service, zone Zone, wanted int, last *zoneState, status port.DutyStatus) {
	last.busy = false
	s.options.Queue.Log(event.ReplicasOrdered, "service", service.Name, "zone", zone.Name, "replicas", wanted, "listed", zone.Replicas,
		"items", service.Items, "status", status.String())
	switch status {
	case port.DutyDone:
		last.replicas, last.at = wanted, now
		if wanted < zone.Replicas {
			last.listed = &peak{since: now}
		}
	case port.DutyFenced:
		s.options.Lease.Fenced(s.options.Lease.Fence())
	case port.DutyUnknown, port.DutyRefused:
		last.notAt = now.Add(refusedPause)
	}
}

// peak holds how much there was of something of late, by seconds.
type peak struct {
	since   time.Time
	seconds []second
}

type second struct {
	at     time.Time
	amount int
}

// note takes how much there is now.
func (p *peak) note(now time.Time, amount int) {
	if last := len(p.seconds) - 1; last >= 0 && now.Sub(p.seconds[last].at) < time.Second {
		p.seconds[last].amount = max(p.seconds[last].amount, amount)
		return
	}
	p.seconds = append(p.seconds, second{now, amount})
	p.seconds = slices.DeleteFunc(p.seconds, func(one second) bool { return now.Sub(one.at) > shrinkAfter })
}

// most returns the most that there was within a span.
func (p *peak) most(now time.Time, within time.Duration) int {
	most := 0
	for _, one := range p.seconds {
		if now.Sub(one.at) <= within {
			most = max(most, one.amount)
		}
	}
	return most
}

// SortZones puts zones in the order of their names.
func SortZones(zones []Zone) {
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
}
