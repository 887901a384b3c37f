// Command entryd takes callers' requests and sends each to a target.
package main

import (
	"os"

	"github.com/borageusher/borageusher/internal/entry"
)

func main() { os.Exit(entry.Main(os.Args[1:], os.Stderr)) }
