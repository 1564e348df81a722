package configuration

import (
	"fmt"
	"slices"
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/quarantine"
)

// MaximumLifts bounds the lifted quarantines, as every node holds them all; the oldest goes first.
const MaximumLifts = 256

// liftQuarantine has a request that crashed replicas sent to replicas again. A crash that is noted
// after the command counts anew.
func liftQuarantine(next *doorstepv1.Configuration, command *port.Command) error {
	if _, ok := quarantine.ParseFingerprint(command.Request); !ok {
		return fmt.Errorf("%q is no request; show quarantine lists them", command.Request)
	}
	next.Lifts = slices.DeleteFunc(next.Lifts, func(lift *doorstepv1.QuarantineLift) bool { return lift.Request == command.Request })
	next.Lifts = append(next.Lifts, &doorstepv1.QuarantineLift{Request: command.Request, AtMs: command.Clock.Milliseconds()})
	next.Lifts = next.Lifts[max(len(next.Lifts)-MaximumLifts, 0):]
	return nil
}

// Lifts returns up to when crashes are void, by the record store's clock, for each request whose
// quarantine operators lifted.
func Lifts(c *doorstepv1.Configuration) map[quarantine.Fingerprint]time.Duration {
	lifts := map[quarantine.Fingerprint]time.Duration{}
	for _, lift := range c.GetLifts() {
		if fingerprint, ok := quarantine.ParseFingerprint(lift.Request); ok {
			lifts[fingerprint] = time.Duration(lift.AtMs) * time.Millisecond
		}
	}
	return lifts
}
