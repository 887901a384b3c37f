package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/borageusher/borageusher/internal/socket"
)

// Timeouts of connections.
const (
	// dialTimeout limits the opening of a connection. It covers several round
	// trips between regions and is below the one second after which a lost SYN is
	// retransmitted.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout closes a connection whose data or keep-alive probes the
	// target's VM does not acknowledge. It allows for a few retransmissions on a
	// path with packet loss.
	unackedTimeout = 1500 * time.Millisecond
	// probeInterval is the interval of keep-alive probes, which the kernel
	// measures in whole seconds.
	probeInterval = time.Second
	// idleTimeout is the time for which a connection is kept for reuse when the
	// target does not announce its own timeout.
	idleTimeout = 4 * time.Second
	// idleTimeoutShare is the share of the target's idle timeout after which a
	// connection is not reused, because the target may be closing it.
	idleTimeoutShare = 0.7
)

// Limits of a connection's memory.
const (
	// readBufferBytes is the size of the read buffer.
	readBufferBytes = 4 << 10
	// maxRequests limits the requests that are sent over a connection, whose ids take
	// 8 bytes each.
	maxRequests = 64
)

// conn is one connection to a target. It serves one request at a time.
type conn struct {
	net.Conn
	addr        netip.AddrPort
	limit       *headLimit // of the bytes that reader may read
	reader      *bufio.Reader
	sent        []uint64      // hashes of the ids of all requests sent
	expires     time.Time     // time from which the connection is not reused
	bodyWritten chan struct{} // closed when the request's body has been written, nil if it was written inline
	bodyDone    chan struct{} // closed when the request's body is not used any more, nil as bodyWritten
	idleAt      time.Time     // when the last response was complete
	onClose     func()        // called when it is closed first, if set
	closeOnce   sync.Once
}

func dial(ctx context.Context, addr netip.AddrPort, buffers socket.Buffers) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error { // the receive buffer counts from the handshake on
			return errors.Join(setUserTimeout(raw), buffers.Set(raw))
		},
	}
	c, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return nil, &Error{Op: "dial", Kind: Unreachable, Err: err}
	}
	limit := &headLimit{r: c}
	limit.lift()
	return &conn{Conn: c, addr: addr, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}, nil
}

// setUserTimeout limits the time for which written data stays unacknowledged to
// unackedTimeout.
func setUserTimeout(raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		ms := int(unackedTimeout / time.Millisecond)
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	if err != nil {
		return err
	}
	return optErr
}

// isQuiescent reports whether the target has neither closed the idle connection
// nor sent data on it.
func (c *conn) isQuiescent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	return socket.Quiescent(raw)
}

// queued returns the bytes in the connection's queues in the kernel.
func (c *conn) queued() (received, unsent int64) {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, 0
	}
	return socket.Queued(raw)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		if c.onClose != nil {
			c.onClose()
		}
	})
	return c.Conn.Close()
}

// abort resets the connection. Written data that the target has not received yet
// is dropped, so that the target does not start an abandoned request.
func (c *conn) abort() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0) // the connection is closed either way
	_ = c.Close()
}

// abandon resets the connection and waits until the request's body is not used any more.
func (c *conn) abandon() {
	c.abort()
	if c.bodyDone != nil {
		<-c.bodyDone
	}
}

// wroteBody ends the write of the request's body if it is still going on, and reports
// whether the whole body had been written. It waits only for the write to return.
func (c *conn) wroteBody() bool {
	if c.bodyDone == nil {
		return true
	}
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // in the past; on an error the connection is closed, which ends the write too
	<-c.bodyDone
	select {
	case <-c.bodyWritten:
		return true
	default:
		return false
	}
}

// untilCloseReader reads a body that ends with its connection. A background write that
// fails takes the error of a reset connection, after which a read sees its end, so the
// body is complete only if the request has been written.
type untilCloseReader struct {
	io.Reader
	conn *conn
}

func (r *untilCloseReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF && !r.conn.wroteBody() {
		return n, errEndedEarly
	}
	return n, err
}

// reusable reports whether another request may be sent after the response resp,
// which was read completely.
func (c *conn) reusable(resp *Response) bool {
	if c.bodyWritten != nil {
		select {
		case <-c.bodyWritten:
		default:
			return false // the target responded before the request was written completely
		}
	}
	return !c.hasCloseOption(resp.Header) && c.reader.Buffered() == 0 && len(c.sent) < maxRequests
}

// hasSent reports whether a request whose id has the given hash was sent.
func (c *conn) hasSent(id uint64) bool { return slices.Contains(c.sent, id) }

// hasCloseOption reports whether the Connection header contains close.
func (c *conn) hasCloseOption(h http.Header) bool {
	for _, v := range h.Values("Connection") {
		for _, option := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "close") {
				return true
			}
		}
	}
	return false
}

// reusePeriod returns the time for which an idle connection may be reused, from
// the Keep-Alive header of the target's response.
func reusePeriod(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return time.Duration(idleTimeoutShare * float64(n) * float64(time.Second))
		}
	}
	return idleTimeout
}
