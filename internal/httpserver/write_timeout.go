package httpserver

import (
	"net"
	"time"
)

// writeTimeoutListener accepts connections with a write timeout. It bounds how
// long a caller that stops reading keeps the memory of its response in use.
type writeTimeoutListener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
func (l writeTimeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return writeTimeoutConn{Conn: conn, timeout: l.timeout}, nil
}

// writeTimeoutConn is a connection that applies a timeout to each write.
type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements net.Conn.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
