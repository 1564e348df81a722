package simulator

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestTraceContainsFaultsAndEvents tests that a trace contains the faults and the nodes' events, which are needed
// to find the cause of a violation.
func TestTraceContainsFaultsAndEvents(t *testing.T) {
	var output bytes.Buffer
	command := root()
	command.Writer = &output
	if err := command.Run(context.Background(), []string{"doorstep-sim", "trace", "--seed", "3", "--faults", "node-kill", "--length", "10s"}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{" world    replica-1 starts at address-0", " world    fault node-kill for ", " node-0   lease acquired lease="} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("the trace lacks %q", want)
		}
	}
}
