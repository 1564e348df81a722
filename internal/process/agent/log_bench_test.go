package agent

import (
	"io"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/doorstep/doorstep/internal/process/event"
)

// BenchmarkLogLine measures adding and writing a line.
func BenchmarkLogLine(b *testing.B) {
	l := newEventLog(hclog.New(&hclog.LoggerOptions{Output: io.Discard, JSONFormat: true}), func() time.Duration { return 0 })
	b.ReportAllocs()
	for range b.N {
		l.add(event.RequestAnswered, "request", "9c41d07be2a35f68", "replica", "i-1", "status", 200, "attempts", 1, "took_ms", 12)
		l.drain()
	}
}

// BenchmarkSampledLine measures adding a line that is sampled out.
func BenchmarkSampledLine(b *testing.B) {
	l := newEventLog(hclog.New(&hclog.LoggerOptions{Output: io.Discard}), func() time.Duration { return 0 })
	l.sampleShift.Store(maxSampleShift)
	b.ReportAllocs()
	for range b.N {
		l.add(event.RequestAnswered, "request", "9c41d07be2a35f68", "replica", "i-1", "status", 200)
		l.drain()
	}
}
