package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/soak"
)

var errViolations = errors.New("the soak test found violations")

// soakCommand runs nodes as processes under fault injection and checks the service's guarantees.
func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run nodes as processes under external fault injection and check the service's guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "`PATH` of the doorstepd executable", Value: "bin/doorstepd"},
			&cli.StringFlag{Name: "seed", Usage: "`NUMBER` that determines the fault schedule; random by default"},
			&cli.DurationFlag{Name: "for", Usage: "duration of fault injection", Value: time.Minute},
			&cli.IntFlag{Name: "nodes", Usage: "number of nodes", Value: 4},
			&cli.IntFlag{Name: "replicas", Usage: "number of replicas per service", Value: 4},
			&cli.DurationFlag{Name: "apart", Usage: "spread nodes and replicas over two regions with this one-way latency between them"},
			&cli.StringFlag{Name: "dir", Usage: "`DIR` for settings and logs; a new temporary directory by default"},
			&cli.BoolFlag{Name: "verbose", Usage: "print each injected fault"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	seed := uint64(time.Now().UnixNano()) % 1_000_000
	if text := c.String("seed"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return fmt.Errorf("invalid --seed %q: must be a number", text)
		}
		seed = number
	}
	dir := c.String("dir")
	if dir == "" {
		temporary, err := os.MkdirTemp("", "doorstep-soak-")
		if err != nil {
			return command.Fail(command.ExitFailed, err)
		}
		dir = temporary
	}
	w := c.Root().Writer
	run := &soak.Soak{
		Binary: c.String("binary"), Dir: dir, Seed: seed, Duration: c.Duration("for"), NodeCount: c.Int("nodes"), ReplicaCount: c.Int("replicas"),
		RegionLatency: c.Duration("apart"),
		Logf: func(format string, values ...any) {
			if c.Bool("verbose") {
				fmt.Fprintf(w, format+"\n", values...)
			}
		},
	}
	report, err := run.Run(ctx)
	if err != nil {
		return command.Fail(command.ExitFailed, fmt.Errorf("soak %d (logs in %s): %w", seed, dir, err))
	}
	if c.Bool("json") {
		if err := json.NewEncoder(w).Encode(report); err != nil {
			return command.Fail(command.ExitFailed, err)
		}
	} else {
		fmt.Fprintf(w, "soak seed %d for %s: %d violations; logs in %s\n", seed, c.Duration("for"), len(report.Violations), dir)
		printCounts(c, "faults", report.Faults)
		printCounts(c, "seen", report.Counts)
		for _, violation := range report.Violations {
			fmt.Fprintf(w, "  VIOLATION %s\n", violation)
		}
	}
	if len(report.Violations) > 0 {
		return command.Fail(command.ExitFailed, errViolations)
	}
	return nil
}

func printCounts(c *cli.Command, title string, counts map[string]int) {
	fmt.Fprintf(c.Root().Writer, "  %s:", title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(c.Root().Writer, " %s %d;", name, counts[name])
	}
	fmt.Fprintln(c.Root().Writer)
}
