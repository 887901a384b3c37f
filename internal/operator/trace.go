package operator

import (
	"os"
	"time"

	"github.com/borageusher/borageusher/internal/trace"
)

// runTrace prints the log entries about one request from the logs of several
// processes, in order. Times are relative to the first log line about the
// request. Entries for state that a process already held at that line show the
// age of the state instead.
func runTrace(c *commandLine) int {
	args := c.flags.Args()
	if len(args) < 2 {
		c.flags.Usage()
		return exitUsage
	}
	var logs trace.Logs
	for _, path := range args[1:] {
		if err := readLog(&logs, path); err != nil {
			return c.fail(err)
		}
	}
	entries := logs.Timeline(args[0])
	if len(entries) == 0 {
		return c.fail(&Error{Op: "trace", Kind: NoSuchRequest})
	}
	begin := time.Duration(0)
	for _, e := range entries {
		if !e.InitialView && (begin == 0 || e.Line.At < begin) {
			begin = e.Line.At
		}
	}
	for _, e := range entries {
		if e.InitialView {
			c.printf("%-22s known for %8.3f s  %s\n", e.Line.Process, e.Age.Seconds(), e.Line.String())
			continue
		}
		c.printf("%-22s %+17.3f s  %s\n", e.Line.Process, (e.Line.At - begin).Seconds(), e.Line.String())
	}
	return exitOK
}

// readLog adds the log at path to logs, or standard input if path is "-".
func readLog(logs *trace.Logs, path string) error {
	if path == "-" {
		return logs.Read(os.Stdin)
	}
	f, err := os.Open(path)
	if err != nil {
		return &Error{Op: "open log", Kind: Unreadable, Err: err}
	}
	defer func() { _ = f.Close() }() // opened for reading only
	return logs.Read(f)
}
