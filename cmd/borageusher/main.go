// Command borageusher is the operators' client.
package main

import (
	"os"

	"github.com/borageusher/borageusher/internal/operator"
	"github.com/borageusher/borageusher/platform"
)

func main() {
	os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr, platform.Status))
}
