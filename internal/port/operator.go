package port

import (
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// OperatorCall is one statement of an operator, already parsed.
type OperatorCall struct {
	// Operator is who asks.
	Operator string
	// Token makes a repeat of a command have one effect.
	Token string
	// IfRevision, when not 0, refuses a command unless it is the present revision.
	IfRevision uint64
	// Text is the statement as written, for the history.
	Text string
	// Query is set for queries, Command for commands.
	Query   *Query
	Command *Command
	// Explain asks what the command would change without changing it.
	Explain bool
}

// Query asks for rows of a subject.
type Query struct {
	// Subject is what to list, such as "replicas".
	Subject string
	// Where holds conditions that all must hold.
	Where []Comparison
	// CountBy, when set, counts rows by that column.
	CountBy string
	// OrderBy, when set, sorts by that column; Descending reverses it.
	OrderBy    string
	Descending bool
	// Limit bounds the rows; 0 for no bound.
	Limit int
}

// Comparison compares a column with a value.
type Comparison struct {
	// Column names the column, Operator is one of = != < > <= >=, Value the constant.
	Column   string
	Operator string
	Value    string
}

// CommandKind names a command.
type CommandKind string

// The commands of the operators' language.
const (
	CreateExperiment CommandKind = "create experiment"
	AlterExperiment  CommandKind = "alter experiment"
	DeleteExperiment CommandKind = "delete experiment"
	SwapPolicy       CommandKind = "swap policy"
	RunBeside        CommandKind = "run beside"
	PauseExperiment  CommandKind = "pause experiment"
	ResumeExperiment CommandKind = "resume experiment"
	StopExperiment   CommandKind = "stop experiment"
	DrainTarget      CommandKind = "drain"
	UndrainTarget    CommandKind = "undrain"
	LiftQuarantine   CommandKind = "lift quarantine"
	ShowStatus       CommandKind = "status"
)

// Command changes the configuration.
type Command struct {
	// Kind names the command.
	Kind CommandKind
	// Experiment is the experiment named, Other a second one.
	Experiment string
	Other      string
	// Settings are the experiment's fields named in the statement, by their name.
	Settings []Setting
	// From and To are the policies of a swap.
	From string
	To   string
	// Share and OtherShare are the parts of two experiments that run side by side.
	Share      uint32
	OtherShare uint32
	// Drain is what a drain or undrain names.
	Drain *doorstepv1.Drain
	// Request is the fingerprint of the request whose quarantine is lifted.
	Request string
	// Clock is the record store's steady clock at which the command was carried out.
	Clock time.Duration
	// Token is the token asked about by status.
	Token string
}

// Setting is one field of an experiment as written in a statement.
type Setting struct {
	// Name is the field's name in the language, Values its value or values.
	Name   string
	Values []string
}

// CommandStatus is what became of a command.
type CommandStatus string

const (
	// Accepted means that the store holds the change: nodes act on it within seconds.
	Accepted CommandStatus = "accepted"
	// Refused means that nothing was changed.
	Refused CommandStatus = "refused"
	// Undecided means that the store has not answered: ask again with the token.
	Undecided CommandStatus = "undecided"
	// Answered is the status of a query.
	Answered CommandStatus = "answered"
)

// OperatorReply answers a statement.
type OperatorReply struct {
	// Status is what became of the statement.
	Status CommandStatus `json:"status"`
	// Reason says why, for a person.
	Reason string `json:"reason,omitempty"`
	// Token repeats the command's token.
	Token string `json:"token,omitempty"`
	// Revision is the revision recorded, or the present one after a refusal.
	Revision uint64 `json:"revision,omitempty"`
	// Columns and Rows are a query's answer.
	Columns []string   `json:"columns,omitempty"`
	Rows    [][]string `json:"rows,omitempty"`
	// AgeMilliseconds is how long gathering the rows took: none is older.
	AgeMilliseconds int64 `json:"age_milliseconds,omitempty"`
}
