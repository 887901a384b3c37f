//go:build review

// Command standin-2 plays the cases of the review: it starts the project's programs as
// separate processes beside stand-ins for the platform, the replicas and the clients. It
// exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is the longest time that a case may take.
const longest = 110 * time.Second

// cases are the cases by name.
var cases = map[string]func(w *world, trouble bool) error{}

// errBroken is the error of a case whose rule was broken.
var errBroken = errors.New("rule broken")

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// add writes a line. pairs are names and values in turn.
func (r *record) add(what string, pairs ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", time.Since(r.start).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.file, b.String())
}

// broken records how the rule was broken and returns errBroken.
func (r *record) broken(format string, args ...any) error {
	text := fmt.Sprintf(format, args...)
	r.add("BROKEN " + text)
	fmt.Println("broken:", text)
	return errBroken
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER, where CASE is one of", names)
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	w, err := newWorld(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	signal.Ignore(syscall.SIGPIPE) // the output may be cut off
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-ends:
		case <-time.After(longest):
			fmt.Fprintln(os.Stderr, "not run: takes too long")
		}
		w.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case", "name", os.Args[1], "trouble", trouble)
	err = cases[os.Args[1]](w, trouble)
	switch {
	case err == nil:
		rec.add("HELD")
		fmt.Println("held")
		return exitHeld
	case errors.Is(err, errBroken):
		return exitBroken
	}
	rec.add("NOT RUN " + err.Error())
	fmt.Fprintln(os.Stderr, "not run:", err)
	return exitNotRun
}
