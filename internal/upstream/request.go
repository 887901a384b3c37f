package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
)

// Request is one request to a target. The body is whole, so that it can be sent
// to another target.
type Request struct {
	ID     string // identity of the request, which answers echo
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header // without those of one connection
	Body   []byte
	Sized  bool // the caller sent a body, if only an empty one
}

// head returns the request line and the headers.
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
	if r.Sized || len(r.Body) > 0 {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Answer is the head of an answer, with the body to be read. Close must be
// called in any case.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader // yields io.EOF only after the whole body
	Length int64     // of the body, -1 if not told

	conn   *conn
	client *Client
	ended  bool
}

// Read implements io.Reader on the body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Close gives the connection back when the body was read to its end, and ends
// it otherwise, which ends the request at the target.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	a.client.release(a.conn, a.ended && a.conn.reusable(a))
	a.conn = nil
}
