// Command targetd runs beside one target and is the only way to it.
//
// With the single argument "platform" it runs on the users' platform, which
// names its settings file in the environment; there it alone gives orders to
// the engine.
package main

import "C" // links the C library, which the platform requires

import (
	"os"

	"github.com/borageusher/borageusher/internal/agent"
	"github.com/borageusher/borageusher/platform"
)

func main() {
	if len(os.Args) == 2 && os.Args[1] == "platform" {
		os.Exit(platform.RunKeeper(os.Stdout, os.Stderr))
	}
	os.Exit(agent.Main(os.Args[1:], os.Stderr))
}
