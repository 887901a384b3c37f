package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// endlessTarget is a target that answers each request with a prefix and then with
// a text that it repeats until the connection is closed.
type endlessTarget struct {
	addr    netip.AddrPort
	written atomic.Int64  // bytes of all responses
	closed  chan struct{} // receives a value when a connection was closed by the client
}

// newEndlessTarget starts a target that pauses after each repetition of text.
func newEndlessTarget(t *testing.T, prefix, text string, pause time.Duration) *endlessTarget {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &endlessTarget{addr: netip.MustParseAddrPort(ln.Addr().String()), closed: make(chan struct{}, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c, prefix, text, pause)
		}
	}()
	return s
}

func (s *endlessTarget) serve(c net.Conn, prefix, text string, pause time.Duration) {
	defer func() {
		_ = c.Close()
		s.closed <- struct{}{}
	}()
	if _, err := io.WriteString(c, prefix); err != nil {
		return
	}
	for {
		n, err := io.WriteString(c, text)
		s.written.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Limits on what the client reads from a target without end: the socket buffers
// of loopback connections hold some MiB.
const (
	maxEndlessBytes = 16 << 20
	maxEndlessTime  = 3 * time.Second
)

func TestEndlessResponses(t *testing.T) {
	long := strings.Repeat("x", 4096)
	slow := 20 * time.Millisecond
	tests := []struct {
		name, prefix, text string
		pause              time.Duration
	}{
		{"status line", "HTTP/1.1 200 ", long, 0},
		{"no line end at all", "", long, 0},
		{"header line", "HTTP/1.1 200 OK\r\nX-Long: ", long, 0},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-More: " + long + "\r\n", 0},
		{"status line, slowly", "HTTP/1.1 200 ", "x", slow},
		{"header lines, slowly", "HTTP/1.1 200 OK\r\n", "X-More: x\r\n", slow},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		{"body of a response to another request", "HTTP/1.1 200 OK\r\nTest-Id: 0\r\n\r\n", long, 0},
		{"body of a response to another request, slowly", "HTTP/1.1 200 OK\r\nTest-Id: 0\r\n\r\n", "x", slow},
		{"chunk extension", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", long, 0},
		{"chunk extensions", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1;x=" + long[:1000] + "\r\na\r\n", 0},
		{"trailer", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", long, 0},
		{"trailers", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: " + long + "\r\n", 0},
	}
	convey.Convey("Bytes without end that belong to no body are an error, and the connection is closed", t, func() {
		for _, test := range tests {
			convey.Convey(test.name, func() {
				s := newEndlessTarget(t, test.prefix, test.text, test.pause)
				ctx, cancel := context.WithTimeout(context.Background(), 4*maxEndlessTime)
				defer cancel()
				began := time.Now()
				resp, err := New(identify).Do(ctx, s.addr, newGetRequest("1"))
				if err == nil {
					_, err = io.Copy(io.Discard, resp)
					resp.Close()
				} else {
					convey.So(WasSent(err), convey.ShouldBeTrue)
				}
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(ctx.Err(), convey.ShouldBeNil)
				convey.So(time.Since(began), convey.ShouldBeLessThan, maxEndlessTime)
				select {
				case <-s.closed:
				case <-time.After(5 * time.Second):
					t.Fatal("the connection is still open")
				}
				convey.So(s.written.Load(), convey.ShouldBeLessThan, maxEndlessBytes)
			})
		}
	})
	convey.Convey("The error names the limit", t, func() {
		s := newEndlessTarget(t, "HTTP/1.1 200 OK\r\nX-Long: ", long, 0)
		_, err := New(identify).Do(context.Background(), s.addr, newGetRequest("1"))
		convey.So(err.Error(), convey.ShouldContainSubstring, "65536 bytes")
		s = newEndlessTarget(t, "HTTP/1.1 200 OK\r\nX-Long: ", "x", slow)
		_, err = New(identify).Do(context.Background(), s.addr, newGetRequest("1"))
		convey.So(err.Error(), convey.ShouldContainSubstring, "1s after its first byte")
	})
	convey.Convey("Bytes after a complete body are not read, and the connection is not reused", t, func() {
		s := newEndlessTarget(t, responseText("1", "own"), long, 0)
		c := New(identify)
		body, err := fetch(c, s.addr, newGetRequest("1"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(body, convey.ShouldEqual, "own")
		time.Sleep(20 * time.Millisecond) // for bytes in transit
		ctx, cancel := context.WithTimeout(context.Background(), maxEndlessTime)
		defer cancel()
		_, _ = c.Do(ctx, s.addr, newGetRequest("2")) // closes the idle connection in any case
		select {
		case <-s.closed:
		case <-time.After(5 * time.Second):
			t.Fatal("the connection is still open")
		}
	})
}

func TestDiscard(t *testing.T) {
	convey.Convey("A body without end that is discarded takes a limited time, and its connection is closed", t, func() {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			s := newEndlessTarget(t, "HTTP/1.1 421 X\r\nTest-Id: 1\r\n\r\n", "x", pause)
			resp, err := New(identify).Do(context.Background(), s.addr, newGetRequest("1"))
			convey.So(err, convey.ShouldBeNil)
			began := time.Now()
			resp.Discard()
			convey.So(time.Since(began), convey.ShouldBeLessThan, time.Second)
			resp.Close()
			select {
			case <-s.closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
		}
	})
	convey.Convey("A short body that is discarded leaves the connection usable", t, func() {
		s := newFakeTarget(t, func(_ int, r *http.Request) (string, bool) {
			return responseText(r.Header.Get(idHeader), "refused"), true
		})
		c := New(identify)
		for i := range 3 {
			resp, err := c.Do(context.Background(), s.addr, newGetRequest(fmt.Sprint(i)))
			convey.So(err, convey.ShouldBeNil)
			resp.Discard()
			resp.Close()
		}
		convey.So(s.conns.Load(), convey.ShouldEqual, 1)
	})
}

func TestHeadMemory(t *testing.T) {
	lines := strings.Repeat("X-More: x\r\n", 1000)
	get := func(text string, available int64) (reserved int64, err error) {
		s := newFakeTarget(t, func(int, *http.Request) (string, bool) { return text, false })
		req := newGetRequest("1")
		req.Reserve = func(n int64) bool {
			if reserved+n > available {
				return false
			}
			reserved += n
			return true
		}
		resp, err := New(identify).Do(context.Background(), s.addr, req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp)
			resp.Close()
		}
		return reserved, err
	}
	convey.Convey("Long heads need memory, by their lines and their bytes", t, func() {
		reserved, err := get("HTTP/1.1 200 OK\r\nTest-Id: 1\r\n"+lines+"Content-Length: 0\r\n\r\n", 1<<20)
		convey.So(err, convey.ShouldBeNil)
		convey.So(reserved, convey.ShouldBeGreaterThan, 1000*headLineCost)
		_, err = get("HTTP/1.1 200 OK\r\nTest-Id: 1\r\n"+lines+"Content-Length: 0\r\n\r\n", 100<<10)
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(WasSent(err), convey.ShouldBeTrue)
		convey.So(err.Error(), convey.ShouldContainSubstring, "memory for responses")
	})
	convey.Convey("The heads that are skipped count too", t, func() {
		reserved, err := get("HTTP/1.1 100 Continue\r\n"+lines[:3300]+"\r\nHTTP/1.1 100 Continue\r\n"+lines[:3300]+"\r\n"+responseText("1", "own"), 1<<20)
		convey.So(err, convey.ShouldBeNil)
		convey.So(reserved, convey.ShouldBeGreaterThan, 500*headLineCost)
	})
	convey.Convey("A short head needs none, whatever its body", t, func() {
		reserved, err := get("HTTP/1.1 200 OK\r\nTest-Id: 1\r\n"+lines[:220]+"\r\n"+strings.Repeat("\n", 100<<10), 0)
		convey.So(err, convey.ShouldBeNil)
		convey.So(reserved, convey.ShouldEqual, 0)
	})
}
