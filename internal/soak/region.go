package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

const (
	// meanRegionFaultPause is the mean pause between two faults of the link between the regions.
	meanRegionFaultPause = 6 * time.Second
	// maxRegionFaultDuration bounds the random duration of such a fault, maxExtraLatency the random latency
	// of a slow link. At saturatedLatency, all calls to the store time out.
	maxRegionFaultDuration = 5 * time.Second
	maxExtraLatency        = 250 * time.Millisecond
	saturatedLatency       = 2 * time.Second
)

// nearZone is the zone in the region of the store, farZone the one in the other region.
var nearZone, farZone = zones[0], zones[1]

// regionFault describes a fault of the link between the regions.
type regionFault struct {
	// Out and In interrupt traffic from and to the far region. Slow is additional one-way latency.
	Out, In  bool
	Slow     time.Duration
	Duration time.Duration
}

// interRegionLink is the link between the two regions. It is shared by all connections between them.
type interRegionLink struct {
	// Latency is the additional one-way latency compared to connections within a region.
	Latency time.Duration

	extraLatency  atomic.Int64
	cutOut, cutIn atomic.Bool
}

// setFault applies a fault; the zero value ends it.
func (l *interRegionLink) setFault(f regionFault) {
	l.cutOut.Store(f.Out)
	l.cutIn.Store(f.In)
	l.extraLatency.Store(int64(f.Slow))
}

// direction is the direction in which data passes the link between the regions. The zero value is for data
// that stays within a region.
type direction struct {
	link *interRegionLink
	// out is true for data that leaves the far region.
	out bool
}

func (d direction) reverse() direction { return direction{d.link, !d.out} }

func (d direction) delay() time.Duration {
	if d.link == nil {
		return 0
	}
	return d.link.Latency + time.Duration(d.link.extraLatency.Load())
}

func (d direction) cut() bool {
	switch {
	case d.link == nil:
		return false
	case d.out:
		return d.link.cutOut.Load()
	default:
		return d.link.cutIn.Load()
	}
}

// directionBetween returns the direction of data from one zone to another.
func (s *Soak) directionBetween(from, to string) direction {
	if s.RegionLatency <= 0 || from == to {
		return direction{}
	}
	return direction{link: &s.regionLink, out: from == farZone}
}

// replicaDirection returns the direction of connections to a replica. All nodes share the replica's address,
// so the node is identified by the socket of the connection.
func (s *Soak) replicaDirection(zone string) func(client net.Conn) direction {
	return func(client net.Conn) direction {
		if s.RegionLatency <= 0 {
			return direction{}
		}
		inode := peerInode(client)
		s.mu.Lock()
		nodes := s.nodes
		s.mu.Unlock()
		for _, n := range nodes {
			if inode != "" && n.process.ownsSocket(inode) {
				return s.directionBetween(n.zone, zone)
			}
		}
		return direction{}
	}
}

// ownsSocket reports whether the running process owns the socket with the inode.
func (p *Process) ownsSocket(inode string) bool {
	cmd, _ := p.current()
	if cmd == nil || cmd.Process == nil {
		return false
	}
	return processOwnsSocket(cmd.Process.Pid, inode)
}

// drawRegionFault returns a random fault of the link between the regions.
func drawRegionFault(random *rand.Rand) regionFault {
	f := regionFault{Duration: randomDuration(random, maxRegionFaultDuration)}
	switch random.IntN(5) {
	case 0:
		f.Out = true
	case 1:
		f.In = true
	case 2:
		f.Slow = randomDuration(random, maxExtraLatency)
	case 3:
		f.Slow = saturatedLatency
	default:
		f.Out, f.In = true, true
	}
	return f
}

// injectRegionFaults repeatedly disrupts the link between the regions and returns the number of faults. It
// uses its own random stream, so that a seed has the same other faults with and without regions.
func (s *Soak) injectRegionFaults(ctx context.Context) int {
	if s.RegionLatency <= 0 {
		return 0
	}
	random, count := s.newRand(regionFaultStream), 0
	for time.Since(s.startedAt) < s.Duration && ctx.Err() == nil {
		sleepRandom(ctx, random, meanRegionFaultPause)
		f := drawRegionFault(random)
		count++
		s.Logf("%6.2f s  region %+v", time.Since(s.startedAt).Seconds(), f)
		s.activeFaults.Add(1)
		s.regionLink.setFault(f)
		time.Sleep(f.Duration)
		s.regionLink.setFault(regionFault{})
		s.markDisturbance()
		s.activeFaults.Add(-1)
	}
	return count
}

// regionFaultStream is the random stream of injectRegionFaults.
const regionFaultStream = 21
