// Package standin implements the command line of doorstep-standin: stand-ins for external systems, client
// sessions against nodes, and the soak test.
package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
)

// Main runs doorstep-standin and returns its exit code.
func Main(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return command.Run(ctx, root(), arguments, os.Stderr)
}

func root() *cli.Command {
	return &cli.Command{
		Name:     "doorstep-standin",
		Usage:    "stand-ins for external systems, and test clients",
		Commands: []*cli.Command{deploymentCommand(), sessionCommand(), requestCommand(), soakCommand()},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "host:port to listen on", Required: true}
}

// serve serves HTTP until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return command.Fail(command.ExitFailed, err)
	}
	return nil
}
