package daemoncli

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/doorstep/doorstep/internal/command"
	"github.com/doorstep/doorstep/internal/process/agent"
	"github.com/doorstep/doorstep/internal/process/settings"
)

const (
	// heapPart is the part of the memory limit, one in so many, at which the garbage
	// collector works harder.
	heapPart = 2
	megabyte = 1 << 20
)

// serveCluster runs a node that shares its state through a record store.
func (n *nodeCommand) serveCluster(ctx context.Context, path string, content []byte) error {
	// A signal to read the settings again must not end a process that is starting.
	reload := make(chan struct{}, 1)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			select {
			case reload <- struct{}{}:
			default:
			}
		}
	}()
	stopping, hurrying, release := stopSignals(ctx)
	defer release()
	loaded, err := settings.LoadCluster(content)
	if err != nil {
		return faulty(path, err)
	}
	debug.SetGCPercent(garbagePercent)
	if loaded.Memory.LimitMb > 0 {
		debug.SetMemoryLimit(int64(loaded.Memory.LimitMb) * megabyte / heapPart)
	}
	err = agent.Run(stopping, hurrying, agent.Options{
		Settings: loaded, Protocol: n.platform.Protocol, Store: n.platform.NewStore(loaded.Store.Address),
		Log: newLogger(loaded.Name, loaded.Log, os.Stdout), Incarnation: rand.Uint64(), Reload: reload,
		ReadSettings: func() (*settings.Cluster, error) {
			again, err := os.ReadFile(path)
			if err != nil {
				return nil, err
			}
			return settings.LoadCluster(again)
		},
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
