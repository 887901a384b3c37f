package event

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Bounds of a Queue.
const (
	// queueBytes is the most that waits to be written: with flushInterval it
	// bounds the log to some 2 MB a second, which is ten times what an entry
	// writes at the users' peak.
	queueBytes = 256 << 10
	// routineBytes is the part of it that lines below the level of a warning may
	// fill, so that those of failed requests are never left out before them.
	routineBytes = queueBytes / 2
	// blockBytes is the most that is written at once: a pipe keeps so much in one
	// piece (PIPE_BUF on Linux), so that no reader gets half a line.
	blockBytes = 4096
	// flushInterval is the pause between two writes.
	flushInterval = 100 * time.Millisecond
)

// Queue writes lines in the background, so that a reader of the log that is slow
// never holds up a request. When too much waits, it leaves lines out, those of
// warnings and errors last, and then says how many.
type Queue struct {
	w io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int
	closing chan struct{}
	closed  chan struct{}
}

// NewQueue returns a queue that writes to w until it is closed.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{w: w, closing: make(chan struct{}), closed: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer for lines without a level.
func (q *Queue) Write(p []byte) (int, error) { return q.WriteLevel(zerolog.NoLevel, p) }

// WriteLevel implements zerolog.LevelWriter. It never waits.
func (q *Queue) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	limit := routineBytes
	if level >= zerolog.WarnLevel {
		limit = queueBytes
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting)+len(p) > limit {
		q.dropped++
		return len(p), nil
	}
	q.waiting = append(q.waiting, p...)
	return len(p), nil
}

// Close writes what waits and ends the queue.
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

// flush writes what waits, and how many lines were left out before.
func (q *Queue) flush() {
	q.mu.Lock()
	lines, dropped := q.waiting, q.dropped
	q.waiting, q.spare, q.dropped = q.spare[:0], nil, 0
	q.mu.Unlock()
	q.writeBlocks(lines)
	if dropped > 0 {
		_, _ = q.w.Write(droppedLine(dropped))
	}
	q.mu.Lock()
	q.spare = lines[:0]
	q.mu.Unlock()
}

// writeBlocks writes whole lines, in blocks that a pipe takes in one piece if one
// line is not longer.
func (q *Queue) writeBlocks(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > blockBytes {
			n = bytes.LastIndexByte(lines[:blockBytes], '\n') + 1
		}
		if n == 0 {
			n = bytes.IndexByte(lines, '\n') + 1 // every line ends so
		}
		_, _ = q.w.Write(lines[:n]) // nowhere to tell that the log can't be written
		lines = lines[n:]
	}
}

// droppedLine returns the line that says how many were left out.
func droppedLine(n int) []byte {
	d := definitions[LinesDropped]
	line, err := json.Marshal(map[string]any{"level": d.level.String(), "event": int(d.code), "name": d.name, "lines": n})
	if err != nil {
		panic("event: cannot encode: " + err.Error())
	}
	return append(line, '\n')
}
