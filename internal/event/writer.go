package event

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Limits of an AsyncWriter.
const (
	// maxPendingBytes limits the lines that are buffered until the next write.
	// With flushInterval it limits the log to 2.6 MB/s, about ten times what an
	// entryd writes at the users' peak load.
	maxPendingBytes = 256 << 10
	// maxRoutineBytes limits the part of the buffer that lines below the warning
	// level may fill, so that they are dropped before the lines of failed
	// requests.
	maxRoutineBytes = maxPendingBytes / 2
	// maxWriteBytes limits a single write. Writes to a pipe of up to this size
	// are atomic (PIPE_BUF on Linux), so that no reader gets a partial line.
	maxWriteBytes = 4096
	// flushInterval is the interval at which buffered lines are written.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter buffers log lines and writes them in the background, so that a
// slow reader of the log never blocks a request. When the buffer is full, it
// drops lines and logs their number as a LinesDropped event. Lines below the
// warning level are dropped first.
type AsyncWriter struct {
	w io.Writer

	mu      sync.Mutex
	pending []byte // lines to be written
	spare   []byte // buffer that is reused for pending after a flush
	dropped int    // lines dropped since the last flush
	closing chan struct{}
	closed  chan struct{}
}

// NewAsyncWriter returns a writer that writes to w. The caller must close it.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	aw := &AsyncWriter{w: w, closing: make(chan struct{}), closed: make(chan struct{})}
	go aw.run()
	return aw
}

// Write implements io.Writer for lines without a level. Such lines are treated
// like warnings.
func (aw *AsyncWriter) Write(p []byte) (int, error) { return aw.WriteLevel(zerolog.NoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. It does not wait for the underlying
// writer and never returns an error; a dropped line counts as written.
func (aw *AsyncWriter) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	limit := maxRoutineBytes
	if level >= zerolog.WarnLevel {
		limit = maxPendingBytes
	}
	aw.mu.Lock()
	defer aw.mu.Unlock()
	if len(aw.pending)+len(p) > limit {
		aw.dropped++
		return len(p), nil
	}
	aw.pending = append(aw.pending, p...)
	return len(p), nil
}

// Close writes the buffered lines and stops the writer. It must be called once.
func (aw *AsyncWriter) Close() {
	close(aw.closing)
	<-aw.closed
}

func (aw *AsyncWriter) run() {
	defer close(aw.closed)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-aw.closing:
			aw.flush()
			return
		case <-ticker.C:
			aw.flush()
		}
	}
}

// flush writes the buffered lines, and then the number of lines dropped since the
// last flush if there are any.
func (aw *AsyncWriter) flush() {
	aw.mu.Lock()
	lines, dropped := aw.pending, aw.dropped
	aw.pending, aw.spare, aw.dropped = aw.spare[:0], nil, 0
	aw.mu.Unlock()
	aw.writeLines(lines)
	if dropped > 0 {
		_, _ = aw.w.Write(droppedLine(dropped))
	}
	aw.mu.Lock()
	aw.spare = lines[:0]
	aw.mu.Unlock()
}

// writeLines splits lines into writes of complete lines. Each write is at most
// maxWriteBytes long, unless a single line is longer.
func (aw *AsyncWriter) writeLines(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > maxWriteBytes {
			n = bytes.LastIndexByte(lines[:maxWriteBytes], '\n') + 1
		}
		if n == 0 {
			n = bytes.IndexByte(lines, '\n') + 1 // every line ends with a newline
		}
		_, _ = aw.w.Write(lines[:n]) // an error of the log itself cannot be logged
		lines = lines[n:]
	}
}

// droppedLine returns the line of the LinesDropped event for n lines.
func droppedLine(n int) []byte {
	d := definitions[LinesDropped]
	line, err := json.Marshal(map[string]any{"level": d.level.String(), "event": int(d.code), "name": d.name, "lines": n})
	if err != nil {
		panic("event: cannot encode: " + err.Error())
	}
	return append(line, '\n')
}
