package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/upstream"
)

// mostEvent bounds one event of a stream.
const mostEvent = 1 << 20

// writeMargin is the time beyond a call's deadline in which the rest of an
// answer may still be written to a caller that reads slowly.
const writeMargin = 200 * time.Millisecond

// relay passes the events of a stream on as they come, each as a whole, and
// tells heard of each.
func (g *Gateway) relay(w http.ResponseWriter, c *call, a *upstream.Answer, heard func(at time.Time, first bool)) outcome {
	if c.lastEvent != "" {
		g.Scope.Counter("streams_resumed").Inc(1)
		g.Log.At(event.StreamResumed).Str("request", c.meta.ID).Str("last_event", c.lastEvent).Send()
	}
	reader := bufio.NewReader(a)
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(c.deadline.Add(writeMargin)) // not supported by recorders in tests
	for first := true; ; first = false {
		e, err := readEvent(reader)
		if err != nil {
			if c.started {
				_ = control.Flush() // the caller may be gone
			}
			if errors.Is(err, io.EOF) && len(e) == 0 && c.started {
				return delivered
			}
			return broken // half an event is dropped
		}
		heard(time.Now(), first)
		if !c.follows(e) {
			continue
		}
		if !c.started {
			g.startStream(w, c, a)
		}
		if _, err := w.Write(e); err != nil {
			return callerLeft
		}
		if reader.Buffered() > 0 {
			continue
		}
		if err := control.Flush(); err != nil {
			return callerLeft
		}
	}
}

// startStream writes the head of a stream's answer.
func (g *Gateway) startStream(w http.ResponseWriter, c *call, a *upstream.Answer) {
	for name, values := range g.Dialect.Back(a.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	c.started = true
	c.firstEvent = time.Now()
}

// readEvent returns the next event with the blank line that ends it. At the end
// of the stream it returns what is left and io.EOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var e []byte
	for {
		line, err := r.ReadSlice('\n')
		e = append(e, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return e, err
		case len(e) > mostEvent:
			return e, io.ErrShortBuffer
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return e, nil
		}
	}
}

// follows notes an event that is about to be passed on, and reports whether it
// comes after the last one.
func (c *call) follows(e []byte) bool {
	id := eventID(e)
	if id == "" {
		return true
	}
	if c.lastEvent != "" {
		now, err1 := strconv.ParseInt(id, 10, 64)
		before, err2 := strconv.ParseInt(c.lastEvent, 10, 64)
		if err1 == nil && err2 == nil && now <= before {
			return false
		}
	}
	c.lastEvent = id
	return true
}

// eventID returns the id of an event, empty if it has none.
func eventID(e []byte) string {
	for line := range bytes.Lines(e) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
