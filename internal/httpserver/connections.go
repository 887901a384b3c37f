package httpserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"
)

// connections follows the open connections, so that a stop knows which have a
// request in progress: from its first byte until its answer was written.
type connections struct {
	closing atomic.Bool // answers end their connections

	mu   sync.Mutex
	open map[string]*connection // by remote address
}

func newConnections() *connections {
	return &connections{open: map[string]*connection{}}
}

// DisableKeepAlives makes each further answer end its connection, so that
// callers open the next one elsewhere.
func (s *Server) DisableKeepAlives() { s.connections.closing.Store(true) }

// Busy returns the number of connections with a request in progress.
func (s *Server) Busy() int {
	s.connections.mu.Lock()
	defer s.connections.mu.Unlock()
	n := 0
	for _, c := range s.connections.open {
		if c.busy.Load() {
			n++
		}
	}
	return n
}

// listen returns ln with its connections followed.
func (cs *connections) listen(ln net.Listener) net.Listener {
	return &listener{Listener: ln, connections: cs}
}

// filter is the hertz middleware that marks the end of each request.
func (cs *connections) filter(ctx context.Context, rc *app.RequestContext) {
	if cs.closing.Load() {
		rc.SetConnectionClose()
	}
	c := cs.find(rc.RemoteAddr().String())
	if c == nil {
		rc.Next(ctx)
		return
	}
	c.handled.Store(false)
	defer c.handled.Store(true)
	rc.Next(ctx)
}

func (cs *connections) find(remote string) *connection {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.open[remote]
}

// listener hands out connections that are followed.
type listener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, connections: l.connections, remote: conn.RemoteAddr().String()}
	l.connections.mu.Lock()
	l.connections.open[c.remote] = c
	l.connections.mu.Unlock()
	return c, nil
}

// connection is one open connection.
type connection struct {
	net.Conn
	connections *connections
	remote      string
	busy        atomic.Bool // a request has begun to arrive and its answer was not all written
	handled     atomic.Bool // the handler of the last request has returned
}

// Read implements net.Conn. The server reads the next request only after it
// has written the answer to the last one.
func (c *connection) Read(p []byte) (int, error) {
	if c.handled.Swap(false) {
		c.busy.Store(false)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.busy.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.connections.mu.Lock()
	if c.connections.open[c.remote] == c {
		delete(c.connections.open, c.remote)
	}
	c.connections.mu.Unlock()
	return c.Conn.Close()
}
