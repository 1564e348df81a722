// Package statement parses the operator language, which docs/OPERATORS.md describes. Errors give the
// line, the column and the expected input.
package statement

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
	"github.com/doorstep/doorstep/internal/port"
)

// MaxLength is the maximum length of the text in bytes.
const MaxLength = 16 << 10

// Statement is a parsed query or command.
type Statement struct {
	Query   *port.Query
	Command *port.Command
	// Explain requests a preview of the command's changes.
	Explain bool
	// Text is the source text of the statement.
	Text string
}

// Error is a syntax error.
type Error struct {
	// Line and Column give the position in the text, starting from 1.
	Line, Column int
	// Message describes the error and the expected input.
	Message string
}

func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Message)
}

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "String", Pattern: `"[^"\n]*"`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?\b`},
	{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_./:-]*`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>`},
	{Name: "Mark", Pattern: `[,;]`},
	{Name: "Space", Pattern: `\s+`},
})

type script struct {
	Statements []*sentence `parser:"';'* (@@ (';'+ | EOF))*"`
}

type sentence struct {
	Pos     lexer.Position
	EndPos  lexer.Position
	Explain bool    `parser:"@'explain'?"`
	Show    *show   `parser:"( 'show' @@"`
	Count   *count  `parser:"| 'count' @@"`
	Create  *create `parser:"| 'create' 'experiment' @@"`
	Alter   *alter  `parser:"| 'alter' 'experiment' @@"`
	Delete  *string `parser:"| 'delete' 'experiment' @(Word|String)"`
	Swap    *swap   `parser:"| 'swap' 'policy' @@"`
	Beside  *beside `parser:"| 'run' @@"`
	Pause   *string `parser:"| 'pause' 'experiment' @(Word|String)"`
	Resume  *string `parser:"| 'resume' 'experiment' @(Word|String)"`
	Stop    *string `parser:"| 'stop' 'experiment' @(Word|String)"`
	Drain   *target `parser:"| 'drain' @@"`
	Undrain *target `parser:"| 'undrain' @@"`
	Lift    *string `parser:"| 'lift' 'quarantine' @(Word|String|Number)"`
	Status  *string `parser:"| 'status' 'of' @(Word|String|Number) )"`
}

type show struct {
	Subject string       `parser:"@Word"`
	Where   []*condition `parser:"('where' @@ ('and' @@)*)?"`
	CountBy string       `parser:"('count' 'by' @Word)?"`
	OrderBy string       `parser:"('order' 'by' @Word"`
	Order   string       `parser:"@('asc'|'desc')?)?"`
	Limit   int          `parser:"('limit' @Number)?"`
}

type count struct {
	Subject string       `parser:"@Word"`
	Where   []*condition `parser:"('where' @@ ('and' @@)*)?"`
	By      string       `parser:"'by' @Word"`
}

type condition struct {
	Column   string `parser:"@Word"`
	Operator string `parser:"@Operator"`
	Value    string `parser:"@(Word|String|Number)"`
}

type create struct {
	Name     string     `parser:"@(Word|String) 'with'?"`
	Settings []*setting `parser:"@@+"`
}

type alter struct {
	Name     string     `parser:"@(Word|String) 'set'"`
	Settings []*setting `parser:"@@+"`
}

type setting struct {
	Name   string   `parser:"@('policy'|'service'|'scoring'|'prompts'|'trainers'|'samples'|'staleness'|'idle_weight'|'max_tokens'|'share'|'min_version'|'max_version')"`
	Values []string `parser:"@(Word|String|Number) (',' @(Word|String|Number))*"`
}

type swap struct {
	From       string `parser:"@(Word|String) 'for'"`
	To         string `parser:"@(Word|String) 'in'"`
	Experiment string `parser:"@(Word|String)"`
}

type beside struct {
	First       string `parser:"@(Word|String) 'beside'"`
	Second      string `parser:"@(Word|String) 'shares'"`
	FirstShare  uint32 `parser:"@Number 'to'"`
	SecondShare uint32 `parser:"@Number"`
}

type target struct {
	Kind string `parser:"@('replica'|'node'|'zone')"`
	Name string `parser:"@(Word|String)"`
}

var parser = participle.MustBuild[script](
	participle.Lexer(tokens),
	participle.Elide("Space", "Comment"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// expectations replaces the parser's rule names by descriptions of the expected input.
var expectations = strings.NewReplacer(
	"expected Target", "expected replica, node or zone",
	"expected Setting", "expected a setting such as policy, service, prompts, trainers or samples",
	"expected Condition", "expected COLUMN, one of = != < > <= >=, and a value",
	"expected Beside", "expected NAME beside NAME shares N to N",
	"expected Swap", "expected POLICY for POLICY in EXPERIMENT",
	"expected Show", "expected a subject such as replicas",
	"expected Count", "expected a subject such as rollouts, and by COLUMN",
	"expected Create", "expected NAME with settings",
	"expected Alter", "expected NAME set settings",
)

// Grammar returns the grammar in EBNF.
func Grammar() string { return parser.String() }

// Parse parses statements separated by semicolons.
func Parse(text string) ([]Statement, error) {
	if len(text) > MaxLength {
		return nil, &Error{Line: 1, Column: 1, Message: fmt.Sprintf("text of %d bytes exceeds the maximum of %d bytes", len(text), MaxLength)}
	}
	if !utf8.ValidString(text) {
		return nil, &Error{Line: 1, Column: 1, Message: "the text is not UTF-8"}
	}
	parsed, err := parser.ParseString("", text)
	if err != nil {
		var positioned participle.Error
		if errors.As(err, &positioned) {
			return nil, &Error{Line: positioned.Position().Line, Column: positioned.Position().Column, Message: expectations.Replace(positioned.Message())}
		}
		return nil, &Error{Line: 1, Column: 1, Message: err.Error()}
	}
	var statements []Statement
	for _, one := range parsed.Statements {
		statement, err := one.statement()
		if err != nil {
			return nil, err
		}
		statement.Text = strings.TrimSpace(text[one.Pos.Offset:one.EndPos.Offset])
		statements = append(statements, statement)
	}
	return statements, nil
}

// ParseOne parses exactly one statement.
func ParseOne(text string) (Statement, error) {
	statements, err := Parse(text)
	if err != nil {
		return Statement{}, err
	}
	if len(statements) != 1 {
		return Statement{}, &Error{Line: 1, Column: 1, Message: "expected one statement, found " + strconv.Itoa(len(statements))}
	}
	return statements[0], nil
}

func (s *sentence) statement() (Statement, error) {
	query := s.query()
	if query != nil && s.Explain {
		return Statement{}, &Error{Line: 1, Column: 1, Message: "explain requires a command, not a query"}
	}
	if query != nil {
		return Statement{Query: query}, nil
	}
	command := s.command()
	if command.Kind == port.ShowStatus && s.Explain {
		return Statement{}, &Error{Line: 1, Column: 1, Message: "explain requires a command that changes the configuration"}
	}
	return Statement{Command: command, Explain: s.Explain}, nil
}

func (s *sentence) query() *port.Query {
	switch {
	case s.Show != nil:
		return &port.Query{
			Subject: s.Show.Subject, Where: comparisons(s.Show.Where), CountBy: s.Show.CountBy,
			OrderBy: s.Show.OrderBy, Descending: s.Show.Order == "desc", Limit: s.Show.Limit,
		}
	case s.Count != nil:
		return &port.Query{Subject: s.Count.Subject, Where: comparisons(s.Count.Where), CountBy: s.Count.By}
	}
	return nil
}

func comparisons(conditions []*condition) []port.Comparison {
	var out []port.Comparison
	for _, one := range conditions {
		out = append(out, port.Comparison{Column: one.Column, Operator: one.Operator, Value: one.Value})
	}
	return out
}

func settings(list []*setting) []port.Setting {
	var out []port.Setting
	for _, one := range list {
		out = append(out, port.Setting{Name: one.Name, Values: one.Values})
	}
	return out
}

func (s *sentence) command() *port.Command {
	switch {
	case s.Create != nil:
		return &port.Command{Kind: port.CreateExperiment, Experiment: s.Create.Name, Settings: settings(s.Create.Settings)}
	case s.Alter != nil:
		return &port.Command{Kind: port.AlterExperiment, Experiment: s.Alter.Name, Settings: settings(s.Alter.Settings)}
	case s.Delete != nil:
		return &port.Command{Kind: port.DeleteExperiment, Experiment: *s.Delete}
	case s.Swap != nil:
		return &port.Command{Kind: port.SwapPolicy, Experiment: s.Swap.Experiment, From: s.Swap.From, To: s.Swap.To}
	case s.Beside != nil:
		return &port.Command{Kind: port.RunBeside, Experiment: s.Beside.First, OtherExperiment: s.Beside.Second,
			Share: s.Beside.FirstShare, OtherShare: s.Beside.SecondShare}
	case s.Pause != nil:
		return &port.Command{Kind: port.PauseExperiment, Experiment: *s.Pause}
	case s.Resume != nil:
		return &port.Command{Kind: port.ResumeExperiment, Experiment: *s.Resume}
	case s.Stop != nil:
		return &port.Command{Kind: port.StopExperiment, Experiment: *s.Stop}
	case s.Drain != nil:
		return &port.Command{Kind: port.DrainTarget, Drain: s.Drain.drain()}
	case s.Undrain != nil:
		return &port.Command{Kind: port.UndrainTarget, Drain: s.Undrain.drain()}
	case s.Lift != nil:
		return &port.Command{Kind: port.LiftQuarantine, Request: *s.Lift}
	}
	return &port.Command{Kind: port.ShowStatus, Token: *s.Status}
}

func (t *target) drain() *doorstepv1.Drain {
	kinds := map[string]doorstepv1.DrainKind{
		"replica": doorstepv1.DrainKind_DRAIN_KIND_REPLICA,
		"node":    doorstepv1.DrainKind_DRAIN_KIND_NODE,
		"zone":    doorstepv1.DrainKind_DRAIN_KIND_ZONE,
	}
	return &doorstepv1.Drain{Kind: kinds[t.Kind], Name: t.Name}
}
