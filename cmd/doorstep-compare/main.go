// Command doorstep-compare plays trees of this repository against each other on the
// users' bench.
package main

import (
	"os"

	"github.com/doorstep/doorstep/internal/command/compare"
)

func main() { os.Exit(compare.Main(os.Args)) }
