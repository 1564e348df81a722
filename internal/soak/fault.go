package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// meanRoundPause is the mean pause between two rounds of faults. Guarantees that hold only for
	// undisturbed nodes are checked during the pauses.
	meanRoundPause = 4 * time.Second
	// maxConcurrentFaults is the maximum number of faults per round.
	maxConcurrentFaults = 3
	// slowReplicaDelay is the additional response time of a slow replica.
	slowReplicaDelay = 300 * time.Millisecond
)

// Fault is a fault that is injected from outside the nodes.
type Fault interface{ isFault() }

type (
	// NodePause suspends a node's process with SIGSTOP and resumes it.
	NodePause struct{ Duration time.Duration }
	// NodeKill kills a node and restarts it.
	NodeKill struct{ Down time.Duration }
	// NodeStop stops a node gracefully and restarts it.
	NodeStop struct{}
	// NodeReload makes a node reload its settings.
	NodeReload struct{}
	// AllKill kills all nodes and restarts them.
	AllKill struct{ Down time.Duration }
	// StoreLink disrupts a node's link to the store.
	StoreLink struct{ Link LinkFault }
	// ClientLink disrupts the link between clients and a node.
	ClientLink struct{ Link LinkFault }
	// ReplicaLink disrupts the link to a replica.
	ReplicaLink struct{ Link LinkFault }
	// StoreFault makes the store misbehave for all nodes.
	StoreFault struct {
		Kind     StoreKind
		Duration time.Duration
	}
	// ReplicaFault makes a replica misbehave.
	ReplicaFault struct {
		Kind     ReplicaKind
		Duration time.Duration
	}
)

// LinkFault describes how a link is disrupted.
type LinkFault struct {
	Mode     int
	Delay    time.Duration
	Reset    bool
	Duration time.Duration
}

// StoreKind is a kind of store fault.
type StoreKind string

// Kinds of store faults.
const (
	StoreSilent       StoreKind = "silent"
	StoreRefusing     StoreKind = "refusing"
	StoreLosing       StoreKind = "losing"
	StoreLate         StoreKind = "late"
	StoreSlow         StoreKind = "slow"
	StoreCompacts     StoreKind = "forget"
	StoreMutesWatches StoreKind = "hush"
)

// ReplicaKind is a kind of replica fault.
type ReplicaKind string

// Kinds of replica faults.
const (
	ReplicaBreaks  ReplicaKind = "breaks"
	ReplicaFails   ReplicaKind = "fails"
	ReplicaFull    ReplicaKind = "full"
	ReplicaDrains  ReplicaKind = "drains"
	ReplicaCrashes ReplicaKind = "crashes"
	// ReplicaRestarts restarts a replica under the same ID and address.
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

func randomDuration(random *rand.Rand, limit time.Duration) time.Duration {
	return 200*time.Millisecond + time.Duration(random.Int64N(int64(limit)))
}

func drawLinkFault(random *rand.Rand) LinkFault {
	link := LinkFault{Duration: randomDuration(random, 4*time.Second)}
	switch random.IntN(3) {
	case 0:
		link.Delay = randomDuration(random, 300*time.Millisecond)
	case 1:
		link.Reset = true
	default:
		link.Mode = LinkHoldBoth + random.IntN(3)
	}
	return link
}

// RandomFault returns a random fault.
func RandomFault(random *rand.Rand) Fault {
	stores := []StoreKind{StoreSilent, StoreRefusing, StoreLosing, StoreLate, StoreSlow, StoreCompacts, StoreMutesWatches}
	replicas := []ReplicaKind{ReplicaBreaks, ReplicaFails, ReplicaFull, ReplicaDrains, ReplicaCrashes, ReplicaLoses, ReplicaDoubles, ReplicaSlow}
	switch random.IntN(15) {
	case 12:
		signals := NodeSignals{}
		for range 3 + random.IntN(4) {
			signals.Gaps = append(signals.Gaps, randomDuration(random, 500*time.Millisecond))
		}
		return signals
	case 13:
		return RollStop{Gap: randomDuration(random, 1500*time.Millisecond)}
	case 14:
		return ConfigSeries{Count: 3 + random.IntN(8), Gap: randomDuration(random, 200*time.Millisecond)}
	case 0:
		return NodePause{Duration: randomDuration(random, 4*time.Second)}
	case 1, 2:
		return NodeKill{Down: randomDuration(random, 2*time.Second)}
	case 3, 4:
		return NodeStop{}
	case 5:
		return NodeReload{}
	case 6:
		if random.IntN(3) == 0 {
			return AllKill{Down: randomDuration(random, time.Second)}
		}
		return NodeKill{Down: randomDuration(random, time.Second)}
	case 7:
		return StoreLink{Link: drawLinkFault(random)}
	case 8:
		return ClientLink{Link: drawLinkFault(random)}
	case 9:
		return ReplicaLink{Link: drawLinkFault(random)}
	case 10:
		return StoreFault{Kind: stores[random.IntN(len(stores))], Duration: randomDuration(random, 4*time.Second)}
	default:
		return shortCrashToRestart(ReplicaFault{Kind: replicas[random.IntN(len(replicas))], Duration: randomDuration(random, 4*time.Second)})
	}
}

// shortCrashToRestart replaces a short crash by a restart. It draws no random numbers, so schedules of
// existing seeds are preserved.
func shortCrashToRestart(fault ReplicaFault) ReplicaFault {
	if fault.Kind == ReplicaCrashes && fault.Duration < 2*time.Second {
		fault.Kind = ReplicaRestarts
	}
	return fault
}

// injectFaults injects rounds of faults and returns the number of faults by kind.
func (s *Soak) injectFaults(ctx context.Context) map[string]int {
	random := s.newRand(1)
	counts := map[string]int{}
	for time.Since(s.startedAt) < s.Duration && ctx.Err() == nil {
		sleepRandom(ctx, random, meanRoundPause)
		done := make(chan struct{}, maxConcurrentFaults)
		round := 1 + random.IntN(maxConcurrentFaults)
		for range round {
			fault := RandomFault(random)
			counts[fmt.Sprintf("%T", fault)]++
			victim := random.IntN(1 << 20)
			s.Logf("%6.2f s  fault %T %+v", time.Since(s.startedAt).Seconds(), fault, fault)
			go func() {
				s.inject(fault, victim)
				done <- struct{}{}
			}()
			sleepRandom(ctx, random, 300*time.Millisecond)
		}
		for range round {
			<-done
		}
	}
	return counts
}

// inject injects a fault and ends it.
func (s *Soak) inject(fault Fault, victim int) {
	n := s.nodes[victim%len(s.nodes)]
	switch f := fault.(type) {
	case NodeStop:
		s.restartGracefully(n)
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
			s.linkFaults.during(func() { applyLinkFault(r.link, f.Link) })
		}
		return
	case ReplicaFault:
		s.applyReplicaFault(f, victim)
		return
	}
	s.activeFaults.Add(1)
	defer func() {
		s.markDisturbance()
		s.activeFaults.Add(-1)
	}()
	switch f := fault.(type) {
	case NodePause:
		n.process.Pause()
		time.Sleep(f.Duration)
		n.process.Resume()
	case NodeSignals:
		s.signalNode(n, f)
	case NodeKill:
		n.process.Kill()
		time.Sleep(f.Down)
		s.startNode(n)
	case AllKill:
		for _, n := range s.nodes {
			n.process.Kill()
		}
		time.Sleep(f.Down)
		for _, n := range s.nodes {
			s.startNode(n)
		}
	case StoreLink:
		applyLinkFault(n.toStore, f.Link)
	case ClientLink:
		applyLinkFault(n.toClients, f.Link)
	case StoreFault:
		s.applyStoreFault(f)
	}
}

