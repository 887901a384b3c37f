package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const idHeader = "Test-Id"

func identify(h http.Header) string { return h.Get(idHeader) }

// standIn is a target that answers each request on a connection with the bytes
// that answer returns, and closes the connection when more is false.
type standIn struct {
	addr    netip.AddrPort
	conns   atomic.Int32
	reset   bool // connections are reset rather than closed
	headers chan http.Header
}

func newStandIn(t *testing.T, answer func(n int, r *http.Request) (bytes string, more bool)) *standIn {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &standIn{addr: netip.MustParseAddrPort(ln.Addr().String()), headers: make(chan http.Header, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c, answer)
		}
	}()
	return s
}

func (s *standIn) serve(c net.Conn, answer func(n int, r *http.Request) (string, bool)) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		text, more := answer(n, r)
		if more {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = c.Write([]byte(text))
		if !more {
			if s.reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func get(id string) *Request {
	return &Request{ID: id, Method: "GET", URI: "/x?q=1", Host: "h", Header: http.Header{idHeader: {id}}}
}

// fetch returns the body of the answer, or how the request ended.
func fetch(c *Client, addr netip.AddrPort, r *Request) (string, error) {
	a, err := c.Do(context.Background(), addr, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

func TestReuse(t *testing.T) {
	convey.Convey("Given a target that keeps connections", t, func() {
		s := newStandIn(t, func(_ int, r *http.Request) (string, bool) { return response(r.Header.Get(idHeader), "ok"), true })
		c := New(identify)
		convey.Convey("requests in a row share one", func() {
			for i := range 5 {
				body, err := fetch(c, s.addr, get(fmt.Sprint(i)))
				convey.So(err, convey.ShouldBeNil)
				convey.So(body, convey.ShouldEqual, "ok")
			}
			convey.So(s.conns.Load(), convey.ShouldEqual, 1)
		})
		convey.Convey("an answer that was not read to its end ends its connection", func() {
			a, err := c.Do(context.Background(), s.addr, get("1"))
			convey.So(err, convey.ShouldBeNil)
			a.Close()
			_, err = fetch(c, s.addr, get("2"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(s.conns.Load(), convey.ShouldEqual, 2)
		})
		convey.Convey("idle ones are closed when they expire", func() {
			_, err := fetch(c, s.addr, get("1"))
			convey.So(err, convey.ShouldBeNil)
			c.CloseIdle(time.Now().Add(2 * idleTimeout))
			convey.So(len(c.idle), convey.ShouldEqual, 0)
		})
	})
}

func TestStrayAnswers(t *testing.T) {
	convey.Convey("An answer of another request on the connection is skipped", t, func() {
		s := newStandIn(t, func(n int, r *http.Request) (string, bool) {
			if n == 1 {
				return response("0", "late") + response(r.Header.Get(idHeader), "own"), true
			}
			return response(r.Header.Get(idHeader), "first"), true
		})
		c := New(identify)
		_, err := fetch(c, s.addr, get("0"))
		convey.So(err, convey.ShouldBeNil)
		body, err := fetch(c, s.addr, get("1"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(body, convey.ShouldEqual, "own")
	})
	convey.Convey("A connection with bytes that nobody asked for is not used again", t, func() {
		s := newStandIn(t, func(_ int, r *http.Request) (string, bool) {
			id := r.Header.Get(idHeader)
			return response(id, "own") + response(id, "extra"), true
		})
		c := New(identify)
		for i := range 3 {
			body, err := fetch(c, s.addr, get(fmt.Sprint(i)))
			convey.So(err, convey.ShouldBeNil)
			convey.So(body, convey.ShouldEqual, "own")
			time.Sleep(20 * time.Millisecond)
		}
		convey.So(s.conns.Load(), convey.ShouldEqual, 3)
	})
}

func TestBrokenAnswers(t *testing.T) {
	tests := []struct {
		about, text string
		reset       bool
	}{
		{"nothing", "", false},
		{"nothing, reset", "", true},
		{"no HTTP", "\x16\x03\x01 hello\r\n\r\n", false},
		{"half a head", "HTTP/1.1 200 OK\r\nTest-", false},
		{"less than its length", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 10\r\n\r\nabc", false},
		{"half a chunk", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", false},
		{"no length, reset", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\nabc", true},
	}
	convey.Convey("An answer that is not whole is an error of a request that may have run", t, func() {
		for _, test := range tests {
			convey.Convey(test.about, func() {
				s := newStandIn(t, func(int, *http.Request) (string, bool) { return test.text, false })
				s.reset = test.reset
				a, err := New(identify).Do(context.Background(), s.addr, get("1"))
				if err != nil {
					convey.So(WasSent(err), convey.ShouldBeTrue)
					return
				}
				defer a.Close()
				_, err = io.ReadAll(a)
				convey.So(err, convey.ShouldNotBeNil)
			})
		}
	})
	convey.Convey("One without a length that ends with its connection is whole", t, func() {
		s := newStandIn(t, func(int, *http.Request) (string, bool) { return "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\nabc", false })
		body, err := fetch(New(identify), s.addr, get("1"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(body, convey.ShouldEqual, "abc")
	})
}

func TestNeverSent(t *testing.T) {
	convey.Convey("A request to an address without a listener was never sent", t, func() {
		// Nothing listens at port 1; a port that was just closed could connect to itself.
		_, err := fetch(New(identify), netip.MustParseAddrPort("127.0.0.1:1"), get("1"))
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(WasSent(err), convey.ShouldBeFalse)
	})
	convey.Convey("Nor was one whose caller left before", t, func() {
		s := newStandIn(t, func(int, *http.Request) (string, bool) { return response("1", ""), true })
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := New(identify).Do(ctx, s.addr, get("1"))
		convey.So(WasSent(err), convey.ShouldBeFalse)
	})
}

func TestCancel(t *testing.T) {
	convey.Convey("When the caller leaves, the target's connection ends at once", t, func() {
		gone := make(chan struct{})
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = ln.Close() }()
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			br := bufio.NewReader(c)
			_, _ = http.ReadRequest(br)
			_, _ = br.ReadByte() // until the connection ends
			close(gone)
		}()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err = New(identify).Do(ctx, netip.MustParseAddrPort(ln.Addr().String()), get("1"))
		convey.So(WasSent(err), convey.ShouldBeTrue)
		select {
		case <-gone:
		case <-time.After(5 * time.Second):
			t.Fatal("the target still waits")
		}
	})
}

func TestEarlyAnswer(t *testing.T) {
	convey.Convey("A target that answers before it has read a long body is heard, and the connection not used again", t, func() {
		s := newStandIn(t, func(int, *http.Request) (string, bool) { return response("1", "early"), false })
		r := get("1")
		r.Method, r.Body = "POST", make([]byte, 8<<20)
		c := New(identify)
		body, err := fetch(c, s.addr, r)
		if err == nil {
			convey.So(body, convey.ShouldEqual, "early")
		} else {
			convey.So(WasSent(err), convey.ShouldBeTrue) // the reset overtook the answer
		}
		convey.So(len(c.idle[s.addr]), convey.ShouldEqual, 0)
	})
}

func TestHead(t *testing.T) {
	convey.Convey("The request is written as the caller sent it", t, func() {
		r := &Request{Method: "POST", URI: "/a%2f/b?x=%20", Host: "h.example", Header: http.Header{"X-One": {"1"}}, Sized: true}
		convey.So(string(r.head()), convey.ShouldEqual, "POST /a%2f/b?x=%20 HTTP/1.1\r\nHost: h.example\r\nX-One: 1\r\nContent-Length: 0\r\n\r\n")
	})
	convey.Convey("The idle time that a target tells is kept with a margin", t, func() {
		convey.So(keepFor(http.Header{"Keep-Alive": {"timeout=10, max=5"}}), convey.ShouldEqual, 7*time.Second)
		convey.So(keepFor(http.Header{}), convey.ShouldEqual, idleTimeout)
	})
}
