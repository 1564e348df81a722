package agent

import (
	"context"
	"io"
	"log"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/doorstep/doorstep/internal/process/event"
)

// logRing bounds the lines that wait for the writer.
const logRing = 1024

// eventLog writes numbered events through one goroutine. Adding a line never blocks:
// lines that find the ring full are counted and left out.
type eventLog struct {
	logger  hclog.Logger
	lines   chan line
	dropped atomic.Uint64
}

type line struct {
	number int
	fields []any
}

func newEventLog(logger hclog.Logger) *eventLog {
	return &eventLog{logger: logger, lines: make(chan line, logRing)}
}

func (l *eventLog) add(number int, fields ...any) {
	select {
	case l.lines <- line{number, fields}:
	default:
		l.dropped.Add(1)
	}
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
			if dropped := l.dropped.Swap(0); dropped > 0 {
				l.write(line{event.LogLinesDropped, []any{"lines", dropped}})
			}
		}
	}
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
	fields := append([]any{"event", one.number}, one.fields...)
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
