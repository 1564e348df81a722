// Package compare implements doorstep-compare, which runs the users' benchmark on source trees of this
// repository with and without a change, on the same days and seeds, and reports the difference.
package compare

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
)

// Main runs the command line and returns its exit code.
func Main(arguments []string) int {
	return command.Run(context.Background(), New(), arguments, os.Stderr)
}

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:     "doorstep-compare",
		Usage:    "compare source trees of this repository on the same days and seeds of the users' benchmark",
		Commands: []*cli.Command{treesCommand(), ablateCommand()},
	}
}

// runFlags returns the flags shared by all subcommands that run the benchmark.
func runFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "bench", Usage: "the benchmark's executable, as `FILE`", Required: true},
		&cli.StringSliceFlag{Name: "site", Usage: "a site `FILE`; repeatable", Required: true},
		&cli.StringSliceFlag{Name: "day", Usage: "a `DAY` of the sites; repeatable", Value: []string{"quiet-1", "trouble-1", "scale-1", "trouble-2"}},
		&cli.Uint64Flag{Name: "first-seed", Usage: "the first seed", Value: 1},
		&cli.IntFlag{Name: "seeds", Usage: "number of seeds per day", Value: 6},
		&cli.IntFlag{Name: "jobs", Usage: "number of concurrent benchmark runs", Value: 4},
		&cli.BoolFlag{Name: "no-cpu", Usage: "do not charge processor time, which makes runs mostly reproducible"},
		&cli.StringFlag{Name: "why", Usage: "purpose of the runs, for the benchmark's journal", Required: true},
	}
}

func benchFromFlags(c *cli.Command) Bench {
	return Bench{Program: c.String("bench"), Why: c.String("why"), NoCPU: c.Bool("no-cpu")}
}

func scenariosFromFlags(c *cli.Command) (Scenarios, error) {
	scenarios := Scenarios{Sites: c.StringSlice("site"), Days: c.StringSlice("day"), FirstSeed: c.Uint64("first-seed"), Seeds: c.Int("seeds")}
	if scenarios.Seeds < 1 || c.Int("jobs") < 1 {
		return scenarios, command.Fail(command.ExitUsage, fmt.Errorf("--seeds and --jobs must be at least 1"))
	}
	return scenarios, nil
}

// siteName returns the base name of a site file without its extension.
func siteName(file string) string { return strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)) }
