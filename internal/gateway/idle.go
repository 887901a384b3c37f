package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns knows which of the callers' connections are idle, and since when.
// The limit comes with the configuration and may change, so the server's own
// timeout does not serve.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// note is the server's hook for changes of a connection's state.
func (i *idleConns) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// closeExpired closes the connections that were idle for longer than limit,
// unless it is zero.
func (i *idleConns) closeExpired(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > limit {
			_ = c.Close() // idle
			delete(i.since, c)
		}
	}
}
