package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/platform/platformtest"
)

// requestTimeout allows for long polling by trainers.
const requestTimeout = 30 * time.Second

// requestCommand sends one request to a node, for use in scripts.
func requestCommand() *cli.Command {
	return &cli.Command{
		Name:  "request",
		Usage: "send one request to a node and print the response body; fails unless the status is below 300",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "the node's address, as `HOST:PORT`", Required: true},
			&cli.StringFlag{Name: "method", Usage: "the request method", Value: "GET"},
			&cli.StringFlag{Name: "path", Usage: "the request path and query", Required: true},
			&cli.StringFlag{Name: "body", Usage: "the request body"},
			&cli.StringFlag{Name: "id", Usage: "the request ID; omitted by default"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			response := platformtest.Client{}.Send(ctx, platformtest.Call{
				Address: c.String("address"), Method: c.String("method"), Path: c.String("path"), ID: c.String("id"),
				Body: []byte(c.String("body")), Deadline: requestTimeout,
			})
			if response.Err != nil {
				return command.Fail(command.ExitFailed, response.Err)
			}
			fmt.Fprint(c.Root().Writer, string(response.Body))
			if response.Status >= 300 {
				return command.Fail(command.ExitFailed, fmt.Errorf("request failed with status %d", response.Status))
			}
			return nil
		},
	}
}
