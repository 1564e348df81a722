// Command doorstepd runs a node of the doorstep rollout service.
package main

import (
	"os"

	"github.com/doorstep/doorstep/internal/command/daemoncli"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/platform"
)

func main() {
	os.Exit(daemoncli.Main(os.Args, daemoncli.Platform{
		SettingsFile: platform.SettingsFile,
		Protocol:     platform.Protocol{},
		NewStore:     func(address string) port.RecordStore { return platform.NewStore(address) },
		NewDuties:    func(address string) port.DutyService { return platform.NewDuties(address) },
	}))
}
