package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	f     *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), f: f}, nil
}

// note writes one line with the time since the start of the script.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// result writes a line to the record and to standard output.
func (r *recorder) result(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}
