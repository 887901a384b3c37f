package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// inlineBytes is the largest body that is written before the answer is read. It
// fits into the socket's buffers, so the write does not wait for the target.
const inlineBytes = 8 << 10

// skippedAnswers is how many late answers of earlier requests are skipped on
// one connection.
const skippedAnswers = 2

// Identify returns the id of the request that an answer's headers belong to.
type Identify func(http.Header) string

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	identify Identify

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// New returns a client without connections.
func New(identify Identify) *Client {
	return &Client{identify: identify, idle: map[netip.AddrPort][]*conn{}}
}

// Do sends req to the target at addr and returns the head of the answer. When
// ctx ends, the connection is closed, also while the answer's body is read.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, req *Request) (*Answer, error) {
	conn, err := c.take(ctx, addr)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		c.release(conn, true)
		return nil, &Error{Op: "send", Kind: NotSent, Err: ctx.Err()}
	}
	stop := context.AfterFunc(ctx, conn.abort)
	answer, err := c.exchange(conn, req)
	if err != nil {
		stop()
		conn.abort()
		return nil, err
	}
	answer.conn, answer.client = conn, c
	answer.Body = &stoppingReader{answer.Body, stop}
	return answer, nil
}

// stoppingReader ends the watch over the context with the body.
type stoppingReader struct {
	io.Reader
	stop func() bool
}

func (r *stoppingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == nil {
		return n, nil
	}
	if !r.stop() && err == io.EOF {
		return n, io.ErrUnexpectedEOF // the connection was closed meanwhile
	}
	return n, err
}

func (c *Client) exchange(conn *conn, req *Request) (*Answer, error) {
	if err := conn.send(req); err != nil {
		return nil, err
	}
	for range skippedAnswers + 1 {
		resp, err := http.ReadResponse( //nolint:bodyclose // the connection is closed instead
			conn.reader, &http.Request{Method: req.Method},
		)
		if err != nil {
			return nil, &Error{Op: "read answer", Kind: Broken, Err: err}
		}
		if resp.StatusCode < 200 {
			continue
		}
		if id := c.identify(resp.Header); id != "" && id != req.ID {
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, &Error{Op: "skip answer", Kind: Broken, Err: err}
			}
			continue
		}
		return newAnswer(conn, resp), nil
	}
	return nil, &Error{Op: "read answer", Kind: Foreign}
}

func newAnswer(conn *conn, resp *http.Response) *Answer {
	a := &Answer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength}
	conn.expires = time.Now().Add(keepFor(resp.Header))
	if resp.Close {
		a.Header.Set("Connection", "close")
	}
	return a
}

// send writes the request. A large body is written in the background, because
// the target may answer before it has read all of it.
func (c *conn) send(req *Request) error {
	head := req.head()
	if len(req.Body) <= inlineBytes {
		if _, err := c.Write(append(head, req.Body...)); err != nil {
			return &Error{Op: "write request", Kind: Broken, Err: err}
		}
		c.written = nil
		return nil
	}
	if _, err := c.Write(head); err != nil {
		return &Error{Op: "write request", Kind: Broken, Err: err}
	}
	c.written = make(chan struct{})
	go func(written chan struct{}) {
		if _, err := io.Copy(c.Conn, bytes.NewReader(req.Body)); err != nil {
			_ = c.SetReadDeadline(time.Now().Add(answerAfterWriteError)) // an early answer may be on its way
			return
		}
		close(written)
	}(c.written)
	return nil
}

// answerAfterWriteError is how long an answer is awaited after the target
// stopped reading the request: a round trip between regions and its queueing.
const answerAfterWriteError = 300 * time.Millisecond

// take returns an idle connection that is still sound, or a new one.
func (c *Client) take(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	now := time.Now()
	for {
		conn := c.pop(addr)
		if conn == nil {
			return dial(ctx, addr)
		}
		if now.Before(conn.expires) && conn.quiet() {
			return conn, nil
		}
		_ = conn.Close() // expired, closed by the target, or with stray bytes
	}
}

func (c *Client) pop(addr netip.AddrPort) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return conn
}

// release keeps a connection for reuse, or closes it.
func (c *Client) release(conn *conn, reuse bool) {
	if !reuse {
		conn.abort()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[conn.addr] = append(c.idle[conn.addr], conn)
}

// Forget closes the idle connections to a target.
func (c *Client) Forget(addr netip.AddrPort) {
	c.mu.Lock()
	list := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, conn := range list {
		_ = conn.Close() // idle
	}
}

// CloseIdle closes the connections that are not used again.
func (c *Client) CloseIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Before(conn.expires) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close() // idle
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
			continue
		}
		c.idle[addr] = kept
	}
}
