// Command doorstep is the operators' command-line tool.
package main

import (
	"os"

	"github.com/doorstep/doorstep/internal/command/operator"
	"github.com/doorstep/doorstep/internal/port"
	"github.com/doorstep/doorstep/platform"
)

func main() {
	os.Exit(operator.Main(os.Args, operator.Platform{
		Decoder:  platform.Protocol{},
		NewStore: func(address string) port.RecordStore { return platform.NewStore(address) },
	}))
}
