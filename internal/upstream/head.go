package upstream

import (
	"io"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the bytes that precede the body of a response. A target in trouble may
// send bytes without end that form no response.
const (
	// maxHeadBytes limits the status line and the header, together with the part
	// of the body that is read ahead. The headers of the platform's targets have a
	// few hundred bytes; 64 KiB is a common limit of HTTP servers.
	maxHeadBytes = 64 << 10
	// headTimeout limits the time from the first byte of a head to its end. A
	// target writes the head at once; retransmissions on a path with packet loss
	// take less than a second.
	headTimeout = time.Second
	// maxDiscardedBytes limits a body that is read only to reuse its connection.
	// Reading more costs more than a new connection.
	maxDiscardedBytes = 64 << 10
	// discardTimeout limits the time for reading such a body, which arrives
	// together with its head. It covers the latency between regions.
	discardTimeout = 100 * time.Millisecond
)

// Errors of responses that exceed a limit or can't be attributed to a request.
var (
	errHeadTooLong = errors.Newf("response header exceeds %d bytes", maxHeadBytes)
	errHeadTooSlow = errors.Newf("response header incomplete %s after its first byte", headTimeout)
	errNoID        = errors.New("response without a request id")
	errSkipFailed  = errors.Newf("the body of a response to another request did not end within %d bytes and %s", maxDiscardedBytes, discardTimeout)
)

// headLimit is the reader of a connection. It fails with errHeadTooLong when more
// bytes are read than allowed.
type headLimit struct {
	r         io.Reader
	remaining int64
}

// set allows n more bytes.
func (l *headLimit) set(n int64) { l.remaining = n }

// lift allows any number of bytes.
func (l *headLimit) lift() { l.remaining = math.MaxInt64 }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.r.Read(p)
	l.remaining -= int64(n)
	return n, err
}

// readHead reads the head of the next response on the connection. It resets the
// connection if the head is not complete headTimeout after its first byte.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limit.set(maxHeadBytes)
	defer c.limit.lift()
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	timer := time.AfterFunc(headTimeout, c.abort)
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if !timer.Stop() {
		return nil, errHeadTooSlow
	}
	return resp, err
}

// discard reads body to its end, within maxDiscardedBytes and discardTimeout. It
// reports whether the end was reached; otherwise the connection can't be reused.
func (c *conn) discard(body io.Reader) bool {
	timer := time.AfterFunc(discardTimeout, c.abort)
	defer timer.Stop()
	_, err := io.CopyN(io.Discard, body, maxDiscardedBytes+1)
	return errors.Is(err, io.EOF)
}
