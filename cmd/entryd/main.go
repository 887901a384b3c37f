// Command entryd accepts callers' requests and routes each to a target.
//
// With the single argument "platform" it runs on the users' platform, which sets
// the path of the settings file in the environment.
package main

import "C" // links the C library, which the platform requires

import (
	"os"

	"github.com/borageusher/borageusher/internal/entry"
	"github.com/borageusher/borageusher/platform"
)

func main() {
	if len(os.Args) == 2 && os.Args[1] == "platform" {
		os.Exit(platform.RunEntryd(os.Stdout, os.Stderr))
	}
	os.Exit(entry.Main(os.Args[1:], os.Stderr))
}
