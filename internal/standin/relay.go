package standin

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// relayMode is a fault that a relay applies to its open connections. It does not
// affect connections that are opened later.
type relayMode string

const (
	relaySilent relayMode = "silent" // connections stay open, but their data is dropped
	relayCut    relayMode = "cut"    // connections are closed
)

// relay is a TCP proxy that simulates faults of the network between two
// processes.
type relay struct {
	from, to string // addresses to accept connections on and to relay them to

	mu    sync.Mutex
	conns map[*relayedConn]bool
	total int // connections relayed since the start
}

// relayedConn is one relayed connection with its two sides.
type relayedConn struct {
	ends     [2]net.Conn
	silenced chan struct{} // closed when the mode silent is applied
	once     sync.Once
}

func newRelay(from, to string) *relay {
	return &relay{from: from, to: to, conns: map[*relayedConn]bool{}}
}

// register adds the relay's admin routes to h and starts relaying connections. It
// panics if it can't listen on the address.
func (r *relay) register(h *server.Hertz) {
	h.POST("/admin/mode", r.serveMode)
	h.GET("/admin/stats", r.serveStats)
	ln, err := net.Listen("tcp", r.from)
	if err != nil {
		panic("standin: " + err.Error())
	}
	go r.acceptConns(ln)
}

func (r *relay) acceptConns(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go r.relayConn(conn)
	}
}

// relayConn relays one connection until either end closes it.
func (r *relay) relayConn(from net.Conn) {
	to, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = from.Close() // as if the destination refused the connection
		return
	}
	c := &relayedConn{ends: [2]net.Conn{from, to}, silenced: make(chan struct{})}
	r.mu.Lock()
	r.conns[c] = true
	r.total++
	r.mu.Unlock()
	var done sync.WaitGroup
	done.Add(2)
	go func() { defer done.Done(); c.copyBytes(to, from) }()
	go func() { defer done.Done(); c.copyBytes(from, to) }()
	done.Wait()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// copyBytes copies data from src to dst until src is closed, and then closes dst.
// After c is silenced, it drops the data and leaves dst open when src is closed.
func (c *relayedConn) copyBytes(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		select {
		case <-c.silenced:
			if err != nil {
				return
			}
			continue
		default:
		}
		if err == nil {
			_, err = dst.Write(buf[:n])
		}
		if err != nil {
			_ = dst.Close()
			return
		}
	}
}

// applyMode applies mode to all open connections.
func (r *relay) applyMode(mode relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if mode == relaySilent {
			c.once.Do(func() { close(c.silenced) })
			continue
		}
		for _, end := range c.ends {
			_ = end.Close() // closing is the simulated fault
		}
		delete(r.conns, c)
	}
}

// serveMode handles POST /admin/mode.
func (r *relay) serveMode(_ context.Context, rc *app.RequestContext) {
	var o struct {
		Mode relayMode `json:"mode"`
	}
	if err := json.Unmarshal(rc.Request.Body(), &o); err != nil || (o.Mode != relaySilent && o.Mode != relayCut) {
		rc.String(400, "mode must be silent or cut\n")
		return
	}
	r.applyMode(o.Mode)
	rc.String(200, "ok\n")
}

type relayStats struct {
	Open  int `json:"open"`
	Total int `json:"total"`
}

// serveStats handles GET /admin/stats.
func (r *relay) serveStats(_ context.Context, rc *app.RequestContext) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rc.JSON(200, relayStats{Open: len(r.conns), Total: r.total})
}
