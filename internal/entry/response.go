package entry

import (
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/borageusher/borageusher/pkg/outcome"
)

// maxBuffered is the largest answer that is held until it is whole. Event
// streams are never held.
const maxBuffered = 1 << 20

// Headers of every reply.
const (
	outcomeHeader   = "X-Outcome"
	requestIDHeader = "X-Request-Id"
	adapterHeader   = "X-Adapter"
)

// response passes an answer to the caller over hertz. An event stream is sent
// as it comes. Any other answer is held until it is whole, so that its headers
// tell the true outcome, unless it grows beyond maxBuffered.
type response struct {
	rc       *app.RequestContext
	status   int
	ctype    string
	buffered []byte
	sent     bool // the caller has been sent the head
}

// Start implements Responder.
func (r *response) Start(status int, contentType string) {
	r.status = status
	r.ctype = contentType
	r.buffered = r.buffered[:0]
	if strings.HasPrefix(contentType, "text/event-stream") {
		r.sendHead()
	}
}

// Write implements Responder.
func (r *response) Write(p []byte) error {
	if !r.sent && len(r.buffered)+len(p) <= maxBuffered {
		r.buffered = append(r.buffered, p...)
		return nil
	}
	if !r.sent {
		r.sendHead()
		if _, err := r.rc.Write(r.buffered); err != nil {
			return err
		}
	}
	if _, err := r.rc.Write(p); err != nil {
		return err
	}
	return r.rc.Flush()
}

// Started implements Responder.
func (r *response) Started() bool { return r.sent }

func (r *response) sendHead() {
	r.sent = true
	r.rc.SetStatusCode(r.status)
	r.rc.SetContentType(r.ctype)
	r.rc.Header(outcomeHeader, outcome.Answered.String())
	r.rc.Response.HijackWriter(resp.NewChunkedBodyWriter(&r.rc.Response, r.rc.GetWriter()))
}

// finish ends the reply: the whole answer, an error, or a broken-off stream.
func (r *response) finish(c *Call, result Result) {
	switch {
	case r.sent && result.Outcome == outcome.Answered:
		_ = r.rc.Flush() // the caller may be gone
	case r.sent:
		r.breakOff(c, result)
	case result.Outcome == outcome.Answered:
		r.rc.Header(outcomeHeader, outcome.Answered.String())
		r.rc.Data(r.status, r.ctype, r.buffered)
	default:
		writeError(r.rc, c, result)
	}
}

// breakOff ends a stream that has begun. The caller sees an error event and a
// body without its end.
func (r *response) breakOff(c *Call, result Result) {
	if strings.HasPrefix(r.ctype, "text/event-stream") {
		_, _ = r.rc.WriteString("event: error\ndata: " + string(errorBody(c, result)) + "\n\n") // may be gone
		_ = r.rc.Flush()
	}
	_ = r.rc.GetConn().Close() // so that no terminating chunk is written
}
