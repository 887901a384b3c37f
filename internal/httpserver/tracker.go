package httpserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
)

// connectionTracker tracks the open connections of a server, so that a graceful
// shutdown can wait for those with a request in progress. A request is in
// progress from its first byte until its response has been written.
type connectionTracker struct {
	closeAfterResponse atomic.Bool // responses close their connections

	mu   sync.Mutex
	open map[string]*trackedConn // by remote address
}

func newConnectionTracker() *connectionTracker {
	return &connectionTracker{open: map[string]*trackedConn{}}
}

// DisableKeepAlives makes each further response close its connection, so that
// callers open their next connection to another process.
func (s *Server) DisableKeepAlives() { s.tracker.closeAfterResponse.Store(true) }

// Busy returns the number of connections with a request in progress.
func (s *Server) Busy() int {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	n := 0
	for _, c := range s.tracker.open {
		if c.busy.Load() {
			n++
		}
	}
	return n
}

// wrap returns a listener that tracks the connections that ln accepts.
func (t *connectionTracker) wrap(ln net.Listener) net.Listener {
	return &trackingListener{Listener: ln, tracker: t}
}

// middleware is the hertz middleware that records when the handler of a request
// has returned, and closes connections after DisableKeepAlives.
func (t *connectionTracker) middleware(ctx context.Context, rc *app.RequestContext) {
	if t.closeAfterResponse.Load() {
		rc.SetConnectionClose()
	}
	c := t.find(rc.RemoteAddr().String())
	if c == nil {
		rc.Next(ctx)
		return
	}
	c.handlerReturned.Store(false)
	defer c.handlerReturned.Store(true)
	rc.Next(ctx)
}

func (t *connectionTracker) find(remote string) *trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open[remote]
}

// trackingListener is a listener whose connections are tracked.
type trackingListener struct {
	net.Listener
	tracker *connectionTracker
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: conn, tracker: l.tracker, remote: conn.RemoteAddr().String()}
	l.tracker.mu.Lock()
	l.tracker.open[c.remote] = c
	l.tracker.mu.Unlock()
	return c, nil
}

// trackedConn is an open connection.
type trackedConn struct {
	net.Conn
	tracker         *connectionTracker
	remote          string
	busy            atomic.Bool // a request is in progress
	handlerReturned atomic.Bool // the handler of the latest request has returned
}

// Read implements net.Conn. The server reads the next request only after it has
// written the response to the previous one, so the first Read after the handler
// has returned ends that request.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.handlerReturned.Swap(false) {
		c.busy.Store(false)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.busy.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	if c.tracker.open[c.remote] == c {
		delete(c.tracker.open, c.remote)
	}
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}
