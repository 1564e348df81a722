// Package daemoncli is the command line of doorstepd.
package daemoncli

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/agent"
	"github.com/doorstep/doorstep/internal/process/settings"
)

// overridable maps flags to the settings' fields that they replace.
var overridable = []struct{ flag, field, usage string }{
	{"name", "name", "the node's name"},
	{"zone", "zone", "the node's zone"},
	{"listen-requests", "listen.requests", "host:port for clients and trainers"},
	{"listen-readiness", "listen.readiness", "host:port for the question whether the node is ready"},
	{"listen-metrics", "listen.metrics", "host:port for the node's figures"},
	{"store", "store.address", "host:port of the record store"},
	{"log-level", "log.level", "debug, info, warn or error"},
}

const (
	// garbagePercent is how much the heap may grow between two collections: a node's heap
	// is a few megabytes and its machine small.
	garbagePercent = 40
	// heapPart is the part of the memory limit, one in so many, at which the garbage
	// collector works harder.
	heapPart = 2
	megabyte = 1 << 20
)

// Platform is what a deployment's platform provides to a node.
type Platform struct {
	// SettingsFile returns the settings file that the platform prepared, if any.
	SettingsFile func() string
	// Protocol is the form of its calls.
	Protocol agent.Protocol
	// NewStore returns a client of the record store at host:port.
	NewStore func(address string) port.RecordStore
	// NewDuties returns a client of the service at host:port for calls that one node at a time
	// may make.
	NewDuties func(address string) port.DutyService
}

// Main runs doorstepd and returns its exit code.
func Main(arguments []string, platform Platform) int {
	return command.Run(context.Background(), root(platform), arguments, os.Stderr)
}

func flags() []cli.Flag {
	list := []cli.Flag{&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "the settings `FILE`", Local: true}}
	for _, one := range overridable {
		list = append(list, &cli.StringFlag{Name: one.flag, Local: true, Usage: one.usage + " (replaces " + one.field + ")"})
	}
	return list
}

func root(platform Platform) *cli.Command {
	nodes := &nodeCommand{platform: platform}
	return &cli.Command{
		Name:        "doorstepd",
		Usage:       "one node of the doorstep rollout service",
		Description: "Runs until SIGTERM or SIGINT, then stops in the planned way: nothing is cut.\nA second signal ends it at once.",
		Flags:       flags(),
		Action:      nodes.serve,
		Commands: []*cli.Command{{
			Name:   "check-settings",
			Usage:  "check a settings file and exit",
			Flags:  flags(),
			Action: nodes.check,
		}},
	}
}

// nodeCommand holds what the subcommands share.
type nodeCommand struct{ platform Platform }

// path returns the path of the settings file.
func (n *nodeCommand) path(c *cli.Command) (string, error) {
	path := c.String("settings")
	if path == "" && n.platform.SettingsFile != nil {
		path = n.platform.SettingsFile()
	}
	if path == "" {
		return "", command.Fail(command.ExitUsage, errors.New("--settings FILE is required; see --help"))
	}
	return path, nil
}

func faulty(path string, err error) error {
	return command.Fail(command.ExitUsage, fmt.Errorf("settings %s:\n%w", path, err))
}

// loader returns how the settings are read: the file, with flags laid over it.
func loader(c *cli.Command, path string) func() (*settings.Settings, error) {
	overrides := map[string]any{}
	for _, one := range overridable {
		if c.IsSet(one.flag) {
			overrides[one.field] = c.String(one.flag)
		}
	}
	return func() (*settings.Settings, error) {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		return settings.Load(content, overrides)
	}
}

func (n *nodeCommand) check(_ context.Context, c *cli.Command) error {
	path, err := n.path(c)
	if err != nil {
		return err
	}
	loaded, err := loader(c, path)()
	if err != nil {
		return faulty(path, err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "settings of %s are in order\n", loaded)
	return err
}

func (n *nodeCommand) serve(ctx context.Context, c *cli.Command) error {
	// A signal to read the settings again must not end a process that is starting.
	reload := hangups()
	stopping, hurrying, release := stopSignals(ctx)
	defer release()
	path, err := n.path(c)
	if err != nil {
		return err
	}
	load := loader(c, path)
	loaded, err := load()
	if err != nil {
		return faulty(path, err)
	}
	debug.SetGCPercent(garbagePercent)
	if loaded.Memory.LimitMb > 0 {
		debug.SetMemoryLimit(int64(loaded.Memory.LimitMb) * megabyte / heapPart)
	}
	var duties port.DutyService
	if loaded.Duties.Address != "" {
		duties = n.platform.NewDuties(loaded.Duties.Address)
	}
	err = agent.Run(stopping, hurrying, agent.Options{
		Settings: loaded, Protocol: n.platform.Protocol, Store: n.platform.NewStore(loaded.Store.Address), Duties: duties,
		Log: newLogger(loaded.Name, loaded.Log, os.Stdout), Incarnation: rand.Uint64(), Reload: reload, ReadSettings: load,
	})
	if err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	return endedInHurry(hurrying)
}

// newLogger returns the log of a node.
func newLogger(name string, wanted settings.Log, output *os.File) hclog.Logger {
	level := hclog.LevelFromString(wanted.Level)
	if level == hclog.NoLevel {
		level = hclog.Info
	}
	return hclog.New(&hclog.LoggerOptions{Name: "doorstepd." + name, Level: level, JSONFormat: wanted.JSON, Output: output})
}

// hangups returns a channel that is told when the settings are to be read again.
func hangups() <-chan struct{} {
	reload := make(chan struct{}, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			select {
			case reload <- struct{}{}:
			default:
			}
		}
	}()
	return reload
}

// endedInHurry is the failure of a node that a second signal ended.
func endedInHurry(hurrying context.Context) error {
	if errors.Is(hurrying.Err(), context.Canceled) {
		return command.Fail(command.ExitFailed, errors.New("ended at once on a second signal"))
	}
	return nil
}

// stopSignals returns a context that ends with the first signal to stop, and one that
// ends with the second.
func stopSignals(ctx context.Context) (stopping, hurrying context.Context, release func()) {
	stopping, stop := context.WithCancel(ctx)
	hurrying, hurry := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		hurry()
	}()
	return stopping, hurrying, func() {
		stop()
		hurry()
	}
}
