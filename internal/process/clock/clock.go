// Package clock provides a process clock for machines that may be suspended.
//
// Go's monotonic clock stops while the machine is suspended. An expired lease would then appear to be
// held, and the estimate of the record store's clock would become inconsistent. This clock includes the
// time of suspensions.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// driftTolerance is the drift between wall clock and monotonic clock at which the boot-time clock
	// is checked. The check takes a system call.
	driftTolerance = 20 * time.Millisecond
	// checkInterval is the longest time between two checks, as a step of the wall clock can hide a
	// suspension.
	checkInterval = time.Second
	// minSuspension is the shortest time that counts as a suspension. Two clocks read in succession
	// usually differ by less.
	minSuspension = 20 * time.Millisecond
)

// Source provides the readings of a clock.
type Source struct {
	// Now reads the monotonic clock, which stops during suspensions, and the wall clock.
	Now func() time.Time
	// SinceBoot reads the boot-time clock, which includes suspensions. It reports false if there is
	// none.
	SinceBoot func() (time.Duration, bool)
}

// System returns the clocks of the machine.
func System() Source { return Source{Now: time.Now, SinceBoot: sinceBoot} }

func sinceBoot() (time.Duration, bool) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, false
	}
	return time.Duration(reading.Nano()), true
}

// Clock includes the time during which the machine was suspended. It is safe for concurrent use.
type Clock struct {
	source Source

	mu sync.Mutex
	// started and booted are the readings at the start; booted is that of the boot-time clock.
	started      time.Time
	booted       time.Duration
	hasBootClock bool
	// drift is how far the wall clock was ahead of the monotonic clock at the last check, which was
	// made at checkedAt.
	drift     time.Duration
	checkedAt time.Time
	suspended time.Duration
}

// New returns a clock that starts now.
func New(source Source) *Clock {
	c := &Clock{source: source, started: source.Now()}
	c.booted, c.hasBootClock = source.SinceBoot()
	c.checkedAt = c.started
	return c
}

// Now returns the current time. Times of one clock can be compared and subtracted. Their wall clock
// reading is ahead of the machine's by Suspended.
func (c *Clock) Now() time.Time {
	now, _ := c.Read()
	return now
}

// Read returns the current time and how long the machine has been suspended since the start.
func (c *Clock) Read() (now time.Time, suspended time.Duration) {
	now = c.source.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	drift := c.driftAt(now)
	if (drift-c.drift).Abs() >= driftTolerance || now.Sub(c.checkedAt) >= checkInterval {
		c.drift, c.checkedAt = drift, now
		c.checkSuspension(now)
	}
	return now.Add(c.suspended), c.suspended
}

// driftAt returns how far the wall clock has gained on the monotonic clock since the start.
func (c *Clock) driftAt(now time.Time) time.Duration {
	// Round strips the monotonic clock reading.
	return now.Round(0).Sub(c.started.Round(0)) - now.Sub(c.started)
}

// checkSuspension updates the time of suspensions from the boot-time clock.
func (c *Clock) checkSuspension(now time.Time) {
	if !c.hasBootClock {
		return
	}
	boot, ok := c.source.SinceBoot()
	if !ok {
		return
	}
	if suspended := (boot - c.booted) - now.Sub(c.started); suspended-c.suspended >= minSuspension {
		c.suspended = suspended
	}
}

// Suspended returns how long the machine has been suspended since the start.
func (c *Clock) Suspended() time.Duration {
	_, suspended := c.Read()
	return suspended
}
