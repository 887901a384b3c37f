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

// uploadBytes is the size of an upload that exceeds the buffers of a loopback
// connection, so that a target that does not read it blocks its writer.
const uploadBytes = 8 << 20

func newUpload(id string, body []byte) *Request {
	r := newGetRequest(id)
	r.Method, r.HasBody, r.Body = http.MethodPost, true, body
	return r
}

// newEarlyTarget starts a target that reads the head of each request and calls respond,
// which writes a response while the request's body is still being sent.
func newEarlyTarget(t *testing.T, respond func(c *net.TCPConn, br *bufio.Reader, r *http.Request)) netip.AddrPort {
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
			go func() {
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				if r, err := http.ReadRequest(br); err == nil {
					respond(c.(*net.TCPConn), br, r)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// TestResetDuringUpload guards against a response that breaks off while the request is
// still being written and is read to a clean end: the write receives the connection's
// pending error, and the read after it sees the end of the connection.
func TestResetDuringUpload(t *testing.T) {
	const responses = 200
	addr := newEarlyTarget(t, func(c *net.TCPConn, _ *bufio.Reader, r *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\na part of the bo", idHeader, r.Header.Get(idHeader))
		time.Sleep(30 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	c, body := New(identify), make([]byte, uploadBytes)
	var clean atomic.Int32
	slots, done := make(chan struct{}, 4), make(chan struct{})
	for i := range responses {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; done <- struct{}{} }()
			if _, err := fetch(c, addr, newUpload(fmt.Sprint(i), body)); err == nil {
				clean.Add(1)
			}
		}()
		if i >= cap(slots)-1 {
			<-done
		}
	}
	for range cap(slots) - 1 {
		<-done
	}
	if n := clean.Load(); n > 0 {
		t.Errorf("%d of %d responses that were reset were read to a clean end", n, responses)
	}
}

// TestEndDuringUpload guards against a body that ends with its connection and is
// complete although the request was not written, and against a complete one that is
// not taken as such.
func TestEndDuringUpload(t *testing.T) {
	head := func(header string) string { return "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n" + header + "\r\n" }
	readAll := func(br *bufio.Reader) { _, _ = io.CopyN(io.Discard, br, uploadBytes) }
	tests := []struct {
		name, text     string
		reads, drained bool // the target reads the upload before the response, or after it
		complete       bool
	}{
		{"no length, closed for writing before the upload was read", head("") + "early", false, false, false},
		{"no length, closed for writing, read later", head("") + "early", false, true, false},
		{"no length, after the upload", head("") + "early", true, false, true},
		{"length", head("Content-Length: 5\r\n") + "early", false, false, true},
		{"chunks", head("Transfer-Encoding: chunked\r\n") + "5\r\nearly\r\n0\r\n\r\n", false, false, true},
	}
	convey.Convey("A body that ends with its connection is complete only if the request was written", t, func() {
		for _, test := range tests {
			convey.Convey(test.name, func() {
				stop := make(chan struct{})
				defer close(stop)
				addr := newEarlyTarget(t, func(c *net.TCPConn, br *bufio.Reader, _ *http.Request) {
					if test.reads {
						readAll(br)
					}
					_, _ = io.WriteString(c, test.text)
					_ = c.CloseWrite()
					if test.drained {
						time.Sleep(100 * time.Millisecond)
						readAll(br)
					}
					<-stop
				})
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				start := time.Now()
				resp, err := New(identify).Do(ctx, addr, newUpload("1", make([]byte, uploadBytes)))
				convey.So(err, convey.ShouldBeNil)
				defer resp.Close()
				b, err := io.ReadAll(resp)
				convey.So(string(b), convey.ShouldEqual, "early")
				convey.So(err == nil, convey.ShouldEqual, test.complete)
				convey.So(time.Since(start), convey.ShouldBeLessThan, 3*time.Second)
			})
		}
	})
}
