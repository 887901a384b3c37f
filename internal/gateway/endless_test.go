package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/peer"
)

// endlessBody returns a step that writes a response's head and then repeats text
// until the gateway closes the connection.
func endlessBody(written *atomic.Int64, closed chan<- struct{}, head, text string, pause time.Duration) step {
	return func(c net.Conn, r *http.Request) bool {
		defer func() { closed <- struct{}{} }()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\n\r\n", head, r.Header.Get("Id"))
		for {
			n, err := io.WriteString(c, text)
			written.Add(int64(n))
			if err != nil {
				return false
			}
			time.Sleep(pause)
		}
	}
}

// runScans cancels stalled attempts periodically until stop is called, as Main
// does.
func (tg *testGateway) runScans() (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(usageInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case now := <-ticker.C:
				tg.fleet.cancelStalled(now)
			}
		}
	}()
	return func() { close(done) }
}

func TestEndlessBodies(t *testing.T) {
	long := strings.Repeat("x", 4096)
	stream := "200 OK\r\nSigned: yes\r\nContent-Type: text/event-stream"
	slow := 20 * time.Millisecond
	tests := []struct {
		name, path, head, text string
		pause                  time.Duration
		reason                 string
	}{
		{"event line", "/patient/x", stream, long, 0, "1048576 bytes"},
		{"event lines", "/patient/x", stream, "data: " + long + "\n", 0, "1048576 bytes"},
		{"event line, slowly", "/patient/x", stream, "x", slow, "unfinished"},
		{"events that came before", "/patient/x", stream, "id: 1\ndata: " + long + "\n\n", 0, "1048576 bytes"},
		{"success without a signature", "/unsafe/x", "200 OK", long, 0, "not signed"},
		{"success without a signature, slowly", "/unsafe/x", "200 OK", "x", slow, "not signed"},
		{"503 without proof, slowly", "/unsafe/x", "503 X\r\nSigned: yes", "x", slow, "status 503"},
		{"failure of a safe request", "/safe/x", "500 X\r\nSigned: yes", long, 0, "262144 bytes"},
	}
	convey.Convey("A body without end that is no response ends the attempt and its connection", t, func() {
		for _, test := range tests {
			convey.Convey(test.name, func() {
				var written atomic.Int64
				closed := make(chan struct{}, 4)
				ft := newFakeTarget(t, "t1", endlessBody(&written, closed, test.head, test.text, test.pause))
				tg := newTestGateway(t, ft)
				stop := tg.runScans()
				defer stop()
				began := time.Now()
				got := tg.call(t, test.path)
				convey.So(time.Since(began), convey.ShouldBeLessThan, 1900*time.Millisecond) // the shortest timeout is 2 s
				convey.So(got.truncated || got.status == 502, convey.ShouldBeTrue)
				select {
				case <-closed:
				case <-time.After(5 * time.Second):
					t.Fatal("the connection is still open")
				}
				convey.So(written.Load(), convey.ShouldBeLessThan, 16<<20) // socket buffers hold some MiB
				convey.So(tg.logText(), convey.ShouldContainSubstring, test.reason)
			})
		}
	})
	convey.Convey("A refusal with a body without end is followed by another attempt at once", t, func() {
		var written atomic.Int64
		closed := make(chan struct{}, 4)
		n := 0
		endless := endlessBody(&written, closed, "421 X\r\nNot-Run: 1", "x", slow)
		scripted := func(c net.Conn, r *http.Request) bool {
			n++
			if n == 1 {
				return endless(c, r)
			}
			return respond(200, "good", signed)(c, r)
		}
		tg := newTestGateway(t, newFakeTarget(t, "t1", scripted), newFakeTarget(t, "t2", scripted))
		began := time.Now()
		convey.So(tg.call(t, "/unsafe/x").status, convey.ShouldEqual, 200)
		convey.So(time.Since(began), convey.ShouldBeLessThan, 300*time.Millisecond) // the objective
		<-closed
	})
}

func TestLongResponses(t *testing.T) {
	const size = 32<<20 + 1000
	convey.Convey("A response of any length is relayed whole", t, func() {
		for _, length := range []string{fmt.Sprintf("Content-Length: %d\r\n", size), ""} {
			ft := newFakeTarget(t, "t1", func(c net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\n%s\r\n", r.Header.Get("Id"), length)
				_, _ = io.WriteString(c, strings.Repeat("y", size))
				return false
			})
			tg := newTestGateway(t, ft)
			got := tg.call(t, "/patient/x")
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(got.truncated, convey.ShouldBeFalse)
			convey.So(len(got.body), convey.ShouldEqual, size)
		}
	})
	convey.Convey("A long response that ends early does not look complete, and is not requested again", t, func() {
		for _, path := range []string{"/safe/x", "/unsafe/x"} {
			cut := func(c net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), 1<<20)
				_, _ = io.WriteString(c, strings.Repeat("y", 512<<10))
				return false
			}
			a, b := newFakeTarget(t, "t1", cut), newFakeTarget(t, "t2", cut)
			tg := newTestGateway(t, a, b)
			got := tg.call(t, path)
			convey.So(got.truncated, convey.ShouldBeTrue)
			convey.So(len(a.requests())+len(b.requests()), convey.ShouldEqual, 1)
		}
	})
	convey.Convey("A response without end is relayed in constant memory until the caller leaves", t, func() {
		var written atomic.Int64
		closed := make(chan struct{}, 4)
		ft := newFakeTarget(t, "t1", endlessBody(&written, closed, "200 OK\r\nSigned: yes", strings.Repeat("y", 64<<10), 0))
		tg := newTestGateway(t, ft)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, tg.server.URL+"/patient/x", strings.NewReader("body"))
		convey.So(err, convey.ShouldBeNil)
		r.Host = "h"
		r.Header.Set("Id", "r1")
		resp, err := http.DefaultTransport.RoundTrip(r)
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = resp.Body.Close() }()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err = io.CopyN(io.Discard, resp.Body, 64<<20)
		convey.So(err, convey.ShouldBeNil)
		runtime.GC()
		runtime.ReadMemStats(&after)
		convey.So(int64(after.HeapAlloc)-int64(before.HeapAlloc), convey.ShouldBeLessThan, 8<<20)
		cancel()
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			t.Fatal("the connection to the target is still open")
		}
	})
}

// TestEndlessPeerHeader guards against a process at the address of a targetd whose header
// lines without end are kept until they exceed the memory of the VM.
func TestEndlessPeerHeader(t *testing.T) {
	convey.Convey("A header of 1 MiB is no response to the upgrade of a peer connection", t, func() {
		long := strings.Repeat("X-More: x\r\n", 100<<10)
		ft := newFakeTarget(t, "t1", respond(200, "", long[:len(long)-2]))
		resp, err := newPeerClient().Get("http://" + ft.addr.String() + peer.Path)
		if err == nil {
			_ = resp.Body.Close()
		}
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(err.Error(), convey.ShouldContainSubstring, "header")
	})
}
