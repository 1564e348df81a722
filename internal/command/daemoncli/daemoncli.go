// Package daemoncli is the command line of doorstepd.
package daemoncli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/internal/process/agent"
	"github.com/doorstep/doorstep/internal/process/daemon"
	"github.com/doorstep/doorstep/internal/process/settings"
)

// overridable maps flags to the settings' fields that they replace.
var overridable = []struct{ flag, field, usage string }{
	{"name", "name", "the node's name in the roster"},
	{"zone", "zone", "the node's zone"},
	{"listen-peer", "listen.peer", "host:port for other nodes"},
	{"listen-http", "listen.http", "host:port for callers, trainers and operators"},
	{"table", "platform.table", "URL of the table service"},
	{"objects", "platform.objects", "URL of the object store"},
	{"machines", "platform.machines", "URL of the machine list"},
	{"scorer", "platform.scorer", "URL of the scorer"},
	{"log-level", "log.level", "debug, info, warn or error"},
}

// garbagePercent is how much the heap may grow between two collections.
const garbagePercent = 40

// Platform is what a deployment's platform provides to a node that shares its state
// through a record store.
type Platform struct {
	// SettingsFile returns the settings file that the platform prepared, if any.
	SettingsFile func() string
	// Protocol is the form of its calls.
	Protocol agent.Protocol
	// NewStore returns a client of the record store at host:port.
	NewStore func(address string) port.RecordStore
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

// read returns the path and content of the settings file.
func (n *nodeCommand) read(c *cli.Command) (path string, content []byte, err error) {
	path = c.String("settings")
	if path == "" && n.platform.SettingsFile != nil {
		path = n.platform.SettingsFile()
	}
	if path == "" {
		return "", nil, command.Fail(command.ExitUsage, errors.New("--settings FILE is required; see --help"))
	}
	content, err = os.ReadFile(path)
	if err != nil {
		return "", nil, command.Fail(command.ExitUsage, err)
	}
	return path, content, nil
}

func faulty(path string, err error) error {
	return command.Fail(command.ExitUsage, fmt.Errorf("settings %s:\n%w", path, err))
}

func load(c *cli.Command, path string, content []byte) (*settings.Settings, error) {
	overrides := map[string]any{}
	for _, one := range overridable {
		if c.IsSet(one.flag) {
			overrides[one.field] = c.String(one.flag)
		}
	}
	loaded, err := settings.Load(content, overrides)
	if err != nil {
		return nil, faulty(path, err)
	}
	return loaded, nil
}

func (n *nodeCommand) check(_ context.Context, c *cli.Command) error {
	path, content, err := n.read(c)
	if err != nil {
		return err
	}
	if settings.IsCluster(content) {
		loaded, err := settings.LoadCluster(content)
		if err != nil {
			return faulty(path, err)
		}
		_, err = fmt.Fprintf(c.Root().Writer, "settings of %s are in order\n", loaded)
		return err
	}
	loaded, err := load(c, path, content)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "settings of node %q in zone %q are in order\n", loaded.Name, loaded.Zone)
	return err
}

func (n *nodeCommand) serve(ctx context.Context, c *cli.Command) error {
	path, content, err := n.read(c)
	if err != nil {
		return err
	}
	if settings.IsCluster(content) {
		return n.serveCluster(ctx, path, content)
	}
	loaded, err := load(c, path, content)
	if err != nil {
		return err
	}
	return serveRoster(ctx, loaded)
}

// serveRoster runs a node of a fixed roster.
func serveRoster(ctx context.Context, loaded *settings.Settings) error {
	// A node's heap is a few megabytes and its machine small: collecting early costs
	// little processor time and keeps the resident size within the budget.
	debug.SetGCPercent(garbagePercent)
	log := newLogger(loaded.Name, loaded.Log, os.Stderr)
	stopping, hurrying, release := stopSignals(ctx)
	defer release()
	if err := daemon.Run(stopping, hurrying, loaded, log); err != nil {
		return command.Fail(command.ExitFailed, err)
	}
	return endedInHurry(hurrying)
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
