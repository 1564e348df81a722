package clock

import (
	"testing"
	"time"
)

// machine is a machine with manually advanced clocks.
type machine struct {
	now    time.Time
	boot   time.Duration
	checks int
}

func (m *machine) source() Source {
	return Source{Now: func() time.Time { return m.now }, SinceBoot: func() (time.Duration, bool) {
		m.checks++
		return m.boot, true
	}}
}

func (m *machine) advance(length time.Duration) {
	m.now = m.now.Add(length)
	m.boot += length
}

// suspend advances the boot-time clock. On a real machine the wall clock advances as well, but the two
// readings of a time.Time cannot be set independently; tests set the drift instead.
func (m *machine) suspend(length time.Duration) { m.boot += length }

func newMachine() *machine { return &machine{now: time.Now(), boot: time.Hour} }

// A node that was suspended must not consider itself the holder of an expired lease.
func TestSuspensionIsIncluded(t *testing.T) {
	m := newMachine()
	c := New(m.source())
	before := c.Now()
	m.suspend(5 * time.Second)
	m.advance(checkInterval)
	if passed := c.Now().Sub(before); passed != 5*time.Second+checkInterval {
		t.Errorf("%s passed, want 6s", passed)
	}
	if suspended := c.Suspended(); suspended != 5*time.Second {
		t.Errorf("suspended for %s, want 5s", suspended)
	}
	m.suspend(3 * time.Second)
	m.advance(checkInterval)
	if suspended := c.Suspended(); suspended != 8*time.Second {
		t.Errorf("suspended for %s in total, want 8s", suspended)
	}
}

// Drift of the wall clock triggers a check before the next one is due.
func TestDriftTriggersCheck(t *testing.T) {
	m := newMachine()
	c := New(m.source())
	m.suspend(5 * time.Second)
	c.drift = -5 * time.Second
	if now, suspended := c.Read(); suspended != 5*time.Second || now.Sub(m.now) != 5*time.Second {
		t.Errorf("suspended for %s, want 5s", suspended)
	}
}

func TestWallClockStepIsNoSuspension(t *testing.T) {
	m := newMachine()
	c := New(m.source())
	c.drift = 2 * time.Second
	m.advance(driftTolerance)
	if _, suspended := c.Read(); suspended != 0 {
		t.Errorf("suspended for %s after a wall clock step, want 0", suspended)
	}
}

func TestCheckInterval(t *testing.T) {
	m := newMachine()
	c := New(m.source())
	before := m.checks
	for range 400 {
		m.advance(25 * time.Millisecond)
		_ = c.Now()
	}
	if checks := m.checks - before; checks > 10 {
		t.Errorf("checked %d times in ten seconds, want at most 10", checks)
	}
}

func TestWithoutBootClock(t *testing.T) {
	m := newMachine()
	source := m.source()
	source.SinceBoot = func() (time.Duration, bool) { return 0, false }
	c := New(source)
	m.advance(time.Minute)
	if now := c.Now(); !now.Equal(m.now) {
		t.Errorf("got %s, want %s", now, m.now)
	}
}

func TestSystemClock(t *testing.T) {
	c := New(System())
	before := c.Now()
	time.Sleep(2 * time.Millisecond)
	if passed := c.Now().Sub(before); passed < 2*time.Millisecond || passed > time.Minute {
		t.Errorf("%s passed during a sleep of 2ms", passed)
	}
	if _, ok := sinceBoot(); !ok {
		t.Error("the boot-time clock cannot be read")
	}
}
