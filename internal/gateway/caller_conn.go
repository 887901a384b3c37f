package gateway

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/borageusher/borageusher/internal/socket"
	"github.com/borageusher/borageusher/internal/upstream"
)

// callerConn is a caller's connection. A request is in progress on it from its first
// byte until the server waits for the next one. The states of http.Server don't show
// this, because they change only after the whole head of a request has been read.
//
// Reading and the decision to close the connection exclude each other, so that a
// connection is never closed between the read of a byte and its record.
type callerConn struct {
	*net.TCPConn
	raw   syscall.RawConn
	conns *callerConns

	mu        sync.Mutex
	head      upstream.HeadMeter // of the request in progress
	memory    lease              // for its head, until the response is written
	busy      bool               // a request is in progress
	responded bool               // the response has been written; the next Read ends the request
	ahead     bool               // the last Read returned one byte, which the server keeps for the next request
	closed    bool               // closed as idle
	dropped   dropReason         // why it was reset, empty if it was not
	idleSince time.Time
	timeout   time.Duration // idle timeout in force at idleSince, on which the caller relies

	id         uint64       // unique in a process
	written    atomic.Int64 // bytes passed to the kernel
	writeUntil time.Time    // deadline of writes, zero for none; guarded by mu
}

// recordResponse records that the response to a request was written at now, and the
// idle timeout in force.
func (c *callerConn) recordResponse(now time.Time, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded, c.idleSince, c.timeout = true, now, timeout
	c.head.Reset()
	c.memory.shrink(0)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	waits := c.responded // for the next request
	if waits {
		c.responded, c.busy = false, c.ahead
		if c.ahead {
			c.head.Begin()
		}
	}
	partial := waits && c.ahead
	c.mu.Unlock()
	if partial {
		c.limitHead()
	}
	n := 0
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		n, readErr = c.tryRead(int(fd), p)
		return !errors.Is(readErr, unix.EAGAIN)
	})
	var op *net.OpError
	switch {
	case errors.As(err, &op):
		return 0, c.readError(op.Err)
	case err != nil:
		return 0, c.readError(err)
	case errors.Is(readErr, errHeadMemory):
		c.rejectHead()
		return 0, c.readError(readErr)
	case readErr != nil:
		return 0, c.readError(readErr)
	case n == 0:
		return 0, io.EOF
	}
	if waits && !partial {
		c.limitHead()
	}
	return n, nil
}

// limitHead limits the time in which the head of a request arrives that has begun to.
// The server limits it only from the fourth byte on.
func (c *callerConn) limitHead() { _ = c.TCPConn.SetReadDeadline(time.Now().Add(headerTimeout)) }

// SetReadDeadline implements net.Conn. After a response, the server sets a deadline
// only once the next request has begun to arrive, also if that was read before the
// response.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.mu.Lock()
		c.responded = false // the head is not metered, as its end may have been read as well
		c.mu.Unlock()
	}
	return c.TCPConn.SetReadDeadline(t)
}

// tryRead reads without waiting and records a request that begins to arrive.
func (c *callerConn) tryRead(fd int, p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	for {
		n, err := unix.Read(fd, p)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return 0, err
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		}
		if n > 0 && !c.busy {
			c.head.Begin()
		}
		c.busy = c.busy || n > 0
		c.head.Add(p[:n])
		if more := c.head.Cost() - upstream.FreeHeadCost - c.memory.bytes; more > 0 && !c.memory.reserve(more) {
			return 0, errHeadMemory
		}
		c.ahead = len(p) == 1 && n == 1
		return n, nil
	}
}

// errHeadMemory is the error of a request's head for which there is no memory.
var errHeadMemory = errors.New("no memory for the head")

// rejectionText is the response to a request whose head was not read.
const rejectionText = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// rejectionTimeout limits the write of rejectionText, which fits into the buffer of a
// connection.
const rejectionTimeout = 100 * time.Millisecond

// rejectHead responds to a request whose head is not read to its end. The server closes the
// connection.
func (c *callerConn) rejectHead() {
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(rejectionTimeout))
	_, _ = io.WriteString(c.TCPConn, rejectionText)
}

// readError returns the error of a Read in the form that package net uses.
func (c *callerConn) readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// expired reports whether the idle timeout has passed at now. The longer one of that
// at the beginning of the idle period and the present one applies. The caller holds
// c.mu.
func (c *callerConn) expired(now time.Time, timeout time.Duration) bool {
	return timeout > 0 && !c.idleSince.IsZero() && now.Sub(c.idleSince) > max(timeout, c.timeout)
}

// closeIfIdle closes the connection if match returns true, no request is in progress
// and none is in the receive buffer. It reports whether it did.
func (c *callerConn) closeIfIdle(match func(*callerConn) bool) bool {
	c.mu.Lock()
	idle := !c.closed && !c.busy && match(c) && socket.Quiescent(c.raw)
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close() // waits for Read, which needs c.mu
	}
	return idle
}

func (c *callerConn) closedAsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.conns.remove(c)
	err := c.TCPConn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.shrink(0)
	return err
}
