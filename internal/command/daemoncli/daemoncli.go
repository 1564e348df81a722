// Package daemoncli implements the command line of doorstepd.
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

// overrideFlags maps flags to the settings fields that they override.
var overrideFlags = []struct{ flag, field, usage string }{
	{"name", "name", "the node's name"},
	{"zone", "zone", "the node's zone"},
	{"listen-requests", "listen.requests", "host:port for clients and trainers"},
	{"listen-readiness", "listen.readiness", "host:port for readiness checks"},
	{"listen-metrics", "listen.metrics", "host:port for metrics"},
	{"store", "store.address", "host:port of the record store"},
	{"log-level", "log.level", "debug, info, warn or error"},
}

const (
	// gcPercent is below Go's default because nodes run on small machines and their heap is only a few
	// megabytes.
	gcPercent = 40
	// heapLimitDivisor sets the Go runtime's soft memory limit as a fraction of the configured memory limit.
	heapLimitDivisor = 2
	megabyte         = 1 << 20
)

// Platform is the platform integration of a node.
type Platform struct {
	// SettingsFile returns the path of the settings file provided by the platform, empty if there is none.
	SettingsFile func() string
	// Protocol encodes and decodes the platform's messages.
	Protocol agent.Protocol
	// NewStore returns a client of the record store at host:port.
	NewStore func(address string) port.RecordStore
	// NewDuties returns a client of the service at host:port for calls that only one node at a time may
	// make.
	NewDuties func(address string) port.DutyService
}

// Main runs doorstepd and returns its exit code.
func Main(arguments []string, platform Platform) int {
	return command.Run(context.Background(), root(platform), arguments, os.Stderr)
}

func flags() []cli.Flag {
	list := []cli.Flag{&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "the settings `FILE`", Local: true}}
	for _, override := range overrideFlags {
		list = append(list, &cli.StringFlag{Name: override.flag, Local: true, Usage: override.usage + " (overrides " + override.field + ")"})
	}
	return list
}

func root(platform Platform) *cli.Command {
	nodes := &nodeCommand{platform: platform}
	return &cli.Command{
		Name:        "doorstepd",
		Usage:       "run a node of the doorstep rollout service",
		Description: "Runs until SIGTERM or SIGINT, then shuts down gracefully without interrupting requests.\nA second signal terminates it immediately.",
		Flags:       flags(),
		Action:      nodes.serve,
		Commands: []*cli.Command{{
			Name:   "check-settings",
			Usage:  "validate a settings file and exit",
			Flags:  flags(),
			Action: nodes.check,
		}},
	}
}

// nodeCommand implements the subcommands.
type nodeCommand struct{ platform Platform }

// settingsPath returns the path of the settings file, from the flag or from the platform.
func (n *nodeCommand) settingsPath(c *cli.Command) (string, error) {
	path := c.String("settings")
	if path == "" && n.platform.SettingsFile != nil {
		path = n.platform.SettingsFile()
	}
	if path == "" {
		return "", command.Fail(command.ExitUsage, errors.New("--settings FILE is required; see --help"))
	}
	return path, nil
}

func settingsError(path string, err error) error {
	return command.Fail(command.ExitUsage, fmt.Errorf("settings %s:\n%w", path, err))
}

// settingsLoader returns a function that reads the settings file and applies the flags as overrides.
func settingsLoader(c *cli.Command, path string) func() (*settings.Settings, error) {
	overrides := map[string]any{}
	for _, override := range overrideFlags {
		if c.IsSet(override.flag) {
			overrides[override.field] = c.String(override.flag)
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
	path, err := n.settingsPath(c)
	if err != nil {
		return err
	}
	loaded, err := settingsLoader(c, path)()
	if err != nil {
		return settingsError(path, err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "settings of %s are valid\n", loaded)
	return err
}

func (n *nodeCommand) serve(ctx context.Context, c *cli.Command) error {
	// SIGHUP is handled first because its default action would terminate a process that is still starting.
	reload := notifyReload()
	stopping, forced, release := stopSignals(ctx)
	defer release()
	path, err := n.settingsPath(c)
	if err != nil {
		return err
	}
	load := settingsLoader(c, path)
	loaded, err := load()
	if err != nil {
		return settingsError(path, err)
	}
	debug.SetGCPercent(gcPercent)
	if loaded.Memory.LimitMb > 0 {
		debug.SetMemoryLimit(int64(loaded.Memory.LimitMb) * megabyte / heapLimitDivisor)
	}
	var duties port.DutyService
	if loaded.Duties.Address != "" {
		duties = n.platform.NewDuties(loaded.Duties.Address)
	}
	err = agent.Run(stopping, forced, agent.Options{
		Settings: loaded, Protocol: n.platform.Protocol, Store: n.platform.NewStore(loaded.Store.Address), Duties: duties,
		Log: newLogger(loaded.Name, loaded.Log, os.Stdout), Incarnation: rand.Uint64(), Reload: reload, ReadSettings: load,
	})
	if err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	return forcedStopError(forced)
}

// newLogger returns the logger of a node.
func newLogger(name string, wanted settings.Log, output *os.File) hclog.Logger {
	level := hclog.LevelFromString(wanted.Level)
	if level == hclog.NoLevel {
		level = hclog.Info
	}
	return hclog.New(&hclog.LoggerOptions{Name: "doorstepd." + name, Level: level, JSONFormat: wanted.JSON, Output: output})
}

// notifyReload returns a channel that receives a value after each SIGHUP.
func notifyReload() <-chan struct{} {
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

// forcedStopError returns an error if a second signal terminated the node.
func forcedStopError(forced context.Context) error {
	if errors.Is(forced.Err(), context.Canceled) {
		return command.Fail(command.ExitFailed, errors.New("terminated immediately by a second signal"))
	}
	return nil
}

// stopSignals returns a context that is canceled by the first SIGTERM or SIGINT and one that is canceled by
// the second.
func stopSignals(ctx context.Context) (stopping, forced context.Context, release func()) {
	stopping, stop := context.WithCancel(ctx)
	forced, force := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		force()
	}()
	return stopping, forced, func() {
		stop()
		force()
	}
}
