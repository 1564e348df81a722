package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/chzyer/readline"
	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/request/query"
	"github.com/doorstep/doorstep/internal/request/statement"
)

const shellHelp = `Statements:
  show SUBJECT [where COLUMN = VALUE [and ...]] [count by COLUMN] [order by COLUMN [desc]] [limit N]
  count SUBJECT [where ...] by COLUMN
  create experiment NAME with policy P service S prompts SET trainers T[, T] [samples N] [staleness N] ...
  alter experiment NAME set SETTING VALUE ...        delete experiment NAME
  swap policy A for B in NAME                        run NAME beside NAME shares N to N
  pause|resume|stop experiment NAME                  drain|undrain replica|node|zone NAME
  status of TOKEN                                    explain COMMAND
Also: help, exit.
`

func shellCommand(platform Platform) *cli.Command {
	return &cli.Command{
		Name:  "shell",
		Usage: "run statements at an interactive prompt",
		Action: func(ctx context.Context, c *cli.Command) error {
			editor, err := readline.NewEx(&readline.Config{Prompt: "doorstep> ", AutoComplete: completer(), InterruptPrompt: "^C", EOFPrompt: "exit"})
			if err != nil {
				return command.Fail(command.ExitFailed, err)
			}
			defer editor.Close()
			client, err := platform.newClient(c)
			if err != nil {
				return err
			}
			return shellLoop(ctx, c, client, editor)
		},
	}
}

func shellLoop(ctx context.Context, c *cli.Command, client *client, editor *readline.Instance) error {
	for {
		line, err := editor.Readline()
		if errors.Is(err, io.EOF) || errors.Is(err, readline.ErrInterrupt) {
			return nil
		}
		if err != nil {
			return command.Fail(command.ExitFailed, err)
		}
		line = strings.TrimSuffix(strings.TrimSpace(line), ";")
		switch line {
		case "":
		case "exit", "quit":
			return nil
		case "help":
			_, _ = fmt.Fprint(c.Root().Writer, shellHelp)
		default:
			if err := runLine(ctx, c, client, line); err != nil && err.Error() != "" {
				_, _ = fmt.Fprintln(os.Stderr, err)
			}
		}
	}
}

func runLine(ctx context.Context, c *cli.Command, client *client, line string) error {
	statements, err := statement.Parse(line)
	if err != nil {
		return err
	}
	for _, stmt := range statements {
		if err := runStatement(ctx, c, client, stmt); err != nil {
			return err
		}
	}
	return nil
}

func completer() *readline.PrefixCompleter {
	var subjects []readline.PrefixCompleterInterface
	for _, subject := range query.Subjects() {
		var columns []readline.PrefixCompleterInterface
		for _, column := range query.Columns[subject] {
			columns = append(columns, readline.PcItem(column))
		}
		subjects = append(subjects, readline.PcItem(subject,
			readline.PcItem("where", columns...), readline.PcItem("order", readline.PcItem("by", columns...)),
			readline.PcItem("count", readline.PcItem("by", columns...)), readline.PcItem("limit")))
	}
	experiment := readline.PcItem("experiment")
	kinds := []readline.PrefixCompleterInterface{readline.PcItem("replica"), readline.PcItem("node"), readline.PcItem("zone")}
	return readline.NewPrefixCompleter(
		readline.PcItem("show", subjects...), readline.PcItem("count", subjects...),
		readline.PcItem("create", experiment), readline.PcItem("alter", experiment), readline.PcItem("delete", experiment),
		readline.PcItem("swap", readline.PcItem("policy")), readline.PcItem("run"),
		readline.PcItem("pause", experiment), readline.PcItem("resume", experiment), readline.PcItem("stop", experiment),
		readline.PcItem("drain", kinds...), readline.PcItem("undrain", kinds...),
		readline.PcItem("status", readline.PcItem("of")),
		readline.PcItem("explain"), readline.PcItem("help"), readline.PcItem("exit"),
	)
}
