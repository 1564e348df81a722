// Package operator implements doorstep, the operators' command line. It runs statements from the arguments, a
// file or an interactive prompt, and analyzes saved logs.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/request/statement"
	"github.com/doorstep/doorstep/internal/version/experiment"
)

// Main runs doorstep and returns its exit code.
func Main(arguments []string, platform Platform) int {
	return command.Run(context.Background(), root(platform), arguments, os.Stderr)
}

func root(platform Platform) *cli.Command {
	return &cli.Command{
		Name:  "doorstep",
		Usage: "operate a doorstep rollout service",
		Description: "Statements run against the deployment's record store.\n" +
			"Exit codes: 0 success, 1 the store did not respond, 2 invalid arguments or statement,\n" +
			"3 refused, 5 outcome unknown (repeat the command with the same token).",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Usage: "the record store, as `HOST:PORT`", Sources: cli.EnvVars("DOORSTEP_STORE")},
			&cli.StringFlag{Name: "operator", Usage: "the operator's name, recorded in the history", Value: "operator", Sources: cli.EnvVars("DOORSTEP_OPERATOR", "USER")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "table or json", Value: "table"},
			&cli.IntFlag{Name: "wait", Usage: "seconds to wait for a response", Value: 10},
		},
		Commands: []*cli.Command{
			execCommand(platform), shellCommand(platform), promptsCommand(platform), grammarCommand(), explainCommand(), stepsCommand(),
		},
		EnableShellCompletion: true,
	}
}

func execCommand(platform Platform) *cli.Command {
	return &cli.Command{
		Name:      "exec",
		Usage:     "run statements",
		ArgsUsage: "['STATEMENT; ...']",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "read the statements from a `FILE`, - for standard input"},
			&cli.StringFlag{Name: "token", Usage: "idempotency token; use the same token to retry a command"},
			&cli.Uint64Flag{Name: "if-revision", Usage: "refuse the command if the configuration has another revision"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			text, err := readStatements(c)
			if err != nil {
				return err
			}
			// All statements are parsed before the first one runs.
			statements, err := statement.Parse(text)
			if err != nil {
				return command.Fail(command.ExitUsage, err)
			}
			if len(statements) > 1 && c.String("token") != "" {
				return command.Fail(command.ExitUsage, errors.New("--token requires a single statement"))
			}
			client, err := platform.newClient(c)
			if err != nil {
				return err
			}
			for _, stmt := range statements {
				if err := runStatement(ctx, c, client, stmt); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func readStatements(c *cli.Command) (string, error) {
	file := c.String("file")
	switch {
	case file == "" && c.NArg() == 1:
		return c.Args().First(), nil
	case file == "-" && c.NArg() == 0:
		content, err := io.ReadAll(os.Stdin)
		return string(content), err
	case file != "" && c.NArg() == 0:
		content, err := os.ReadFile(file)
		if err != nil {
			return "", command.Fail(command.ExitUsage, err)
		}
		return string(content), nil
	}
	return "", command.Fail(command.ExitUsage, errors.New("expected statements as a single argument, or --file"))
}

func runStatement(ctx context.Context, c *cli.Command, client *client, stmt statement.Statement) error {
	reply, err := client.run(ctx, stmt, c.String("token"), c.Uint64("if-revision"))
	if err != nil {
		return err
	}
	if err := writeReply(c.Root().Writer, c.String("output"), reply); err != nil {
		return err
	}
	return exitError(reply)
}

// exitError returns the error for the exit code of a reply, nil for success.
func exitError(reply port.OperatorReply) error {
	switch reply.Status {
	case port.Refused:
		return command.Fail(command.ExitRefused, nil)
	case port.Undecided:
		return command.Fail(command.ExitUndecided, nil)
	}
	return nil
}

func writeReply(w io.Writer, format string, reply port.OperatorReply) error {
	if format == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reply)
	}
	if format != "table" {
		return command.Fail(command.ExitUsage, fmt.Errorf("invalid --output %q: must be table or json", format))
	}
	if reply.Status != port.Answered {
		_, _ = fmt.Fprintln(w, summary(reply))
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, strings.ToUpper(strings.Join(reply.Columns, "\t")))
	for _, row := range reply.Rows {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if reply.Reason != "" {
		_, _ = fmt.Fprintln(w, reply.Reason)
	}
	age := time.Duration(reply.AgeMilliseconds) * time.Millisecond
	_, _ = fmt.Fprintf(w, "(%d rows, revision %d, gathered within %s)\n", len(reply.Rows), reply.Revision, age)
	return nil
}

func summary(reply port.OperatorReply) string {
	text := string(reply.Status)
	if reply.Revision > 0 {
		text += fmt.Sprintf(", revision %d", reply.Revision)
	}
	if reply.Reason != "" {
		text += ": " + reply.Reason
	}
	if reply.Token != "" {
		text += " (token " + reply.Token + ")"
	}
	return text
}

func promptsCommand(platform Platform) *cli.Command {
	return &cli.Command{
		Name:  "prompts",
		Usage: "manage prompt sets",
		Commands: []*cli.Command{{
			Name:      "put",
			Usage:     "store a prompt set from a file with one prompt per line",
			ArgsUsage: "NAME FILE",
			Action: func(ctx context.Context, c *cli.Command) error {
				if c.NArg() != 2 {
					return command.Fail(command.ExitUsage, errors.New("prompts put requires NAME and FILE"))
				}
				content, err := os.ReadFile(c.Args().Get(1))
				if err != nil {
					return command.Fail(command.ExitUsage, err)
				}
				client, err := platform.newClient(c)
				if err != nil {
					return err
				}
				ctx, cancel := context.WithTimeout(ctx, client.wait)
				defer cancel()
				return putPrompts(ctx, c, client, c.Args().Get(0), string(content))
			},
		}},
	}
}

func putPrompts(ctx context.Context, c *cli.Command, client *client, set, content string) error {
	var prompts []string
	for _, line := range strings.Split(content, "\n") {
		if line = strings.TrimSpace(line); line != "" {
			prompts = append(prompts, line)
		}
	}
	if len(prompts) == 0 {
		return command.Fail(command.ExitUsage, errors.New("the file contains no prompts"))
	}
	err := experiment.PutPrompts(ctx, client.store, set, prompts)
	switch {
	case errors.Is(err, experiment.ErrPromptsExist):
		return command.Fail(command.ExitRefused, err)
	case err != nil:
		return command.Fail(command.ExitFailed, err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%d prompts stored as %s\n", len(prompts), set)
	return err
}

func grammarCommand() *cli.Command {
	return &cli.Command{
		Name:  "grammar",
		Usage: "print the grammar of statements in EBNF",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, statement.Grammar())
			return err
		},
	}
}
