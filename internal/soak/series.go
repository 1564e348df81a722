package soak

import (
	"sync"
	"time"
)

// Faults that are a series of signals or changes, which overlap.
type (
	// NodeSignals sends a node a series of signals that overlap: reloads, pauses, and stops in the
	// planned way of a process that stops already.
	NodeSignals struct{ Gaps []time.Duration }
	// RollStop stops every node in the planned way, each before the one before has ended.
	RollStop struct{ Gap time.Duration }
	// ConfigSeries writes configurations in quick succession.
	ConfigSeries struct {
		Count int
		Gap   time.Duration
	}
)

func (NodeSignals) isFault()  {}
func (RollStop) isFault()     {}
func (ConfigSeries) isFault() {}

// rollStop stops all nodes in the planned way, one shortly after the other.
func (s *Soak) rollStop(f RollStop) {
	var stops sync.WaitGroup
	for _, one := range s.nodes {
		stops.Go(func() { s.stopNode(one) })
		time.Sleep(f.Gap)
	}
	stops.Wait()
}

// configSeries writes configurations in quick succession.
func (s *Soak) configSeries(f ConfigSeries) {
	for range f.Count {
		s.configure()
		s.configuredAt.Store(int64(time.Since(s.started)))
		time.Sleep(f.Gap)
	}
}

// signalNode sends a node reloads, pauses and a planned stop that overlap, and starts it again.
func (s *Soak) signalNode(n *node, f NodeSignals) {
	var stopping sync.WaitGroup
	for i, gap := range f.Gaps {
		switch i % 3 {
		case 0:
			n.process.Reload()
		case 1:
			n.process.Pause()
			time.Sleep(gap)
			n.process.Resume()
		default:
			stopping.Go(func() { _ = n.process.Stop(stopGrace) })
		}
		time.Sleep(gap)
	}
	stopping.Wait()
	s.restart(n)
}
