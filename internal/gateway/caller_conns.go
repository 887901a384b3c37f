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
	admission   *admissionControl // of the memory for heads, nil for no limit

	relayTimeout, bufferedTimeout time.Duration // without progress of a write

	mu   sync.Mutex
	open map[*callerConn]struct{}
	last uint64 // id of the last connection
}

func newCallerConns(idleTimeout func() time.Duration, log event.Log, scope tally.Scope) *callerConns {
	return &callerConns{
		idleTimeout:     idleTimeout,
		log:             log,
		scope:           scope,
		relayTimeout:    relayTimeout,
		bufferedTimeout: bufferedTimeout,
		open:            map[*callerConn]struct{}{},
	}
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
	c := &callerConn{TCPConn: conn, raw: raw, conns: l.conns, memory: lease{admission: l.conns.admission, use: response}}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	l.conns.last++
	c.id = l.conns.last
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
	c := callerConnOf(ctx)
	return c != nil && c.closedAsIdle()
}

// callerConnOf returns the connection of a request with the context ctx, nil if it is not
// tracked.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// closeExpired closes the connections whose idle timeout has passed at now.
func (cc *callerConns) closeExpired(now time.Time) {
	timeout := cc.idleTimeout()
	closed, _ := cc.closeIdle(func(c *callerConn) bool { return c.expired(now, timeout) })
	cc.recordClosed(closed, "idle")
}

// drainInterval is the interval at which drain looks for idle connections.
const drainInterval = 10 * time.Millisecond

// drain closes each connection as soon as it is idle, until none is open or ctx is
// done. It reports whether none is open.
func (cc *callerConns) drain(ctx context.Context) bool {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	total := 0
	defer func() { cc.recordClosed(total, "stopping") }()
	for {
		closed, open := cc.closeIdle(func(*callerConn) bool { return true })
		total += closed
		if open == 0 {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

// closeIdle closes the idle connections that match. It returns their number and that
// of the connections that stay open.
func (cc *callerConns) closeIdle(match func(*callerConn) bool) (closed, open int) {
	for _, c := range cc.list() {
		if c.closeIfIdle(match) {
			closed++
		} else {
			open++
		}
	}
	return closed, open
}

// recordClosed logs and counts n connections that were closed.
func (cc *callerConns) recordClosed(n int, reason string) {
	if n == 0 {
		return
	}
	cc.log.Event(event.CallersClosed).Int("connections", n).Str("reason", reason).Send()
	cc.scope.Tagged(map[string]string{"reason": reason}).Counter("caller_connections_closed").Inc(int64(n))
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
