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

// Series is what is to be played.
type Series struct {
	// Bench is the bench's program, Before and After are the trees.
	Bench, Before, After string
	Sites, Days          []string
	FirstSeed            uint64
	Seeds                int
	// Jobs is how many days are played at once.
	Jobs int
	Why  string
	// NoCPU charges no processor time.
	NoCPU bool
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
	Site, Day     string
	Seed          uint64
	Before, After Outcome
}

// Play plays all pairs. The two plays of a pair follow one another, so that what else the
// machine does meets both alike.
func (s *Series) Play(ctx context.Context) ([]Pair, error) {
	pairs := s.pairs()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	places := make(chan struct{}, s.Jobs)
	var group sync.WaitGroup
	for i := range pairs {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			if err := s.playPair(ctx, &pairs[i]); err != nil {
				cancel(err)
			}
		})
	}
	group.Wait()
	return pairs, context.Cause(ctx)
}

func (s *Series) pairs() []Pair {
	var pairs []Pair
	for _, site := range s.Sites {
		for _, day := range s.Days {
			for i := range s.Seeds {
				pairs = append(pairs, Pair{Site: site, Day: day, Seed: s.FirstSeed + uint64(i)})
			}
		}
	}
	return pairs
}

func (s *Series) playPair(ctx context.Context, pair *Pair) (err error) {
	if pair.Before, err = s.play(ctx, s.Before, *pair); err != nil {
		return err
	}
	pair.After, err = s.play(ctx, s.After, *pair)
	return err
}

// play plays one day by one tree.
func (s *Series) play(ctx context.Context, tree string, pair Pair) (Outcome, error) {
	if ctx.Err() != nil {
		return Outcome{}, context.Cause(ctx)
	}
	failed := oops.With("tree", tree).With("site", pair.Site).With("day", pair.Day).With("seed", pair.Seed)
	folder, err := os.MkdirTemp("", "compare")
	if err != nil {
		return Outcome{}, failed.Wrapf(err, "a folder for the report")
	}
	defer os.RemoveAll(folder)
	report := filepath.Join(folder, "report.json")
	site, err := filepath.Abs(pair.Site)
	if err != nil {
		return Outcome{}, failed.Wrapf(err, "the site's path")
	}
	arguments := []string{"run", site, pair.Day, "--seed", strconv.FormatUint(pair.Seed, 10), "--report", report, "--why", s.Why}
	if s.NoCPU {
		arguments = append(arguments, "--no-cpu")
	}
	play := exec.CommandContext(ctx, s.Bench, arguments...)
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
