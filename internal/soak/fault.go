package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// calmBetween is the mean calm between two rounds of faults, in which bounds that
	// hold for nodes in touch are checked.
	calmBetween = 4 * time.Second
	// faultsAtOnce is the most faults of one round.
	faultsAtOnce = 3
	// slowReplicaBy is how much longer a slow replica's whole bodies take.
	slowReplicaBy = 300 * time.Millisecond
)

// Fault is a kind of trouble that is brought about from outside the programs.
type Fault interface{ isFault() }

type (
	// NodePause stops a node's process and lets it go on.
	NodePause struct{ For time.Duration }
	// NodeKill kills a node and restarts it.
	NodeKill struct{ Down time.Duration }
	// NodeStop stops a node in the planned way and restarts it.
	NodeStop struct{}
	// NodeReload tells a node that its settings changed.
	NodeReload struct{}
	// AllKill kills every node.
	AllKill struct{ Down time.Duration }
	// StoreLink harms a node's link to the store.
	StoreLink struct{ Link LinkFault }
	// ClientLink harms the link of a node's clients.
	ClientLink struct{ Link LinkFault }
	// ReplicaLink harms the link to a replica.
	ReplicaLink struct{ Link LinkFault }
	// StoreFault makes the store misbehave towards all.
	StoreFault struct {
		Kind StoreKind
		For  time.Duration
	}
	// ReplicaFault makes a replica misbehave.
	ReplicaFault struct {
		Kind ReplicaKind
		For  time.Duration
	}
)

// LinkFault says how a link is harmed.
type LinkFault struct {
	Mode  int
	Delay time.Duration
	Reset bool
	For   time.Duration
}

// StoreKind is how the store misbehaves.
type StoreKind string

// Kinds of the store's faults.
const (
	StoreSilent   StoreKind = "silent"
	StoreRefusing StoreKind = "refusing"
	StoreLosing   StoreKind = "losing"
	StoreLate     StoreKind = "late"
	StoreSlow     StoreKind = "slow"
	StoreForget   StoreKind = "forget"
	StoreHush     StoreKind = "hush"
)

// ReplicaKind is how a replica misbehaves.
type ReplicaKind string

// Kinds of the replicas' faults.
const (
	ReplicaBreaks  ReplicaKind = "breaks"
	ReplicaFails   ReplicaKind = "fails"
	ReplicaFull    ReplicaKind = "full"
	ReplicaDrains  ReplicaKind = "drains"
	ReplicaCrashes ReplicaKind = "crashes"
	// ReplicaRestarts ends a replica, which starts again under its ID and address.
	ReplicaRestarts ReplicaKind = "restarts"
	ReplicaLoses    ReplicaKind = "loses"
	ReplicaDoubles  ReplicaKind = "doubles"
	ReplicaSlow     ReplicaKind = "slow"
)

func (NodePause) isFault()    {}
func (NodeKill) isFault()     {}
func (NodeStop) isFault()     {}
func (NodeReload) isFault()   {}
func (AllKill) isFault()      {}
func (StoreLink) isFault()    {}
func (ClientLink) isFault()   {}
func (ReplicaLink) isFault()  {}
func (StoreFault) isFault()   {}
func (ReplicaFault) isFault() {}

func upTo(random *rand.Rand, most time.Duration) time.Duration {
	return 200*time.Millisecond + time.Duration(random.Int64N(int64(most)))
}

func drawLink(random *rand.Rand) LinkFault {
	link := LinkFault{For: upTo(random, 4*time.Second)}
	switch random.IntN(3) {
	case 0:
		link.Delay = upTo(random, 300*time.Millisecond)
	case 1:
		link.Reset = true
	default:
		link.Mode = LinkSilent + random.IntN(3)
	}
	return link
}

