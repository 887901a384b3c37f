package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns tracks the callers' idle connections. The idle timeout comes with
// the configuration and may change while the server runs, so
// http.Server.IdleTimeout can't be used.
type idleConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{idleSince: map[net.Conn]time.Time{}} }

// onStateChange implements the ConnState hook of http.Server.
func (ic *idleConns) onStateChange(c net.Conn, state http.ConnState) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if state == http.StateIdle {
		ic.idleSince[c] = time.Now()
		return
	}
	delete(ic.idleSince, c)
}

// closeExpired closes the connections that were idle for longer than limit. A
// limit of zero is none.
func (ic *idleConns) closeExpired(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for c, since := range ic.idleSince {
		if now.Sub(since) > limit {
			_ = c.Close() // nothing is in progress on it
			delete(ic.idleSince, c)
		}
	}
}
