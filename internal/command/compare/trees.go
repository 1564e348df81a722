package compare

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
)

// treesCommand compares two trees that lie side by side.
func treesCommand() *cli.Command {
	return &cli.Command{
		Name:  "trees",
		Usage: "play a tree with a change and one without it",
		Flags: append(playFlags(),
			&cli.StringFlag{Name: "before", Usage: "the tree without the change, as `DIR`", Required: true},
			&cli.StringFlag{Name: "after", Usage: "the tree with the change, as `DIR`", Required: true},
			&cli.StringFlag{Name: "plot", Usage: "draw the differences into a `FILE`, PNG or SVG"},
		),
		Action: runTrees,
	}
}

func runTrees(ctx context.Context, c *cli.Command) error {
	days, err := daysOf(c)
	if err != nil {
		return err
	}
	series := Series{Bench: benchOf(c), Days: days, Before: c.String("before"), After: c.String("after"), Jobs: c.Int("jobs")}
	pairs, err := series.Play(ctx)
	if err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	if err := WriteTable(c.Root().Writer, pairs); err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	return plotInto(c.String("plot"), pairs)
}

// plotInto draws pairs into a file, if one is named.
func plotInto(file string, pairs []Pair) error {
	if file == "" {
		return nil
	}
	if err := Plot(file, pairs); err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	return nil
}