// Draw draws a fault.
func Draw(random *rand.Rand) Fault {
	stores := []StoreKind{StoreSilent, StoreRefusing, StoreLosing, StoreLate, StoreSlow, StoreForget, StoreHush}
	replicas := []ReplicaKind{ReplicaBreaks, ReplicaFails, ReplicaFull, ReplicaDrains, ReplicaCrashes, ReplicaLoses, ReplicaDoubles, ReplicaSlow}
	switch random.IntN(15) {
	case 12:
		signals := NodeSignals{}
		for range 3 + random.IntN(4) {
			signals.Gaps = append(signals.Gaps, upTo(random, 500*time.Millisecond))
		}
		return signals
	case 13:
		return RollStop{Gap: upTo(random, 1500*time.Millisecond)}
	case 14:
		return ConfigSeries{Count: 3 + random.IntN(8), Gap: upTo(random, 200*time.Millisecond)}
	case 0:
		return NodePause{For: upTo(random, 4*time.Second)}
	case 1, 2:
		return NodeKill{Down: upTo(random, 2*time.Second)}
	case 3, 4:
		return NodeStop{}
	case 5:
		return NodeReload{}
	case 6:
		if random.IntN(3) == 0 {
			return AllKill{Down: upTo(random, time.Second)}
		}
		return NodeKill{Down: upTo(random, time.Second)}
	case 7:
		return StoreLink{Link: drawLink(random)}
	case 8:
		return ClientLink{Link: drawLink(random)}
	case 9:
		return ReplicaLink{Link: drawLink(random)}
	case 10:
		return StoreFault{Kind: stores[random.IntN(len(stores))], For: upTo(random, 4*time.Second)}
	default:
		return restartOf(ReplicaFault{Kind: replicas[random.IntN(len(replicas))], For: upTo(random, 4*time.Second)})
	}
}

// restartOf makes a restart of a crash that is short, so that seeds draw the same schedules as without
// restarts.
func restartOf(fault ReplicaFault) ReplicaFault {
	if fault.Kind == ReplicaCrashes && fault.For < 2*time.Second {
		fault.Kind = ReplicaRestarts
	}
	return fault
}

// disturb injects rounds of faults and returns how often each kind was injected.
func (s *Soak) disturb(ctx context.Context) map[string]int {
	random := s.random(1)
	counts := map[string]int{}
	for time.Since(s.started) < s.For && ctx.Err() == nil {
		pause(ctx, random, calmBetween)
		done := make(chan struct{}, faultsAtOnce)
		round := 1 + random.IntN(faultsAtOnce)
		for range round {
			fault := Draw(random)
			counts[fmt.Sprintf("%T", fault)]++
			victim := random.IntN(1 << 20)
			s.Say("%6.2f s  fault %T %+v", time.Since(s.started).Seconds(), fault, fault)
			go func() {
				s.inject(fault, victim)
				done <- struct{}{}
			}()
			pause(ctx, random, 300*time.Millisecond)
		}
		for range round {
			<-done
		}
	}
	return counts
}

// inject brings a fault about and ends it.
func (s *Soak) inject(fault Fault, victim int) {
	n := s.nodes[victim%len(s.nodes)]
	switch f := fault.(type) {
	case NodeStop:
		s.stopNode(n)
		return
	case NodeReload:
		n.process.Reload()
		return
	case RollStop:
		s.rollStop(f)
		return
	case ConfigSeries:
		s.configSeries(f)
		return
	case ReplicaLink:
		if r := s.replicaAt(victim); r != nil {
			s.links.harm(func() { harm(r.link, f.Link) })
		}
		return
	case ReplicaFault:
		s.harmReplica(f, victim)
		return
	}
	s.faulty.Add(1)
	defer func() {
		s.touched()
		s.faulty.Add(-1)
	}()
	switch f := fault.(type) {
	case NodePause:
		n.process.Pause()
		time.Sleep(f.For)
		n.process.Resume()
	case NodeSignals:
		s.signalNode(n, f)
	case NodeKill:
		n.process.Kill()
		time.Sleep(f.Down)
		s.restart(n)
	case AllKill:
		for _, one := range s.nodes {
			one.process.Kill()
		}
		time.Sleep(f.Down)
		for _, one := range s.nodes {
			s.restart(one)
		}
	case StoreLink:
		harm(n.toStore, f.Link)
	case ClientLink:
		harm(n.toClients, f.Link)
	case StoreFault:
		s.harmStore(f)
	}
}

