package soak

import (
	"sync"
	"time"
)

// Faults that consist of several overlapping signals or changes.
type (
	// NodeSignals sends a node overlapping reloads, pauses and graceful stops.
	NodeSignals struct{ Gaps []time.Duration }
	// RollStop stops all nodes gracefully in short succession, without waiting for the previous one.
	RollStop struct{ Gap time.Duration }
	// ConfigSeries writes several configurations in quick succession.
	ConfigSeries struct {
		Count int
		Gap   time.Duration
	}
)

func (NodeSignals) isFault()  {}
func (RollStop) isFault()     {}
func (ConfigSeries) isFault() {}

func (s *Soak) rollStop(f RollStop) {
	var stops sync.WaitGroup
	for _, n := range s.nodes {
		stops.Go(func() { s.restartGracefully(n) })
		time.Sleep(f.Gap)
	}
	stops.Wait()
}

func (s *Soak) configSeries(f ConfigSeries) {
	for range f.Count {
		s.writeConfiguration()
		s.configuredAt.Store(int64(time.Since(s.startedAt)))
		time.Sleep(f.Gap)
	}
}

// signalNode sends a node overlapping reloads, pauses and graceful stops, and restarts it.
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
			stopping.Go(func() { _ = n.process.Stop(stopTimeout) })
		}
		time.Sleep(gap)
	}
	stopping.Wait()
	s.startNode(n)
}
