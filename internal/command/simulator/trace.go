package simulator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/simulation/clustersim"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name:   "trace",
		Usage:  "simulate one seed and print node events, faults and violations in order",
		Flags:  append([]cli.Flag{&cli.Uint64Flag{Name: "seed", Usage: "the seed to simulate", Value: 1}}, simulationFlags()...),
		Action: runTrace,
	}
}

func runTrace(_ context.Context, c *cli.Command) error {
	options, err := simulationOptions(c)
	if err != nil {
		return err
	}
	output := c.Root().Writer
	options.Seed = c.Uint64("seed")
	options.Log = func(node string, clock time.Duration, number int, fields []any) {
		printEvent(output, node, clock, number, fields)
	}
	options.Trace = func(clock time.Duration, what string) { printTraceLine(output, clock, "world", what) }
	if report := clustersim.New(options).Run(); len(report.Violations) > 0 {
		return command.Fail(command.ExitFailed, errViolations)
	}
	return nil
}

// printEvent prints an event logged by a node.
func printEvent(output io.Writer, node string, clock time.Duration, number int, fields []any) {
	entry, ok := event.Find(number)
	if !ok {
		entry.Message = fmt.Sprintf("event %d", number)
	}
	what := entry.Message
	for i := 0; i+1 < len(fields); i += 2 {
		what += fmt.Sprintf(" %v=%v", fields[i], fields[i+1])
	}
	printTraceLine(output, clock, node, what)
}

func printTraceLine(output io.Writer, clock time.Duration, source, what string) {
	fmt.Fprintf(output, "%10.3f %-8s %s\n", clock.Seconds(), source, what)
}
