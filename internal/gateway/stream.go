package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/upstream"
)

// Limits of the bytes of a stream that are not relayed. A target in trouble may
// send bytes without end that form no event, or events that came before.
const (
	// maxEventBytes limits one event, and the events without progress in a row.
	// Events of the platform's targets have a few hundred bytes.
	maxEventBytes = 1 << 20
	// maxEventTime limits the time from the first byte of an event to its end. A
	// target writes an event at once; retransmissions on a path with packet loss
	// take less than a second.
	maxEventTime = time.Second
)

// Errors of streams that exceed a limit or contain other bytes than events.
var (
	errVersionChanged  = errors.New("the target may have another version than the stream")
	errClosedUnresumed = errors.New("the connection was closed before an event of the resumed stream")

	errEventTooLong = errors.Newf("event exceeds %d bytes", maxEventBytes)
	errEventMemory  = errors.New("event exceeds the memory for responses")
	errNoEventID    = errors.New("an event of a resumed stream has no id")
	errNoProgress   = errors.Newf("no new event within %d bytes", maxEventBytes)
)

// writeMargin is the time after a call's deadline in which the rest of a
// response may still be written to a slow reader.
const writeMargin = 200 * time.Millisecond

// relayStream relays the events of a stream as they arrive, each as a whole, and
// calls onBegin when the first byte of an event has arrived and onEvent when it is
// complete. It returns delivered if the stream ends after a whole event and the
// response has started, callerLeft if a write to the caller fails, and otherwise
// broken with the reason. If onEvent returns an error, the event is not relayed. A
// response that resumes a stream is broken at an event without an id, which may belong
// to no stream. It is also broken if its connection is closed before a new event, unless
// its framing shows that it is complete.
func (g *Gateway) relayStream(
	w http.ResponseWriter, c *call, resp *upstream.Response, onBegin func(at time.Time), onEvent func(at time.Time, first bool) error,
) (outcome, error) {
	if c.lastEventID != "" {
		g.Scope.Counter("streams_resumed").Inc(1)
		g.Log.Event(event.StreamResumed).Str("request", c.meta.ID).Str("last_event", c.lastEventID).Str("version", c.softwareVersion).Send()
	}
	reader := &eventReader{r: bufio.NewReaderSize(resp, freeBufferBytes), onBegin: onBegin, memory: &c.memory, kept: c.memory.bytes}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(c.deadline.Add(writeMargin)) // not supported by httptest.ResponseRecorder
	resumes, progressed := c.headerSent, false
	skipped := 0 // bytes of events that came before, since the last new one
	for first := true; ; first = false {
		e, err := reader.read()
		if err != nil {
			var flushErr error
			if c.headerSent {
				flushErr = control.Flush()
			}
			if !errors.Is(err, io.EOF) || len(e) > 0 || !c.headerSent {
				return broken, err // an incomplete event is dropped
			}
			if resp.UntilClose && !progressed {
				return broken, errClosedUnresumed
			}
			if flushErr != nil {
				return callerLeft, nil
			}
			return delivered, nil
		}
		id := eventID(e)
		if resumes && id == "" {
			return broken, errNoEventID
		}
		now := time.Now()
		if err := onEvent(now, first); err != nil {
			return broken, err
		}
		c.recordEventAt(now)
		if !c.acceptEvent(id) {
			if skipped += len(e); skipped > maxEventBytes {
				return broken, errNoProgress
			}
			continue
		}
		skipped, progressed = 0, true
		if !c.headerSent {
			g.startStream(w, c, resp)
		}
		if _, err := w.Write(e); err != nil {
			return callerLeft, nil
		}
		if reader.r.Buffered() > 0 {
			continue
		}
		if err := control.Flush(); err != nil {
			return callerLeft, nil
		}
	}
}

// recordEventAt records the arrival of an event.
func (c *call) recordEventAt(now time.Time) {
	if !c.lastEventAt.IsZero() {
		c.longestGap = max(c.longestGap, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// startStream writes the header of a streamed response.
func (g *Gateway) startStream(w http.ResponseWriter, c *call, resp *upstream.Response) {
	for name, values := range g.HeaderCodec.CallerHeader(resp.Header) {
		w.Header()[name] = values
	}
	g.setConnection(w.Header())
	w.WriteHeader(resp.Status)
	c.headerSent = true
	c.firstEvent = time.Now()
}

// eventReader reads the events of a stream.
type eventReader struct {
	r       *bufio.Reader
	onBegin func(at time.Time) // called when the first byte of an event has arrived
	memory  *lease
	kept    int64  // bytes of memory that the response holds beside the events
	buf     []byte // is reused for short events
}

// read returns the next event including the blank line that ends it, which is valid until
// the next call. At the end of the stream it returns the remaining bytes and io.EOF. It
// returns errEventTooLong for an event larger than maxEventBytes, and errEventMemory for
// one for which there is no memory.
func (r *eventReader) read() ([]byte, error) {
	if cap(r.buf) > freeBufferBytes {
		r.buf = nil
	}
	r.buf = r.buf[:0]
	r.memory.shrink(r.kept)
	if _, err := r.r.Peek(1); err != nil {
		return nil, err
	}
	r.onBegin(time.Now())
	for {
		line, err := r.r.ReadSlice('\n')
		if tooLong := r.add(line); tooLong != nil {
			return nil, tooLong
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return r.buf, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return r.buf, nil
		}
	}
}

// add appends a part of a line to the event.
func (r *eventReader) add(part []byte) error {
	need := len(r.buf) + len(part)
	if need > maxEventBytes {
		return errEventTooLong
	}
	if need > cap(r.buf) {
		size := max(need, min(2*cap(r.buf), maxEventBytes), freeBufferBytes)
		if size > freeBufferBytes && !r.memory.reserve(int64(size-max(cap(r.buf), freeBufferBytes))) {
			return errEventMemory
		}
		r.buf = append(make([]byte, 0, size), r.buf...)
	}
	r.buf = append(r.buf, part...)
	return nil
}

// acceptEvent records an event that is about to be relayed, and reports whether
// it comes after the last one. An event without an id is always relayed, but the
// stream can't be resumed after it. On a route without resumable streams a further run
// begins anew, so that its events don't continue those of another one.
func (c *call) acceptEvent(id string) bool {
	if id == "" {
		c.unrepeatable = true
		return true
	}
	if c.lastEventID != "" {
		current, err1 := strconv.ParseInt(id, 10, 64)
		last, err2 := strconv.ParseInt(c.lastEventID, 10, 64)
		if err1 == nil && err2 == nil && current <= last {
			return false
		}
	}
	c.lastEventID, c.unrepeatable = id, !c.route.ResumesStreams()
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
