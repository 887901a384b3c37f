// Command standin runs one of the simulators of external systems that tests and
// the quick start use. See package standin for its subcommands.
package main

import (
	"os"

	"github.com/borageusher/borageusher/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stderr)) }
