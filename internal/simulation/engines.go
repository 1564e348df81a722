package simulation

import (
	"cmp"
	"slices"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/effect"
	"github.com/doorstep/doorstep/internal/process/node"
	"github.com/doorstep/doorstep/internal/standin/model"
)

const (
	advanceEvery = 20 * time.Millisecond
	reportLag    = 300 * time.Millisecond
	loadTime     = 400 * time.Millisecond
	// lostDial, lostCall, lostOrder and lostStream are how long it takes to notice
	// that an engine is out of reach.
	lostDial    = time.Second
	lostCall    = 2 * time.Second
	lostOrder   = 10 * time.Second
	lostStream  = 3 * time.Second
	plainLength = 6
	// staleConnection is the chance, one in so many, that a connection from the
	// pool was used, so that the request may have been read before the end.
	staleConnection = 3
)

// simulatedEngine is an engine's process.
type simulatedEngine struct {
	world   *World
	machine port.Machine
	model   *model.Engine
	plain   bool
	down    bool
	streams map[string]*stream
	orders  []func(status port.OrderStatus)
}

// stream is the connection of one attempt between a node and an engine.
type stream struct {
	world   *World
	engine  *simulatedEngine
	node    *simulatedNode
	life    int
	attempt string
	// lastAt keeps the events of a connection in order.
	lastAt time.Time
	ended  bool
}

func (w *World) addEngines() {
	for _, machine := range w.options.Topology.Machines() {
		service, _ := w.options.Topology.FindService(machine.Service)
		options := model.EngineOptions{
			Name: machine.Name, Capacity: service.Capacity, TokenTime: service.TokenTime,
			ReportLag: reportLag, LoadTime: loadTime, CachePrefixes: 12, Fetch: w.fetchWeights,
		}
		if !service.Model {
			options.FixedLength = plainLength
		}
		one := &simulatedEngine{world: w, machine: machine, model: model.NewEngine(options), plain: !service.Model, streams: map[string]*stream{}}
		one.preload()
		w.engines = append(w.engines, one)
		w.byName[machine.Name] = one
		offset := time.Duration(w.random.Int64N(int64(advanceEvery)))
		w.After(offset, func() { w.Every(advanceEvery, one.advance) })
	}
}

// preload gives services without experiments their one version.
func (e *simulatedEngine) preload() {
	if e.plain {
		e.model.Preload(e.machine.Service, 1)
	}
}

// findEngine returns an engine by name.
func (w *World) findEngine(name string) *simulatedEngine { return w.byName[name] }

func (e *simulatedEngine) advance() bool {
	if e.down {
		return true
	}
	events := e.model.Advance(e.world.Now)
	for _, one := range events.Stream {
		if s, ok := e.streams[one.Attempt]; ok {
			s.emit(one)
		}
	}
	for _, end := range events.Orders {
		waiting := e.orders
		e.orders = nil
		for _, reply := range waiting {
			reply(end.Status)
		}
	}
	return true
}

// crash ends the process: its streams break and its weights are gone.
func (e *simulatedEngine) crash() {
	if e.down {
		return
	}
	e.world.note("crash", e.machine.Name)
	e.down = true
	e.model.Crash()
	e.orders = nil
	for _, id := range sortedKeys(e.streams) {
		e.streams[id].emit(port.StreamEvent{Attempt: id, Kind: port.StreamBroken})
	}
	e.streams = map[string]*stream{}
}

func (e *simulatedEngine) restart() {
	e.world.note("restart", e.machine.Name)
	e.down = false
	e.preload()
}

func (n *simulatedNode) generate(e effect.EngineGenerate) {
	w := n.world
	engine := w.findEngine(e.Replica)
	s := &stream{world: w, engine: engine, node: n, life: n.life, attempt: e.Generate.Attempt}
	n.attempts[s.attempt] = s
	if !w.network.openBoth(n.entry.Zone, engine.machine.Zone) {
		w.After(lostDial, func() { s.deliver(port.StreamEvent{Attempt: s.attempt, Kind: port.StreamUnreached}) })
		return
	}
	w.After(w.network.latency(n.entry.Zone, engine.machine.Zone), func() { s.arrive(e.Generate) })
}

// arrive brings an attempt to its engine.
func (s *stream) arrive(generate port.Generate) {
	w := s.world
	w.note("arrive", s.engine.machine.Name, s.attempt)
	if s.engine.down {
		kind := port.StreamUnreached
		if w.random.IntN(staleConnection) == 0 {
			kind = port.StreamBroken
		}
		s.emit(port.StreamEvent{Attempt: s.attempt, Kind: kind})
		return
	}
	if s.ended {
		return
	}
	s.engine.streams[s.attempt] = s
	for _, event := range s.engine.model.Generate(w.Now, generate) {
		s.emit(event)
	}
}

