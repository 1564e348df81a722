package compare

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"

	"github.com/samber/oops"
)

// outcomesFile holds the outcomes in a scratch folder, a line of JSON for each play.
const outcomesFile = "outcomes.jsonl"

// played is one line of the file.
type played struct {
	Tree string
	Day
	Outcome Outcome
}

// key names a play: a tree's id and the day.
type key struct {
	tree string
	day  Day
}

// outcomes keeps what was played across runs of the command.
type outcomes struct {
	mu    sync.Mutex
	known map[key]Outcome
	file  *os.File
}

// openOutcomes reads the outcomes of a scratch folder. A last line that breaks off, of a run
// that was stopped, is passed over.
func openOutcomes(scratch string) (*outcomes, error) {
	file, err := os.OpenFile(filepath.Join(scratch, outcomesFile), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return nil, oops.Wrapf(err, "the outcomes")
	}
	o := &outcomes{known: map[key]Outcome{}, file: file}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		one := played{}
		if json.Unmarshal(lines.Bytes(), &one) == nil {
			o.known[key{one.Tree, one.Day}] = one.Outcome
		}
	}
	return o, oops.Wrapf(lines.Err(), "reading the outcomes")
}

func (o *outcomes) close() { _ = o.file.Close() }

func (o *outcomes) find(t tree, day Day) (Outcome, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	outcome, ok := o.known[key{t.id, day}]
	return outcome, ok
}

// add keeps an outcome. Each line is preceded by a line break of its own, so that one that
// breaks off spoils no other.
func (o *outcomes) add(t tree, day Day, outcome Outcome) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[key{t.id, day}] = outcome
	line, err := json.Marshal(played{Tree: t.id, Day: day, Outcome: outcome})
	if err != nil {
		return oops.Wrapf(err, "an outcome must encode")
	}
	_, err = o.file.Write(append(append([]byte{'\n'}, line...), '\n'))
	return oops.Wrapf(err, "keeping an outcome")
}

// pairs pairs the days that both trees have played.
func (o *outcomes) pairs(days []Day, before, after tree) []Pair {
	var pairs []Pair
	for _, day := range days {
		without, ok := o.find(before, day)
		with, both := o.find(after, day)
		if ok && both {
			pairs = append(pairs, Pair{Day: day, Before: without, After: with})
		}
	}
	return pairs
}
