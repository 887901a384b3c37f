// Command borageusher is the operators' client.
package main

import (
	"os"

	"github.com/borageusher/borageusher/internal/operator"
	"github.com/borageusher/borageusher/platform"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "platform-status" {
		os.Exit(platform.Status(os.Args[2:], os.Stdout, os.Stderr))
	}
	os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr))
}
