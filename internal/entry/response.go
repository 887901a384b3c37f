package entry

import (
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/borageusher/borageusher/pkg/outcome"
)

// maxBufferedBytes is the size of the largest response body that is buffered until
// it is complete. Event streams are not buffered.
const maxBufferedBytes = 1 << 20

// Response headers.
const (
	outcomeHeader   = "X-Outcome"
	requestIDHeader = "X-Request-Id"
	adapterHeader   = "X-Adapter"
)

// response is the Responder for hertz. It streams event streams. Any other
// response is buffered until it is complete, so that its headers report the actual
// outcome; beyond maxBufferedBytes it is streamed too.
type response struct {
	rc          *app.RequestContext
	status      int
	contentType string
	buffer      []byte
	headSent    bool // the status line and headers were sent
}

// Start implements Responder.
func (r *response) Start(status int, contentType string) {
	r.status = status
	r.contentType = contentType
	r.buffer = r.buffer[:0]
	if strings.HasPrefix(contentType, "text/event-stream") {
		r.sendHead()
	}
}

// Write implements Responder.
func (r *response) Write(p []byte) error {
	if !r.headSent && len(r.buffer)+len(p) <= maxBufferedBytes {
		r.buffer = append(r.buffer, p...)
		return nil
	}
	if !r.headSent {
		r.sendHead()
		if _, err := r.rc.Write(r.buffer); err != nil {
			return err
		}
	}
	if _, err := r.rc.Write(p); err != nil {
		return err
	}
	return r.rc.Flush()
}

// Started implements Responder.
func (r *response) Started() bool { return r.headSent }

// sendHead sends the status line and headers and begins a chunked body.
func (r *response) sendHead() {
	r.headSent = true
	r.rc.SetStatusCode(r.status)
	r.rc.SetContentType(r.contentType)
	r.rc.Header(outcomeHeader, outcome.Answered.String())
	r.rc.Response.HijackWriter(resp.NewChunkedBodyWriter(&r.rc.Response, r.rc.GetWriter()))
}

// finish completes the response: it sends the buffered response, an error, or the
// end of a stream, which is aborted unless it is complete.
func (r *response) finish(c *Call, result Result) {
	switch {
	case r.headSent && result.Outcome == outcome.Answered:
		_ = r.rc.Flush() // the caller may have disconnected
	case r.headSent:
		r.abort(c, result)
	case result.Outcome == outcome.Answered:
		r.rc.Header(outcomeHeader, outcome.Answered.String())
		r.rc.Data(r.status, r.contentType, r.buffer)
	default:
		writeError(r.rc, c, result)
	}
}

// abort ends a stream that failed part-way. The caller receives an error event, if
// it is an event stream, and a body without the terminating chunk.
func (r *response) abort(c *Call, result Result) {
	if strings.HasPrefix(r.contentType, "text/event-stream") {
		_, _ = r.rc.WriteString("event: error\ndata: " + string(errorBody(c, result)) + "\n\n") // the caller may have disconnected
		_ = r.rc.Flush()
	}
	_ = r.rc.GetConn().Close() // prevents the terminating chunk, so that the caller detects the truncation
}
