package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times of connections.
const (
	// dialTimeout bounds the opening of a connection: some round trips between
	// regions, and less than the second after which a lost SYN is sent again.
	dialTimeout = 400 * time.Millisecond
	// deadPathTimeout ends a connection whose data or probes the target's VM does
	// not acknowledge: a few retransmissions on a path that loses packets.
	deadPathTimeout = 1500 * time.Millisecond
	// probeInterval is the pause between keep-alive probes; the kernel counts
	// whole seconds.
	probeInterval = time.Second
	// idleTimeout is how long a connection is kept for reuse when the target
	// does not tell its own timeout.
	idleTimeout = 4 * time.Second
	// idleMargin is the part of the target's idle timeout after which a
	// connection is not used again, because the target may be closing it.
	idleMargin = 0.7
)

// bufferBytes is the size of a connection's read buffer.
const bufferBytes = 4 << 10

// conn is one connection to a target. It serves one request at a time.
type conn struct {
	net.Conn
	addr    netip.AddrPort
	reader  *bufio.Reader
	expires time.Time     // not used again from then on
	written chan struct{} // closed once the request's body is written, nil when it is
}

func dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 2},
		Control:         limitUnacknowledged,
	}
	c, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, &Error{Op: "dial", Kind: Unreachable, Err: err}
	}
	return &conn{Conn: c, addr: addr, reader: bufio.NewReaderSize(c, bufferBytes)}, nil
}

// limitUnacknowledged bounds the time that written data stays unacknowledged.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		ms := int(deadPathTimeout / time.Millisecond)
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	if err != nil {
		return err
	}
	return failed
}

// quiet reports whether the target has neither closed the connection nor sent
// bytes that no request asked for.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN
	})
	return err == nil && quiet
}

// abort resets the connection. What was written and is still held up on the way
// is dropped, so that the target does not start it when nobody waits any more.
func (c *conn) abort() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0) // the connection is given up either way
	_ = c.Close()
}

// reusable reports whether another request may follow a whole answer.
func (c *conn) reusable(a *Answer) bool {
	if c.written != nil {
		select {
		case <-c.written:
		default:
			return false // answered before the whole request was read
		}
	}
	return a.Length >= -1 && !c.closing(a.Header) && c.reader.Buffered() == 0
}

func (c *conn) closing(h http.Header) bool {
	for _, v := range h.Values("Connection") {
		for _, option := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "close") {
				return true
			}
		}
	}
	return false
}

// keepFor returns how long the connection may be idle before its next use, from
// the target's Keep-Alive header.
func keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(idleMargin * float64(n) * float64(time.Second))
		}
	}
	return idleTimeout
}
