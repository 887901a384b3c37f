package upstream

import (
	"bytes"
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
	// FreeHeadCost is the memory of heads for which none is reserved, and
	// headCostStep the memory that is reserved at once beyond it.
	FreeHeadCost = 8 << 10
	headCostStep = 8 << 10
	// headLineCost is the memory of a header line beside its text, in the two maps of
	// the headers as received and as passed on.
	headLineCost = 256
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
	errHeadMemory  = errors.New("response header exceeds the memory for responses")
	errHeadTooSlow = errors.Newf("response header incomplete %s after its first byte", headTimeout)
	errInvalidHead = errors.New("not a status of a response, or an informational response with a body")
	errEndedEarly  = errors.New("the connection ended before the request was written")
	errNoID        = errors.New("response without a request id")
	errSkipFailed  = errors.Newf("the body of a response to another request did not end within %d bytes and %s", maxDiscardedBytes, discardTimeout)
)

// headKind classifies the head of a response.
type headKind uint8

const (
	finalHead         headKind = iota
	informationalHead          // the final response follows
	invalidHead                // what follows can't be interpreted
)

// classifyHead classifies the head of a response by its status. net/http parses any
// number of three characters. 101 (Switching Protocols) is invalid because no request
// asks for it. An informational response has no body, so that one with a body is
// invalid: the body would be parsed as the next response.
func classifyHead(resp *http.Response) headKind {
	switch status := resp.StatusCode; {
	case status < 100 || status > 599 || status == http.StatusSwitchingProtocols:
		return invalidHead
	case status >= 200:
		return finalHead
	}
	if n := resp.Header.Get("Content-Length"); len(resp.TransferEncoding) > 0 || (n != "" && n != "0") {
		return invalidHead
	}
	return informationalHead
}

// HeadMeter estimates the memory that the heads of messages take, while they arrive. The
// zero value is outside of a head.
type HeadMeter struct {
	cost   int64
	inHead bool // the next byte belongs to a head
	blank  bool // the current line of the head is empty so far
}

// Begin starts a head.
func (m *HeadMeter) Begin() { m.inHead, m.blank = true, false }

// End ends a head early.
func (m *HeadMeter) End() { m.inHead = false }

// Reset sets the cost to zero.
func (m *HeadMeter) Reset() { m.cost = 0 }

// Cost returns the cost in bytes of the heads since the last Reset.
func (m *HeadMeter) Cost() int64 { return m.cost }

// Add adds the cost of the bytes of p that belong to the head.
func (m *HeadMeter) Add(p []byte) {
	for len(p) > 0 && m.inHead {
		line, rest, found := bytes.Cut(p, newline)
		m.cost += int64(len(line))
		m.blank = m.blank && len(bytes.TrimRight(line, "\r")) == 0
		if found {
			m.cost += headLineCost
			m.inHead, m.blank = !m.blank, true
		}
		p = rest
	}
}

var newline = []byte{'\n'}

// headLimit is the reader of a connection. It fails with errHeadTooLong when more
// bytes are read than allowed, and with errHeadMemory when there is no memory for the
// heads of a request's responses.
type headLimit struct {
	r         io.Reader
	remaining int64
	meter     HeadMeter

	reserve func(n int64) bool // nil for no limit
	granted int64              // cost for which memory is set aside
}

// begin starts the limit of the heads of a request's responses.
func (l *headLimit) begin(reserve func(n int64) bool) {
	l.meter.Reset()
	l.reserve, l.granted = reserve, FreeHeadCost
}

// set allows n more bytes, of a head.
func (l *headLimit) set(n int64) {
	l.remaining = n
	l.meter.Begin()
}

// lift allows any number of bytes, of a body.
func (l *headLimit) lift() {
	l.remaining = math.MaxInt64
	l.meter.End()
}

// count adds the cost of the bytes of p that belong to the head, and reports whether
// there is memory for it.
func (l *headLimit) count(p []byte) bool {
	l.meter.Add(p)
	for l.reserve != nil && l.meter.Cost() > l.granted {
		if !l.reserve(headCostStep) {
			return false
		}
		l.granted += headCostStep
	}
	return true
}

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
	if !l.count(p[:n]) {
		return 0, errHeadMemory
	}
	return n, err
}

// readHead reads the head of the next response on the connection. It resets the
// connection if the head is not complete headTimeout after its first byte.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limit.set(maxHeadBytes)
	defer c.limit.lift()
	if ahead, err := c.reader.Peek(c.reader.Buffered()); err != nil || !c.limit.count(ahead) {
		return nil, errHeadMemory
	}
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
