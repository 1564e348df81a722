package agent

import (
	"context"
	"time"

	"github.com/doorstep/doorstep/internal/process/event"
)

// resume notes that the machine was suspended, for so long in all. Orders and calls of duties that
// are under way end: another node may have acted since they were decided on, and their time-outs
// stood still.
func (a *Agent) resume(suspended time.Duration) {
	a.log.add(event.MachineResumed, "suspended_ms", (suspended - a.suspended).Milliseconds())
	a.suspended = suspended
	a.endActs()
	a.acts, a.endActs = context.WithCancel(a.base)
}
