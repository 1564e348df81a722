// Package simulator is the command line of doorstep-sim.
package simulator

import (
	"context"
	"encoding/json"
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
	"github.com/doorstep/doorstep/internal/process/event"
	"github.com/doorstep/doorstep/internal/simulation"
	"github.com/doorstep/doorstep/internal/simulation/check"
	"github.com/doorstep/doorstep/internal/standin/topology"
)

// Main runs doorstep-sim and returns its exit code.
func Main(arguments []string) int {
	return command.Run(context.Background(), root(), arguments, os.Stderr)
}

func root() *cli.Command {
	return &cli.Command{
		Name:     "doorstep-sim",
		Usage:    "simulate installations of doorstep on a virtual clock, under faults",
		Commands: []*cli.Command{runCommand(), sweepCommand(), faultsCommand(), scaleCommand(), benchCommand(), clusterCommand()},
	}
}

func topologyFlag() cli.Flag {
	return &cli.StringFlag{Name: "topology", Usage: "dakar, plovdiv, or a topology `FILE`", Value: "dakar"}
}

func faultsFlag() cli.Flag {
	return &cli.StringFlag{Name: "faults", Usage: "names with commas between, all, or none", Value: "none"}
}

func stepsFlag() cli.Flag {
	return &cli.Int64Flag{Name: "steps", Usage: "how many steps each trainer trains", Value: 6}
}

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "print JSON"} }

// loadTopology takes a name of topologies/ or a file.
func loadTopology(name string) (*topology.Topology, error) {
	if !strings.ContainsAny(name, "/.") {
		name = "topologies/" + name + ".yaml"
	}
	loaded, err := topology.Load(name)
	if err != nil {
		return nil, command.Fail(command.ExitUsage, err)
	}
	return loaded, nil
}

func optionsOf(c *cli.Command) (simulation.Options, error) {
	loaded, err := loadTopology(c.String("topology"))
	if err != nil {
		return simulation.Options{}, err
	}
	faults, err := simulation.FindFaults(c.String("faults"))
	if err != nil {
		return simulation.Options{}, command.Fail(command.ExitUsage, err)
	}
	if c.Int64("steps") < 1 {
		return simulation.Options{}, command.Fail(command.ExitUsage, errors.New("--steps must be at least 1"))
	}
	return simulation.Options{Topology: loaded, Steps: c.Int64("steps"), Faults: faults}, nil
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run one seed; exit 1 on a violation or without progress",
		Flags: []cli.Flag{topologyFlag(), faultsFlag(), stepsFlag(), jsonFlag(),
			&cli.Uint64Flag{Name: "seed", Usage: "decides everything drawn", Value: 1},
			&cli.BoolFlag{Name: "verbose", Usage: "print the nodes' log events to standard error"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			options, err := optionsOf(c)
			if err != nil {
				return err
			}
			options.Seed = c.Uint64("seed")
			if c.Bool("verbose") {
				options.Verbose = logLine
			}
			report := simulation.NewWorld(options).Run()
			if err := printReport(c.Root().Writer, c.Bool("json"), report); err != nil {
				return err
			}
			if len(report.Violations) > 0 {
				return command.Fail(command.ExitFailed, nil)
			}
			return nil
		},
	}
}

func logLine(at time.Duration, name string, number int, pairs []any) {
	message := "fault injected"
	if entry, known := event.Find(number); known {
		message = entry.Message
	}
	_, _ = fmt.Fprintf(os.Stderr, "%9.3f %-16s %d %s %v\n", at.Seconds(), name, number, message, pairs)
}

func printReport(w io.Writer, asJSON bool, report *simulation.Report) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, arguments ...any) {
		_, _ = fmt.Fprintf(table, "%s\t%s\n", name, fmt.Sprintf(format, arguments...))
	}
	row("topology, seed", "%s, %d (%.0f s of virtual time)", report.Topology, report.Seed, report.Seconds)
	row("digest", "%s", report.Digest)
	row("samples delivered/lost/doubled", "%d / %d / %d", report.Samples.Delivered, report.Samples.Lost, report.Samples.Doubled)
	row("trainer idle ratio", "%.3f", report.TrainerIdleRatio)
	row("staleness mean/p99/max", "%.2f / %d / %d versions", report.Staleness.Mean, report.Staleness.P99, report.Staleness.Max)
	row("tries completed/not run/unknown", "%d / %d / %d", report.Requests.Completed, report.Requests.NotRun, report.Requests.Unknown)
	row("latency p50/p99", "%.0f / %.0f ms", report.Callers.P50, report.Callers.P99)
	row("prefix cache hits", "%.3f", report.PrefixHitRatio)
	row("configuration accepted", "%d, slowest %.1f s", report.Configuration.Accepted, report.Configuration.SlowestSeconds)
	row("faults injected", "%v", report.FaultsInjected)
	row("violations", "%d", len(report.Violations))
	if err := table.Flush(); err != nil {
		return err
	}
	for _, violation := range report.Violations {
		_, _ = fmt.Fprintf(w, "VIOLATION of %s at %.3f s: %s\n", violation.Invariant, violation.At, violation.Detail)
	}
	return nil
}

