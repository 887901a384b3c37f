package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/pkg/routing"
)

func TestReadBody(t *testing.T) {
	convey.Convey("A body of any length within the limit is read whole, and its memory is leased", t, func() {
		for _, n := range []int64{0, 1, freeBufferBytes, freeBufferBytes + 1, shortBodyBytes - 1, shortBodyBytes, shortBodyBytes + 1, 500000, 4 << 20} {
			for _, length := range []int64{n, -1} {
				ac := newAdmissionControl(4100, 284<<20)
				memory := &lease{admission: ac}
				text := bytes.Repeat([]byte("z"), int(n))
				body, err := readBody(iotest.HalfReader(bytes.NewReader(text)), length, bodyLimits{4 << 20, 4 << 20}, memory)
				convey.So(err, convey.ShouldBeNil)
				convey.So(bytes.Equal(body, text), convey.ShouldBeTrue)
				convey.So(memory.bytes, convey.ShouldBeGreaterThanOrEqualTo, int64(cap(body))-freeBufferBytes-1)
				convey.So(memory.bytes, convey.ShouldBeLessThanOrEqualTo, 2*n)
				memory.shrink(0)
				convey.So(ac.shared, convey.ShouldEqual, 0)
			}
		}
	})
	convey.Convey("A body beyond the limit is rejected, of known length before it is read", t, func() {
		for _, limit := range []int64{0, 1000, freeBufferBytes, shortBodyBytes, 500000} {
			memory := &lease{admission: newAdmissionControl(4100, 284<<20)}
			_, err := readBody(iotest.ErrReader(io.ErrNoProgress), limit+1, bodyLimits{limit, limit}, memory)
			convey.So(err, convey.ShouldEqual, errBodyTooLong)
			_, err = readBody(strings.NewReader(strings.Repeat("z", int(limit)+1)), -1, bodyLimits{limit, limit}, memory)
			convey.So(err, convey.ShouldEqual, errBodyTooLong)
		}
	})
	convey.Convey("A body without memory is rejected after shortBodyBytes at most", t, func() {
		ac := newAdmissionControl(4100, 284<<20)
		full := &lease{admission: ac, use: longBody}
		convey.So(full.reserve(ac.maxUse[longBody]), convey.ShouldBeTrue)
		text := strings.NewReader(strings.Repeat("z", 4<<20))
		_, err := readBody(text, -1, bodyLimits{4 << 20, 4 << 20}, &lease{admission: ac})
		convey.So(err, convey.ShouldEqual, errNoMemory)
		convey.So(text.Size()-int64(text.Len()), convey.ShouldBeLessThanOrEqualTo, shortBodyBytes+1)
		_, err = readBody(iotest.ErrReader(io.ErrNoProgress), 4<<20, bodyLimits{4 << 20, 4 << 20}, &lease{admission: ac})
		convey.So(err, convey.ShouldEqual, errNoMemory)
		body, err := readBody(strings.NewReader(strings.Repeat("z", 30000)), -1, bodyLimits{4 << 20, 4 << 20}, &lease{admission: ac})
		convey.So(err, convey.ShouldBeNil)
		convey.So(len(body), convey.ShouldEqual, 30000)
	})
	convey.Convey("A body that the memory can never hold is rejected", t, func() {
		ac := newAdmissionControl(4100, 184<<20)
		limits := bodyLimits{1 << 30, ac.longestBody(1 << 30)}
		convey.So(limits.longest, convey.ShouldBeLessThan, 184<<20)
		_, err := readBody(io.LimitReader(zeros{}, limits.longest+2), -1, limits, &lease{admission: ac})
		convey.So(err, convey.ShouldEqual, errNoMemory)
	})
	convey.Convey("A body that ends early is an error", t, func() {
		_, err := readBody(strings.NewReader("part"), 10, bodyLimits{100, 100}, &lease{})
		convey.So(err, convey.ShouldEqual, io.ErrUnexpectedEOF)
	})
}

