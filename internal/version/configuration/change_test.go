package configuration

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/request/statement"
)

// apply applies statements in order and returns the resulting configuration and the first error.
func apply(t *testing.T, text string) (*doorstepv1.Configuration, error) {
	t.Helper()
	statements, err := statement.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	current := &doorstepv1.Configuration{Revision: firstRevision}
	for _, s := range statements {
		before := proto.Clone(current)
		next, err := Apply(current, s.Command)
		if !proto.Equal(before, current) {
			t.Errorf("%s modified its input configuration", s.Text)
		}
		if err != nil {
			return current, err
		}
		current = next
	}
	return current, nil
}

const createStatement = "create experiment e with policy p service s prompts q trainers a, b;"

func TestApply(t *testing.T) {
	cases := []struct {
		text, wantErr string
		check         func(c *doorstepv1.Configuration) bool
	}{
		{createStatement, "", func(c *doorstepv1.Configuration) bool {
			return c.Revision == 2 && len(c.Experiments[0].Trainers) == 2 && c.Experiments[0].Samples == defaultSamples
		}},
		{createStatement + createStatement, "exists already", nil},
		{"create experiment e with policy p", "needs service", nil},
		{createStatement + "create experiment f with policy p service s prompts q trainers a", "belongs to experiment", nil},
		{createStatement + "alter experiment e set samples 0", "allowed is a whole number from 1", nil},
		{createStatement + "alter experiment f set samples 1", "no experiment", nil},
		{createStatement + "alter experiment e set min_version 5 max_version 4", "below min_version", nil},
		{createStatement + "swap policy p for r in e", "", func(c *doorstepv1.Configuration) bool { return c.Experiments[0].Policy == "r" }},
		{createStatement + "swap policy x for r in e", "runs policy", nil},
		{createStatement + "pause experiment e", "", func(c *doorstepv1.Configuration) bool {
			return c.Experiments[0].State == doorstepv1.ExperimentState_EXPERIMENT_STATE_PAUSED
		}},
		{createStatement + "create experiment f with policy r service s prompts q trainers a; run e beside f shares 3 to 1", "", func(c *doorstepv1.Configuration) bool {
			return c.Experiments[0].Share == 3 && c.Experiments[1].Share == 1
		}},
		{createStatement + "alter experiment e set scoring judge", "", func(c *doorstepv1.Configuration) bool { return c.Experiments[0].Scoring == "judge" }},
		{createStatement + "alter experiment e set scoring judge; alter experiment e set scoring none", "", func(c *doorstepv1.Configuration) bool {
			return c.Experiments[0].Scoring == ""
		}},
		{createStatement + "delete experiment e", "", func(c *doorstepv1.Configuration) bool { return len(c.Experiments) == 0 }},
		{"drain zone z; undrain zone z", "", func(c *doorstepv1.Configuration) bool { return len(c.Drains) == 0 && c.Revision == 3 }},
		{"drain zone z; drain zone z", "drained already", nil},
		{"undrain node n", "not drained", nil},
		{"lift quarantine 0123456789abcdef0123456789abcdef; lift quarantine 0123456789abcdef0123456789abcdef", "", func(c *doorstepv1.Configuration) bool { return len(c.Lifts) == 1 }},
		{"lift quarantine fraud", "is no request", nil},
	}
	for _, c := range cases {
		result, err := apply(t, c.text)
		if c.wantErr != "" {
			if err == nil || !strings.Contains(err.Error(), c.wantErr) {
				t.Errorf("%s: error %v, want one containing %q", c.text, err, c.wantErr)
			}
			continue
		}
		if err != nil || !c.check(result) {
			t.Errorf("%s: %v, %v", c.text, result, err)
		}
	}
}

func TestDiff(t *testing.T) {
	before, _ := apply(t, createStatement)
	after, err := Apply(before, &port.Command{Kind: port.PauseExperiment, Experiment: "e"})
	if err != nil {
		t.Fatal(err)
	}
	reply := Diff(before, after)
	if len(reply.Rows) != 1 || reply.Rows[0][0] != "experiment e" || reply.Revision != before.Revision {
		t.Errorf("unexpected diff: %+v", reply)
	}
}
