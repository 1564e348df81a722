package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/simulation/clustersim"
)

// maxSeeds limits the seeds that are tried, because not every seed triggers the expected event.
const maxSeeds = 10

// simulatedLogs simulates a deployment with faults, trying seeds until one logs an event with the given number
// whose field has the given prefix. It returns the nodes' logs and the matching IDs.
func simulatedLogs(t *testing.T, faults string, field string, number int, prefix string) (logs *bytes.Buffer, ids []string) {
	t.Helper()
	for seed := uint64(1); seed <= maxSeeds; seed++ {
		logs, ids = simulateSeed(t, seed, faults, field, number)
		if ids = slices.DeleteFunc(ids, func(id string) bool { return !strings.HasPrefix(id, prefix) }); len(ids) > 0 {
			return logs, ids
		}
	}
	t.Fatalf("%s caused no event %d for IDs with prefix %q in %d seeds", faults, number, prefix, maxSeeds)
	return nil, nil
}

func simulateSeed(t *testing.T, seed uint64, faults, field string, number int) (logs *bytes.Buffer, ids []string) {
	t.Helper()
	found, err := clustersim.ParseFaults(faults)
	if err != nil {
		t.Fatal(err)
	}
	logs = &bytes.Buffer{}
	clustersim.New(clustersim.Options{Seed: seed, Nodes: 4, Replicas: 4, Length: 30 * time.Second, Faults: found,
		Log: func(node string, clock time.Duration, logged int, fields []any) {
			entry, _ := event.Find(logged)
			line := map[string]any{"@module": "doorstepd." + node, "@message": entry.Message, "event": logged, "clock_ms": clock.Milliseconds()}
			for i := 0; i+1 < len(fields); i += 2 {
				line[fmt.Sprint(fields[i])] = fields[i+1]
				if logged == number && fields[i] == field {
					ids = append(ids, fmt.Sprint(fields[i+1]))
				}
			}
			encoded, err := json.Marshal(line)
			if err != nil {
				t.Fatal(err)
			}
			logs.Write(append(encoded, 10))
		}}).Run()
	return logs, ids
}

func TestExplainNamesSimulatedFaults(t *testing.T) {
	for _, c := range []struct {
		faults, field string
		number        int
		// id is the prefix of the explained IDs.
		id   string
		want string
	}{
		{"none", "item", event.ItemTerminated, "failing", "failed at every attempt"},
		{"none", "item", event.ItemTerminated, "impossible", "impossible"},
		{"none", "item", event.ItemScored, "item", "scored by replica scorer-"},
		{"none", "item", event.ItemTerminated, "unscorable", "never scored: last, replica scorer-"},
		{"scorer-fails", "item", event.ScoringRetried, "item", "in 2 attempts"},
		{"replica-breaks", "item", event.ItemRetried, "item", "interruptions"},
		{"replica-slow", "item", event.ItemCompleted, "item", "µs per event"},
		{"node-kill", "job", event.JobTakenOver, "job", "taken over 1 times"},
	} {
		t.Run(c.faults+" "+c.id, func(t *testing.T) {
			logs, ids := simulatedLogs(t, c.faults, c.field, c.number, c.id)
			for _, id := range ids {
				var output bytes.Buffer
				if err := Explain(&output, id, bytes.NewReader(logs.Bytes())); err != nil {
					t.Fatal(err)
				}
				_, cause, _ := strings.Cut(output.String(), "cause: ")
				if strings.Contains(cause, c.want) {
					return
				}
				t.Logf("%s: %s", id, cause)
			}
			t.Errorf("no cause contains %q", c.want)
		})
	}
}
