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

	"github.com/borageusher/borageusher/internal/socket"
)

const idHeader = "Test-Id"

func identify(h http.Header) string { return h.Get(idHeader) }

// fakeTarget is a target on a loopback address that writes given bytes for each
// request.
type fakeTarget struct {
	addr    netip.AddrPort
	conns   atomic.Int32
	reset   bool // connections are reset instead of closed
	headers chan http.Header
}

// newFakeTarget starts a target that writes the bytes returned by respond for each
// request on a connection, and closes the connection when more is false. n is the
// number of earlier requests on the connection.
func newFakeTarget(t *testing.T, respond func(n int, r *http.Request) (bytes string, more bool)) *fakeTarget {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	s := &fakeTarget{addr: netip.MustParseAddrPort(ln.Addr().String()), headers: make(chan http.Header, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c, respond)
		}
	}()
	return s
}

func (s *fakeTarget) serve(c net.Conn, respond func(n int, r *http.Request) (string, bool)) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		text, more := respond(n, r)
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

func responseText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func newGetRequest(id string) *Request {
	return &Request{ID: id, Method: "GET", URI: "/x?q=1", Host: "h", Header: http.Header{idHeader: {id}}}
}

// fetch sends a request and returns the body of its response.
func fetch(c *Client, addr netip.AddrPort, r *Request) (string, error) {
	resp, err := c.Do(context.Background(), addr, r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	b, err := io.ReadAll(resp)
	return string(b), err
}

func TestReuse(t *testing.T) {
	convey.Convey("Given a target that keeps connections open", t, func() {
		s := newFakeTarget(t, func(_ int, r *http.Request) (string, bool) { return responseText(r.Header.Get(idHeader), "ok"), true })
		c := New(identify)
		convey.Convey("sequential requests reuse one connection", func() {
			for i := range 5 {
				body, err := fetch(c, s.addr, newGetRequest(fmt.Sprint(i)))
				convey.So(err, convey.ShouldBeNil)
				convey.So(body, convey.ShouldEqual, "ok")
			}
			convey.So(s.conns.Load(), convey.ShouldEqual, 1)
		})
		convey.Convey("a response that is closed before its end is read closes its connection", func() {
			resp, err := c.Do(context.Background(), s.addr, newGetRequest("1"))
			convey.So(err, convey.ShouldBeNil)
			resp.Close()
			_, err = fetch(c, s.addr, newGetRequest("2"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(s.conns.Load(), convey.ShouldEqual, 2)
		})
		convey.Convey("expired idle connections are closed", func() {
			_, err := fetch(c, s.addr, newGetRequest("1"))
			convey.So(err, convey.ShouldBeNil)
			c.CloseExpired(time.Now().Add(2 * idleTimeout))
			convey.So(len(c.idle), convey.ShouldEqual, 0)
		})
	})
}

func TestStrayResponses(t *testing.T) {
	convey.Convey("A late response to an earlier request on the connection is skipped", t, func() {
		s := newFakeTarget(t, func(n int, r *http.Request) (string, bool) {
			if n == 1 {
				return responseText("0", "late") + responseText(r.Header.Get(idHeader), "own"), true
			}
			return responseText(r.Header.Get(idHeader), "first"), true
		})
		c := New(identify)
		_, err := fetch(c, s.addr, newGetRequest("0"))
		convey.So(err, convey.ShouldBeNil)
		resp, err := c.Do(context.Background(), s.addr, newGetRequest("1"))
		convey.So(err, convey.ShouldBeNil)
		defer resp.Close()
		body, err := io.ReadAll(resp)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(body), convey.ShouldEqual, "own")
		convey.So(resp.Earlier, convey.ShouldEqual, 1)
		convey.So(resp.Skipped, convey.ShouldEqual, 1)
	})
	convey.Convey("A connection with unexpected data is not reused", t, func() {
		s := newFakeTarget(t, func(_ int, r *http.Request) (string, bool) {
			id := r.Header.Get(idHeader)
			return responseText(id, "own") + responseText(id, "extra"), true
		})
		c := New(identify)
		for i := range 3 {
			body, err := fetch(c, s.addr, newGetRequest(fmt.Sprint(i)))
			convey.So(err, convey.ShouldBeNil)
			convey.So(body, convey.ShouldEqual, "own")
			time.Sleep(20 * time.Millisecond)
		}
		convey.So(s.conns.Load(), convey.ShouldEqual, 3)
	})
}

func TestIncompleteResponses(t *testing.T) {
	tests := []struct {
		name, text string
		reset      bool
	}{
		{"empty", "", false},
		{"empty, reset", "", true},
		{"not HTTP", "\x16\x03\x01 hello\r\n\r\n", false},
		{"truncated header", "HTTP/1.1 200 OK\r\nTest-", false},
		{"shorter than Content-Length", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 10\r\n\r\nabc", false},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", false},
		{"no Content-Length, reset", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\nabc", true},
	}
	convey.Convey("An incomplete response is an error of a request that may have run", t, func() {
		for _, test := range tests {
			convey.Convey(test.name, func() {
				s := newFakeTarget(t, func(int, *http.Request) (string, bool) { return test.text, false })
				s.reset = test.reset
				resp, err := New(identify).Do(context.Background(), s.addr, newGetRequest("1"))
				if err != nil {
					convey.So(WasSent(err), convey.ShouldBeTrue)
					return
				}
				defer resp.Close()
				_, err = io.ReadAll(resp)
				convey.So(err, convey.ShouldNotBeNil)
			})
		}
	})
	convey.Convey("A response without Content-Length is complete when its connection is closed, and the connection is not reused", t, func() {
		keep := "Connection: keep-alive\r\n"
		for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n" + keep, "HTTP/1.0 200 OK\r\n", "HTTP/1.0 200 OK\r\n" + keep} {
			s := newFakeTarget(t, func(int, *http.Request) (string, bool) { return head + "Test-Id: 1\r\n\r\nabc", false })
			c := New(identify)
			resp, err := c.Do(context.Background(), s.addr, newGetRequest("1"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.UntilClose, convey.ShouldBeTrue)
			body, err := io.ReadAll(resp)
			resp.Close()
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(body), convey.ShouldEqual, "abc")
			convey.So(len(c.idle[s.addr]), convey.ShouldEqual, 0)
		}
	})
}

func TestNeverSent(t *testing.T) {
	convey.Convey("A request to an address without a listener was never sent", t, func() {
		// Port 1 has no listener. A connection to a port that was just released could
		// connect to itself.
		_, err := fetch(New(identify), netip.MustParseAddrPort("127.0.0.1:1"), newGetRequest("1"))
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(WasSent(err), convey.ShouldBeFalse)
	})
	convey.Convey("A request whose context is done before was never sent", t, func() {
		s := newFakeTarget(t, func(int, *http.Request) (string, bool) { return responseText("1", ""), true })
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := New(identify).Do(ctx, s.addr, newGetRequest("1"))
		convey.So(WasSent(err), convey.ShouldBeFalse)
	})
}

func TestCancel(t *testing.T) {
	convey.Convey("When the request's context is canceled, the connection to the target is closed immediately", t, func() {
		closed := make(chan struct{})
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
			_, _ = br.ReadByte() // returns when the connection is closed
			close(closed)
		}()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err = New(identify).Do(ctx, netip.MustParseAddrPort(ln.Addr().String()), newGetRequest("1"))
		convey.So(WasSent(err), convey.ShouldBeTrue)
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			t.Fatal("the connection is still open")
		}
	})
}