// restart starts a node that does not run.
func (s *Soak) restart(n *node) {
	if err := n.start(); err != nil {
		s.check.Violate("%s can't be started: %s", n.name, err)
	}
}

// stopNode stops a node in the planned way and starts it again.
func (s *Soak) stopNode(n *node) {
	if !n.process.Running() {
		return
	}
	calm := s.calmFor() > inTouch
	n.planned.Store(true)
	if err := n.process.Stop(stopGrace); err != nil && calm && s.calmFor() > inTouch {
		s.check.Violate("%s: %s", n.name, err)
	}
	s.restart(n)
	s.touched()
}

func harm(link *Proxy, fault LinkFault) {
	if fault.Reset {
		link.Reset()
		return
	}
	link.SetDelay(fault.Delay)
	link.SetMode(fault.Mode)
	time.Sleep(fault.For)
	link.SetMode(LinkOpen)
	link.SetDelay(0)
}

func (s *Soak) harmStore(fault StoreFault) {
	switch fault.Kind {
	case StoreForget:
		s.store.Records.Forget()
		return
	case StoreHush:
		s.store.Records.Hush(time.Now().Add(time.Second))
		time.Sleep(time.Second)
		s.store.Records.Forget()
		return
	case StoreSlow:
		s.store.AddedLatency.Store(int64(200 * time.Millisecond))
		time.Sleep(fault.For)
		s.store.AddedLatency.Store(0)
		return
	case StoreSilent, StoreRefusing, StoreLosing, StoreLate:
	}
	flag := &s.store.DelayCommits
	switch fault.Kind {
	case StoreSilent:
		flag = &s.store.Unresponsive
	case StoreRefusing:
		flag = &s.store.Unavailable
	case StoreLosing:
		flag = &s.store.DropResponses
	case StoreLate, StoreForget, StoreHush, StoreSlow:
	}
	flag.Store(true)
	time.Sleep(fault.For)
	flag.Store(false)
}

func (s *Soak) replicaAt(victim int) *replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.replicas) == 0 {
		return nil
	}
	return s.replicas[victim%len(s.replicas)]
}

func (s *Soak) harmReplica(fault ReplicaFault, victim int) {
	r := s.replicaAt(victim)
	if r == nil {
		return
	}
	switch fault.Kind {
	case ReplicaBreaks:
		r.BreakStreams.Store(true)
	case ReplicaFails:
		// An item that fails at every attempt is given up, so plain replicas alone fail.
		if r.Model == "" {
			r.Failing.Store(true)
		}
	case ReplicaFull:
		r.Full.Store(true)
	case ReplicaLoses:
		r.DropResponses.Store(true)
	case ReplicaDoubles:
		r.DuplicateResponses.Store(true)
	case ReplicaSlow:
		r.AddedLatency.Store(int64(slowReplicaBy))
	case ReplicaDrains:
		s.replace(r, true)
		return
	case ReplicaCrashes:
		s.replace(r, false)
		return
	case ReplicaRestarts:
		r.Restart()
		return
	}
	time.Sleep(fault.For)
	healReplica(r)
}

// healReplica ends every fault of a replica.
func healReplica(r *replica) {
	for _, flag := range []*atomic.Bool{&r.BreakStreams, &r.Failing, &r.Full, &r.DropResponses, &r.DuplicateResponses} {
		flag.Store(false)
	}
	r.AddedLatency.Store(0)
}
