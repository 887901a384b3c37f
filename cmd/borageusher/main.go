// Command borageusher is the operators' client.
package main

import (
	"os"

	"github.com/borageusher/borageusher/internal/operator"
)

func main() { os.Exit(operator.Main(os.Args[1:], os.Stdout, os.Stderr)) }