func TestEarlyResponse(t *testing.T) {
	convey.Convey("A response sent before a long body was read is returned, and the connection is not reused", t, func() {
		s := newFakeTarget(t, func(int, *http.Request) (string, bool) { return responseText("1", "early"), false })
		r := newGetRequest("1")
		r.Method, r.Body = "POST", make([]byte, 8<<20)
		c := New(identify)
		body, err := fetch(c, s.addr, r)
		if err == nil {
			convey.So(body, convey.ShouldEqual, "early")
		} else {
			convey.So(WasSent(err), convey.ShouldBeTrue) // the reset arrived before the response was read
		}
		convey.So(len(c.idle[s.addr]), convey.ShouldEqual, 0)
	})
}

func TestRequestHead(t *testing.T) {
	convey.Convey("The request line and headers are written unchanged", t, func() {
		r := &Request{Method: "POST", URI: "/a%2f/b?x=%20", Host: "h.example", Header: http.Header{"X-One": {"1"}}, HasBody: true}
		convey.So(string(r.head()), convey.ShouldEqual, "POST /a%2f/b?x=%20 HTTP/1.1\r\nHost: h.example\r\nX-One: 1\r\nContent-Length: 0\r\n\r\n")
	})
	convey.Convey("A connection is reused within a share of the idle timeout that the target announces", t, func() {
		convey.So(reusePeriod(http.Header{"Keep-Alive": {"timeout=10, max=5"}}), convey.ShouldEqual, 7*time.Second)
		convey.So(reusePeriod(http.Header{}), convey.ShouldEqual, idleTimeout)
	})
}

// TestBodyOfEarlyResponse guards against a request's body that is still used, and takes
// memory, after the request has ended.
func TestBodyOfEarlyResponse(t *testing.T) {
	convey.Convey("A body that the target does not read is not used after the response is closed, or after an error", t, func() {
		for _, text := range []string{responseText("1", "early"), "no response\r\n\r\n"} {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			convey.So(err, convey.ShouldBeNil)
			go func() {
				c, err := ln.Accept()
				if err == nil {
					_, _ = c.Read(make([]byte, 1024)) // the body is not read
					_, _ = io.WriteString(c, text)
				}
			}()
			req := newGetRequest("1")
			req.Method, req.HasBody, req.Body = http.MethodPost, true, make([]byte, 32<<20)
			addr := netip.MustParseAddrPort(ln.Addr().String())
			c, err := dial(context.Background(), addr, socket.Buffers{})
			convey.So(err, convey.ShouldBeNil)
			client := New(identify)
			c.expires = time.Now().Add(time.Minute)
			client.release(c, true) // is used for the request
			resp, err := client.Do(context.Background(), addr, req)
			if err == nil {
				_, err = io.Copy(io.Discard, resp)
				convey.So(err, convey.ShouldBeNil)
				resp.Close()
			}
			select {
			case <-c.bodyDone:
			default:
				t.Error("the body is still used")
			}
			_ = ln.Close()
		}
	})
}
