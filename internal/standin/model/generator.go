// Package model contains I/O-free models of the external systems: the record store and replicas that generate
// text. The simulator and the stand-ins use the same models.
package model

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/doorstep/doorstep/internal/port"
)

// Generator models a replica that generates items and executes version orders.
type Generator struct {
	ID string
	// StartedAt is when this incarnation started, zero if the replica does not report it.
	StartedAt time.Time
	// Slots is the number of concurrent runs, Pace the time between two events of a run, LoadDuration the duration of
	// a version load.
	Slots        int
	Pace         time.Duration
	LoadDuration time.Duration
	// Versions are the loaded weight versions by model.
	Versions map[string]int64
	// Unfenced disables the rejection of orders with an old fence.
	Unfenced bool

	running   int
	sequence  int64
	fence     int64
	loading   string
	loadTo    int64
	loadUntil time.Time
}

// One in longItemOneIn items has a much longer text.
const longItemOneIn = 8

// MaxItemEvents is the maximum number of events of an item.
const MaxItemEvents = 120

// ItemEvents returns the number of events of an item. It is derived from the ID.
func ItemEvents(item string) int64 {
	hash := xxhash.Sum64String(item)
	if hash%longItemOneIn == 0 {
		return 60 + int64(hash/longItemOneIn%60)
	}
	return 4 + int64(hash%28)
}

// ItemEvent returns the payload of an event. A complete text contains the payloads of all events in order.
func ItemEvent(item string, id int64) string { return fmt.Sprintf("%s#%d", item, id) }

// Begin starts a run. It returns false if the run is refused.
func (g *Generator) Begin(now time.Time, model string) bool {
	g.finishLoad(now)
	if g.running >= g.Slots || model != "" && g.loading == model {
		return false
	}
	g.running++
	return true
}

// End releases the slot of a run.
func (g *Generator) End() { g.running-- }

// Running returns the number of current runs.
func (g *Generator) Running() int { return g.running }

// IsLoading reports whether runs of a model are paused because a version of it is being loaded.
func (g *Generator) IsLoading(now time.Time, model string) bool {
	g.finishLoad(now)
	return g.loading == model
}

// Version returns the version that currently generates events of a model.
func (g *Generator) Version(now time.Time, model string) int64 {
	g.finishLoad(now)
	return g.Versions[model]
}

// finishLoad activates a version whose load has completed.
func (g *Generator) finishLoad(now time.Time) {
	if g.loading != "" && !now.Before(g.loadUntil) {
		g.Versions[g.loading] = g.loadTo
		g.loading = ""
	}
}

// Restart returns a new incarnation with the same ID. It keeps the loaded versions, but not the sequence number,
// fence, pending load and runs.
func (g *Generator) Restart(now time.Time) *Generator {
	g.finishLoad(now)
	return &Generator{
		ID: g.ID, StartedAt: now.Truncate(time.Millisecond), Slots: g.Slots, Pace: g.Pace, LoadDuration: g.LoadDuration, Versions: g.Versions, Unfenced: g.Unfenced,
	}
}

// Order handles a version order.
func (g *Generator) Order(now time.Time, order port.VersionOrder) port.VersionOrderStatus {
	g.finishLoad(now)
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
	g.loadUntil = now.Add(g.LoadDuration)
	return port.VersionOrderAccepted
}

// Report returns the state that the replica reports.
func (g *Generator) Report(now time.Time) port.ReplicaReport {
	g.finishLoad(now)
	versions := map[string]int64{}
	for model, version := range g.Versions {
		versions[model] = version
	}
	return port.ReplicaReport{OK: true, StartedAt: g.StartedAt, Loading: g.loading != "", Sequence: g.sequence, Versions: versions, Running: g.running}
}
