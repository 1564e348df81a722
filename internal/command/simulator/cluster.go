package simulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/simulation/clustersim"
)

// clusterCommand simulates nodes that share their state through a record store.
func clusterCommand() *cli.Command {
	return &cli.Command{
		Name:  "cluster",
		Usage: "simulate nodes on a record store: play many seeds and list what they break",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "seeds", Usage: "the seeds, as `FIRST..LAST`", Value: "1..64"},
			faultsFlag(),
			&cli.IntFlag{Name: "nodes", Usage: "how many nodes", Value: 6},
			&cli.IntFlag{Name: "replicas", Usage: "how many replicas", Value: 5},
			&cli.DurationFlag{Name: "length", Usage: "how long faults come, in virtual time", Value: 40 * time.Second},
		},
		Action: sweepCluster,
		Commands: []*cli.Command{{
			Name:  "faults",
			Usage: "list the kinds of faults",
			Action: func(_ context.Context, c *cli.Command) error {
				table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
				for _, fault := range clustersim.Faults {
					fmt.Fprintf(table, "%s\t%s\n", fault.Name, fault.Does)
				}
				return table.Flush()
			},
		}},
	}
}

// clusterSweep is what a sweep over seeds showed.
type clusterSweep struct {
	failed     []uint64
	violations map[string]int
	results    int
	accepted   int
	jobs       int
}

func sweepCluster(_ context.Context, c *cli.Command) error {
	faults, err := clustersim.FindFaults(c.String("faults"))
	if err != nil {
		return command.Fail(command.ExitUsage, err)
	}
	first, last, err := parseSeeds(c.String("seeds"))
	if err != nil {
		return command.Fail(command.ExitUsage, err)
	}
	options := clustersim.Options{Nodes: c.Int("nodes"), Replicas: c.Int("replicas"), Length: c.Duration("length"), Faults: faults}
	sweep := playSeeds(c.Root().Writer, first, last, options)
	fmt.Fprintf(c.Root().Writer, "%d seeds: %d of %d jobs accepted, %d results, %d seeds with a violation %v\n",
		last-first+1, sweep.accepted, sweep.jobs, sweep.results, len(sweep.failed), sweep.violations)
	if len(sweep.failed) > 0 {
		return command.Fail(command.ExitFailed, errors.New("a promise was broken"))
	}
	return nil
}

// playSeeds plays each seed, a few at a time, and prints the first violation of each.
func playSeeds(output io.Writer, first, last uint64, options clustersim.Options) clusterSweep {
	sweep := clusterSweep{violations: map[string]int{}}
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
			sweep.results += report.Results
			sweep.accepted += report.Accepted
			sweep.jobs += report.Jobs
			if len(report.Violations) == 0 {
				return
			}
			sweep.failed = append(sweep.failed, seed)
			seen := map[string]bool{}
			for _, violation := range report.Violations {
				if !seen[violation.Invariant] {
					seen[violation.Invariant] = true
					sweep.violations[violation.Invariant]++
					fmt.Fprintf(output, "seed %d: %s\n", seed, violation)
				}
			}
		})
	}
	group.Wait()
	return sweep
}
