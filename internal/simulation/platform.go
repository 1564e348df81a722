package simulation

import (
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/effect"
	"github.com/doorstep/doorstep/internal/process/node"
	"github.com/doorstep/doorstep/internal/standin/model"
)

// Rates of the platform's services, a second.
const (
	tableRate     = 400
	tableBurst    = 200
	objectsRate   = 200
	objectsBurst  = 200
	weightsRate   = 20
	weightsBurst  = 20
	serviceTime   = 2 * time.Millisecond
	machineLag    = 3 * time.Second
	lateEffectMin = 500 * time.Millisecond
	lateEffectMax = 15 * time.Second
	slowMax       = 4 * time.Second
)

// simulatedPlatform is the platform's services with their faults, each a count of
// the faults that are on.
type simulatedPlatform struct {
	world   *World
	table   *model.Table
	objects *model.Objects
	weights *model.Weights

	tableDown, tableSlow, tableLoses, tableLate int
	objectsDown, objectsSlow                    int
	weightsDown, scorerFails                    int
	listFrozen                                  int

	// listed is the history of the machine list: what is asked is how it stood
	// machineLag ago.
	listed []listVersion
}

type listVersion struct {
	at       time.Time
	machines []port.Machine
}

func newSimulatedPlatform(w *World) *simulatedPlatform {
	return &simulatedPlatform{
		world:   w,
		table:   model.NewTable(tableRate, tableBurst),
		objects: model.NewObjects(objectsRate, objectsBurst),
		weights: model.NewWeights(weightsRate, weightsBurst),
		listed:  []listVersion{{at: epochStart.Add(-machineLag), machines: w.options.Topology.Machines()}},
	}
}

func (p *simulatedPlatform) weightsUp() bool { return p.weightsDown == 0 }

// ask carries a question to a service and its answer back. serve is run when the
// question arrives; its result is delivered unless lost.
func (p *simulatedPlatform) ask(from *simulatedNode, down, slow, loses int, serve func() node.Input) {
	w := p.world
	life := from.life
	zone := from.entry.Zone
	if !w.network.open(zone, platformZone) {
		return
	}
	delay := w.network.latency(zone, platformZone) + serviceTime
	if slow > 0 {
		delay += time.Duration(w.random.Int64N(int64(slowMax)))
	}
	if down > 0 {
		return
	}
	w.After(delay, func() {
		answer := serve()
		lost := loses > 0 && w.random.IntN(3) == 0
		if answer == nil || lost || !w.network.open(platformZone, zone) {
			return
		}
		w.After(w.network.latency(platformZone, zone), func() { from.deliver(life, answer) })
	})
}

func (p *simulatedPlatform) read(from *simulatedNode, e effect.TableRead) {
	p.ask(from, p.tableDown, p.tableSlow, p.tableLoses, func() node.Input {
		result := p.table.Read(p.world.Now, e.Read)
		if p.world.scale != nil {
			p.world.scale.platform(rowBytes(result.Rows))
		}
		return node.TableAnswered{ID: e.ID, Result: result}
	})
}

// rowFraming is what JSON adds to a row.
const rowFraming = 40

// rowBytes is the size of rows in JSON, where values are base64.
func rowBytes(rows []port.Row) int {
	bytes := 0
	for _, row := range rows {
		bytes += len(row.Key) + len(row.Value)*4/3 + rowFraming
	}
	return bytes
}

func (p *simulatedPlatform) commit(from *simulatedNode, e effect.TableCommit) {
	w := p.world
	if p.tableLate > 0 && w.random.IntN(3) == 0 && w.network.open(from.entry.Zone, platformZone) {
		// The effect lands late, and nobody is told.
		delay := lateEffectMin + time.Duration(w.random.Int64N(int64(lateEffectMax-lateEffectMin)))
		w.After(delay, func() { p.apply(e.Transaction) })
		return
	}
	p.ask(from, p.tableDown, p.tableSlow, p.tableLoses, func() node.Input {
		result := p.table.Commit(w.Now, e.Transaction)
		w.note("commit", e.Transaction.Token)
		if w.scale != nil {
			w.scale.platform(rowBytes(result.Rows))
		}
		return node.TableAnswered{ID: e.ID, Result: result}
	})
}

func (p *simulatedPlatform) apply(transaction port.Transaction) {
	p.world.note("late commit", transaction.Token)
	p.table.Apply(transaction)
}

func (p *simulatedPlatform) put(from *simulatedNode, e effect.ObjectPut) {
	p.ask(from, p.objectsDown, p.objectsSlow, 0, func() node.Input {
		return node.ObjectAnswered{ID: e.ID, Result: p.objects.Put(p.world.Now, e.Key, e.Value)}
	})
}

func (p *simulatedPlatform) get(from *simulatedNode, e effect.ObjectGet) {
	p.ask(from, p.objectsDown, p.objectsSlow, 0, func() node.Input {
		return node.ObjectAnswered{ID: e.ID, Result: p.objects.Get(p.world.Now, e.Key)}
	})
}

func (p *simulatedPlatform) machines(from *simulatedNode) {
	if m := p.world.scale; m != nil {
		m.platform(int(m.listBytes))
	}
	p.ask(from, 0, 0, 0, func() node.Input { return node.MachinesListed{Machines: p.list()} })
}

// list is the machine list as it stood a while ago.
func (p *simulatedPlatform) list() []port.Machine {
	var current []port.Machine
	for _, version := range p.listed {
		if !p.world.Now.Before(version.at.Add(machineLag)) {
			current = version.machines
		}
	}
	return current
}

// changeMachine changes one machine in the list from now on, or removes it. While
// the list is frozen, changes are missed altogether.
func (p *simulatedPlatform) changeMachine(name string, change func(*port.Machine) bool) {
	if p.listFrozen > 0 {
		return
	}
	latest := p.listed[len(p.listed)-1].machines
	var next []port.Machine
	for _, machine := range latest {
		if machine.Name != name || change(&machine) {
			next = append(next, machine)
		}
	}
	p.listed = append(p.listed, listVersion{at: p.world.Now, machines: next})
}

// addMachine lists a machine again.
func (p *simulatedPlatform) addMachine(machine port.Machine) {
	latest := p.listed[len(p.listed)-1].machines
	next := slices.DeleteFunc(slices.Clone(latest), func(m port.Machine) bool { return m.Name == machine.Name })
	p.listed = append(p.listed, listVersion{at: p.world.Now, machines: append(next, machine)})
}

func (p *simulatedPlatform) score(from *simulatedNode, e effect.Score) {
	p.ask(from, 0, 0, p.scorerFails, func() node.Input {
		return node.ScoreAnswered{ID: e.ID, Score: model.Score(e.Prompt, e.Tokens), OK: true}
	})
}