// zeros is a reader of zeros without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestRejectedUpload guards against an upload without memory that is answered only when its
// body has arrived, or whose connection is reset before the caller has read the answer.
func TestRejectedUpload(t *testing.T) {
	const size = 2 << 20
	newServer := func() (*testCallerServer, *fakeTarget) {
		ft := newFakeTarget(t, "t1", respond(200, "ok", signed))
		tg := newTestGateway(t, ft)
		tg.gateway.Configuration.Store(routing.New(4, testRoutes(), []routing.Service{{Name: "s"}}, routing.Limits{BodyBytes: 4 << 20}))
		tg.gateway.admission = newAdmissionControl(4100, 284<<20)
		full := &lease{admission: tg.gateway.admission, use: longBody}
		convey.So(full.reserve(tg.gateway.admission.maxUse[longBody]), convey.ShouldBeTrue)
		return newCallerServerOf(t, tg), ft
	}
	convey.Convey("An upload without memory is answered before its body has arrived, and the connection stays usable", t, func() {
		for _, head := range []string{fmt.Sprintf("Content-Length: %d", size), "Transfer-Encoding: chunked"} {
			chunked := strings.HasPrefix(head, "T")
			tg, ft := newServer()
			c, err := net.Dial("tcp4", tg.addr)
			convey.So(err, convey.ShouldBeNil)
			write := func(n int) {
				text := strings.Repeat("z", n)
				if chunked {
					text = fmt.Sprintf("%x\r\n%s\r\n", n, text)
				}
				_, err := io.WriteString(c, text)
				convey.So(err, convey.ShouldBeNil)
			}
			_, _ = fmt.Fprintf(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: u1\r\n%s\r\n\r\n", head)
			write(100 << 10)
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			br := bufio.NewReader(c)
			resp, err := http.ReadResponse(br, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.StatusCode, convey.ShouldEqual, 503)
			convey.So(resp.Header.Get("Retry-After"), convey.ShouldNotBeEmpty)
			convey.So(len(ft.requests()), convey.ShouldEqual, 0)
			for range 10 {
				time.Sleep(50 * time.Millisecond)
				write((size - 100<<10) / 10 &^ 1)
			}
			if rest := size - 100<<10 - 10*((size-100<<10)/10&^1); rest > 0 {
				write(rest)
			}
			if chunked {
				_, _ = io.WriteString(c, "0\r\n\r\n")
			}
			_, _ = io.WriteString(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: u2\r\nContent-Length: 5\r\n\r\nsmall")
			resp, err = http.ReadResponse(br, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(resp.StatusCode, convey.ShouldEqual, 200)
			convey.So(len(ft.requests()), convey.ShouldEqual, 1)
			_ = c.Close()
			convey.So(eventually(func() bool { return tg.gateway.inProgress.Load() == 0 }), convey.ShouldBeTrue)
			tg.gateway.admission.mu.Lock()
			convey.So(tg.gateway.admission.requests, convey.ShouldEqual, 0)
			convey.So(tg.gateway.admission.lingering, convey.ShouldEqual, 0)
			convey.So(tg.gateway.admission.shared, convey.ShouldEqual, tg.gateway.admission.maxUse[longBody])
			tg.gateway.admission.mu.Unlock()
		}
	})
	convey.Convey("A caller that waits for permission to send the body gets the answer only", t, func() {
		tg, _ := newServer()
		c, err := net.Dial("tcp4", tg.addr)
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: u1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", size)
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		text, err := io.ReadAll(c)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(text), convey.ShouldStartWith, "HTTP/1.1 503 ")
		convey.So(string(text), convey.ShouldNotContainSubstring, "100 Continue")
	})
	convey.Convey("A body that is too long is answered before it has arrived", t, func() {
		tg, _ := newServer()
		c, err := net.Dial("tcp4", tg.addr)
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nId: u1\r\nContent-Length: %d\r\n\r\n", 5<<20)
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		convey.So(err, convey.ShouldBeNil)
		convey.So(resp.StatusCode, convey.ShouldEqual, 413)
	})
}
