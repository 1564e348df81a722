// Package command provides the exit codes and error handling shared by all command-line programs.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Exit codes of all programs.
const (
	// ExitSuccess means success.
	ExitSuccess = 0
	// ExitFailed means that an operation failed for an external reason.
	ExitFailed = 1
	// ExitUsage means invalid arguments, settings or statements.
	ExitUsage = 2
	// ExitRefused means that a command was rejected without any effect.
	ExitRefused = 3
	// ExitUndecided means that the outcome of a command is unknown.
	ExitUndecided = 5
)

// Error is an error with the exit code that the program terminates with.
type Error struct {
	Code int
	// Cause is printed to standard error unless it is nil or its message is empty.
	Cause error
}

func (e *Error) Error() string {
	if e.Cause == nil {
		return ""
	}
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Fail returns an Error with the given exit code and cause.
func Fail(code int, cause error) error { return &Error{Code: code, Cause: cause} }

// Run runs a command line and returns its exit code. Errors of other types than Error come from
// argument parsing and result in ExitUsage.
func Run(ctx context.Context, root *cli.Command, arguments []string, stderr io.Writer) int {
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := root.Run(ctx, arguments)
	if err == nil {
		return ExitSuccess
	}
	var exit *Error
	if !errors.As(err, &exit) {
		_, _ = fmt.Fprintf(stderr, "%s: %s\n", root.Name, err)
		return ExitUsage
	}
	if text := exit.Error(); text != "" {
		_, _ = fmt.Fprintf(stderr, "%s: %s\n", root.Name, text)
	}
	return exit.Code
}
