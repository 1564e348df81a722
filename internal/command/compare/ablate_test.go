package compare

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// benchScript replaces the benchmark: it reports the value in the tree's file "worth" and logs each run.
const benchScript = "#!/bin/sh\nwhile [ $# -gt 0 ]; do [ \"$1\" = --report ] && file=$2; shift; done\n" +
	"echo '{\"G\":'$(cat worth)'}' >\"$file\"\necho played >>plays\necho '3 steps asked, the last 2.5 s behind its time'\n"

// newRepo returns a repository with one commit that scores 0.9.
func newRepo(t *testing.T) string {
	t.Helper()
	repo := t.TempDir()
	if err := os.WriteFile(filepath.Join(repo, "worth"), []byte("0.9\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, arguments := range [][]string{
		{"init", "--quiet"}, {"add", "worth"},
		{"-c", "user.name=a", "-c", "user.email=a@localhost", "commit", "--quiet", "--message", "a test"},
	} {
		run := exec.Command("git", arguments...)
		run.Dir = repo
		if output, err := run.CombinedOutput(); err != nil {
			t.Fatalf("git %v: %s", arguments, output)
		}
	}
	return repo
}

func writePatch(t *testing.T, dir, name, score string) {
	t.Helper()
	content := "--- a/worth\n+++ b/worth\n@@ -1 +1 @@\n-0.9\n+" + score + "\n"
	if err := os.WriteFile(filepath.Join(dir, name+patchExt), []byte(content), 0o644); err != nil {
		t.Fatal(err)
	}
}

func countRuns(t *testing.T, scratch string) int {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(scratch, "*", "plays"))
	if err != nil {
		t.Fatal(err)
	}
	runs := 0
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		runs += strings.Count(string(content), "played")
	}
	return runs
}

func TestAblate(t *testing.T) {
	bench := filepath.Join(t.TempDir(), "bench")
	if err := os.WriteFile(bench, []byte(benchScript), 0o755); err != nil {
		t.Fatal(err)
	}
	patches, scratch := t.TempDir(), filepath.Join(t.TempDir(), "scratch")
	writePatch(t, patches, "hedging", "0.4")
	writePatch(t, patches, "moves", "0.8")
	mechanisms, err := findMechanisms(patches, nil)
	if err != nil {
		t.Fatal(err)
	}
	ablation := Ablation{
		Bench: Bench{Program: bench, Why: "a test"}, Scenarios: Scenarios{Sites: []string{"s.toml"}, Days: []string{"quiet"}, Seeds: 2, FirstSeed: 1},
		Repo: newRepo(t), Scratch: scratch, Mechanisms: mechanisms, Jobs: 2,
	}
	results, err := ablation.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	if err := WriteAblation(&output, results); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(rows) != 3 || !strings.Contains(rows[1], "hedging") || !strings.Contains(rows[1], "+0.500 ± 0.000") || !strings.Contains(rows[2], "+0.100") {
		t.Errorf("%s", output.String())
	}
	file := filepath.Join(t.TempDir(), "plot.svg")
	if err := PlotAblation(file, results); err != nil {
		t.Fatal(err)
	}

	// A second run skips scenarios with a stored outcome.
	ablation.Scenarios.Seeds = 3
	if _, err := ablation.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	if runs := countRuns(t, scratch); runs != 9 {
		t.Errorf("%d runs for three trees and three seeds, want 9", runs)
	}
}

func TestOpenOutcomeStoreSkipsTruncatedLine(t *testing.T) {
	scratch := t.TempDir()
	scenario := Scenario{Site: "s", Day: "quiet", Seed: 1}
	if err := os.WriteFile(filepath.Join(scratch, outcomesFile), []byte(`{"Tree":"a","Site":"s","Da`), 0o644); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		store, err := openOutcomeStore(scratch)
		if err != nil {
			t.Fatal(err)
		}
		if err := store.add(tree{id: "b"}, scenario, Outcome{Worth: 0.5}); err != nil {
			t.Fatal(err)
		}
		store.close()
	}
	store, err := openOutcomeStore(scratch)
	if err != nil {
		t.Fatal(err)
	}
	defer store.close()
	if outcome, ok := store.find(tree{id: "b"}, scenario); !ok || outcome.Worth != 0.5 || len(store.byKey) != 1 {
		t.Errorf("%v", store.byKey)
	}
}

func TestFindMechanismsRejectsUnknownName(t *testing.T) {
	patches := t.TempDir()
	writePatch(t, patches, "hedging", "0.4")
	if _, err := findMechanisms(patches, []string{"hedging", "none"}); err == nil {
		t.Error("no error for a mechanism without a patch")
	}
}

// Tests that calls start in index order, so that an interrupted run leaves complete pairs.
func TestForEachConcurrentStartsInOrder(t *testing.T) {
	var started []int
	err := forEachConcurrent(t.Context(), 1, 20, func(_ context.Context, i int) error {
		started = append(started, i)
		return nil
	})
	if err != nil || !slices.IsSorted(started) || len(started) != 20 {
		t.Errorf("%v: %v", started, err)
	}
}