// emit sends an event to the node, in order, unless the connection is broken.
func (s *stream) emit(event port.StreamEvent) {
	w := s.world
	if s.ended {
		return
	}
	switch event.Kind {
	case port.StreamFinished, port.StreamRefused, port.StreamBroken, port.StreamUnreached:
		delete(s.engine.streams, s.attempt)
	}
	zone := s.engine.machine.Zone
	if !w.network.openBoth(zone, s.node.entry.Zone) {
		s.breakOff()
		return
	}
	delays := []time.Duration{w.network.latency(zone, s.node.entry.Zone)}
	if w.network.chaos > 0 {
		// Events come late, doubled and out of order, though none is lost.
		if w.random.Float64() < chaosLate {
			delays[0] += w.network.late()
		}
		if w.random.Float64() < chaosDouble {
			delays = append(delays, delays[0]+w.network.late())
		}
	} else if at := w.Now.Add(delays[0]); at.Before(s.lastAt) {
		delays[0] = s.lastAt.Sub(w.Now)
	}
	for _, delay := range delays {
		w.After(delay, func() { s.deliver(event) })
	}
	s.lastAt = w.Now.Add(delays[0])
}

// breakOff ends the connection: the node notices after a while, the engine too.
func (s *stream) breakOff() {
	s.ended = true
	delete(s.engine.streams, s.attempt)
	s.world.After(lostStream, func() {
		s.deliver(port.StreamEvent{Attempt: s.attempt, Kind: port.StreamBroken})
		s.engine.model.Cancel(s.attempt)
	})
}

func (s *stream) deliver(event port.StreamEvent) {
	s.world.note("stream", s.attempt, string(event.Kind))
	s.node.deliver(s.life, node.EngineStreamed{Event: event})
	if event.Kind != port.StreamStarted && event.Kind != port.StreamChunk && s.node.life == s.life {
		delete(s.node.attempts, s.attempt)
	}
}

// clientGone tells the engine that the node's end is closed.
func (s *stream) clientGone() {
	s.ended = true
	s.world.After(s.world.network.latency(s.node.entry.Zone, s.engine.machine.Zone), func() {
		delete(s.engine.streams, s.attempt)
		s.engine.model.Cancel(s.attempt)
	})
}

func (n *simulatedNode) cancel(e effect.EngineCancel) {
	if s, ok := n.attempts[e.Attempt]; ok {
		delete(n.attempts, e.Attempt)
		s.clientGone()
	}
}

// call makes a round trip to an engine; lost is delivered when there is none.
func (n *simulatedNode) call(engine *simulatedEngine, wait time.Duration, lost node.Input, serve func(reply func(node.Input))) {
	w := n.world
	life := n.life
	zone := engine.machine.Zone
	answered := false
	reply := func(in node.Input) {
		if answered || !w.network.openBoth(zone, n.entry.Zone) {
			return
		}
		answered = true
		w.After(w.network.latency(zone, n.entry.Zone), func() { n.deliver(life, in) })
	}
	w.After(wait, func() {
		if !answered {
			answered = true
			n.deliver(life, lost)
		}
	})
	if !w.network.openBoth(n.entry.Zone, zone) {
		return
	}
	w.After(w.network.latency(n.entry.Zone, zone), func() {
		if !engine.down {
			serve(reply)
		}
	})
}

func (n *simulatedNode) load(e effect.EngineLoad) {
	engine := n.world.findEngine(e.Replica)
	n.call(engine, lostCall, node.LoadFailed{Replica: e.Replica}, func(reply func(node.Input)) {
		report := engine.model.Report(n.world.Now)
		if n.world.scale != nil {
			n.world.scale.poll(report)
		}
		reply(node.LoadReported{Report: report})
	})
}

func (n *simulatedNode) order(e effect.EngineOrder) {
	engine := n.world.findEngine(e.Order.Replica)
	unknown := node.OrderAnswered{Order: e.Order, Status: port.OrderUnknown}
	n.call(engine, lostOrder, unknown, func(reply func(node.Input)) {
		respond := func(status port.OrderStatus) { reply(node.OrderAnswered{Order: e.Order, Status: status}) }
		n.world.note("order", engine.machine.Name)
		status, ended := engine.model.Order(n.world.Now, e.Order)
		if ended {
			respond(status)
			return
		}
		engine.orders = append(engine.orders, respond)
	})
}

// sortedKeys returns a map's keys in order, so that runs repeat.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
