// Package command holds what the command lines share: exit codes and how a
// command ends.
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
	// ExitDone means success.
	ExitDone = 0
	// ExitFailed means that something went wrong outside the program.
	ExitFailed = 1
	// ExitUsage means bad arguments, settings or statements.
	ExitUsage = 2
	// ExitRefused means that a command was refused and changed nothing.
	ExitRefused = 3
	// ExitUndecided means that the outcome is not known yet.
	ExitUndecided = 5
)

// Error ends a program with an exit code.
type Error struct {
	// Code is the exit code.
	Code int
	// Cause says what happened; it is printed when it is not empty.
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

// Fail returns an Error with a code and a cause.
func Fail(code int, cause error) error { return &Error{Code: code, Cause: cause} }

// Run runs a command line and returns its exit code. Errors that are no Error come
// from the arguments.
func Run(ctx context.Context, root *cli.Command, arguments []string, stderr io.Writer) int {
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := root.Run(ctx, arguments)
	if err == nil {
		return ExitDone
	}
	var ended *Error
	if !errors.As(err, &ended) {
		_, _ = fmt.Fprintf(stderr, "%s: %s\n", root.Name, err)
		return ExitUsage
	}
	if text := ended.Error(); text != "" {
		_, _ = fmt.Fprintf(stderr, "%s: %s\n", root.Name, text)
	}
	return ended.Code
}
