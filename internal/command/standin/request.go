package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/platform/platformtest"
)

// requestFor bounds a call; trainers' pulls may be held for a while.
const requestFor = 30 * time.Second

// requestCommand makes one call to a node, for scripts.
func requestCommand() *cli.Command {
	return &cli.Command{
		Name:  "request",
		Usage: "make one call to a node and print the answer's body; fails unless it is a success",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "the node, as `HOST:PORT`", Required: true},
			&cli.StringFlag{Name: "method", Usage: "the call's method", Value: "GET"},
			&cli.StringFlag{Name: "path", Usage: "the call's path and query", Required: true},
			&cli.StringFlag{Name: "body", Usage: "the call's body"},
			&cli.StringFlag{Name: "id", Usage: "the request's id; none is sent if it is not given"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			answer := platformtest.Client{}.Send(ctx, platformtest.Call{
				Address: c.String("address"), Method: c.String("method"), Path: c.String("path"), ID: c.String("id"),
				Body: []byte(c.String("body")), Deadline: requestFor,
			})
			if answer.Err != nil {
				return command.Fail(command.ExitFailed, answer.Err)
			}
			fmt.Fprint(c.Root().Writer, string(answer.Body))
			if answer.Status >= 300 {
				return command.Fail(command.ExitFailed, fmt.Errorf("status %d", answer.Status))
			}
			return nil
		},
	}
}
