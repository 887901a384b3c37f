// Command standin runs the cases of the review: it starts the project's programs with the
// commands of the deploy file, and plays the store, the replicas and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are registered by the files of the cases.
var cases = map[string]func(c *cluster, trouble bool) (int, error){}

func main() {
	signal.Ignore(syscall.SIGPIPE) // a reader of the output that leaves must not keep the processes from being ended
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*cluster, bool) (int, error), path string) int {
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, err := newCluster(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.stop()
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := run(c, os.Getenv("TROUBLE") != "0")
		done <- result{code, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case r := <-done:
		if r.err != nil {
			rec.result("the case could not run: %v", r.err)
			return exitNotRun
		}
		return r.code
	case <-signals:
		rec.result("interrupted")
	case <-time.After(115 * time.Second):
		rec.result("the case took too long")
	}
	return exitNotRun
}
