package compare

import (
	"context"
	"os"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
)

// ablateCommand switches mechanisms off one by one and tells what each is worth.
func ablateCommand() *cli.Command {
	return &cli.Command{
		Name:  "ablate",
		Usage: "switch mechanisms off one by one and tell what each is worth",
		Description: "Each patch of a folder switches one mechanism off. Its tree and the one without a patch are laid\n" +
			"out in a scratch folder, which also keeps the outcomes: a run that was stopped goes on where it was.\n" +
			"The bench's journal entries stay in the trees' folders.",
		Flags: append(playFlags(),
			&cli.StringFlag{Name: "repo", Usage: "the repository whose newest commit is played, as `DIR`", Value: "."},
			&cli.StringFlag{Name: "patches", Usage: "the folder of patches, as `DIR`", Value: "bench/ablation"},
			&cli.StringSliceFlag{Name: "only", Usage: "a mechanism's `NAME`; one for each, all by default"},
			&cli.StringFlag{Name: "scratch", Usage: "where trees and outcomes lie, as `DIR` outside the repository", Required: true},
			&cli.StringFlag{Name: "plot", Usage: "draw what the mechanisms are worth into a `FILE`, PNG or SVG"},
		),
		Action: runAblate,
	}
}

func runAblate(ctx context.Context, c *cli.Command) error {
	days, err := daysOf(c)
	if err != nil {
		return err
	}
	mechanisms, err := findMechanisms(c.String("patches"), c.StringSlice("only"))
	if err != nil {
		return command.Fail(command.ExitUsage, err)
	}
	ablation := Ablation{
		Bench: benchOf(c), Days: days, Repo: c.String("repo"), Scratch: c.String("scratch"), Mechanisms: mechanisms, Jobs: c.Int("jobs"),
	}
	worths, err := ablation.Play(ctx)
	if err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	if err := WriteAblation(c.Root().Writer, worths); err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	if file := c.String("plot"); file != "" {
		if err := PlotAblation(file, worths); err != nil {
			return command.Fail(command.ExitFailed, err)
		}
	}
	return nil
}

// Ablation plays the newest commit of a repository with each mechanism switched off, and as
// it is.
type Ablation struct {
	Bench Bench
	Days  Days
	// Repo is the repository, Scratch the folder of the trees and outcomes.
	Repo, Scratch string
	Mechanisms    []Mechanism
	// Jobs is how many days are played at once.
	Jobs int
}

// Worth is what a mechanism is worth: the pairs of a day without it, as before, and with it,
// as after.
type Worth struct {
	Mechanism string
	Pairs     []Pair
}

// Play plays what was not played before, and returns each mechanism's worth.
func (a *Ablation) Play(ctx context.Context) ([]Worth, error) {
	if err := os.MkdirAll(a.Scratch, 0o755); err != nil {
		return nil, oops.Wrapf(err, "the scratch folder")
	}
	whole, err := layTree(ctx, a.Repo, a.Scratch, Mechanism{})
	if err != nil {
		return nil, err
	}
	trees := []tree{whole}
	for _, one := range a.Mechanisms {
		laid, err := layTree(ctx, a.Repo, a.Scratch, one)
		if err != nil {
			return nil, err
		}
		trees = append(trees, laid)
	}
	outcomes, err := openOutcomes(a.Scratch)
	if err != nil {
		return nil, err
	}
	defer outcomes.close()
	if err := a.playAll(ctx, trees, outcomes); err != nil {
		return nil, err
	}
	var worths []Worth
	for _, without := range trees[1:] {
		worths = append(worths, Worth{Mechanism: without.mechanism, Pairs: outcomes.pairs(a.Days.List(), without, whole)})
	}
	return worths, nil
}

// playAll plays each day by all trees before the next day, so that what else the machine
// does meets them alike.
func (a *Ablation) playAll(ctx context.Context, trees []tree, outcomes *outcomes) error {
	days := a.Days.List()
	return each(ctx, a.Jobs, len(days)*len(trees), func(ctx context.Context, i int) error {
		day, played := days[i/len(trees)], trees[i%len(trees)]
		if _, known := outcomes.find(played, day); known {
			return nil
		}
		outcome, err := a.Bench.Play(ctx, played.folder, day)
		if err != nil {
			return err
		}
		return outcomes.add(played, day, outcome)
	})
}
