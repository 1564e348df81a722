// Command doorstep-standin runs stand-ins for the external systems that doorstep uses, and test clients.
package main

import (
	"os"

	"github.com/doorstep/doorstep/internal/command/standin"
)

func main() { os.Exit(standin.Main(os.Args)) }
