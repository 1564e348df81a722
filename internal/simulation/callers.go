package simulation

import (
	"fmt"
	"math"
	"time"

	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/effect"
	"github.com/doorstep/doorstep/internal/process/node"
	"github.com/doorstep/doorstep/internal/simulation/check"
	"github.com/doorstep/doorstep/internal/standin/model"
)

const (
	callerTries     = 8
	callerDeadline  = 20 * time.Second
	callerMaxTokens = 64
	burstFactor     = 10
	// unsafePart and doubledPart are chances, one in so many: of a request that is
	// unsafe to repeat, and of its caller sending it to two nodes at once.
	unsafePart  = 4
	doubledPart = 3
	tenants     = 4
)

// simulatedCallers are the platform's own users.
type simulatedCallers struct {
	world   *World
	serial  int
	tries   []*check.Try
	latency []time.Duration
	// finals counts callers by what they were left with.
	finals map[port.OutcomeKind]int
	burst  int
	ended  bool
}

// callerTry is one try under way.
type callerTry struct {
	callers *simulatedCallers
	check   *check.Try
	request port.CallerRequest
	began   time.Time
	number  int
	closed  bool
	settle  func(try *callerTry)
}

func newSimulatedCallers(w *World) *simulatedCallers {
	return &simulatedCallers{world: w, finals: map[port.OutcomeKind]int{}}
}

func (c *simulatedCallers) begin() { c.world.After(time.Second, c.next) }

func (c *simulatedCallers) end() { c.ended = true }

// next lets a caller arrive and schedules the one after it.
func (c *simulatedCallers) next() {
	if c.ended {
		return
	}
	rate := c.world.options.Topology.CallersPerSecond
	if c.burst > 0 {
		rate *= burstFactor
	}
	gap := -math.Log(1-c.world.random.Float64()) / rate
	c.world.After(time.Duration(gap*float64(time.Second)), c.next)
	c.arrive()
}

func (c *simulatedCallers) arrive() {
	w := c.world
	c.serial++
	services := w.options.Topology.Services
	request := port.CallerRequest{
		Tenant:    fmt.Sprintf("tenant%d", w.random.IntN(tenants)),
		Service:   services[w.random.IntN(len(services))].Name,
		Prompt:    fmt.Sprintf("caller %d asks", c.serial),
		MaxTokens: callerMaxTokens,
		Priority:  port.PriorityNormal,
		Unsafe:    w.random.IntN(unsafePart) == 0,
	}
	if request.Unsafe && w.random.IntN(2) == 0 {
		request.Key = fmt.Sprintf("key%d", c.serial)
	}
	target := w.random.IntN(len(w.nodes))
	c.try(request, target, 1)
	if request.Key != "" && w.random.IntN(doubledPart) == 0 {
		c.try(request, target+1, callerTries)
	}
}

// try sends a request to a node; number counts the tries of this caller.
func (c *simulatedCallers) try(request port.CallerRequest, target, number int) {
	w := c.world
	c.serial++
	request.ID = fmt.Sprintf("c%d", c.serial)
	one := &callerTry{
		callers: c, request: request, began: w.Now, number: number,
		check: &check.Try{ID: request.ID, Prompt: request.Prompt, Service: request.Service, Key: request.Key, Unsafe: request.Unsafe},
	}
	one.settle = func(ended *callerTry) { c.settle(ended, target) }
	to := w.nodes[target%len(w.nodes)]
	w.After(w.options.Topology.ClientLatency, func() {
		if !to.up() {
			// The connection is refused: nothing was sent.
			one.check.Cut = true
			one.check.Outcome.Kind = port.NotRun
			one.end()
			return
		}
		c.tries = append(c.tries, one.check)
		to.openRequests[request.ID] = one
		request.Deadline = to.clockNow().Add(callerDeadline)
		to.deliver(to.life, node.CallerArrived{Request: request})
	})
}

func (t *callerTry) chunk(chunk effect.CallerChunk) {
	t.check.Chunks = append(t.check.Chunks, check.Part{Offset: chunk.Offset, Tokens: chunk.Tokens})
}

// done takes the final answer. A completed answer's true length is worked out
// from the engine's own rule, for the request as the engines knew it.
func (t *callerTry) done(outcome port.Outcome) {
	w := t.callers.world
	w.note("done", t.request.ID, string(outcome.Kind))
	t.check.Outcome = outcome
	t.check.Length = t.trueLength(outcome)
	t.callers.latency = append(t.callers.latency, w.Now.Sub(t.began)+w.options.Topology.ClientLatency)
	t.end()
}

func (t *callerTry) trueLength(outcome port.Outcome) int {
	service, _ := t.callers.world.options.Topology.FindService(t.request.Service)
	switch {
	case outcome.Kind != port.Completed || outcome.Replayed != "":
		return 0
	case !service.Model:
		return plainLength
	}
	for _, engine := range t.callers.world.engines {
		for _, record := range engine.model.Records {
			if record.Finished && record.Prompt == t.request.Prompt && suffixOf(record.Request, t.request.ID) {
				return model.Length(record.Request, record.Prompt, t.request.MaxTokens)
			}
		}
	}
	return -1
}

func suffixOf(request, id string) bool {
	return len(request) > len(id) && request[len(request)-len(id)-1:] == "."+id
}

// cutOff ends a try whose node is gone: the caller's own client says unknown.
func (t *callerTry) cutOff() {
	t.check.Cut = true
	t.check.Outcome.Kind = port.Unknown
	t.end()
}

func (t *callerTry) end() {
	if !t.closed {
		t.closed = true
		t.settle(t)
	}
}

// settle lets the caller come back where that is right: after "not run" always,
// after "unknown" if a repeat is safe or its key guards it.
func (c *simulatedCallers) settle(ended *callerTry, target int) {
	kind := ended.check.Outcome.Kind
	guarded := !ended.request.Unsafe || ended.request.Key != ""
	again := kind == port.NotRun || kind == port.Unknown && guarded
	if !again || ended.number >= callerTries || c.ended {
		c.finals[kind]++
		return
	}
	wait := max(ended.check.Outcome.RetryAfter, 100*time.Millisecond)
	c.world.After(wait, func() { c.try(ended.request, target+1, ended.number+1) })
}