// Sweep is the outcome of many seeds.
type Sweep struct {
	// Topology, Faults, From and To repeat what was run; Ran counts seeds.
	Topology string `json:"topology"`
	Faults   string `json:"faults"`
	From     uint64 `json:"from"`
	To       uint64 `json:"to"`
	Ran      int    `json:"ran"`
	// Failing are the seeds with violations.
	Failing []uint64 `json:"failing"`
	// Violated counts failing seeds by invariant.
	Violated map[check.Invariant]int `json:"violated"`
	// Smallest is the report of the first failing seed.
	Smallest *simulation.Report `json:"smallest,omitempty"`
	// Replay is how to run the smallest failing seed again.
	Replay string `json:"replay,omitempty"`
	// Idle and Staleness are means over the seeds; Injected adds up the faults.
	Idle      float64        `json:"trainer_idle_ratio"`
	Staleness float64        `json:"staleness_mean"`
	Injected  map[string]int `json:"faults_injected"`
	// Requests adds up the tries, Configuration the accepted commands; its slowest
	// is over all seeds.
	Requests      simulation.RequestCounts         `json:"requests"`
	Configuration simulation.ConfigurationMeasures `json:"configuration"`
}

func sweepCommand() *cli.Command {
	return &cli.Command{
		Name:  "sweep",
		Usage: "run many seeds on all cores; exit 1 if any fails",
		Flags: []cli.Flag{topologyFlag(), faultsFlag(), stepsFlag(), jsonFlag(),
			&cli.StringFlag{Name: "seeds", Usage: "`A..B`", Value: "1..20"},
		},
		Action: runSweep,
	}
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

func runSweep(_ context.Context, c *cli.Command) error {
	options, err := optionsOf(c)
	if err != nil {
		return err
	}
	from, to, err := parseSeeds(c.String("seeds"))
	if err != nil {
		return command.Fail(command.ExitUsage, err)
	}
	sweep := &Sweep{Topology: options.Topology.Name, Faults: c.String("faults"), From: from, To: to, Failing: []uint64{}, Injected: map[string]int{}, Violated: map[check.Invariant]int{}}
	for _, report := range runSeeds(options, from, to) {
		sweep.add(report)
	}
	if sweep.Smallest != nil {
		sweep.Replay = fmt.Sprintf("doorstep-sim run --topology %s --seed %d --steps %d --faults %s",
			c.String("topology"), sweep.Smallest.Seed, options.Steps, c.String("faults"))
	}
	if err := sweep.print(c.Root().Writer, c.Bool("json")); err != nil {
		return err
	}
	if len(sweep.Failing) > 0 {
		return command.Fail(command.ExitFailed, nil)
	}
	return nil
}

// runSeeds runs the seeds on all cores and returns the reports in order.
func runSeeds(options simulation.Options, from, to uint64) []*simulation.Report {
	reports := make([]*simulation.Report, to-from+1)
	next := make(chan uint64)
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for seed := range next {
				one := options
				one.Seed = seed
				reports[seed-from] = simulation.NewWorld(one).Run()
			}
		})
	}
	for seed := from; seed <= to; seed++ {
		next <- seed
	}
	close(next)
	group.Wait()
	return reports
}

func (s *Sweep) add(report *simulation.Report) {
	s.Ran++
	total := s.To - s.From + 1
	s.Idle += report.TrainerIdleRatio / float64(total)
	s.Staleness += report.Staleness.Mean / float64(total)
	s.Requests.Completed += report.Requests.Completed
	s.Requests.NotRun += report.Requests.NotRun
	s.Requests.Unknown += report.Requests.Unknown
	s.Configuration.Accepted += report.Configuration.Accepted
	s.Configuration.SlowestSeconds = max(s.Configuration.SlowestSeconds, report.Configuration.SlowestSeconds)
	for name, count := range report.FaultsInjected {
		s.Injected[name] += count
	}
	if len(report.Violations) == 0 {
		return
	}
	s.Failing = append(s.Failing, report.Seed)
	seen := map[check.Invariant]bool{}
	for _, violation := range report.Violations {
		if !seen[violation.Invariant] {
			seen[violation.Invariant] = true
			s.Violated[violation.Invariant]++
		}
	}
	if s.Smallest == nil {
		s.Smallest = report
	}
}

func (s *Sweep) print(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	_, _ = fmt.Fprintf(w, "%s, faults %s: %d seeds, %d failing; idle ratio %.3f, staleness %.2f; tries completed/not run/unknown %d/%d/%d; commands accepted %d, slowest %.1f s\n",
		s.Topology, s.Faults, s.Ran, len(s.Failing), s.Idle, s.Staleness,
		s.Requests.Completed, s.Requests.NotRun, s.Requests.Unknown, s.Configuration.Accepted, s.Configuration.SlowestSeconds)
	if s.Smallest == nil {
		return nil
	}
	_, _ = fmt.Fprintf(w, "failing seeds: %v\nreplay the smallest: %s\n", s.Failing, s.Replay)
	for _, violation := range s.Smallest.Violations {
		_, _ = fmt.Fprintf(w, "VIOLATION of %s at %.3f s: %s\n", violation.Invariant, violation.At, violation.Detail)
	}
	return nil
}

func faultsCommand() *cli.Command {
	return &cli.Command{
		Name:  "faults",
		Usage: "list the kinds of faults",
		Action: func(_ context.Context, c *cli.Command) error {
			table := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
			for _, fault := range simulation.Faults {
				_, _ = fmt.Fprintf(table, "%s\t%s\n", fault.Name, fault.Does)
			}
			return table.Flush()
		},
	}
}
