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

// deploymentCommand runs a stand-in platform with its record store and replicas.
func deploymentCommand() *cli.Command {
	return &cli.Command{
		Name:  "deployment",
		Usage: "run a stand-in platform on loopback: record store, replicas, configuration, usage and scaling services",
		Flags: []cli.Flag{listenFlag(), &cli.IntFlag{Name: "replicas", Usage: "number of replicas per service", Value: 3}},
		Action: func(ctx context.Context, c *cli.Command) error {
			store := platformtest.NewStore()
			for i := range c.Int("replicas") {
				for _, kind := range []struct{ name, service, model string }{
					{"plain", platformtest.PlainService, ""}, {"model", platformtest.ModelService, platformtest.Model},
					{"scorer", platformtest.ScoringService, ""},
				} {
					replica, err := platformtest.StartReplica(store, fmt.Sprintf("%s-%d", kind.name, i), kind.service, kind.model)
					if err != nil {
						return command.Fail(command.ExitFailed, err)
					}
					defer replica.Stop()
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

// sessionCommand acts as the clients, a trainer and the operator of a deployment.
func sessionCommand() *cli.Command {
	return &cli.Command{
		Name:  "session",
		Usage: "send requests, a batch job, versions and a configuration to a deployment and check the results",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "store", Usage: "the record store, as `HOST:PORT`", Required: true},
			&cli.StringSliceFlag{Name: "node", Usage: "a node's request address, as `HOST:PORT`; repeatable", Required: true},
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
