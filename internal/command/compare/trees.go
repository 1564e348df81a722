package compare

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
)

// treesCommand compares two source trees in separate directories.
func treesCommand() *cli.Command {
	return &cli.Command{
		Name:  "trees",
		Usage: "compare a source tree with a change to one without it",
		Flags: append(runFlags(),
			&cli.StringFlag{Name: "before", Usage: "the tree without the change, as `DIR`", Required: true},
			&cli.StringFlag{Name: "after", Usage: "the tree with the change, as `DIR`", Required: true},
			&cli.StringFlag{Name: "plot", Usage: "plot the differences to `FILE`, PNG or SVG"},
		),
		Action: runTrees,
	}
}

func runTrees(ctx context.Context, c *cli.Command) error {
	scenarios, err := scenariosFromFlags(c)
	if err != nil {
		return err
	}
	comparison := Comparison{Bench: benchFromFlags(c), Scenarios: scenarios, Before: c.String("before"), After: c.String("after"), Jobs: c.Int("jobs")}
	pairs, err := comparison.Run(ctx)
	if err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	if err := WriteTable(c.Root().Writer, pairs); err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	return savePlot(c.String("plot"), pairs)
}

// savePlot plots the pairs to a file unless its name is empty.
func savePlot(file string, pairs []Pair) error {
	if file == "" {
		return nil
	}
	if err := Plot(file, pairs); err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	return nil
}
