// Package model holds models of the outside systems, without I/O: the record store and
// replicas that generate. The simulator and the stand-ins drive the same models.
package model

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorstep/doorstep/internal/port"
)

// Generator is a replica that answers items with events and takes version orders.
type Generator struct {
	ID string
	// StartedAt is when this life began, zero for one that doesn't tell.
	StartedAt time.Time
	Slots     int
	Pace      time.Duration
	LoadFor   time.Duration
	// Versions are the weights that it holds.
	Versions map[string]int64
	// Unfenced replicas take orders of any fence.
	Unfenced bool

	running   int
	sequence  int64
	fence     int64
	loading   string
	loadTo    int64
	loadUntil time.Time
}

// longOneIn is the part of the items, one in so many, whose texts are far longer.
const longOneIn = 8

// MostItemEvents is the most events that an item's text may have.
const MostItemEvents = 120

// ItemEvents is how many events an item's text has: it follows from its id.
func ItemEvents(item string) int64 {
	hash := xxhash.Sum64String(item)
	if hash%longOneIn == 0 {
		return 60 + int64(hash/longOneIn%60)
	}
	return 4 + int64(hash%28)
}

// ItemEvent is the payload of an item's event; a text must hold each once and in order.
func ItemEvent(item string, id int64) string { return fmt.Sprintf("%s#%d", item, id) }

// Begin takes a run; false means that it was refused and did not run.
func (g *Generator) Begin(now time.Time, model string) bool {
	g.settle(now)
	if g.running >= g.Slots || model != "" && g.loading == model {
		return false
	}
	g.running++
	return true
}

// End frees a run's place.
func (g *Generator) End() { g.running-- }

// Running returns the runs at the replica.
func (g *Generator) Running() int { return g.running }

// Pausing reports whether runs of a model stand still for a load.
func (g *Generator) Pausing(now time.Time, model string) bool {
	g.settle(now)
	return g.loading == model
}

// Version returns the version that makes events now.
func (g *Generator) Version(now time.Time, model string) int64 {
	g.settle(now)
	return g.Versions[model]
}

func (g *Generator) settle(now time.Time) {
	if g.loading != "" && !now.Before(g.loadUntil) {
		g.Versions[g.loading] = g.loadTo
		g.loading = ""
	}
}

// Restart returns the generator's next life under its ID: it has the versions that this one had, and
// knows of no order, fence or run.
func (g *Generator) Restart(now time.Time) *Generator {
	g.settle(now)
	return &Generator{
		ID: g.ID, StartedAt: now.Truncate(time.Millisecond), Slots: g.Slots, Pace: g.Pace, LoadFor: g.LoadFor, Versions: g.Versions, Unfenced: g.Unfenced,
	}
}

// Order takes a version order.
func (g *Generator) Order(now time.Time, order port.VersionOrder) port.VersionOrderStatus {
	g.settle(now)
	switch {
	case order.Replica != g.ID:
		return port.VersionOrderRefused
	case order.Fence < g.fence && !g.Unfenced:
		return port.VersionOrderFenced
	case g.Versions[order.Model] == order.Version:
		return port.VersionOrderAlreadyLoaded
	case g.loading != "" || order.ExpectedSequence != g.sequence:
		return port.VersionOrderConflict
	}
	g.fence = order.Fence
	g.sequence++
	g.loading = order.Model
	g.loadTo = order.Version
	g.loadUntil = now.Add(g.LoadFor)
	return port.VersionOrderAccepted
}

// Report returns the replica's state.
func (g *Generator) Report(now time.Time) port.ReplicaReport {
	g.settle(now)
	versions := map[string]int64{}
	for model, version := range g.Versions {
		versions[model] = version
	}
	return port.ReplicaReport{OK: true, StartedAt: g.StartedAt, Loading: g.loading != "", Sequence: g.sequence, Versions: versions, Running: g.running}
}
