// Package operator is the command line of operators: it runs one statement, a
// file of them, or an interactive prompt.
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
		Usage: "drive a doorstep rollout service",
		Description: "Statements run against the deployment's record store.\n" +
			"Exit codes: 0 done, 1 the store did not answer, 2 bad arguments or statement,\n" +
			"3 refused, 5 undecided (ask again with the token).",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Usage: "the record store, as `HOST:PORT`", Sources: cli.EnvVars("DOORSTEP_STORE")},
			&cli.StringFlag{Name: "operator", Usage: "who asks, for the history", Value: "operator", Sources: cli.EnvVars("DOORSTEP_OPERATOR", "USER")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "table or json", Value: "table"},
			&cli.IntFlag{Name: "wait", Usage: "seconds to wait for an answer", Value: 10},
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
			&cli.StringFlag{Name: "token", Usage: "the command's token; repeat it to ask again"},
			&cli.Uint64Flag{Name: "if-revision", Usage: "refuse the command unless the configuration is at this revision"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			text, err := readStatements(c)
			if err != nil {
				return err
			}
			// The whole text is checked before any of it runs.
			statements, err := statement.Parse(text)
			if err != nil {
				return command.Fail(command.ExitUsage, err)
			}
			if len(statements) > 1 && c.String("token") != "" {
				return command.Fail(command.ExitUsage, errors.New("--token goes with one statement"))
			}
			client, err := platform.newClient(c)
			if err != nil {
				return err
			}
			for _, one := range statements {
				if err := runOne(ctx, c, client, one); err != nil {
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
	return "", command.Fail(command.ExitUsage, errors.New("give one argument of statements, or --file"))
}

func runOne(ctx context.Context, c *cli.Command, client *client, one statement.Statement) error {
	reply, err := client.run(ctx, one, c.String("token"), c.Uint64("if-revision"))
	if err != nil {
		return err
	}
	if err := show(c.Root().Writer, c.String("output"), reply); err != nil {
		return err
	}
	return exitOf(reply)
}

// exitOf turns a reply's status into an exit code.
func exitOf(reply port.OperatorReply) error {
	switch reply.Status {
	case port.Refused:
		return command.Fail(command.ExitRefused, nil)
	case port.Undecided:
		return command.Fail(command.ExitUndecided, nil)
	}
	return nil
}

func show(w io.Writer, format string, reply port.OperatorReply) error {
	if format == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reply)
	}
	if format != "table" {
		return command.Fail(command.ExitUsage, fmt.Errorf("--output is %q; allowed is table or json", format))
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
			Usage:     "store a prompt set, one prompt a line",
			ArgsUsage: "NAME FILE",
			Action: func(ctx context.Context, c *cli.Command) error {
				if c.NArg() != 2 {
					return command.Fail(command.ExitUsage, errors.New("prompts put takes NAME and FILE"))
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
		return command.Fail(command.ExitUsage, errors.New("the file holds no prompt"))
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
		Usage: "print the language's grammar in EBNF",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, statement.Grammar())
			return err
		},
	}
}
