package upstream

import (
	"bytes"
	"context"
	"hash/maphash"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/socket"
)

// maxInlineBodyBytes is the size of the largest request body that is written
// before the response is read. It fits into the socket's buffers, so the write
// does not block on the target.
const maxInlineBodyBytes = 8 << 10

// maxSkippedResponses limits the responses that are skipped on a connection while
// waiting for that of a request: late ones to earlier requests and informational
// ones.
const maxSkippedResponses = 2

// RequestIDFunc returns the request id from the headers of a response, empty if
// they contain none.
type RequestIDFunc func(http.Header) string

// Client sends requests to targets and reuses idle connections. It is safe for
// concurrent use.
type Client struct {
	identify RequestIDFunc
	seed     maphash.Seed // of the hashes of request ids

	mu      sync.Mutex // guards idle, busy and targets
	idle    map[netip.AddrPort][]*conn
	busy    map[*conn]uint64 // owners of the requests in progress, by connection
	targets map[netip.AddrPort]*targetConns

	buffers socket.Buffers // of the connections
}

// New returns a client that recognizes responses with identify.
func New(identify RequestIDFunc) *Client {
	return &Client{
		identify: identify,
		seed:     maphash.MakeSeed(),
		idle:     map[netip.AddrPort][]*conn{},
		busy:     map[*conn]uint64{},
		targets:  map[netip.AddrPort]*targetConns{},
	}
}

// LimitBuffers sets the sizes of the connections' buffers in the kernel. It must be called
// before the first request.
func (c *Client) LimitBuffers(b socket.Buffers) { c.buffers = b }

// Queued returns the bytes that the kernel holds for the connections with a request in
// progress, by the owners of the requests: responses that were not read yet, and requests
// that the targets have not received.
func (c *Client) Queued() map[uint64]int64 {
	c.mu.Lock()
	busy := maps.Clone(c.busy)
	c.mu.Unlock()
	queued := make(map[uint64]int64, len(busy))
	for conn, owner := range busy {
		received, unsent := conn.queued()
		queued[owner] += received + unsent
	}
	return queued
}

// Do sends req to the target at addr and returns the response, whose body is not
// read yet. The caller must close the response. When ctx is done, the connection
// is reset, also while the body is read. WasSent distinguishes the errors of
// requests that may have run.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, req *Request) (*Response, error) {
	id := maphash.String(c.seed, req.ID)
	conn, err := c.acquire(ctx, addr, req, id)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		c.release(conn, true)
		return nil, &Error{Op: "send", Kind: NotSent, Err: ctx.Err()}
	}
	conn.sent = append(conn.sent, id)
	c.begin(conn, req.Owner)
	stop := context.AfterFunc(ctx, conn.abort)
	resp, err := c.roundTrip(conn, req)
	if err != nil {
		if stop() {
			c.interrupted(time.Now(), addr)
		}
		c.end(conn)
		conn.abandon()
		return nil, err
	}
	resp.conn, resp.client = conn, c
	resp.Body = &cancelStopReader{resp.Body, stop, func() { c.interrupted(time.Now(), addr) }}
	return resp, nil
}

// cancelStopReader reads a response's body. At the end of the body or at an error, it
// stops the function that resets the connection when the request's context is done. It
// reports an error that is not due to the context.
type cancelStopReader struct {
	io.Reader
	stop   func() bool
	broken func()
}

func (r *cancelStopReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == nil {
		return n, nil
	}
	stopped := r.stop()
	if !stopped && err == io.EOF {
		return n, io.ErrUnexpectedEOF // the context is done and the connection was reset
	}
	if stopped && err != io.EOF {
		r.broken()
	}
	return n, err
}

// roundTrip writes req to conn and returns the response to it. It skips responses
// to other requests and informational ones. A response without an id to a request
// with one may belong to any request, so that it is an error.
func (c *Client) roundTrip(conn *conn, req *Request) (*Response, error) {
	conn.limit.begin(req.Reserve)
	if err := conn.send(req); err != nil {
		return nil, err
	}
	skipped := 0
	for range maxSkippedResponses + 1 {
		resp, err := conn.readHead(req.Method) //nolint:bodyclose // closing the Response closes the connection
		if err != nil {
			return nil, &Error{Op: "read response", Kind: Broken, Err: err}
		}
		switch classifyHead(resp) {
		case invalidHead:
			return nil, &Error{Op: "read response", Kind: Broken, Err: errors.Wrapf(errInvalidHead, "status %03d", resp.StatusCode)}
		case informationalHead:
			continue
		}
		id := c.identify(resp.Header)
		if id == "" && req.ID != "" {
			return nil, &Error{Op: "read response", Kind: Mismatched, Err: errNoID}
		}
		if id != req.ID {
			if !conn.discard(resp.Body) {
				return nil, &Error{Op: "skip response", Kind: Broken, Err: errSkipFailed}
			}
			skipped++
			continue
		}
		out := newResponse(conn, resp)
		out.Skipped = skipped
		return out, nil
	}
	return nil, &Error{Op: "read response", Kind: Mismatched}
}

