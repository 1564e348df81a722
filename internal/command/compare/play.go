package compare

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"

	"github.com/samber/oops"
)

// Bench describes how to run the users' benchmark.
type Bench struct {
	// Program is the path of the executable, Why the purpose recorded in its journal.
	Program, Why string
	// NoCPU disables the charge for processor time.
	NoCPU bool
}

// Scenarios is the cross product of sites, days and seeds.
type Scenarios struct {
	// Sites are paths of site files, Days the names of days in each of them.
	Sites, Days []string
	FirstSeed   uint64
	Seeds       int
}

// Scenario is one day of a site with a seed.
type Scenario struct {
	Site, Day string
	Seed      uint64
}

// List returns all scenarios ordered by site, day and seed.
func (s Scenarios) List() []Scenario {
	var list []Scenario
	for _, site := range s.Sites {
		for _, day := range s.Days {
			for i := range s.Seeds {
				list = append(list, Scenario{Site: site, Day: day, Seed: s.FirstSeed + uint64(i)})
			}
		}
	}
	return list
}

// Comparison runs the benchmark on two source trees.
type Comparison struct {
	Bench     Bench
	Scenarios Scenarios
	// Before and After are the directories of the trees.
	Before, After string
	// Jobs is the number of scenarios that run concurrently.
	Jobs int
}

// Outcome is the result of one benchmark run. Its field names are stored in the outcomes file.
type Outcome struct {
	// Worth is the benchmark's score. Whole, Windows and Class are its components.
	Worth                 float64
	Whole, Windows, Class float64
	// Prices is the sum of all deductions from the score.
	Prices float64
	// Lag is how many seconds behind schedule the slowest trainer requested its last step.
	Lag float64
	// Broken is the number of violated rules.
	Broken int
}

// Pair holds the outcomes of both trees for one scenario.
type Pair struct {
	Scenario
	Before, After Outcome
}

// Run runs all scenarios. The two runs of a pair follow each other directly, so that other load on the
// machine affects both alike.
func (c *Comparison) Run(ctx context.Context) ([]Pair, error) {
	scenarios := c.Scenarios.List()
	pairs := make([]Pair, len(scenarios))
	err := forEachConcurrent(ctx, c.Jobs, len(scenarios), func(ctx context.Context, i int) (err error) {
		pairs[i].Scenario = scenarios[i]
		if pairs[i].Before, err = c.Bench.Run(ctx, c.Before, scenarios[i]); err != nil {
			return err
		}
		pairs[i].After, err = c.Bench.Run(ctx, c.After, scenarios[i])
		return err
	})
	return pairs, err
}

// forEachConcurrent calls do for 0 to n-1 in this order, with at most limit concurrent calls. It
// starts no further calls after the first error.
func forEachConcurrent(ctx context.Context, limit, n int, do func(ctx context.Context, i int) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	slots := make(chan struct{}, limit)
	var group sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			defer func() { <-slots }()
			if err := do(ctx, i); err != nil {
				cancel(err)
			}
		})
	}
	group.Wait()
	return context.Cause(ctx)
}

// Run runs the benchmark for one scenario on the tree in a directory.
func (b Bench) Run(ctx context.Context, tree string, scenario Scenario) (Outcome, error) {
	failed := oops.With("tree", tree).With("site", scenario.Site).With("day", scenario.Day).With("seed", scenario.Seed)
	dir, err := os.MkdirTemp("", "compare")
	if err != nil {
		return Outcome{}, failed.Wrapf(err, "creating the report directory")
	}
	defer os.RemoveAll(dir)
	report := filepath.Join(dir, "report.json")
	site, err := filepath.Abs(scenario.Site)
	if err != nil {
		return Outcome{}, failed.Wrapf(err, "resolving the site's path")
	}
	arguments := []string{"run", site, scenario.Day, "--seed", strconv.FormatUint(scenario.Seed, 10), "--report", report, "--why", b.Why}
	if b.NoCPU {
		arguments = append(arguments, "--no-cpu")
	}
	run := exec.CommandContext(ctx, b.Program, arguments...)
	run.Dir = tree
	text, err := run.CombinedOutput()
	if err != nil {
		return Outcome{}, failed.Wrapf(err, "running the benchmark: %s", text)
	}
	content, err := os.ReadFile(report)
	if err != nil {
		return Outcome{}, failed.Wrapf(err, "reading the benchmark's report: %s", text)
	}
	outcome, err := decodeReport(content, text)
	return outcome, failed.Wrapf(err, "decoding the benchmark's report")
}

// benchReport is the part of the benchmark's report that is evaluated.
type benchReport struct {
	Worth  float64                    `json:"G"`
	Parts  [][]any                    `json:"parts"`
	Prices [][]any                    `json:"prices"`
	Breaks map[string]json.RawMessage `json:"breaks"`
}

// lagPattern matches the benchmark's output line with the delay of a trainer's last step.
var lagPattern = regexp.MustCompile(`steps asked, the last ([0-9.]+) s behind`)

func decodeReport(report, text []byte) (Outcome, error) {
	var read benchReport
	if err := json.NewDecoder(bytes.NewReader(report)).Decode(&read); err != nil {
		return Outcome{}, err
	}
	outcome := Outcome{Worth: read.Worth, Broken: len(read.Breaks)}
	for _, part := range read.Parts {
		name, share := nameAndLastNumber(part)
		switch name {
		case "whole day":
			outcome.Whole = share
		case "worst windows":
			outcome.Windows = share
		case "worst class":
			outcome.Class = share
		}
	}
	for _, price := range read.Prices {
		_, deduction := nameAndLastNumber(price)
		outcome.Prices += deduction
	}
	for _, match := range lagPattern.FindAllSubmatch(text, -1) {
		lag, err := strconv.ParseFloat(string(match[1]), 64)
		if err != nil {
			return outcome, fmt.Errorf("invalid lag %q", match[1])
		}
		outcome.Lag = max(outcome.Lag, lag)
	}
	return outcome, nil
}

// nameAndLastNumber returns the first and the last column of a row.
func nameAndLastNumber(row []any) (name string, number float64) {
	if len(row) < 2 {
		return "", 0
	}
	name, _ = row[0].(string)
	number, _ = row[len(row)-1].(float64)
	return name, number
}
