// Package simulator is the command line of doorstep-sim.
package simulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/simulation/clustersim"
)

// Main runs doorstep-sim and returns its exit code.
func Main(arguments []string) int {
	return command.Run(context.Background(), root(), arguments, os.Stderr)
}

func root() *cli.Command {
	return &cli.Command{
		Name:     "doorstep-sim",
		Usage:    "simulate a deployment of doorstep on a virtual clock, under faults",
		Commands: []*cli.Command{sweepCommand(), traceCommand(), faultsCommand()},
	}
}

func sweepCommand() *cli.Command {
	return &cli.Command{
		Name:  "sweep",
		Usage: "play many seeds and list what they break",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "seeds", Usage: "the seeds, as `FIRST..LAST`", Value: "1..64"},
		}, worldFlags()...),
		Action: runSweep,
	}
}

// worldFlags are those that say what is simulated.
func worldFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "faults", Usage: "names with commas between, all, or none", Value: "none"},
		&cli.IntFlag{Name: "nodes", Usage: "how many nodes", Value: 6},
		&cli.IntFlag{Name: "replicas", Usage: "how many replicas", Value: 5},
		&cli.BoolFlag{Name: "unfenced", Usage: "replicas check no fences"},
		&cli.BoolFlag{Name: "resting", Usage: "nodes follow the list of replicas only while they have use for it"},
		&cli.DurationFlag{Name: "far-region", Usage: "how much longer messages between the two regions are under way, each way"},
		&cli.DurationFlag{Name: "length", Usage: "how long faults come, in virtual time", Value: 40 * time.Second},
	}
}

// worldOptions reads the flags of worldFlags.
func worldOptions(c *cli.Command) (clustersim.Options, error) {
	faults, err := clustersim.ParseFaults(c.String("faults"))
	if err != nil {
		return clustersim.Options{}, command.Fail(command.ExitUsage, err)
	}
	return clustersim.Options{
		Nodes: c.Int("nodes"), Replicas: c.Int("replicas"), Length: c.Duration("length"), Faults: faults,
		Unfenced: c.Bool("unfenced"), RegionDelay: c.Duration("far-region"), OnDemandReplicaLists: c.Bool("resting"),
	}, nil
}

func faultsCommand() *cli.Command {
	return &cli.Command{
		Name:  "faults",
		Usage: "list the kinds of faults",
		Action: func(_ context.Context, c *cli.Command) error {
			table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
			for _, fault := range clustersim.Faults {
				fmt.Fprintf(table, "%s\t%s\n", fault.Name, fault.Description)
			}
			return table.Flush()
		},
	}
}

// sweep is what a sweep over seeds showed.
type sweep struct {
	failed     []uint64
	violations map[string]int
	results    int
	accepted   int
	jobs       int
}

func runSweep(_ context.Context, c *cli.Command) error {
	options, err := worldOptions(c)
	if err != nil {
		return err
	}
	first, last, err := parseSeeds(c.String("seeds"))
	if err != nil {
		return command.Fail(command.ExitUsage, err)
	}
	played := playSeeds(c.Root().Writer, first, last, options)
	fmt.Fprintf(c.Root().Writer, "%d seeds: %d of %d jobs accepted, %d results, %d seeds with a violation %v\n",
		last-first+1, played.accepted, played.jobs, played.results, len(played.failed), played.violations)
	if len(played.failed) > 0 {
		return command.Fail(command.ExitFailed, errors.New("a promise was broken"))
	}
	return nil
}

// playSeeds plays each seed, a few at a time, and prints the first violation of each.
func playSeeds(output io.Writer, first, last uint64, options clustersim.Options) sweep {
	played := sweep{violations: map[string]int{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	places := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	for seed := first; seed <= last; seed++ {
		places <- struct{}{}
		group.Go(func() {
			defer func() { <-places }()
			options := options
			options.Seed = seed
			report := clustersim.New(options).Run()
			mu.Lock()
			defer mu.Unlock()
			played.results += report.Results
			played.accepted += report.Accepted
			played.jobs += report.Jobs
			if len(report.Violations) == 0 {
				return
			}
			played.failed = append(played.failed, seed)
			seen := map[string]bool{}
			for _, violation := range report.Violations {
				if !seen[violation.Invariant] {
					seen[violation.Invariant] = true
					played.violations[violation.Invariant]++
					fmt.Fprintf(output, "seed %d: %s\n", seed, violation)
				}
			}
		})
	}
	group.Wait()
	return played
}

func parseSeeds(text string) (uint64, uint64, error) {
	first, last, found := strings.Cut(text, "..")
	from, err := strconv.ParseUint(first, 10, 64)
	if err != nil || !found {
		return 0, 0, fmt.Errorf("--seeds is %q; allowed is A..B", text)
	}
	to, err := strconv.ParseUint(last, 10, 64)
	if err != nil || to < from {
		return 0, 0, fmt.Errorf("--seeds is %q; allowed is A..B with B not below A", text)
	}
	return from, to, nil
}
