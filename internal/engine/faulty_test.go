package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// newRawClient returns a client of an engine that writes the text returned by respond
// for each request and closes the connection if more is false. n is the number of
// earlier requests on the connection.
func newRawClient(t *testing.T, respond func(n int, r *http.Request) (text string, more bool)) *Client {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, respond)
		}
	}()
	return New(netip.MustParseAddrPort(ln.Addr().String()), 7)
}

func serveRaw(c net.Conn, respond func(n int, r *http.Request) (string, bool)) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text, more := respond(n, r)
		if _, err := io.WriteString(c, text); err != nil || !more {
			return
		}
	}
}

var rawRequest = Request{ID: "r", Method: "POST", Path: "/v1/completions", Body: []byte("{}"), NeedsAdapter: true}

// TestRepeatedRefusal guards against the refusal of an earlier request that an engine
// writes once more and that is taken as proof that the current request has not run.
func TestRepeatedRefusal(t *testing.T) {
	convey.Convey("A request that an engine runs is not reported as not started", t, func() {
		own := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
		for _, status := range []int{http.StatusConflict, http.StatusServiceUnavailable} {
			refusal := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
			c := newRawClient(t, func(n int, _ *http.Request) (string, bool) {
				if n > 0 {
					return refusal + own, true
				}
				return own, true
			})
			for range 3 {
				resp, err := c.Run(context.Background(), rawRequest)
				convey.So(err, convey.ShouldBeNil)
				body, err := io.ReadAll(resp.Body)
				convey.So(err, convey.ShouldBeNil)
				convey.So(string(body), convey.ShouldEqual, "own")
				convey.So(resp.Body.Close(), convey.ShouldBeNil)
			}
		}
	})
}

// TestTruncatedHeads guards against a head that is cut and taken as a complete one.
func TestTruncatedHeads(t *testing.T) {
	convey.Convey("A head that is cut at any byte yields no response", t, func() {
		for _, header := range []string{"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""} {
			head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + header + "\r\n"
			for n := range head {
				c := newRawClient(t, func(int, *http.Request) (string, bool) { return head[:n], false })
				_, err := c.Run(context.Background(), rawRequest)
				convey.So(IsKind(err, Uncertain), convey.ShouldBeTrue)
				_, err = c.State(context.Background())
				convey.So(IsKind(err, Uncertain), convey.ShouldBeTrue)
				convey.So(IsKind(c.Load(context.Background(), testAdapter), Uncertain), convey.ShouldBeTrue)
			}
		}
	})
}

// TestLongHeader guards against an engine whose header lines without end are kept until
// they exceed the memory of the VM.
func TestLongHeader(t *testing.T) {
	convey.Convey("A header of 1 MiB is no response", t, func() {
		head := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + strings.Repeat("X-More: x\r\n", 100<<10) + "\r\n"
		c := newRawClient(t, func(int, *http.Request) (string, bool) { return head, false })
		_, err := c.Run(context.Background(), rawRequest)
		convey.So(IsKind(err, Uncertain), convey.ShouldBeTrue)
		_, err = c.State(context.Background())
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(err.Error(), convey.ShouldContainSubstring, "header")
	})
}
