package simulation

import (
	"fmt"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/node"
	"github.com/doorstep/doorstep/internal/request/statement"
	"github.com/doorstep/doorstep/internal/simulation/check"
	"github.com/doorstep/doorstep/internal/standin/topology"
	"github.com/doorstep/doorstep/internal/version/ledger"
)

const (
	operatorWait   = 6 * time.Second
	operatorEvery  = 4 * time.Second
	operatorPause  = 500 * time.Millisecond
	operatorTries  = 12
	createTries    = 200
	operatorsCount = 2
)

// simulatedOperators issue statements, race each other, and ask again with the
// same token when no answer came.
type simulatedOperators struct {
	world  *World
	serial int
	told   []check.Told
	// drained is the replica that operators drain and undrain.
	drained string
	isOn    bool
	// drainedSince is when the drain was accepted, zero while it is not.
	drainedSince time.Time
	// undrains counts, by replica, the undrains asked for and not decided yet: one
	// of them may take effect after a later drain.
	undrains map[string]int
	slowest  time.Duration
	ended    bool
	ready    bool
}

func newSimulatedOperators(w *World) *simulatedOperators {
	return &simulatedOperators{world: w, undrains: map[string]int{}}
}

// begin stores the prompts, creates the experiment and goes on with changes.
func (o *simulatedOperators) begin() {
	t := o.world.options.Topology
	prompts := "A first prompt.\nA second prompt, longer than the first.\nA third one.\n"
	for i := range 40 {
		prompts += fmt.Sprintf("Prompt %d of the set, about transfer or session %d.\n", i, i*7)
	}
	o.world.platform.objects.Put(o.world.Now, ledger.PromptsKey(t.Experiment.Prompts), []byte(prompts))
	if o.world.options.CallersOnly {
		for _, engine := range o.world.engines {
			engine.model.Preload(t.Experiment.Policy, ledger.BaseVersion)
		}
		return
	}
	o.world.After(time.Second, func() {
		o.create(t.Experiments())
	})
}

// create creates the experiments one after the other.
func (o *simulatedOperators) create(experiments []topology.Experiment) {
	if len(experiments) == 0 {
		o.ready = true
		o.world.After(operatorEvery, o.next)
		return
	}
	o.command("founder", experiments[0].CreateStatement(), 0, createTries, func(port.OperatorReply) {
		o.create(experiments[1:])
	})
}

func (o *simulatedOperators) end() { o.ended = true }

// next issues one of the usual changes.
func (o *simulatedOperators) next() {
	if o.ended {
		return
	}
	o.world.After(operatorEvery, o.next)
	text, done := o.draw()
	o.command("usual", text, 0, operatorTries, done)
}

// undrained ends the span during which the drained replica may get no work: from
// the acceptance of the drain to the asking for its end.
func (o *simulatedOperators) undrained() {
	if o.drainedSince.IsZero() {
		return
	}
	bound := check.DrainBound
	if len(o.world.options.Faults) > 0 {
		bound = check.InForceBound
	}
	o.world.leaves = append(o.world.leaves, check.Leave{Replica: o.drained, From: o.drainedSince, To: o.world.Now, Bound: bound, Why: "drained"})
	o.drainedSince = time.Time{}
}

// draw chooses a change, and what to do once it is decided.
func (o *simulatedOperators) draw() (string, func(port.OperatorReply)) {
	w := o.world
	nothing := func(port.OperatorReply) {}
	switch w.random.IntN(3) {
	case 0:
		return fmt.Sprintf("set limit tenant%d %d", w.random.IntN(tenants), 20+w.random.IntN(40)), nothing
	case 1:
		return fmt.Sprintf("alter experiment %s set share %d", w.options.Topology.Experiment.Name, 1+w.random.IntN(9)), nothing
	}
	machines := w.options.Topology.Machines()
	name := machines[w.random.IntN(len(machines))].Name
	if o.isOn {
		o.isOn = false
		o.undrained()
		drained := o.drained
		o.undrains[drained]++
		return "undrain replica " + drained, func(port.OperatorReply) { o.undrains[drained]-- }
	}
	o.isOn = true
	o.drained = name
	return "drain replica " + name, func(reply port.OperatorReply) {
		// A drain whose undrain was asked for meanwhile, or before and is not decided,
		// may have ended already.
		if reply.Status == port.Accepted && o.isOn && o.drained == name && o.undrains[name] == 0 {
			o.drainedSince = w.Now
		}
	}
}

// race lets two operators change the same thing at the same moment at two nodes.
func (o *simulatedOperators) race() {
	if !o.ready {
		return
	}
	for i := range operatorsCount {
		text := fmt.Sprintf("alter experiment %s set share %d", o.world.options.Topology.Experiment.Name, 20+i)
		o.command(fmt.Sprintf("racer%d", i), text, 0, operatorTries, func(port.OperatorReply) {})
	}
}

// command issues a statement until it has a definite answer, each time at another
// node and with the same token.
func (o *simulatedOperators) command(operator, text string, ifRevision uint64, tries int, done func(port.OperatorReply)) {
	parsed, err := statement.ParseOne(text)
	if err != nil {
		panic("the simulator's statement does not parse: " + err.Error())
	}
	o.serial++
	call := port.OperatorCall{Operator: operator, Token: fmt.Sprintf("token%d", o.serial), IfRevision: ifRevision, Text: text, Command: parsed.Command}
	o.ask(call, tries, o.world.Now, done)
}

func (o *simulatedOperators) ask(call port.OperatorCall, tries int, since time.Time, done func(port.OperatorReply)) {
	w := o.world
	o.serial++
	call.ID = fmt.Sprintf("o%d", o.serial)
	told := check.Told{Operator: call.Operator, Token: call.Token, IfRevision: call.IfRevision, From: w.Now}
	ended := false
	reply := func(answer port.OperatorReply, ok bool) {
		if ended {
			return
		}
		ended = true
		told.To = w.Now
		told.Reply = answer
		told.Lost = !ok
		o.told = append(o.told, told)
		w.note("operator", call.Token, string(answer.Status))
		o.judge(call, told, tries, since, done)
	}
	to := w.nodes[w.random.IntN(len(w.nodes))]
	w.After(operatorWait+callLost, func() { reply(port.OperatorReply{}, false) })
	w.After(w.options.Topology.ClientLatency, func() {
		if !to.up() {
			reply(port.OperatorReply{}, false)
			return
		}
		to.openOperator[call.ID] = reply
		call.Deadline = to.clockNow().Add(operatorWait)
		to.deliver(to.life, node.OperatorCalled{Call: call})
	})
}

func (o *simulatedOperators) judge(call port.OperatorCall, told check.Told, tries int, since time.Time, done func(port.OperatorReply)) {
	w := o.world
	if !told.Lost {
		switch told.Reply.Status {
		case port.Accepted:
			w.acceptances = append(w.acceptances, check.Acceptance{Revision: told.Reply.Revision, At: w.Now})
			o.slowest = max(o.slowest, w.Now.Sub(since))
			w.watchRevision(since, told.Reply.Revision)
			done(told.Reply)
			return
		case port.Refused:
			// A refusal because the table is silent, or by a race, may be repeated when
			// the change is needed; only the creation is.
			if tries < createTries/2 {
				done(told.Reply)
				return
			}
		}
	}
	if tries <= 1 {
		return
	}
	w.After(operatorPause, func() { o.ask(call, tries-1, since, done) })
}
