package agent

import (
	"context"
	"time"

	"github.com/doorstep/doorstep/internal/process/event"
)

// handleResume records that the machine was suspended; suspended is the total so far. It cancels
// in-flight orders and duty calls: another node may have acted in the meantime, and their timeouts
// did not advance.
func (a *Agent) handleResume(suspended time.Duration) {
	a.log.add(event.MachineResumed, "suspended_ms", (suspended - a.totalSuspended).Milliseconds())
	a.totalSuspended = suspended
	a.cancelLeaseContext()
	a.leaseContext, a.cancelLeaseContext = context.WithCancel(a.base)
}
