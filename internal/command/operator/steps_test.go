package operator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/process/event"
)

// loggedStep contains the log lines of two nodes for one job.
const loggedStep = `{"@module":"doorstepd.node-1","@message":"batch job accepted","event":900,"clock_ms":1000,"job":"j","model":"m","step":3,"items":2}
{"@module":"doorstepd.node-2","@message":"batch job taken over","event":902,"clock_ms":2500,"job":"j"}
{"@module":"doorstepd.node-2","@message":"item completed","event":915,"clock_ms":3000,"job":"j","item":"a","replica":"r1","since_ms":400,"events":5,"last_run_events":5,"pace_us":80000}
{"@module":"doorstepd.node-2","@message":"item retried","event":910,"clock_ms":3600,"job":"j","item":"b","replica":"r1","outcome":6}
{"@module":"doorstepd.node-2","@message":"item completed","event":915,"clock_ms":9000,"job":"j","item":"b","replica":"r2","since_ms":6400,"events":70,"last_run_events":68,"pace_us":79000}
{"@module":"doorstepd.node-1","@message":"batch job ended","event":905,"clock_ms":9500,"job":"j"}
`

func TestSteps(t *testing.T) {
	for _, c := range []struct {
		name string
		late time.Duration
		want []string
	}{
		{"step with its last item", 0, []string{
			"2 of 2", "1.60 s", "8.00 s", "8.50 s", "b: waited 1.60 s, 1.00 s in runs that ended early, 5.40 s for its last 68 of 70 events at r2 (79 ms per event)",
		}},
		{"step below the threshold", 9 * time.Second, nil},
	} {
		var output bytes.Buffer
		if err := Steps(&output, c.late, strings.NewReader(loggedStep)); err != nil {
			t.Fatal(err)
		}
		rows := strings.Split(strings.TrimSpace(output.String()), "\n")
		if (len(rows) > 1) != (c.want != nil) {
			t.Fatalf("%s: %s", c.name, output.String())
		}
		for _, part := range c.want {
			if !strings.Contains(rows[1], part) {
				t.Errorf("%s: %q lacks %q", c.name, rows[1], part)
			}
		}
	}
}

func TestStepsOfSimulatedNodes(t *testing.T) {
	logs, ids := simulatedLogs(t, "node-kill", "job", event.JobTakenOver, "job")
	var output bytes.Buffer
	if err := Steps(&output, 0, bytes.NewReader(logs.Bytes())); err != nil {
		t.Fatal(err)
	}
	for _, id := range ids {
		if !strings.Contains(output.String(), id) {
			t.Errorf("no row for job %s, which was taken over", id)
		}
	}
}
