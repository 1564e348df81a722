// Command doorstep-compare compares source trees of this repository on the users' benchmark.
package main

import (
	"os"

	"github.com/doorstep/doorstep/internal/command/compare"
)

func main() { os.Exit(compare.Main(os.Args)) }
