// Command targetd runs beside one target and is the only process that accesses
// it.
//
// With the single argument "platform" it runs on the users' platform, which sets
// the path of the settings file in the environment. There, requests go directly
// to the engine, and targetd is the only process that sends it orders to load and
// unload adapters.
package main

import "C" // links the C library, which the platform requires

import (
	"os"

	"github.com/borageusher/borageusher/internal/agent"
	"github.com/borageusher/borageusher/platform"
)

func main() {
	if len(os.Args) == 2 && os.Args[1] == "platform" {
		os.Exit(platform.RunTargetd(os.Stdout, os.Stderr))
	}
	os.Exit(agent.Main(os.Args[1:], os.Stderr))
}
