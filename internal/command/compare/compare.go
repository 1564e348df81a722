// Package compare is the command line that plays trees of this repository, with a change
// and without, on the same days and seeds of the users' bench, and tells whether the change
// is worth something.
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

// New returns the command.
func New() *cli.Command {
	return &cli.Command{
		Name:     "doorstep-compare",
		Usage:    "play trees of this repository on the same days and seeds of the users' bench",
		Commands: []*cli.Command{treesCommand(), ablateCommand()},
	}
}

// playFlags are the flags of every subcommand that plays days.
func playFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "bench", Usage: "the bench's program, as `FILE`", Required: true},
		&cli.StringSliceFlag{Name: "site", Usage: "a site `FILE`; one for each site", Required: true},
		&cli.StringSliceFlag{Name: "day", Usage: "a `DAY` of the sites; one for each", Value: []string{"quiet-1", "trouble-1", "scale-1", "trouble-2"}},
		&cli.Uint64Flag{Name: "first-seed", Usage: "the first seed", Value: 1},
		&cli.IntFlag{Name: "seeds", Usage: "how many seeds of each day", Value: 6},
		&cli.IntFlag{Name: "jobs", Usage: "how many days at once", Value: 4},
		&cli.BoolFlag{Name: "no-cpu", Usage: "charge no processor time: runs then mostly repeat"},
		&cli.StringFlag{Name: "why", Usage: "what the runs are for, as the bench's journal tells it", Required: true},
	}
}

// benchOf returns the bench that the flags name.
func benchOf(c *cli.Command) Bench {
	return Bench{Program: c.String("bench"), Why: c.String("why"), NoCPU: c.Bool("no-cpu")}
}

// daysOf returns what the flags ask to be played.
func daysOf(c *cli.Command) (Days, error) {
	days := Days{Sites: c.StringSlice("site"), Days: c.StringSlice("day"), FirstSeed: c.Uint64("first-seed"), Seeds: c.Int("seeds")}
	if days.Seeds < 1 || c.Int("jobs") < 1 {
		return days, command.Fail(command.ExitUsage, fmt.Errorf("--seeds and --jobs are at least 1"))
	}
	return days, nil
}

// siteName returns the name of a site by its file.
func siteName(file string) string { return strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)) }
