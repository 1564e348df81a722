package clock

import (
	"testing"
	"time"
)

// machine is a machine whose clocks are moved by hand.
type machine struct {
	now  time.Time
	boot time.Duration
	asks int
}

func (m *machine) source() Source {
	return Source{Now: func() time.Time { return m.now }, SinceBoot: func() (time.Duration, bool) {
		m.asks++
		return m.boot, true
	}}
}

// run lets time pass.
func (m *machine) run(length time.Duration) {
	m.now = m.now.Add(length)
	m.boot += length
}

// suspend moves the clock that counts suspensions. The time of day moves along on a real machine; a
// time carries both readings, which can't be moved apart by hand, so tests set the gap instead.
func (m *machine) suspend(length time.Duration) { m.boot += length }

func newMachine() *machine { return &machine{now: time.Now(), boot: time.Hour} }

// TestSuspendedTimeCounts: a node that was suspended for five seconds took itself for the holder of
// a lease that another node had taken over, as the steady clock had not moved.
func TestSuspendedTimeCounts(t *testing.T) {
	m := newMachine()
	c := New(m.source())
	before := c.Now()
	m.suspend(5 * time.Second)
	m.run(askEvery)
	if passed := c.Now().Sub(before); passed != 5*time.Second+askEvery {
		t.Errorf("%s passed, should be 6s", passed)
	}
	if suspended := c.Suspended(); suspended != 5*time.Second {
		t.Errorf("suspended for %s, should be 5s", suspended)
	}
	m.suspend(3 * time.Second)
	m.run(askEvery)
	if suspended := c.Suspended(); suspended != 8*time.Second {
		t.Errorf("suspended for %s in all, should be 8s", suspended)
	}
}

// TestAGapIsAskedForAtOnce: the time of day tells of a suspension before the clock that counts it is
// due to be asked.
func TestAGapIsAskedForAtOnce(t *testing.T) {
	m := newMachine()
	c := New(m.source())
	m.suspend(5 * time.Second)
	c.gap = -5 * time.Second
	if now, suspended := c.Read(); suspended != 5*time.Second || now.Sub(m.now) != 5*time.Second {
		t.Errorf("suspended for %s, should be 5s", suspended)
	}
}

func TestAStepOfTheTimeOfDayIsNoSuspension(t *testing.T) {
	m := newMachine()
	c := New(m.source())
	c.gap = 2 * time.Second
	m.run(gapTolerance)
	if _, suspended := c.Read(); suspended != 0 {
		t.Errorf("suspended for %s after a step", suspended)
	}
}

func TestTheClockIsSeldomAsked(t *testing.T) {
	m := newMachine()
	c := New(m.source())
	asked := m.asks
	for range 400 {
		m.run(25 * time.Millisecond)
		_ = c.Now()
	}
	if asks := m.asks - asked; asks > 10 {
		t.Errorf("asked %d times in ten seconds", asks)
	}
}

func TestWithoutAClockOfSuspensions(t *testing.T) {
	m := newMachine()
	source := m.source()
	source.SinceBoot = func() (time.Duration, bool) { return 0, false }
	c := New(source)
	m.run(time.Minute)
	if now := c.Now(); !now.Equal(m.now) {
		t.Errorf("%s, should be %s", now, m.now)
	}
}

func TestSystemClock(t *testing.T) {
	c := New(System())
	before := c.Now()
	time.Sleep(2 * time.Millisecond)
	if passed := c.Now().Sub(before); passed < 2*time.Millisecond || passed > time.Minute {
		t.Errorf("%s passed", passed)
	}
	if _, ok := sinceBoot(); !ok {
		t.Error("the clock that counts suspensions can't be read")
	}
}
