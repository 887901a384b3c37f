package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/borageusher/borageusher/internal/event"
)

// idleConns tracks the callers' idle connections. The idle timeout comes with
// the configuration and may change while the server runs, so
// http.Server.IdleTimeout can't be used.
type idleConns struct {
	log   event.Log
	scope tally.Scope

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	closed    map[net.Conn]bool // connections that closeExpired closed and the server still serves
}

func newIdleConns(log event.Log, scope tally.Scope) *idleConns {
	return &idleConns{log: log, scope: scope, idleSince: map[net.Conn]time.Time{}, closed: map[net.Conn]bool{}}
}

// onStateChange implements the ConnState hook of http.Server.
func (ic *idleConns) onStateChange(c net.Conn, state http.ConnState) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if state == http.StateIdle {
		ic.idleSince[c] = time.Now()
		return
	}
	delete(ic.idleSince, c)
	if state == http.StateClosed {
		delete(ic.closed, c)
	}
}

// callerConnKey is the key of a caller's connection in the context of its requests.
type callerConnKey struct{}

// connContext implements the ConnContext hook of http.Server.
func (ic *idleConns) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, func() bool {
		ic.mu.Lock()
		defer ic.mu.Unlock()
		return ic.closed[c]
	})
}

// closedByServer reports whether the connection of a request with the context ctx
// was closed by this process.
func closedByServer(ctx context.Context) bool {
	closed, ok := ctx.Value(callerConnKey{}).(func() bool)
	return ok && closed()
}

// closeExpired closes the connections that were idle for longer than limit. A
// limit of zero is none.
func (ic *idleConns) closeExpired(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	ic.mu.Lock()
	defer ic.mu.Unlock()
	n := 0
	for c, since := range ic.idleSince {
		if now.Sub(since) > limit {
			_ = c.Close() // nothing is in progress on it
			delete(ic.idleSince, c)
			ic.closed[c] = true
			n++
		}
	}
	if n > 0 {
		ic.log.Event(event.CallersClosed).Int("connections", n).Str("reason", "idle").Send()
		ic.scope.Tagged(map[string]string{"reason": "idle"}).Counter("caller_connections_closed").Inc(int64(n))
	}
}
