package statement

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/doorstep/doorstep/internal/port"
)

func TestParse(t *testing.T) {
	commands := map[string]port.CommandKind{
		"create experiment e with policy p service s prompts q trainers a, b samples 4": port.CreateExperiment,
		"create experiment \"e 1\" policy p":                                            port.CreateExperiment,
		"alter experiment e set idle_weight 3":                                          port.AlterExperiment,
		"delete experiment e":                                                           port.DeleteExperiment,
		"swap policy a for b in e":                                                      port.SwapPolicy,
		"run a beside b shares 3 to 1":                                                  port.RunBeside,
		"pause experiment e":                                                            port.PauseExperiment,
		"resume experiment e":                                                           port.ResumeExperiment,
		"stop experiment e":                                                             port.StopExperiment,
		"drain replica language-model-3":                                                port.DrainTarget,
		"undrain zone north/a":                                                          port.UndrainTarget,
		"lift quarantine 0123456789abcdef0123456789abcdef":                              port.LiftQuarantine,
		"status of 0f3a":                                                                port.ShowStatus,
		"explain drain node n-1 # a comment":                                            port.DrainTarget,
	}
	for text, kind := range commands {
		parsed, err := ParseOne(text)
		if err != nil || parsed.Command == nil || parsed.Command.Kind != kind {
			t.Errorf("%s: %+v, %v", text, parsed, err)
		}
	}
	queries := []string{
		"show replicas", "show replicas where version < 3 and service = model order by version desc limit 2",
		"show nodes count by zone", "count rollouts by replica", "count rollouts where policy != p by node",
	}
	for _, text := range queries {
		if parsed, err := ParseOne(text); err != nil || parsed.Query == nil {
			t.Errorf("%s: %+v, %v", text, parsed, err)
		}
	}
}

func TestErrorPositions(t *testing.T) {
	cases := []struct {
		text         string
		line, column int
	}{
		{"drain machine x", 1, 7},
		{"show", 1, 5},
		{"show nodes;\n  alter experiment e policy p", 2, 22},
		{"frob", 1, 1},
		{"show nodes where zone ~ a", 1, 23},
	}
	for _, c := range cases {
		_, err := Parse(c.text)
		var positioned *Error
		if !errors.As(err, &positioned) || positioned.Line != c.line || positioned.Column != c.column {
			t.Errorf("%q: got %v, want line %d, column %d", c.text, err, c.line, c.column)
		}
	}
}

func TestErrorsNameExpectedInput(t *testing.T) {
	for text, want := range map[string]string{
		"drain machine x":          "expected replica, node or zone",
		"alter experiment e set 1": "expected a setting",
		"show nodes where 1":       "expected",
	} {
		if _, err := Parse(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want it to contain %q", text, err, want)
		}
	}
}

func TestScript(t *testing.T) {
	parsed, err := Parse("show nodes; # first\ndrain node \"a;b\";\n;show zones")
	if err != nil || len(parsed) != 3 || parsed[1].Command.Drain.Name != "a;b" || parsed[1].Text != `drain node "a;b"` {
		t.Fatalf("%+v, %v", parsed, err)
	}
}

func TestGrammarIsDocumented(t *testing.T) {
	content, err := os.ReadFile("../../../docs/OPERATORS.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(content), strings.TrimSpace(Grammar())) {
		t.Error("docs/OPERATORS.md does not contain the current grammar")
	}
}

func FuzzParse(f *testing.F) {
	f.Add("show nodes where a = 1; drain zone z")
	f.Fuzz(func(_ *testing.T, text string) { _, _ = Parse(text) })
}

// TestTextThatIsNotUTF8 guards against statements that cannot be recorded.
func TestTextThatIsNotUTF8(t *testing.T) {
	if _, err := ParseOne("create experiment \"e\xff\" policy p"); err == nil {
		t.Error("accepted")
	}
}
