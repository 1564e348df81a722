// Package clock gives the time by which a process decides, on machines that may be suspended.
//
// Go's clocks stand still while a machine is suspended: after it a lease that ran out would seem to
// be held, and the bounds of the record store's clock would contradict one another. This clock counts
// that time.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// gapTolerance is how far the time of day may drift from the steady clock before the clock that
	// counts suspensions is asked for the cause, which takes a system call.
	gapTolerance = 20 * time.Millisecond
	// askEvery bounds how long it is not asked: a step of the time of day may hide a suspension.
	askEvery = time.Second
	// leastSuspension is the least time that counts as a suspension: two clocks that are read one
	// after the other differ by less, unless the process was held up in between.
	leastSuspension = 20 * time.Millisecond
)

// Source is where a clock's readings come from.
type Source struct {
	// Now reads the steady clock, which stands still in suspensions, and the time of day.
	Now func() time.Time
	// SinceBoot reads the clock that counts suspensions; false where there is none.
	SinceBoot func() (time.Duration, bool)
}

// System is the machine's own clocks.
func System() Source { return Source{Now: time.Now, SinceBoot: sinceBoot} }

func sinceBoot() (time.Duration, bool) {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return 0, false
	}
	return time.Duration(reading.Nano()), true
}

// Clock counts the time in which the machine was suspended. It may be used by several goroutines.
type Clock struct {
	source Source

	mu sync.Mutex
	// started and booted are the readings at the start, booted that of the clock that counts
	// suspensions.
	started time.Time
	booted  time.Duration
	counts  bool
	// gap is by how much the time of day was ahead of the steady clock when the cause was asked for
	// last, at askedAt.
	gap       time.Duration
	askedAt   time.Time
	suspended time.Duration
}

// New returns a clock that starts now.
func New(source Source) *Clock {
	c := &Clock{source: source, started: source.Now()}
	c.booted, c.counts = source.SinceBoot()
	c.askedAt = c.started
	return c
}

// Now returns the time. Times of one clock may be compared and subtracted; their time of day is
// ahead of the machine's by Suspended.
func (c *Clock) Now() time.Time {
	now, _ := c.Read()
	return now
}

// Read returns the time, and for how long the machine was suspended since the start.
func (c *Clock) Read() (now time.Time, suspended time.Duration) {
	now = c.source.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	gap := c.gapAt(now)
	if (gap-c.gap).Abs() >= gapTolerance || now.Sub(c.askedAt) >= askEvery {
		c.gap, c.askedAt = gap, now
		c.ask(now)
	}
	return now.Add(c.suspended), c.suspended
}

// gapAt returns by how much the time of day has gained on the steady clock since the start.
func (c *Clock) gapAt(now time.Time) time.Duration {
	// Round strips the steady clock's reading.
	return now.Round(0).Sub(c.started.Round(0)) - now.Sub(c.started)
}

// ask finds out whether the machine was suspended.
func (c *Clock) ask(now time.Time) {
	if !c.counts {
		return
	}
	boot, ok := c.source.SinceBoot()
	if !ok {
		return
	}
	if suspended := (boot - c.booted) - now.Sub(c.started); suspended-c.suspended >= leastSuspension {
		c.suspended = suspended
	}
}

// Suspended returns for how long the machine was suspended since the start.
func (c *Clock) Suspended() time.Duration {
	_, suspended := c.Read()
	return suspended
}
