package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

const (
	// regionsEvery is the mean time between two faults of the way between the regions.
	regionsEvery = 6 * time.Second
	// regionFor bounds one of them, slowBy what a slow way adds, fullBy what a full one does: no call
	// to the store is answered in time.
	regionFor = 5 * time.Second
	slowBy    = 250 * time.Millisecond
	fullBy    = 2 * time.Second
)

// nearZone is the zone of the region in which the store stands, farZone that of the other.
var nearZone, farZone = zones[0], zones[1]

// regionFault is how the way between the regions is harmed.
type regionFault struct {
	// Out and In cut what leaves the far region and what comes there; Slow is added each way.
	Out, In bool
	Slow    time.Duration
	For     time.Duration
}

// Way is the way between the two regions, which the links share whose ends lie on both sides.
type Way struct {
	// Apart is how much longer than within a region bytes are under way, each way.
	Apart time.Duration

	slow            atomic.Int64
	noneOut, noneIn atomic.Bool
}

// harm sets a fault; the zero one ends it.
func (w *Way) harm(f regionFault) {
	w.noneOut.Store(f.Out)
	w.noneIn.Store(f.In)
	w.slow.Store(int64(f.Slow))
}

// side is how a connection uses a way; the zero value does not.
type side struct {
	way *Way
	// out says that the bytes leave the far region.
	out bool
}

func (s side) back() side { return side{s.way, !s.out} }

func (s side) delay() time.Duration {
	if s.way == nil {
		return 0
	}
	return s.way.Apart + time.Duration(s.way.slow.Load())
}

func (s side) cut() bool {
	switch {
	case s.way == nil:
		return false
	case s.out:
		return s.way.noneOut.Load()
	default:
		return s.way.noneIn.Load()
	}
}

// between returns how a connection from one zone to another uses the way.
func (s *Soak) between(from, to string) side {
	if s.Apart <= 0 || from == to {
		return side{}
	}
	return side{way: &s.way, out: from == farZone}
}

// toReplica returns how a node's connection to a replica's link uses the way. All nodes use one
// address of a replica: which of them opened a connection is told by its socket.
func (s *Soak) toReplica(zone string) func(client net.Conn) side {
	return func(client net.Conn) side {
		if s.Apart <= 0 {
			return side{}
		}
		inode := inodeOf(client)
		s.mu.Lock()
		nodes := s.nodes
		s.mu.Unlock()
		for _, n := range nodes {
			if inode != "" && n.process.holds(inode) {
				return s.between(n.zone, zone)
			}
		}
		return side{}
	}
}

// holds reports whether the present life holds a socket.
func (p *Process) holds(inode string) bool {
	cmd, _ := p.current()
	if cmd == nil || cmd.Process == nil {
		return false
	}
	return holdsSocket(cmd.Process.Pid, inode)
}

// drawRegion draws a fault of the way between the regions.
func drawRegion(random *rand.Rand) regionFault {
	f := regionFault{For: upTo(random, regionFor)}
	switch random.IntN(5) {
	case 0:
		f.Out = true
	case 1:
		f.In = true
	case 2:
		f.Slow = upTo(random, slowBy)
	case 3:
		f.Slow = fullBy
	default:
		f.Out, f.In = true, true
	}
	return f
}

// disturbRegions harms the way between the regions now and then, beside all other faults. Its
// draws are its own, so that a seed's other faults are the same with regions and without.
func (s *Soak) disturbRegions(ctx context.Context) int {
	if s.Apart <= 0 {
		return 0
	}
	random, count := s.random(regionStream), 0
	for time.Since(s.started) < s.For && ctx.Err() == nil {
		pause(ctx, random, regionsEvery)
		f := drawRegion(random)
		count++
		s.Say("%6.2f s  region %+v", time.Since(s.started).Seconds(), f)
		s.faulty.Add(1)
		s.way.harm(f)
		time.Sleep(f.For)
		s.way.harm(regionFault{})
		s.touched()
		s.faulty.Add(-1)
	}
	return count
}

// regionStream numbers the random numbers of disturbRegions.
const regionStream = 21
