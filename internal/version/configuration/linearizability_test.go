package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/standin/model"
)

const (
	concurrentOperators = 4
	commandsPerOperator = 12
	historyCheckTimeout = 20 * time.Second
)

// drainCall is one command of an operator's history.
type drainCall struct {
	// undrain removes the drain, read only reads it.
	undrain, read bool
}

// drainModel is the sequential model of a drain that is either set or not.
var drainModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		drained, call, reply := state.(bool), input.(drainCall), output.(string)
		if call.read {
			return reply == fmt.Sprint(drained), drained
		}
		switch port.CommandStatus(reply) {
		case port.Accepted:
			return drained == call.undrain, !call.undrain
		case port.Refused:
			return drained != call.undrain, drained
		}
		return false, drained
	},
}

// TestCommandsAreLinearizable runs concurrent commands on one drain while the store loses answers,
// and checks that the history is linearizable.
func TestCommandsAreLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 1))
		var mu sync.Mutex
		draw := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return random.IntN(n)
		}
		store := &faultyStore{RecordStore: model.NewRecordStore(time.Now(), model.RecordStoreOptions{}), commit: func(int) (port.RecordStatus, bool, bool) {
			switch draw(4) {
			case 0:
				return port.RecordUnknown, true, true
			case 1:
				return port.RecordUnknown, false, true
			}
			return port.RecordDone, true, false
		}}
		var history []porcupine.Operation
		var group sync.WaitGroup
		startedAt := time.Now()
		for operator := range concurrentOperators {
			group.Go(func() {
				c := &Executor{Store: store, Now: time.Now}
				for n := range commandsPerOperator {
					call := drainCall{undrain: draw(2) == 0, read: draw(3) == 0}
					operation := porcupine.Operation{ClientId: operator, Input: call, Call: time.Since(startedAt).Nanoseconds()}
					operation.Output = execute(c, call, fmt.Sprintf("%d-%d", operator, n))
					operation.Return = time.Since(startedAt).Nanoseconds()
					mu.Lock()
					history = append(history, operation)
					mu.Unlock()
				}
			})
		}
		group.Wait()
		if porcupine.CheckOperationsTimeout(drainModel, history, historyCheckTimeout) != porcupine.Ok {
			t.Errorf("seed %d: history is not linearizable: %+v", seed, history)
		}
	}
}

func execute(c *Executor, call drainCall, token string) string {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	if call.read {
		stored, _ := c.Read(ctx)
		return fmt.Sprint(IsDrained(stored, doorstepv1.DrainKind_DRAIN_KIND_ZONE, "z"))
	}
	kind := port.DrainTarget
	if call.undrain {
		kind = port.UndrainTarget
	}
	reply := c.Submit(ctx, port.OperatorCall{Token: token, Command: &port.Command{
		Kind: kind, Drain: &doorstepv1.Drain{Kind: doorstepv1.DrainKind_DRAIN_KIND_ZONE, Name: "z"},
	}})
	return string(reply.Status)
}
