package agent

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/doorstep/doorstep/internal/process/event"
)

func testLog(output *bytes.Buffer) *eventLog {
	logger := hclog.New(&hclog.LoggerOptions{Output: output, JSONFormat: true})
	return newEventLog(logger, func() time.Duration { return 5 * time.Second })
}

func TestLogLineIncludesEventAndClock(t *testing.T) {
	var output bytes.Buffer
	l := testLog(&output)
	l.add(event.JobAccepted, "job", "j")
	l.drain()
	if text := output.String(); !strings.Contains(text, `"event":900`) || !strings.Contains(text, `"clock_ms":5000`) || !strings.Contains(text, `"job":"j"`) {
		t.Error(text)
	}
}

func TestFullBufferDropsLines(t *testing.T) {
	var output bytes.Buffer
	l := testLog(&output)
	for range 3 * logBufferSize {
		l.add(event.RoutesApplied, "version", 1)
	}
	if l.dropped.Load() != 2*logBufferSize {
		t.Errorf("%d lines dropped, want %d", l.dropped.Load(), 2*logBufferSize)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.run(ctx)
	l.drain()
	l.updateSampling()
	if !strings.Contains(output.String(), fmt.Sprintf(`"dropped":%d`, 2*logBufferSize)) {
		t.Error("number of dropped lines is not logged")
	}
}

func TestSamplingByRequestID(t *testing.T) {
	var output bytes.Buffer
	l := testLog(&output)
	l.sampleable.Store(4 * maxSampledRate)
	l.updateSampling()
	if l.sampleShift.Load() == 0 {
		t.Fatal("lines above the rate limit are not sampled")
	}
	const requests = 200
	for i := range requests {
		id := fmt.Sprintf("id-%d", i)
		l.add(event.AttemptEnded, "request", id)
		l.add(event.RequestAnswered, "request", id)
		l.drain()
	}
	complete := 0
	for i := range requests {
		switch strings.Count(output.String(), fmt.Sprintf(`"request":"id-%d"`, i)) {
		case 2:
			complete++
		case 1:
			t.Errorf("request %d is logged only in part", i)
		}
	}
	if complete == 0 || complete == requests {
		t.Errorf("%d of %d requests logged; want some but not all", complete, requests)
	}
	output.Reset()
	for i := range requests {
		l.add(event.RequestRefused, "request", fmt.Sprintf("id-%d", i))
		l.drain()
	}
	if got := strings.Count(output.String(), `"event":611`); got != requests {
		t.Errorf("%d of %d failures logged", got, requests)
	}
	l.sampleable.Store(0)
	l.updateSampling()
	if l.sampleShift.Load() != 0 {
		t.Error("lines below the rate limit are sampled")
	}
}
