// Command targetd runs beside one target and is the only way to it.
package main

import (
	"os"

	"github.com/borageusher/borageusher/internal/agent"
)

func main() { os.Exit(agent.Main(os.Args[1:], os.Stderr)) }
