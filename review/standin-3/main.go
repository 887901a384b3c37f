// Command standin-3 runs the cases of the third review: the programs of the project as
// separate processes, with stand-ins for the store, the servers and the clients. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. They report whether the rule was broken.
var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE TARGET-FOLDER RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	r := &record{start: time.Now()}
	c, err := newCluster(r, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		c.close(false)
		os.Exit(2)
	}()
	broken, err := run(c, os.Getenv("TROUBLE") != "0")
	c.close(os.Getenv("KEEP_LOGS") != "")
	code := 0
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		code = 2
	case broken:
		r.printf("the rule was broken")
		code = 1
	default:
		r.printf("the rule held")
	}
	if err := r.write(os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(code)
}
