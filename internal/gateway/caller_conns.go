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

// callerConns tracks the callers' open connections and closes idle ones. The idle
// timeout comes with the configuration and may change while the server runs, so
// http.Server.IdleTimeout can't be used.
type callerConns struct {
	idleTimeout func() time.Duration // in force, zero for none
	log         event.Log
	scope       tally.Scope

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerConns(idleTimeout func() time.Duration, log event.Log, scope tally.Scope) *callerConns {
	return &callerConns{idleTimeout: idleTimeout, log: log, scope: scope, open: map[*callerConn]struct{}{}}
}

// wrap returns a listener that tracks the connections that ln accepts. The server
// must use the hooks onStateChange and connContext.
func (cc *callerConns) wrap(ln *net.TCPListener) net.Listener { return callerListener{ln, cc} }

// callerListener accepts connections of the type callerConn.
type callerListener struct {
	*net.TCPListener
	conns *callerConns
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err // never for an open connection
	}
	c := &callerConn{TCPConn: conn, raw: raw, conns: l.conns}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.open[c] = struct{}{}
	return c, nil
}

// onStateChange implements the ConnState hook of http.Server.
func (cc *callerConns) onStateChange(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.recordResponse(time.Now(), cc.idleTimeout())
	}
}

// callerConnKey is the key of a caller's connection in the context of its requests.
type callerConnKey struct{}

// connContext implements the ConnContext hook of http.Server.
func (cc *callerConns) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// closedByServer reports whether the connection of a request with the context ctx
// was closed as idle.
func closedByServer(ctx context.Context) bool {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	return ok && c.closedAsIdle()
}

// closeExpired closes the connections whose idle timeout has passed at now.
func (cc *callerConns) closeExpired(now time.Time) {
	timeout := cc.idleTimeout()
	cc.closeIdle("idle", func(c *callerConn) bool { return c.expired(now, timeout) })
}

// closeIdle closes the idle connections that match, and returns the number of
// connections that are still open.
func (cc *callerConns) closeIdle(reason string, match func(*callerConn) bool) int {
	closed := 0
	list := cc.list()
	for _, c := range list {
		if c.closeIfIdle(match) {
			closed++
		}
	}
	if closed > 0 {
		cc.log.Event(event.CallersClosed).Int("connections", closed).Str("reason", reason).Send()
		cc.scope.Tagged(map[string]string{"reason": reason}).Counter("caller_connections_closed").Inc(int64(closed))
	}
	return len(list) - closed
}

func (cc *callerConns) list() []*callerConn {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	list := make([]*callerConn, 0, len(cc.open))
	for c := range cc.open {
		list = append(list, c)
	}
	return list
}

func (cc *callerConns) remove(c *callerConn) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	delete(cc.open, c)
}