func newResponse(conn *conn, resp *http.Response) *Response {
	out := &Response{
		Status:     resp.StatusCode,
		Header:     resp.Header,
		Body:       resp.Body,
		Length:     resp.ContentLength,
		UntilClose: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
		Earlier:    len(conn.sent) - 1,
	}
	if out.UntilClose {
		out.Body = &untilCloseReader{resp.Body, conn}
	}
	conn.expires = time.Now().Add(reusePeriod(resp.Header))
	if resp.Close {
		out.Header.Set("Connection", "close")
	}
	return out
}

// send writes the request. A large body is written in the background, because
// the target may respond before it has read all of it.
func (c *conn) send(req *Request) error {
	head := req.head()
	c.bodyWritten, c.bodyDone = nil, nil
	if len(req.Body) <= maxInlineBodyBytes {
		if _, err := c.Write(append(head, req.Body...)); err != nil {
			return &Error{Op: "write request", Kind: Broken, Err: err}
		}
		return nil
	}
	if _, err := c.Write(head); err != nil {
		return &Error{Op: "write request", Kind: Broken, Err: err}
	}
	c.bodyWritten, c.bodyDone = make(chan struct{}), make(chan struct{})
	go func(written, done chan struct{}) {
		defer close(done)
		if _, err := io.Copy(c.Conn, bytes.NewReader(req.Body)); err != nil {
			_ = c.SetReadDeadline(time.Now().Add(earlyResponseTimeout)) // an early response may be in transit
			return
		}
		close(written)
	}(c.bodyWritten, c.bodyDone)
	return nil
}

// earlyResponseTimeout limits the wait for a response after the target has
// stopped reading the request. It covers a round trip between regions with
// queueing delay.
const earlyResponseTimeout = 300 * time.Millisecond

// acquire returns a usable idle connection over which the request's id was never sent,
// or a new connection: a target may send the response to a request twice, and the copy
// of one would pass for the response to the next with the same id. A request without an
// id gets a new connection. id is the hash of the request's id.
func (c *Client) acquire(ctx context.Context, addr netip.AddrPort, req *Request, id uint64) (*conn, error) {
	if req.ID == "" {
		return c.dial(ctx, addr)
	}
	now := time.Now()
	for {
		conn := c.popIdle(addr, id)
		if conn == nil {
			return c.dial(ctx, addr)
		}
		if now.Before(conn.expires) {
			if conn.isQuiescent() {
				return conn, nil
			}
			c.closedAfter(now, addr, now.Sub(conn.idleAt)) // or it sent unexpected data
		}
		_ = conn.Close() // no request is affected by an error
	}
}

// dial opens a connection to the target at addr.
func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	conn, err := dial(ctx, addr, c.buffers)
	if err != nil {
		return nil, err
	}
	conn.onClose = func() { c.disconnected(addr) }
	c.connected(time.Now(), addr)
	return conn, nil
}

// popIdle removes and returns the most recently used idle connection to addr over which
// no request with the given hash of its id was sent, nil if there is none.
func (c *Client) popIdle(addr netip.AddrPort, id uint64) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if conn := list[i]; !conn.hasSent(id) {
			c.idle[addr] = slices.Delete(list, i, i+1)
			return conn
		}
	}
	return nil
}

// begin records that a request of owner is in progress on a connection.
func (c *Client) begin(conn *conn, owner uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy[conn] = owner
}

// end records that no request is in progress on a connection any more.
func (c *Client) end(conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.busy, conn)
}

// release keeps a connection for reuse, or resets it.
func (c *Client) release(conn *conn, reuse bool) {
	c.end(conn)
	if !reuse {
		conn.abandon()
		return
	}
	conn.idleAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[conn.addr] = append(c.idle[conn.addr], conn)
}

// CloseIdleTo closes the idle connections to the target at addr.
func (c *Client) CloseIdleTo(addr netip.AddrPort) {
	c.mu.Lock()
	list := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, conn := range list {
		_ = conn.Close() // no request is affected by an error
	}
}

// CloseExpired closes the idle connections that have expired at now.
func (c *Client) CloseExpired(now time.Time) {
	for _, conn := range c.takeExpired(now) {
		_ = conn.Close() // no request is affected by an error
	}
}

// takeExpired removes and returns the idle connections that have expired at now.
func (c *Client) takeExpired(now time.Time) []*conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var expired []*conn
	for addr, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Before(conn.expires) {
				kept = append(kept, conn)
				continue
			}
			expired = append(expired, conn)
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
			continue
		}
		c.idle[addr] = kept
	}
	c.expireTargets(now)
	return expired
}
