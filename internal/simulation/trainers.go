package simulation

import (
	"fmt"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/node"
	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/internal/standin/topology"
)

const (
	trainerPoll     = 50 * time.Millisecond
	trainerPatience = 5 * time.Second
	// callLost is how long after its deadline a call without answer is given up.
	callLost = 2 * time.Second
)

// simulatedTrainer is a trainer's process.
type simulatedTrainer struct {
	world  *World
	model  *model.Trainer
	target int
	calls  int
	// life counts the processes: answers to an earlier one are lost.
	life int
	dead bool
	// armed, when not 0, kills the trainer for so long right after its next pull
	// brought a batch, before it is acknowledged.
	armed time.Duration
}

func (w *World) addTrainers() {
	for _, e := range w.options.Topology.Experiments() {
		for _, name := range e.Trainers {
			w.addTrainer(e, name)
		}
	}
}

func (w *World) addTrainer(e topology.Experiment, name string) {
	one := &simulatedTrainer{world: w, target: w.random.IntN(w.roster.Size()), model: model.NewTrainer(epochStart, model.TrainerOptions{
		Experiment: e.Name, Name: name, TrainTime: e.TrainTime, Steps: w.options.Steps,
		Patience: trainerPatience, PublishEach: true,
	})}
	one.model.Upload = func(version int64) {
		w.platform.weights.Put(e.Policy, version)
		w.published(e.Policy, version)
	}
	w.trainers = append(w.trainers, one)
	w.Every(trainerPoll, one.poll)
}

func (t *simulatedTrainer) poll() bool {
	if t.dead {
		return true
	}
	call, due := t.model.Next(t.world.Now)
	if due {
		t.call(call)
	}
	return !t.model.Finished()
}

// call makes one call at a node; after a failure the next goes to another.
func (t *simulatedTrainer) call(call port.TrainerCall) {
	w := t.world
	t.calls++
	call.ID = fmt.Sprintf("%s%d", t.model.Options().Name, t.calls)
	life := t.life
	ended := false
	reply := func(answer port.TrainerReply, ok bool) {
		if ended || t.life != life {
			return
		}
		ended = true
		if !ok || answer.Status == port.TrainerUnavailable {
			t.target++
		}
		w.note("trainer", call.ID, string(answer.Status))
		t.model.OnReply(w.Now, answer, ok)
		if t.armed > 0 && call.Kind == port.TrainerPull && ok && answer.Status == port.TrainerDone {
			t.die(t.armed)
			t.armed = 0
		}
		// The next call follows at once; polling is for the ends of pauses.
		t.poll()
	}
	to := w.nodes[t.target%len(w.nodes)]
	w.After(call.Deadline.Sub(w.Now)+callLost, func() { reply(port.TrainerReply{}, false) })
	w.After(w.options.Topology.ClientLatency, func() {
		if !to.up() {
			reply(port.TrainerReply{}, false)
			return
		}
		to.openTrainers[call.ID] = reply
		call.Deadline = call.Deadline.Add(to.skew)
		to.deliver(to.life, node.TrainerCalled{Call: call})
	})
}

// die kills the trainer between whatever it did last and what it would do next.
func (t *simulatedTrainer) die(back time.Duration) {
	if t.dead || t.model.Finished() {
		return
	}
	t.life++
	t.dead = true
	t.model.Die(t.world.Now)
	t.world.After(back, func() { t.dead = false })
}
