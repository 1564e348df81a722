package configuration

import (
	"fmt"
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/quarantine"
)

// MaxQuarantineLifts is the maximum number of lifted quarantines. All of them are held in memory by every
// node. When it is exceeded, the oldest is removed.
const MaxQuarantineLifts = 256

// liftQuarantine allows a quarantined request to be sent to replicas again. Crashes recorded after
// the command count again.
func liftQuarantine(next *doorstepv1.Configuration, command *port.Command) error {
	if _, ok := quarantine.ParseFingerprint(command.Request); !ok {
		return fmt.Errorf("%q is no request; show quarantine lists them", command.Request)
	}
	next.Lifts = slices.DeleteFunc(next.Lifts, func(lift *doorstepv1.QuarantineLift) bool { return lift.Request == command.Request })
	next.Lifts = append(next.Lifts, &doorstepv1.QuarantineLift{Request: command.Request, AtMs: command.Clock.Milliseconds()})
	next.Lifts = next.Lifts[max(len(next.Lifts)-MaxQuarantineLifts, 0):]
	return nil
}

// QuarantineLifts returns, by request, the time on the record store's clock up to which crashes are ignored
// because the quarantine was lifted.
func QuarantineLifts(c *doorstepv1.Configuration) map[quarantine.Fingerprint]time.Duration {
	lifts := map[quarantine.Fingerprint]time.Duration{}
	for _, lift := range c.GetLifts() {
		if fingerprint, ok := quarantine.ParseFingerprint(lift.Request); ok {
			lifts[fingerprint] = time.Duration(lift.AtMs) * time.Millisecond
		}
	}
	return lifts
}
