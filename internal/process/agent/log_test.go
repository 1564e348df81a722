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

func TestLinesCarryNumberAndClock(t *testing.T) {
	var output bytes.Buffer
	l := testLog(&output)
	l.add(event.JobAccepted, "job", "j")
	l.drain()
	if text := output.String(); !strings.Contains(text, `"event":900`) || !strings.Contains(text, `"clock_ms":5000`) || !strings.Contains(text, `"job":"j"`) {
		t.Error(text)
	}
}

func TestFullLogNeverBlocks(t *testing.T) {
	var output bytes.Buffer
	l := testLog(&output)
	for range 3 * logRing {
		l.add(event.RoutesApplied, "version", 1)
	}
	if l.dropped.Load() != 2*logRing {
		t.Errorf("%d lines dropped", l.dropped.Load())
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.run(ctx)
	l.drain()
	l.adapt()
	if !strings.Contains(output.String(), fmt.Sprintf(`"dropped":%d`, 2*logRing)) {
		t.Error("what was left out is told of")
	}
}

func TestSamplingKeepsRequestsWhole(t *testing.T) {
	var output bytes.Buffer
	l := testLog(&output)
	l.added.Store(4 * linesPerSecond)
	l.adapt()
	if l.shifts.Load() == 0 {
		t.Fatal("over the budget lines are sampled")
	}
	const requests = 200
	for i := range requests {
		id := fmt.Sprintf("id-%d", i)
		l.add(event.AttemptEnded, "request", id)
		l.add(event.RequestAnswered, "request", id)
		l.drain()
	}
	whole := 0
	for i := range requests {
		switch strings.Count(output.String(), fmt.Sprintf(`"request":"id-%d"`, i)) {
		case 2:
			whole++
		case 1:
			t.Errorf("request %d is told of in part", i)
		}
	}
	if whole == 0 || whole == requests {
		t.Errorf("%d of %d requests told of", whole, requests)
	}
	output.Reset()
	for i := range requests {
		l.add(event.RequestRefused, "request", fmt.Sprintf("id-%d", i))
		l.drain()
	}
	if got := strings.Count(output.String(), `"event":611`); got != requests {
		t.Errorf("%d of %d failures told of", got, requests)
	}
	l.added.Store(0)
	l.adapt()
	if l.shifts.Load() != 0 {
		t.Error("under the budget all is told of")
	}
}
