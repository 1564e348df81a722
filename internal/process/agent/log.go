package agent

import (
	"context"
	"io"
	"log"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/doorstep/doorstep/internal/process/event"
)

const (
	// logRing bounds the lines that wait for the writer.
	logRing = 1024
	// linesPerSecond is the budget of lines about single requests, items and jobs.
	linesPerSecond = 250
	// sampleShifts bounds how far sampling goes: one id in two to this power.
	sampleShifts = 10
)

// eventLog writes numbered events through one goroutine. Adding a line never blocks:
// lines that find the ring full are counted and left out. Above the budget, lines about
// single requests are sampled by id, so that a request is told of whole or not at all;
// lines of warnings and errors are never sampled.
type eventLog struct {
	logger hclog.Logger
	lines  chan line
	// clock is the record store's clock, by which the lines of all nodes can be ordered.
	clock func() time.Duration
	// shifts says that one id in two to this power is told of.
	shifts           atomic.Int32
	dropped, sampled atomic.Uint64
	added            atomic.Uint64
	// leftOut counts all lines left out since the start.
	leftOut atomic.Uint64
}

type line struct {
	number int
	clock  time.Duration
	fields []any
}

func newEventLog(logger hclog.Logger, clock func() time.Duration) *eventLog {
	return &eventLog{logger: logger, lines: make(chan line, logRing), clock: clock}
}

func (l *eventLog) add(number int, fields ...any) {
	if id := sampledBy(number, fields); id != "" {
		l.added.Add(1)
		if shifts := l.shifts.Load(); shifts > 0 && xxhash.Sum64String(id)>>(64-shifts) != 0 {
			l.sampled.Add(1)
			return
		}
	}
	select {
	case l.lines <- line{number, l.clock(), fields}:
	default:
		l.dropped.Add(1)
	}
}

// sampledBy returns the id by which a line may be left out, empty for lines that are
// always written.
func sampledBy(number int, fields []any) string {
	entry, ok := event.Find(number)
	if !ok || entry.Level > event.Info {
		return ""
	}
	for i := 0; i+1 < len(fields); i += 2 {
		switch fields[i] {
		case "request", "item":
			id, _ := fields[i+1].(string)
			return id
		}
	}
	return ""
}

func (l *eventLog) run(ctx context.Context) {
	report := time.NewTicker(time.Second)
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case one := <-l.lines:
			l.write(one)
		case <-report.C:
			l.adapt()
		}
	}
}

// adapt tells once a second what was left out, and sets the sampling by the rate.
func (l *eventLog) adapt() {
	dropped, sampled := l.dropped.Swap(0), l.sampled.Swap(0)
	l.leftOut.Add(dropped + sampled)
	if dropped+sampled > 0 {
		l.write(line{event.LogLinesDropped, l.clock(), []any{"dropped", dropped, "sampled", sampled}})
	}
	shifts := int32(0)
	for rate := l.added.Swap(0); rate > linesPerSecond && shifts < sampleShifts; rate /= 2 {
		shifts++
	}
	l.shifts.Store(shifts)
}

// drain writes what is left in the ring.
func (l *eventLog) drain() {
	for {
		select {
		case one := <-l.lines:
			l.write(one)
		default:
			return
		}
	}
}

func (l *eventLog) write(one line) {
	entry, ok := event.Find(one.number)
	if !ok {
		return
	}
	fields := append([]any{"event", one.number, "clock_ms", one.clock.Milliseconds()}, one.fields...)
	switch entry.Level {
	case event.Debug:
		l.logger.Debug(entry.Message, fields...)
	case event.Info:
		l.logger.Info(entry.Message, fields...)
	case event.Warn:
		l.logger.Warn(entry.Message, fields...)
	case event.Error:
		l.logger.Error(entry.Message, fields...)
	}
}

// standard is for net/http, whose notes on single connections are of no use here.
func (l *eventLog) standard() *log.Logger { return log.New(io.Discard, "", 0) }
