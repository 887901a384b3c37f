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

// maxEventBytes limits the size of one event of a stream. It is checked at the end
// of each line.
const maxEventBytes = 1 << 20

// writeMargin is the time after a call's deadline in which the rest of a
// response may still be written to a slow reader.
const writeMargin = 200 * time.Millisecond

// relayStream relays the events of a stream as they arrive, each as a whole, and
// calls onEvent for each. It returns delivered if the stream ends after a whole
// event and the response has started, callerLeft if a write to the caller fails,
// and broken otherwise.
func (g *Gateway) relayStream(w http.ResponseWriter, c *call, resp *upstream.Response, onEvent func(at time.Time, first bool)) outcome {
	if c.lastEventID != "" {
		g.Scope.Counter("streams_resumed").Inc(1)
		g.Log.Event(event.StreamResumed).Str("request", c.meta.ID).Str("last_event", c.lastEventID).Send()
	}
	reader := bufio.NewReader(resp)
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(c.deadline.Add(writeMargin)) // not supported by httptest.ResponseRecorder
	for first := true; ; first = false {
		e, err := readEvent(reader)
		if err != nil {
			if c.headerSent {
				_ = control.Flush() // the caller may have disconnected
			}
			if errors.Is(err, io.EOF) && len(e) == 0 && c.headerSent {
				return delivered
			}
			return broken // an incomplete event is dropped
		}
		onEvent(time.Now(), first)
		if !c.acceptEvent(e) {
			continue
		}
		if !c.headerSent {
			g.startStream(w, c, resp)
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

// startStream writes the header of a streamed response.
func (g *Gateway) startStream(w http.ResponseWriter, c *call, resp *upstream.Response) {
	for name, values := range g.HeaderCodec.CallerHeader(resp.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.Status)
	c.headerSent = true
	c.firstEvent = time.Now()
}

// readEvent returns the next event including the blank line that ends it. At the
// end of the stream it returns the remaining bytes and io.EOF, and for an event
// larger than maxEventBytes io.ErrShortBuffer.
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
		case len(e) > maxEventBytes:
			return e, io.ErrShortBuffer
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return e, nil
		}
	}
}

// acceptEvent records an event that is about to be relayed, and reports whether
// it comes after the last one. Events without an id are always relayed.
func (c *call) acceptEvent(e []byte) bool {
	id := eventID(e)
	if id == "" {
		return true
	}
	if c.lastEventID != "" {
		current, err1 := strconv.ParseInt(id, 10, 64)
		last, err2 := strconv.ParseInt(c.lastEventID, 10, 64)
		if err1 == nil && err2 == nil && current <= last {
			return false
		}
	}
	c.lastEventID = id
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
