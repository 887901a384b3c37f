// Command borageusher is the operators' command line client. See package operator
// for its subcommands.
package main

import (
	"os"

	"github.com/borageusher/borageusher/internal/operator"
	"github.com/borageusher/borageusher/platform"
)

func main() {
	os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr, &operator.Platform{Status: platform.Status, TakeKey: platform.TakeKey}))
}
