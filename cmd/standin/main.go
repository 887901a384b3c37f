// Command standin runs one of the stand-ins of outside systems that tests and
// the quick start use.
package main

import (
	"os"

	"github.com/borageusher/borageusher/internal/standin"
)

func main() { os.Exit(standin.Main(os.Args[1:], os.Stderr)) }
