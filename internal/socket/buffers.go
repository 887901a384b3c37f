package socket

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Buffers are the sizes in bytes of a connection's buffers in the kernel, as requested
// from it. Zero leaves a size to the kernel, which lets it grow with the throughput. The
// kernel doubles the sizes, to allow for its overhead, so that a queue holds up to twice
// as many bytes.
type Buffers struct {
	Receive, Send int
}

// Set sets the sizes of a socket's buffers. Connections that a listener accepts inherit
// its sizes.
func (b Buffers) Set(raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		if b.Receive > 0 {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, b.Receive)
		}
		if b.Send > 0 && optErr == nil {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, b.Send)
		}
	})
	return errors.Join(err, optErr)
}

// Queued returns the bytes of a connection that were received and not read yet, and those
// that were written and not acknowledged yet. Both are zero for a closed one.
func Queued(raw syscall.RawConn) (received, unsent int64) {
	_ = raw.Control(func(fd uintptr) { // fails for a closed connection
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ); err == nil {
			received = int64(n)
		}
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unsent = int64(n)
		}
	})
	return received, unsent
}
