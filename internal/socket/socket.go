// Package socket reads the state of TCP sockets.
//
// # Usage
//
//	if socket.Quiescent(raw) {
//		conn.Close()
//	}
package socket

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Quiescent reports whether the peer of a connection has neither closed it nor sent
// data that has not been read yet.
func Quiescent(raw syscall.RawConn) bool {
	noData := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = peekErr == unix.EAGAIN
	})
	return err == nil && noData
}
