package compare

import (
	"context"
	"os"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
)

// ablateCommand measures the effect of each mechanism by disabling them one at a time.
func ablateCommand() *cli.Command {
	return &cli.Command{
		Name:  "ablate",
		Usage: "measure the effect of each mechanism by disabling them one at a time",
		Description: "Each patch in a directory disables one mechanism. The patched source trees and the unpatched one are\n" +
			"cloned into a scratch directory, which also stores the results, so that an interrupted run can be resumed.\n" +
			"The benchmark's journal entries stay in the directories of the trees.",
		Flags: append(runFlags(),
			&cli.StringFlag{Name: "repo", Usage: "the repository whose HEAD commit is measured, as `DIR`", Value: "."},
			&cli.StringFlag{Name: "patches", Usage: "the directory with the patches, as `DIR`", Value: "bench/ablation"},
			&cli.StringSliceFlag{Name: "only", Usage: "`NAME` of a mechanism to measure; repeatable, default all"},
			&cli.StringFlag{Name: "scratch", Usage: "the directory for source trees and results, as `DIR` outside the repository", Required: true},
			&cli.StringFlag{Name: "plot", Usage: "plot the effect of each mechanism to `FILE`, PNG or SVG"},
		),
		Action: runAblate,
	}
}

func runAblate(ctx context.Context, c *cli.Command) error {
	scenarios, err := scenariosFromFlags(c)
	if err != nil {
		return err
	}
	mechanisms, err := findMechanisms(c.String("patches"), c.StringSlice("only"))
	if err != nil {
		return command.Fail(command.ExitUsage, err)
	}
	ablation := Ablation{
		Bench: benchFromFlags(c), Scenarios: scenarios, Repo: c.String("repo"), Scratch: c.String("scratch"), Mechanisms: mechanisms, Jobs: c.Int("jobs"),
	}
	results, err := ablation.Run(ctx)
	if err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	if err := WriteAblation(c.Root().Writer, results); err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	if file := c.String("plot"); file != "" {
		if err := PlotAblation(file, results); err != nil {
			return command.Fail(command.ExitFailed, err)
		}
	}
	return nil
}

// Ablation runs the HEAD commit of a repository unchanged and with each mechanism disabled.
type Ablation struct {
	Bench     Bench
	Scenarios Scenarios
	// Repo is the repository, Scratch the directory for source trees and outcomes.
	Repo, Scratch string
	Mechanisms    []Mechanism
	// Jobs is the number of concurrent benchmark runs.
	Jobs int
}

// MechanismResult holds the outcomes for one mechanism: Before of each pair is the run without the
// mechanism, After the one with it.
type MechanismResult struct {
	Mechanism string
	Pairs     []Pair
}

// Run runs all scenarios that have no stored outcome yet and returns the results of each mechanism.
func (a *Ablation) Run(ctx context.Context) ([]MechanismResult, error) {
	if err := os.MkdirAll(a.Scratch, 0o755); err != nil {
		return nil, oops.Wrapf(err, "creating the scratch directory")
	}
	baseline, err := cloneTree(ctx, a.Repo, a.Scratch, Mechanism{})
	if err != nil {
		return nil, err
	}
	trees := []tree{baseline}
	for _, mechanism := range a.Mechanisms {
		patched, err := cloneTree(ctx, a.Repo, a.Scratch, mechanism)
		if err != nil {
			return nil, err
		}
		trees = append(trees, patched)
	}
	outcomes, err := openOutcomeStore(a.Scratch)
	if err != nil {
		return nil, err
	}
	defer outcomes.close()
	if err := a.runAll(ctx, trees, outcomes); err != nil {
		return nil, err
	}
	var results []MechanismResult
	for _, patched := range trees[1:] {
		results = append(results, MechanismResult{Mechanism: patched.mechanism, Pairs: outcomes.pairs(a.Scenarios.List(), patched, baseline)})
	}
	return results, nil
}

// runAll runs each scenario on all trees before the next one, so that other load on the machine
// affects all trees alike.
func (a *Ablation) runAll(ctx context.Context, trees []tree, outcomes *outcomeStore) error {
	scenarios := a.Scenarios.List()
	return forEachConcurrent(ctx, a.Jobs, len(scenarios)*len(trees), func(ctx context.Context, i int) error {
		scenario, target := scenarios[i/len(trees)], trees[i%len(trees)]
		if _, found := outcomes.find(target, scenario); found {
			return nil
		}
		outcome, err := a.Bench.Run(ctx, target.dir, scenario)
		if err != nil {
			return err
		}
		return outcomes.add(target, scenario, outcome)
	})
}
