package engine

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

// TestEngineInvalidStatus guards against a status that is none of a response and that is
// passed on as an answer, or taken as a rejection of an order that may take effect.
func TestEngineInvalidStatus(t *testing.T) {
	convey.Convey("A response with an invalid status leaves the outcome uncertain", t, func() {
		for _, status := range []string{"000", "099", "+12", "600", "999", "101"} {
			for _, rest := range []string{"\r\n", "Content-Length: 0\r\n\r\n", "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"} {
				c := newRawClient(t, func(int, *http.Request) (string, bool) { return "HTTP/1.1 " + status + " X\r\n" + rest, true })
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				_, err := c.Run(ctx, rawRequest)
				convey.So(IsKind(err, Uncertain), convey.ShouldBeTrue)
				_, err = c.State(ctx)
				convey.So(IsKind(err, Uncertain), convey.ShouldBeTrue)
				convey.So(IsKind(c.Load(ctx, testAdapter), Uncertain), convey.ShouldBeTrue)
				convey.So(ctx.Err(), convey.ShouldBeNil)
				cancel()
			}
		}
	})
	convey.Convey("An informational response with a body leaves the outcome uncertain", t, func() {
		own := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		c := newRawClient(t, func(int, *http.Request) (string, bool) {
			return fmt.Sprintf("HTTP/1.1 103 X\r\nContent-Length: %d\r\n\r\n%s", len(own), own), true
		})
		_, err := c.Run(context.Background(), rawRequest)
		convey.So(IsKind(err, Uncertain), convey.ShouldBeTrue)
	})
	convey.Convey("A redirection is not followed: an order's outcome is uncertain and a request's response is passed on", t, func() {
		for _, status := range []int{301, 302, 303, 307, 308} {
			var followed atomic.Int32
			c := newRawClient(t, func(_ int, r *http.Request) (string, bool) {
				if r.URL.Path == "/other" {
					followed.Add(1)
					return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", true
				}
				return fmt.Sprintf("HTTP/1.1 %d X\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n", status), true
			})
			convey.So(IsKind(c.Load(context.Background(), testAdapter), Uncertain), convey.ShouldBeTrue)
			resp, err := c.Run(context.Background(), rawRequest)
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.Status, convey.ShouldEqual, status)
			convey.So(resp.Body.Close(), convey.ShouldBeNil)
			convey.So(followed.Load(), convey.ShouldEqual, 0)
		}
	})
}

// TestEngineResetDuringUpload guards against a response that breaks off while the
// request is still being written and is read to a clean end.
func TestEngineResetDuringUpload(t *testing.T) {
	const responses = 100
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\na part of the bo")
				time.Sleep(30 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	c := New(netip.MustParseAddrPort(ln.Addr().String()), 1)
	r := rawRequest
	r.Body = make([]byte, 8<<20)
	clean := 0
	for range responses {
		resp, err := c.Run(context.Background(), r)
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(resp.Body); err == nil {
			clean++
		}
		_ = resp.Body.Close()
	}
	if clean > 0 {
		t.Errorf("%d of %d responses that were reset were read to a clean end", clean, responses)
	}
}

// TestEngineBodyUntilClose guards against a body that ends with its connection, after the
// whole request was read, and that is not taken as complete.
func TestEngineBodyUntilClose(t *testing.T) {
	convey.Convey("A body that ends with its connection after a long request was read is complete", t, func() {
		c := newRawClient(t, func(int, *http.Request) (string, bool) { return "HTTP/1.1 200 OK\r\n\r\nwhole", false })
		r := rawRequest
		r.Body = make([]byte, 8<<20)
		for range 50 {
			resp, err := c.Run(context.Background(), r)
			convey.So(err, convey.ShouldBeNil)
			b, err := io.ReadAll(resp.Body)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(b), convey.ShouldEqual, "whole")
			convey.So(resp.Body.Close(), convey.ShouldBeNil)
		}
	})
}
