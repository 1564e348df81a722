// Package standin is the command line of doorstep-standin: stand-ins for the
// systems outside doorstep, the callers' load, and the check of what happened.
package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/standin/model"
	"github.com/doorstep/doorstep/internal/standin/server"
	"github.com/doorstep/doorstep/internal/standin/topology"
)

// Main runs doorstep-standin and returns its exit code.
func Main(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return command.Run(ctx, root(), arguments, os.Stderr)
}

func root() *cli.Command {
	return &cli.Command{
		Name:  "doorstep-standin",
		Usage: "stand-ins for the systems outside doorstep",
		Commands: []*cli.Command{
			engineCommand(), tableCommand(), objectsCommand(), weightsCommand(), machinesCommand(), scorerCommand(),
			trainerCommand(), callersCommand(), verifyCommand(), topologyCommand(), hollowCommand(), deploymentCommand(), sessionCommand(), soakCommand(),
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Usage: "host:port to listen on", Required: true}
}

func topologyFlag() cli.Flag {
	return &cli.StringFlag{Name: "topology", Usage: "the topology `FILE`", Required: true}
}

func loadTopology(c *cli.Command) (*topology.Topology, error) {
	loaded, err := topology.Load(c.String("topology"))
	if err != nil {
		return nil, command.Fail(command.ExitUsage, err)
	}
	return loaded, nil
}

// serve answers HTTP until the context ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	one := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = one.Close() })
	if err := one.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return command.Fail(command.ExitFailed, err)
	}
	return nil
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "engine replicas of a topology",
		Flags: []cli.Flag{
			topologyFlag(),
			&cli.StringFlag{Name: "replica", Usage: "the replica's name; the first of several with --count", Required: true},
			&cli.IntFlag{Name: "count", Usage: "how many replicas, from the one named, in this process", Value: 1},
			&cli.StringFlag{Name: "weights", Usage: "URL of the weight store"},
			&cli.StringFlag{Name: "journal", Usage: "append what happens to a `FILE`"},
			&cli.DurationFlag{Name: "load-time", Usage: "how long loading a version takes", Value: 300 * time.Millisecond},
		},
		Action: runEngines,
	}
}

func runEngines(ctx context.Context, c *cli.Command) error {
	loaded, err := loadTopology(c)
	if err != nil {
		return err
	}
	machines := loaded.Machines()
	first := -1
	for i, machine := range machines {
		if machine.Name == c.String("replica") {
			first = i
		}
	}
	if first < 0 || c.Int("count") < 1 || first+c.Int("count") > len(machines) {
		return command.Fail(command.ExitUsage, fmt.Errorf("the topology has no %d replicas from %q", c.Int("count"), c.String("replica")))
	}
	var journal *os.File
	if path := c.String("journal"); path != "" {
		if journal, err = os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return command.Fail(command.ExitFailed, err)
		}
		defer journal.Close()
	}
	var group sync.WaitGroup
	failures := make(chan error, c.Int("count"))
	for _, machine := range machines[first : first+c.Int("count")] {
		service, _ := loaded.FindService(machine.Service)
		engine := newEngine(machine.Name, service, c.String("weights"), c.Duration("load-time"))
		one := server.NewEngine(engine, nil)
		if journal != nil {
			one = server.NewEngine(engine, journal)
		}
		group.Go(func() { one.Run(ctx.Done()) })
		group.Go(func() { failures <- serve(ctx, machine.Address, one) })
	}
	group.Wait()
	close(failures)
	for failure := range failures {
		err = errors.Join(err, failure)
	}
	return err
}

// plainAnswerLength is the length of answers of services that are no models.
const plainAnswerLength = 6

func newEngine(name string, service topology.Service, weights string, loadTime time.Duration) *model.Engine {
	options := model.EngineOptions{
		Name: name, Capacity: service.Capacity, TokenTime: service.TokenTime,
		ReportLag: 300 * time.Millisecond, LoadTime: loadTime, CachePrefixes: 64,
	}
	if weights != "" {
		client := &http.Client{Timeout: time.Second}
		options.Fetch = func(_ time.Time, policy string, version int64) bool {
			response, err := client.Get(fmt.Sprintf("%s/v1/weights/%s/%d", weights, policy, version))
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		}
	}
	if !service.Model {
		options.FixedLength = plainAnswerLength
	}
	engine := model.NewEngine(options)
	if !service.Model {
		engine.Preload(service.Name, 1)
	}
	return engine
}

func rateFlags(perSecond float64) []cli.Flag {
	return []cli.Flag{
		listenFlag(),
		&cli.FloatFlag{Name: "rate", Usage: "calls a second", Value: perSecond},
		&cli.IntFlag{Name: "burst", Usage: "calls at once", Value: 200},
	}
}

func tableCommand() *cli.Command {
	return &cli.Command{Name: "table", Usage: "the table service", Flags: rateFlags(400),
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), server.NewTable(model.NewTable(c.Float("rate"), c.Int("burst"))))
		}}
}

func objectsCommand() *cli.Command {
	return &cli.Command{Name: "objects", Usage: "the object store", Flags: rateFlags(200),
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), server.NewObjects(model.NewObjects(c.Float("rate"), c.Int("burst"))))
		}}
}

func weightsCommand() *cli.Command {
	return &cli.Command{Name: "weights", Usage: "the weight store", Flags: rateFlags(50),
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), server.NewWeights(model.NewWeights(c.Float("rate"), c.Int("burst"))))
		}}
}

func machinesCommand() *cli.Command {
	return &cli.Command{Name: "machines", Usage: "the machine list of a topology",
		Flags: []cli.Flag{listenFlag(), topologyFlag(), &cli.DurationFlag{Name: "lag", Usage: "how far the list lags", Value: 2 * time.Second}},
		Action: func(ctx context.Context, c *cli.Command) error {
			loaded, err := loadTopology(c)
			if err != nil {
				return err
			}
			return serve(ctx, c.String("listen"), server.NewMachines(c.Duration("lag"), loaded.Machines()))
		}}
}

func scorerCommand() *cli.Command {
	return &cli.Command{Name: "scorer", Usage: "a scorer", Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), server.NewScorer())
		}}
}

func topologyCommand() *cli.Command {
	return &cli.Command{
		Name: "topology", Usage: "print parts of a topology, for scripts",
		Flags: []cli.Flag{topologyFlag(), &cli.StringFlag{Name: "show", Usage: "replicas, create, experiment, policy, trainers, prompts or services", Required: true}},
		Action: func(_ context.Context, c *cli.Command) error {
			loaded, err := loadTopology(c)
			if err != nil {
				return err
			}
			var lines []string
			switch c.String("show") {
			case "replicas":
				for _, machine := range loaded.Machines() {
					lines = append(lines, machine.Name+" "+machine.Address)
				}
			case "create":
				lines = append(lines, loaded.Experiment.CreateStatement())
			case "experiment":
				lines = append(lines, loaded.Experiment.Name)
			case "policy":
				lines = append(lines, loaded.Experiment.Policy)
			case "trainers":
				lines = loaded.Experiment.Trainers
			case "prompts":
				lines = append(lines, loaded.Experiment.Prompts)
			case "services":
				for _, service := range loaded.Services {
					lines = append(lines, service.Name)
				}
			default:
				return command.Fail(command.ExitUsage, fmt.Errorf("--show is %q; allowed is replicas, create, experiment, policy, trainers, prompts or services", c.String("show")))
			}
			_, err = fmt.Fprintln(c.Root().Writer, strings.Join(lines, "\n"))
			return err
		},
	}
}
