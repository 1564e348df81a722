// Command doorstep-sim simulates doorstep deployments under fault injection.
package main

import (
	"os"

	"github.com/doorstep/doorstep/internal/command/simulator"
)

func main() { os.Exit(simulator.Main(os.Args)) }
