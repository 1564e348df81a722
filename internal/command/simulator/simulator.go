// Package simulator implements the command line of doorstep-sim.
package simulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
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
		Usage:    "simulate a doorstep deployment with fault injection on a virtual clock",
		Commands: []*cli.Command{sweepCommand(), traceCommand(), faultsCommand()},
	}
}

func sweepCommand() *cli.Command {
	return &cli.Command{
		Name:  "sweep",
		Usage: "simulate a range of seeds and list invariant violations",
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "seeds", Usage: "the seeds, as `FIRST..LAST`", Value: "1..64"},
		}, simulationFlags()...),
		Action: runSweep,
	}
}

// simulationFlags returns the flags that configure the simulated deployment.
func simulationFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "faults", Usage: "comma-separated fault names, all, or none", Value: "none"},
		&cli.IntFlag{Name: "nodes", Usage: "number of nodes", Value: 6},
		&cli.IntFlag{Name: "replicas", Usage: "number of replicas", Value: 5},
		&cli.BoolFlag{Name: "unfenced", Usage: "disable fence checks in replicas"},
		&cli.BoolFlag{Name: "resting", Usage: "let nodes watch the list of replicas only while they need it"},
		&cli.DurationFlag{Name: "far-region", Usage: "additional one-way latency between the two regions"},
		&cli.DurationFlag{Name: "result-deadline", Usage: "how long trainers wait for the results of a job", Value: 7 * time.Second},
		&cli.DurationFlag{Name: "length", Usage: "duration of fault injection, in virtual time", Value: 40 * time.Second},
	}
}

// simulationOptions returns the options given by simulationFlags.
func simulationOptions(c *cli.Command) (clustersim.Options, error) {
	faults, err := clustersim.ParseFaults(c.String("faults"))
	if err != nil {
		return clustersim.Options{}, command.Fail(command.ExitUsage, err)
	}
	return clustersim.Options{
		Nodes: c.Int("nodes"), Replicas: c.Int("replicas"), Length: c.Duration("length"), Faults: faults,
		Unfenced: c.Bool("unfenced"), RegionDelay: c.Duration("far-region"), OnDemandReplicaLists: c.Bool("resting"),
		ResultDeadline: c.Duration("result-deadline"),
	}, nil
}

func faultsCommand() *cli.Command {
	return &cli.Command{
		Name:  "faults",
		Usage: "list the kinds of faults",
		Action: func(_ context.Context, c *cli.Command) error {
			table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
			for _, fault := range slices.Concat(clustersim.Faults, clustersim.OptionalFaults) {
				fmt.Fprintf(table, "%s\t%s\n", fault.Name, fault.Description)
			}
			return table.Flush()
		},
	}
}

var errViolations = errors.New("invariants were violated")

// sweepResult is the combined result of all seeds of a sweep.
type sweepResult struct {
	// failed lists the seeds with violations, violations counts seeds by violated invariant.
	failed     []uint64
	violations map[string]int
	results    int
	accepted   int
	jobs       int
}

func runSweep(_ context.Context, c *cli.Command) error {
	options, err := simulationOptions(c)
	if err != nil {
		return err
	}
	first, last, err := parseSeeds(c.String("seeds"))
	if err != nil {
		return command.Fail(command.ExitUsage, err)
	}
	result := runSeeds(c.Root().Writer, first, last, options)
	fmt.Fprintf(c.Root().Writer, "%d seeds: %d of %d jobs accepted, %d results, %d seeds with a violation %v\n",
		last-first+1, result.accepted, result.jobs, result.results, len(result.failed), result.violations)
	if len(result.failed) > 0 {
		return command.Fail(command.ExitFailed, errViolations)
	}
	return nil
}

// runSeeds simulates the seeds concurrently and prints the first violation of each invariant per seed.
func runSeeds(output io.Writer, first, last uint64, options clustersim.Options) sweepResult {
	result := sweepResult{violations: map[string]int{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	for seed := first; seed <= last; seed++ {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			options := options
			options.Seed = seed
			report := clustersim.New(options).Run()
			mu.Lock()
			defer mu.Unlock()
			result.results += report.Results
			result.accepted += report.Accepted
			result.jobs += report.Jobs
			if len(report.Violations) == 0 {
				return
			}
			result.failed = append(result.failed, seed)
			seen := map[string]bool{}
			for _, violation := range report.Violations {
				if !seen[violation.Invariant] {
					seen[violation.Invariant] = true
					result.violations[violation.Invariant]++
					fmt.Fprintf(output, "seed %d: %s\n", seed, violation)
				}
			}
		})
	}
	group.Wait()
	return result
}

func parseSeeds(text string) (uint64, uint64, error) {
	first, last, found := strings.Cut(text, "..")
	from, err := strconv.ParseUint(first, 10, 64)
	if err != nil || !found {
		return 0, 0, fmt.Errorf("invalid --seeds %q: must be FIRST..LAST", text)
	}
	to, err := strconv.ParseUint(last, 10, 64)
	if err != nil || to < from {
		return 0, 0, fmt.Errorf("invalid --seeds %q: must be FIRST..LAST with LAST not less than FIRST", text)
	}
	return from, to, nil
}
