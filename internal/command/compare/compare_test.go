package compare

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const report = `{"G":0.7,"parts":[["whole day",0.75,0.8],["worst windows",0.15,0.2],["worst class",0.1,0.6]],
"prices":[["orders",49.0,0.01],["memory",1.5,0.02]],"breaks":{"LOST":3}}`

func TestDecode(t *testing.T) {
	text := "- a: 11 steps asked, the last 1.5 s behind its time\n- b: 9 steps asked, the last 7.2 s behind its time; 98 came again\n"
	got, err := decodeReport([]byte(report), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(got.Prices-0.03) > 1e-9 {
		t.Errorf("prices %f", got.Prices)
	}
	got.Prices = 0
	if want := (Outcome{Worth: 0.7, Whole: 0.8, Windows: 0.2, Class: 0.6, Lag: 7.2, Broken: 1}); got != want {
		t.Errorf("%+v, should be %+v", got, want)
	}
	if _, err := decodeReport([]byte("{"), nil); err == nil {
		t.Error("no error for a truncated report")
	}
}

func pairOf(site, day string, before, after float64) Pair {
	return Pair{Scenario: Scenario{Site: "a/" + site + ".toml", Day: day}, Before: Outcome{Worth: before}, After: Outcome{Worth: after}}
}

func TestTableAndPlot(t *testing.T) {
	pairs := []Pair{pairOf("s", "quiet", 0.5, 0.6), pairOf("s", "quiet", 0.5, 0.8), pairOf("s", "trouble", 0.4, 0.4)}
	var output bytes.Buffer
	if err := WriteTable(&output, pairs); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(rows) != 4 || !strings.Contains(rows[1], "+0.200 ± 0.100") || !strings.Contains(rows[3], "all") || !strings.Contains(rows[3], "+0.133") {
		t.Errorf("%s", output.String())
	}
	file := filepath.Join(t.TempDir(), "plot.svg")
	if err := Plot(file, pairs); err != nil {
		t.Fatal(err)
	}
	if drawn, err := os.Stat(file); err != nil || drawn.Size() == 0 {
		t.Errorf("plot file is missing or empty: %v", err)
	}
}

// TestComparisonRun replaces the benchmark by a script that reports the value in the tree's file "worth".
func TestComparisonRun(t *testing.T) {
	dir := t.TempDir()
	bench := filepath.Join(dir, "bench")
	script := "#!/bin/sh\nwhile [ $# -gt 0 ]; do [ \"$1\" = --report ] && file=$2; shift; done\n" +
		"echo '{\"G\":'$(cat worth)'}' >\"$file\"\necho '3 steps asked, the last 2.5 s behind its time'\n"
	if err := os.WriteFile(bench, []byte(script), 0o755); err != nil {
		t.Fatal(err)
	}
	comparison := Comparison{Bench: Bench{Program: bench, Why: "a test"}, Scenarios: Scenarios{Sites: []string{"s.toml"}, Days: []string{"quiet"}, Seeds: 3, FirstSeed: 7}, Jobs: 2}
	for tree, worth := range map[*string]string{&comparison.Before: "0.4", &comparison.After: "0.9"} {
		*tree = t.TempDir()
		if err := os.WriteFile(filepath.Join(*tree, "worth"), []byte(worth), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	pairs, err := comparison.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(pairs) != 3 || pairs[2].Seed != 9 || pairs[2].Before.Worth != 0.4 || pairs[2].After.Worth != 0.9 || pairs[0].After.Lag != 2.5 {
		t.Errorf("%+v", pairs)
	}
	comparison.Bench.Program = filepath.Join(dir, "none")
	if _, err := comparison.Run(t.Context()); err == nil {
		t.Error("no error for a missing benchmark executable")
	}
}
