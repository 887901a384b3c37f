package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

// TestPartlySentRequest guards against a request that counts as never sent although the
// target has received a part of it.
func TestPartlySentRequest(t *testing.T) {
	convey.Convey("A request of which the target received any byte counts as sent", t, func() {
		rng := rand.New(rand.NewPCG(1, 0))
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = ln.Close() }()
		var mu sync.Mutex
		received := &bytes.Buffer{}
		limit := 0 // bytes after which the target resets the connection
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					mu.Lock()
					n := limit
					mu.Unlock()
					b := make([]byte, n)
					k, _ := io.ReadFull(c, b)
					mu.Lock()
					received.Write(b[:k])
					mu.Unlock()
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				}()
			}
		}()
		c := New(identify)
		addr := netip.MustParseAddrPort(ln.Addr().String())
		unsent := 0
		for i := range 400 {
			id := fmt.Sprintf("id-%d-", i)
			r := newGetRequest(id)
			r.Method, r.Body = id, make([]byte, []int{0, 100, maxInlineBodyBytes, 1 << 20}[rng.IntN(4)])
			mu.Lock()
			limit = len(id) + rng.IntN(1<<rng.IntN(18))
			mu.Unlock()
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(1<<rng.IntN(23))))
			_, err := c.Do(ctx, addr, r)
			cancel()
			convey.So(err, convey.ShouldNotBeNil)
			if WasSent(err) {
				continue
			}
			unsent++
			time.Sleep(2 * time.Millisecond)
			mu.Lock()
			convey.So(bytes.Contains(received.Bytes(), []byte(id)), convey.ShouldBeFalse)
			mu.Unlock()
		}
		convey.So(unsent, convey.ShouldBeBetween, 0, 400)
	})
}

// TestDialTimeout guards against a request that is sent after its dial timed out.
func TestDialTimeout(t *testing.T) {
	convey.Convey("A request whose connection is not accepted in time was never sent", t, func() {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = unix.Close(fd) }()
		convey.So(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), convey.ShouldBeNil)
		convey.So(unix.Listen(fd, 0), convey.ShouldBeNil)
		name, err := unix.Getsockname(fd)
		convey.So(err, convey.ShouldBeNil)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*unix.SockaddrInet4).Port))
		waiting, err := net.Dial("tcp4", addr.String()) // fills the queue of new connections
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = waiting.Close() }()
		began := time.Now()
		_, err = New(identify).Do(context.Background(), addr, newGetRequest("1"))
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(time.Since(began), convey.ShouldBeGreaterThanOrEqualTo, dialTimeout)
		convey.So(WasSent(err), convey.ShouldBeFalse)
		first, _, err := unix.Accept(fd)
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = unix.Close(first) }()
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}, {Fd: int32(first), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 1500) // a SYN would be sent again after a second
		convey.So(err, convey.ShouldBeNil)
		convey.So(n, convey.ShouldEqual, 0)
	})
}