// startNode starts a node unless it is running.
func (s *Soak) startNode(n *node) {
	if err := n.start(); err != nil {
		s.checker.AddViolation("starting %s: %s", n.name, err)
	}
}

// restartGracefully stops a node gracefully and starts it again.
func (s *Soak) restartGracefully(n *node) {
	if !n.process.Running() {
		return
	}
	undisturbed := s.undisturbedFor() > minUndisturbed
	if n.stopping.CompareAndSwap(false, true) {
		s.startLongRequests(n)
	} else {
		// A second signal terminates the process at once.
		s.markDisturbance()
	}
	if err := n.process.Stop(stopTimeout); err != nil && undisturbed && s.undisturbedFor() > minUndisturbed {
		s.checker.AddViolation("%s: %s", n.name, err)
	}
	s.startNode(n)
	s.markDisturbance()
}

func applyLinkFault(link *Proxy, fault LinkFault) {
	if fault.Reset {
		link.Reset()
		return
	}
	link.SetDelay(fault.Delay)
	link.SetMode(fault.Mode)
	time.Sleep(fault.Duration)
	link.SetMode(LinkOpen)
	link.SetDelay(0)
}

func (s *Soak) applyStoreFault(fault StoreFault) {
	switch fault.Kind {
	case StoreCompacts:
		s.store.Records.CompactHistory()
		return
	case StoreMutesWatches:
		s.store.Records.MuteWatches(time.Now().Add(time.Second))
		time.Sleep(time.Second)
		s.store.Records.CompactHistory()
		return
	case StoreSlow:
		s.store.AddedLatency.Store(int64(200 * time.Millisecond))
		time.Sleep(fault.Duration)
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
	case StoreLate, StoreCompacts, StoreMutesWatches, StoreSlow:
	}
	flag.Store(true)
	time.Sleep(fault.Duration)
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

func (s *Soak) applyReplicaFault(fault ReplicaFault, victim int) {
	r := s.replicaAt(victim)
	if r == nil {
		return
	}
	switch fault.Kind {
	case ReplicaBreaks:
		r.BreakStreams.Store(true)
	case ReplicaFails:
		// Only plain replicas fail, because items that fail at every attempt are terminated.
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
		r.AddedLatency.Store(int64(slowReplicaDelay))
	case ReplicaDrains:
		s.replaceReplica(r, true)
		return
	case ReplicaCrashes:
		s.replaceReplica(r, false)
		return
	case ReplicaRestarts:
		r.Restart()
		return
	}
	time.Sleep(fault.Duration)
	clearReplicaFaults(r)
}

// clearReplicaFaults ends all faults of a replica.
func clearReplicaFaults(r *replica) {
	for _, flag := range []*atomic.Bool{&r.BreakStreams, &r.Failing, &r.Full, &r.DropResponses, &r.DuplicateResponses} {
		flag.Store(false)
	}
	r.AddedLatency.Store(0)
}
