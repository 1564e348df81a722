package compare

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"

	"github.com/samber/oops"
)

// Bench is the users' bench and how it is called.
type Bench struct {
	// Program is its path; Why stands in its journal.
	Program, Why string
	// NoCPU charges no processor time.
	NoCPU bool
}

// Days are the days that each tree plays.
type Days struct {
	// Sites are site files, Days names of days in each of them.
	Sites, Days []string
	FirstSeed   uint64
	Seeds       int
}

// Day is one day of a site with its seed.
type Day struct {
	Site, Day string
	Seed      uint64
}

// List returns the days by site, name and seed.
func (d Days) List() []Day {
	var list []Day
	for _, site := range d.Sites {
		for _, day := range d.Days {
			for i := range d.Seeds {
				list = append(list, Day{Site: site, Day: day, Seed: d.FirstSeed + uint64(i)})
			}
		}
	}
	return list
}

// Series compares two trees.
type Series struct {
	Bench Bench
	Days  Days
	// Before and After are the trees' folders.
	Before, After string
	// Jobs is how many days are played at once.
	Jobs int
}

// Outcome is what one day came to.
type Outcome struct {
	// Worth is the bench's, Whole, Windows and Class are its parts.
	Worth                 float64
	Whole, Windows, Class float64
	// Prices is what was taken off.
	Prices float64
	// Lag is how many seconds behind its time the last step was asked, at the worst trainer.
	Lag float64
	// Broken counts the rules that were broken.
	Broken int
}

// Pair is one day and seed played by both trees.
type Pair struct {
	Day
	Before, After Outcome
}

// Play plays all pairs. The two plays of a pair follow one another, so that what else the
// machine does meets both alike.
func (s *Series) Play(ctx context.Context) ([]Pair, error) {
	days := s.Days.List()
	pairs := make([]Pair, len(days))
	err := each(ctx, s.Jobs, len(days), func(ctx context.Context, i int) (err error) {
		pairs[i].Day = days[i]
		if pairs[i].Before, err = s.Bench.Play(ctx, s.Before, days[i]); err != nil {
			return err
		}
		pairs[i].After, err = s.Bench.Play(ctx, s.After, days[i])
		return err
	})
	return pairs, err
}

// each calls do for the numbers below n in their order, so many at once; the first error
// stops the rest.
func each(ctx context.Context, atOnce, n int, do func(ctx context.Context, i int) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	places := make(chan struct{}, atOnce)
	var group sync.WaitGroup
	for i := range n {
		places <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			defer func() { <-places }()
			if err := do(ctx, i); err != nil {
				cancel(err)
			}
		})
	}
	group.Wait()
	return context.Cause(ctx)
}

// Play plays one day by the tree in a folder.
func (b Bench) Play(ctx context.Context, tree string, day Day) (Outcome, error) {
	failed := oops.With("tree", tree).With("site", day.Site).With("day", day.Day).With("seed", day.Seed)
	folder, err := os.MkdirTemp("", "compare")
	if err != nil {
		return Outcome{}, failed.Wrapf(err, "a folder for the report")
	}
	defer os.RemoveAll(folder)
	report := filepath.Join(folder, "report.json")
	site, err := filepath.Abs(day.Site)
	if err != nil {
		return Outcome{}, failed.Wrapf(err, "the site's path")
	}
	arguments := []string{"run", site, day.Day, "--seed", strconv.FormatUint(day.Seed, 10), "--report", report, "--why", b.Why}
	if b.NoCPU {
		arguments = append(arguments, "--no-cpu")
	}
	play := exec.CommandContext(ctx, b.Program, arguments...)
	play.Dir = tree
	text, err := play.CombinedOutput()
	if err != nil {
		return Outcome{}, failed.Wrapf(err, "the bench: %s", text)
	}
	content, err := os.ReadFile(report)
	if err != nil {
		return Outcome{}, failed.Wrapf(err, "the bench wrote no report: %s", text)
	}
	outcome, err := decode(content, text)
	return outcome, failed.Wrapf(err, "the bench's report")
}

// benchReport is what is read of the bench's report.
type benchReport struct {
	Worth  float64                    `json:"G"`
	Parts  [][]any                    `json:"parts"`
	Prices [][]any                    `json:"prices"`
	Breaks map[string]json.RawMessage `json:"breaks"`
}

// lagLine is where the bench tells how far behind a trainer's last step was.
var lagLine = regexp.MustCompile(`steps asked, the last ([0-9.]+) s behind`)

func decode(report, text []byte) (Outcome, error) {
	var read benchReport
	if err := json.NewDecoder(bytes.NewReader(report)).Decode(&read); err != nil {
		return Outcome{}, err
	}
	outcome := Outcome{Worth: read.Worth, Broken: len(read.Breaks)}
	for _, part := range read.Parts {
		name, share := last(part)
		switch name {
		case "whole day":
			outcome.Whole = share
		case "worst windows":
			outcome.Windows = share
		case "worst class":
			outcome.Class = share
		}
	}
	for _, price := range read.Prices {
		_, taken := last(price)
		outcome.Prices += taken
	}
	for _, found := range lagLine.FindAllSubmatch(text, -1) {
		lag, err := strconv.ParseFloat(string(found[1]), 64)
		if err != nil {
			return outcome, fmt.Errorf("a lag of %q", found[1])
		}
		outcome.Lag = max(outcome.Lag, lag)
	}
	return outcome, nil
}

// last returns the name of a row and the number at its end.
func last(row []any) (name string, number float64) {
	if len(row) < 2 {
		return "", 0
	}
	name, _ = row[0].(string)
	number, _ = row[len(row)-1].(float64)
	return name, number
}
