package simulator

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestTraceTellsFaultsAndEvents: a broken promise can't be traced from its violation alone; the faults and the
// nodes' events before it are needed, in order.
func TestTraceTellsFaultsAndEvents(t *testing.T) {
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
