package gateway

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/socket"
)

// Limits of a write to a caller.
const (
	// relayTimeout is the time without progress after which a caller is taken not to read
	// a response that is relayed while it arrives. It covers retransmissions on a path with
	// packet loss, and is below the time after which targets cut off a response that
	// remains unread: the target waits only once the write to the caller does.
	relayTimeout = 3 * time.Second
	// bufferedTimeout is that time for other responses, for which no target waits. A system
	// whose receive buffer is full acknowledges nothing before some tens of KiB of it have
	// been read, which took more than 2 s at 32 KiB/s.
	bufferedTimeout = 10 * time.Second
	// progressInterval is the interval at which a blocked write looks for progress.
	progressInterval = 250 * time.Millisecond
)

// dropReason says why a caller's connection was reset, in the form of the reasons of calls.
type dropReason string

const (
	callerStalled dropReason = "caller_stalled" // it took no byte for the timeout
	callerDropped dropReason = "caller_dropped" // the memory for unread responses was short
)

// errStalled is the error of a write to a caller that does not read.
var errStalled = errors.New("the caller reads nothing")

// Write implements net.Conn. It fails with errStalled if the caller makes no progress: the
// connection takes no byte and the caller's system acknowledges none. A write with a deadline
// is taken to be one of a response that is relayed while it arrives.
func (c *callerConn) Write(p []byte) (int, error) {
	written, unsent := 0, int64(-1) // unknown
	progressAt := time.Now()
	for {
		now := time.Now()
		until := c.writeDeadline()
		next := now.Add(progressInterval)
		if !until.IsZero() && until.Before(next) {
			next = until
		}
		if err := c.TCPConn.SetWriteDeadline(next); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(p[written:])
		written += n
		c.written.Add(int64(n))
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now = time.Now()
		if !until.IsZero() && !now.Before(until) {
			return written, err
		}
		_, left := socket.Queued(c.raw)
		if n > 0 || left < unsent {
			progressAt = now
		}
		unsent = left
		timeout := c.conns.bufferedTimeout
		if !until.IsZero() {
			timeout = c.conns.relayTimeout
		}
		if now.Sub(progressAt) >= timeout {
			c.drop(callerStalled, left)
			return written, errStalled
		}
	}
}

// SetWriteDeadline implements net.Conn. It applies to a Write that begins later.
func (c *callerConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeUntil = t
	return nil
}

func (c *callerConn) writeDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeUntil
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// drop makes the close of the connection reset it, so that the caller sees an incomplete
// response and the kernel frees the bytes that it has not taken, and records why.
func (c *callerConn) drop(reason dropReason, unread int64) {
	c.mu.Lock()
	first := c.dropped == "" && !c.closed
	if first {
		c.dropped = reason
	}
	c.mu.Unlock()
	if !first {
		return
	}
	_ = c.SetLinger(0) // fails if the connection is closed
	code := event.CallerStalled
	if reason == callerDropped {
		code = event.CallerDropped
	}
	c.conns.log.Event(code).Stringer("caller", c.RemoteAddr()).Int64("unread", unread).Send()
	c.conns.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("callers_reset").Inc(1)
}

// droppedBecause returns why the connection of a request with the context ctx was reset,
// empty if it was not.
func droppedBecause(ctx context.Context) dropReason {
	c := callerConnOf(ctx)
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}

var _ net.Conn = (*callerConn)(nil)
