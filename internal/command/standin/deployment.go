package standin

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/platform/platformtest"
)

// deploymentCommand serves a platform with its store and replicas.
func deploymentCommand() *cli.Command {
	return &cli.Command{
		Name:  "deployment",
		Usage: "a platform on loopback: its record store, replicas, a configuration, and the calls that one node at a time makes",
		Flags: []cli.Flag{listenFlag(), &cli.IntFlag{Name: "replicas", Usage: "replicas of each service", Value: 3}},
		Action: func(ctx context.Context, c *cli.Command) error {
			store := platformtest.NewStore()
			for i := range c.Int("replicas") {
				for _, kind := range []struct{ name, service, model string }{
					{"plain", platformtest.PlainService, ""}, {"model", platformtest.ModelService, platformtest.Model},
					{"scorer", platformtest.ScoringService, ""},
				} {
					one, err := platformtest.StartReplica(store, fmt.Sprintf("%s-%d", kind.name, i), kind.service, kind.model)
					if err != nil {
						return command.Fail(command.ExitFailed, err)
					}
					defer one.Stop()
				}
			}
			store.Configure(5, 2000)
			duties := &platformtest.Duties{Logf: func(format string, values ...any) { fmt.Fprintf(c.Root().Writer, format+"\n", values...) }}
			mux := http.NewServeMux()
			mux.Handle("/", store)
			mux.Handle("/usage", duties)
			mux.Handle("/scaling", duties)
			return serve(ctx, c.String("listen"), mux)
		},
	}
}

// sessionCommand does what clients, a trainer and the operator of a deployment do.
func sessionCommand() *cli.Command {
	return &cli.Command{
		Name:  "session",
		Usage: "use a deployment: requests, a batch job, versions, a configuration; checks what comes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Usage: "the record store, as `HOST:PORT`", Required: true},
			&cli.StringSliceFlag{Name: "node", Usage: "a node that takes requests, as `HOST:PORT`; one for each node", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			startedAt := time.Now()
			session := &platformtest.Session{Store: c.String("store"), Nodes: c.StringSlice("node"), Logf: func(format string, values ...any) {
				fmt.Fprintf(c.Root().Writer, "%6.2f s  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, values...))
			}}
			if err := session.Run(ctx); err != nil {
				return command.Fail(command.ExitFailed, err)
			}
			return nil
		},
	}
}
