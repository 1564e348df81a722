package port

import (
	"time"

	doorstepv1 "github.com/doorstep/doorstep/api/doorstep/v1"
)

// OperatorCall is a parsed statement of an operator.
type OperatorCall struct {
	// Operator is the caller's name.
	Operator string
	// Token makes retries of a command idempotent.
	Token string
	// IfRevision, if not 0, rejects a command unless it matches the current revision.
	IfRevision uint64
	// Text is the statement as written, kept in the history.
	Text string
	// Query is set for queries, Command for commands.
	Query   *Query
	Command *Command
	// Explain requests the effects of a command without executing it.
	Explain bool
}

// Query selects rows of a subject.
type Query struct {
	// Subject is the kind of rows, such as "replicas".
	Subject string
	// Where lists conditions, all of which must be met.
	Where []Comparison
	// CountBy, if set, counts the rows by that column.
	CountBy string
	// OrderBy, if set, sorts the rows by that column; Descending reverses the order.
	OrderBy    string
	Descending bool
	// Limit bounds the number of rows; 0 means no limit.
	Limit int
}

// Comparison compares a column with a constant.
type Comparison struct {
	// Operator is one of = != < > <= >=.
	Column   string
	Operator string
	Value    string
}

// CommandKind is the name of a command.
type CommandKind string

// The commands of the operator language.
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
	Kind CommandKind
	// Experiment is the experiment to change, OtherExperiment a second one.
	Experiment      string
	OtherExperiment string
	// Settings are the experiment's fields set in the statement.
	Settings []Setting
	// From and To are the old and new policy of a swap.
	From string
	To   string
	// Share and OtherShare are the traffic shares of two experiments that run side by side.
	Share      uint32
	OtherShare uint32
	// Drain is the target of a drain or undrain.
	Drain *doorstepv1.Drain
	// Request is the fingerprint of the request to release from quarantine.
	Request string
	// Clock is the record store's monotonic clock when the command was executed.
	Clock time.Duration
	// Token is the token that a status command asks about.
	Token string
}

// Setting is a field of an experiment, as written in a statement.
type Setting struct {
	Name   string
	Values []string
}

// CommandStatus is the outcome of a statement.
type CommandStatus string

const (
	// Accepted means that the change is stored; nodes apply it within seconds.
	Accepted CommandStatus = "accepted"
	// Refused means that nothing changed.
	Refused CommandStatus = "refused"
	// Undecided means that the store has not responded; ask again with the token.
	Undecided CommandStatus = "undecided"
	// Answered is the outcome of a query.
	Answered CommandStatus = "answered"
)

// OperatorReply is the response to a statement.
type OperatorReply struct {
	Status CommandStatus `json:"status"`
	// Reason explains the status to the operator.
	Reason string `json:"reason,omitempty"`
	Token  string `json:"token,omitempty"`
	// Revision is the revision of the change or, if the command was refused, the current one.
	Revision uint64 `json:"revision,omitempty"`
	// Columns and Rows are the result of a query.
	Columns []string   `json:"columns,omitempty"`
	Rows    [][]string `json:"rows,omitempty"`
	// AgeMilliseconds is how long it took to collect the rows, which bounds their age.
	AgeMilliseconds int64 `json:"age_milliseconds,omitempty"`
}
