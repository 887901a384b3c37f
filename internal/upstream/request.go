package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
)

// Request is a request to a target. The complete body is in memory, so that the
// request can be retried on another target.
type Request struct {
	ID      string // request id, which responses repeat
	Method  string
	URI     string // path and query, unchanged from the caller's request
	Host    string
	Header  http.Header // without hop-by-hop headers
	Body    []byte
	HasBody bool   // the caller sent a body, which may be empty
	Owner   uint64 // connection that the request came from, zero if unknown

	// Reserve sets aside memory for n bytes of long response headers, and reports
	// whether it is available; nil for no limit. It is for the response to this
	// request and those that are skipped on the way to it.
	Reserve func(n int64) bool
}

// head returns the encoded request line and headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if r.HasBody || len(r.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Response is a target's response, whose body is to be read. The caller must call
// Close.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader // returns io.EOF only after the complete body, and if UntilClose only if the request was written
	Length int64     // of the body in bytes, -1 if unknown

	UntilClose bool // the body has neither a length nor chunks, and ends with its connection

	Earlier int // requests sent before over the connection
	Skipped int // responses to other requests that preceded this one

	conn     *conn
	client   *Client
	bodyRead bool
}

// Read implements io.Reader. It reads the body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err == io.EOF {
		r.bodyRead = true
	}
	return n, err
}

// Discard reads the rest of a short body, so that Close can release the connection
// for reuse. It reads a limited number of bytes for a limited time.
func (r *Response) Discard() {
	if r.conn != nil {
		r.conn.discard(r)
	}
}

// Followed reports whether bytes of no response to the request have arrived after the
// body, which was read completely.
func (r *Response) Followed() bool {
	return r.conn != nil && r.bodyRead && r.conn.reader.Buffered() > 0
}

// Close releases the connection for reuse if the body was read completely.
// Otherwise it resets the connection, which cancels the request at the target.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	r.client.release(r.conn, r.bodyRead && r.conn.reusable(r))
	r.conn = nil
}
