package event

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Limits of a Queue.
const (
	// maxPendingBytes limits the lines that are buffered until the next write.
	// With flushInterval it limits the log to about 2 MB/s, ten times what an
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

// Queue buffers log lines and writes them in the background, so that a slow reader
// of the log never blocks a request. When the buffer is full, it drops lines and
// logs their number as a LinesDropped event. Lines below the warning level are
// dropped first.
type Queue struct {
	w io.Writer

	mu      sync.Mutex
	pending []byte // lines to be written
	spare   []byte // buffer that is reused for pending after a flush
	dropped int    // lines dropped since the last flush
	closing chan struct{}
	closed  chan struct{}
}

// NewQueue returns a queue that writes to w. The caller must close it.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{w: w, closing: make(chan struct{}), closed: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer for lines without a level.
func (q *Queue) Write(p []byte) (int, error) { return q.WriteLevel(zerolog.NoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. It does not wait for the underlying
// writer and never returns an error; a dropped line counts as written.
func (q *Queue) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	limit := maxRoutineBytes
	if level >= zerolog.WarnLevel {
		limit = maxPendingBytes
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.pending)+len(p) > limit {
		q.dropped++
		return len(p), nil
	}
	q.pending = append(q.pending, p...)
	return len(p), nil
}

// Close writes the buffered lines and stops the queue. It must be called once.
func (q *Queue) Close() {
	close(q.closing)
	<-q.closed
}

func (q *Queue) run() {
	defer close(q.closed)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-q.closing:
			q.flush()
			return
		case <-ticker.C:
			q.flush()
		}
	}
}

// flush writes the buffered lines, and then the number of lines dropped since the
// last flush if there are any.
func (q *Queue) flush() {
	q.mu.Lock()
	lines, dropped := q.pending, q.dropped
	q.pending, q.spare, q.dropped = q.spare[:0], nil, 0
	q.mu.Unlock()
	q.writeLines(lines)
	if dropped > 0 {
		_, _ = q.w.Write(droppedLine(dropped))
	}
	q.mu.Lock()
	q.spare = lines[:0]
	q.mu.Unlock()
}

// writeLines splits lines into writes of complete lines. Each write is at most
// maxWriteBytes long, unless a single line is longer.
func (q *Queue) writeLines(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > maxWriteBytes {
			n = bytes.LastIndexByte(lines[:maxWriteBytes], '\n') + 1
		}
		if n == 0 {
			n = bytes.IndexByte(lines, '\n') + 1 // every line ends with a newline
		}
		_, _ = q.w.Write(lines[:n]) // an error of the log itself cannot be logged
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
