package gateway

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// reuseAddress lets several sockets of this process use the same port.
func reuseAddress(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	if err != nil {
		return err
	}
	return optErr
}

// listenAgain listens at an address whose port may be reserved.
func listenAgain(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: reuseAddress}
	return lc.Listen(context.Background(), "tcp4", addr)
}

// reservePort keeps the port of ln from other processes until the end of the test, also
// while nothing listens there. Otherwise another socket may get the port of a target
// that is down.
func reservePort(t *testing.T, ln net.Listener) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) }) // no data is lost
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(ln.Addr().String())
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}); err != nil {
		t.Fatal(err)
	}
}

// A test failed with "address already in use" when a target listened again: another
// socket of the machine had got its port meanwhile.
func TestReservedPort(t *testing.T) {
	ln, err := listenAgain("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reservePort(t, ln)
	addr := ln.Addr().String()
	_ = ln.Close()
	if c, err := net.Dial("tcp4", addr); err == nil {
		_ = c.Close()
		t.Error("a connection to a reserved port without a listener was accepted")
	}
	if other, err := net.Listen("tcp4", addr); err == nil {
		_ = other.Close()
		t.Error("another socket got the reserved port")
	}
	again, err := listenAgain(addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = again.Close()
}
