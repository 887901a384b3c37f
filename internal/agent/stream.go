package agent

import (
	"bytes"
	"mime"
)

// streamTerminator is the last event of a complete event stream of a completion.
const streamTerminator = "data: [DONE]"

// maxStreamTailBytes is the number of bytes at the end of a stream that are
// examined.
const maxStreamTailBytes = 64

// streamTail keeps the end of an event stream. It distinguishes a complete stream
// from one that the engine truncated but ended without an error.
type streamTail struct {
	last []byte
}

// write appends the next bytes of the stream.
func (t *streamTail) write(p []byte) {
	if len(p) > maxStreamTailBytes {
		p = p[len(p)-maxStreamTailBytes:]
	}
	t.last = append(t.last, p...)
	if extra := len(t.last) - maxStreamTailBytes; extra > 0 {
		t.last = append(t.last[:0], t.last[extra:]...)
	}
}

// complete reports whether the stream's last line is its terminator.
func (t *streamTail) complete() bool {
	line := bytes.TrimRight(t.last, "\r\n")
	if i := bytes.LastIndexAny(line, "\r\n"); i >= 0 {
		line = line[i+1:]
	}
	return string(line) == streamTerminator
}

// isEventStream reports whether a content type is text/event-stream.
func isEventStream(contentType string) bool {
	media, _, err := mime.ParseMediaType(contentType)
	return err == nil && media == "text/event-stream"
}
