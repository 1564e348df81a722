package compare

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"

	"github.com/samber/oops"
)

// outcomesFile is the file in the scratch directory that stores one outcome per line as JSON.
const outcomesFile = "outcomes.jsonl"

// outcomeRecord is one line of the outcomes file.
type outcomeRecord struct {
	Tree string
	Scenario
	Outcome Outcome
}

// outcomeKey identifies a benchmark run.
type outcomeKey struct {
	tree     string
	scenario Scenario
}

// outcomeStore persists outcomes so that later invocations of the command can reuse them.
type outcomeStore struct {
	mu    sync.Mutex
	byKey map[outcomeKey]Outcome
	file  *os.File
}

// openOutcomeStore reads the outcomes in a scratch directory. It skips lines that are not valid JSON,
// such as a line truncated by an interrupted run.
func openOutcomeStore(scratch string) (*outcomeStore, error) {
	file, err := os.OpenFile(filepath.Join(scratch, outcomesFile), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return nil, oops.Wrapf(err, "opening the outcomes file")
	}
	o := &outcomeStore{byKey: map[outcomeKey]Outcome{}, file: file}
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		record := outcomeRecord{}
		if json.Unmarshal(lines.Bytes(), &record) == nil {
			o.byKey[outcomeKey{record.Tree, record.Scenario}] = record.Outcome
		}
	}
	return o, oops.Wrapf(lines.Err(), "reading the outcomes file")
}

func (o *outcomeStore) close() { _ = o.file.Close() }

func (o *outcomeStore) find(t tree, scenario Scenario) (Outcome, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	outcome, ok := o.byKey[outcomeKey{t.id, scenario}]
	return outcome, ok
}

// add stores an outcome. It writes a line break before each line as well, so that a truncated line
// does not corrupt the next one.
func (o *outcomeStore) add(t tree, scenario Scenario, outcome Outcome) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byKey[outcomeKey{t.id, scenario}] = outcome
	line, err := json.Marshal(outcomeRecord{Tree: t.id, Scenario: scenario, Outcome: outcome})
	if err != nil {
		return oops.Wrapf(err, "encoding an outcome")
	}
	_, err = o.file.Write(append(append([]byte{'\n'}, line...), '\n'))
	return oops.Wrapf(err, "writing an outcome")
}

// pairs returns the scenarios for which both trees have an outcome.
func (o *outcomeStore) pairs(scenarios []Scenario, before, after tree) []Pair {
	var pairs []Pair
	for _, scenario := range scenarios {
		without, ok := o.find(before, scenario)
		with, both := o.find(after, scenario)
		if ok && both {
			pairs = append(pairs, Pair{Scenario: scenario, Before: without, After: with})
		}
	}
	return pairs
}
