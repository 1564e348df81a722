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
	// logBufferSize is the number of lines that can be queued for the writer.
	logBufferSize = 1024
	// maxSampledRate is the number of per-request and per-item lines per second above which sampling starts.
	maxSampledRate = 250
	// maxSampleShift bounds sampling to one ID in 2^maxSampleShift.
	maxSampleShift = 10
)

// eventLog writes numbered events from one goroutine. Adding a line never blocks: lines that
// find the buffer full are counted and dropped. Above maxSampledRate, per-request lines are
// sampled by ID, so that either all or none of a request's lines are written. Warnings and
// errors are never sampled.
type eventLog struct {
	logger hclog.Logger
	lines  chan logLine
	// clock is the record store's clock, which orders lines across nodes.
	clock func() time.Duration
	// sampleShift selects one ID in 2^sampleShift.
	sampleShift      atomic.Int32
	dropped, sampled atomic.Uint64
	sampleable       atomic.Uint64
	// omitted counts all lines dropped or sampled out since the start.
	omitted atomic.Uint64
}

type logLine struct {
	number int
	clock  time.Duration
	fields []any
}

func newEventLog(logger hclog.Logger, clock func() time.Duration) *eventLog {
	return &eventLog{logger: logger, lines: make(chan logLine, logBufferSize), clock: clock}
}

func (l *eventLog) add(number int, fields ...any) {
	if id := samplingKey(number, fields); id != "" {
		l.sampleable.Add(1)
		if shifts := l.sampleShift.Load(); shifts > 0 && xxhash.Sum64String(id)>>(64-shifts) != 0 {
			l.sampled.Add(1)
			return
		}
	}
	select {
	case l.lines <- logLine{number, l.clock(), fields}:
	default:
		l.dropped.Add(1)
	}
}

// samplingKey returns the ID by which a line is sampled; empty for lines that are always written.
func samplingKey(number int, fields []any) string {
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
		case next := <-l.lines:
			l.write(next)
		case <-report.C:
			l.updateSampling()
		}
	}
}

// updateSampling logs how many lines were omitted and adjusts the sampling to the current rate.
func (l *eventLog) updateSampling() {
	dropped, sampled := l.dropped.Swap(0), l.sampled.Swap(0)
	l.omitted.Add(dropped + sampled)
	if dropped+sampled > 0 {
		l.write(logLine{event.LogLinesDropped, l.clock(), []any{"dropped", dropped, "sampled", sampled}})
	}
	shifts := int32(0)
	for rate := l.sampleable.Swap(0); rate > maxSampledRate && shifts < maxSampleShift; rate /= 2 {
		shifts++
	}
	l.sampleShift.Store(shifts)
}

// drain writes the queued lines.
func (l *eventLog) drain() {
	for {
		select {
		case next := <-l.lines:
			l.write(next)
		default:
			return
		}
	}
}

func (l *eventLog) write(next logLine) {
	entry, ok := event.Find(next.number)
	if !ok {
		return
	}
	fields := append([]any{"event", next.number, "clock_ms", next.clock.Milliseconds()}, next.fields...)
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

// discardLogger suppresses net/http's messages about individual connections.
func (l *eventLog) discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
