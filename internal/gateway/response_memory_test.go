package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/smartystreets/goconvey/convey"
)

// limitResponses sets the memory for responses beyond that of each request.
func (tg *testGateway) limitResponses(n int64) {
	tg.gateway.admission = &admissionControl{}
	tg.gateway.admission.maxUse[response] = n
}

func (tg *testGateway) responseBytes() int64 {
	a := tg.gateway.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[response]
}

func TestResponseMemory(t *testing.T) {
	long := strings.Repeat("y", 100<<10)
	stream := func(event string) step {
		return func(c net.Conn, r *http.Request) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\r\n%s", r.Header.Get("Id"), event)
			return false
		}
	}
	convey.Convey("Responses share the memory for responses", t, func() {
		convey.Convey("A success beyond it is relayed whole", func() {
			tg := newTestGateway(t, newFakeTarget(t, "t1", respond(200, long, signed)))
			tg.limitResponses(20 << 10)
			got := tg.call(t, "/unsafe/x")
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(got.truncated, convey.ShouldBeFalse)
			convey.So(got.body, convey.ShouldEqual, long)
			convey.So(eventually(func() bool { return tg.responseBytes() == 0 }), convey.ShouldBeTrue)
		})
		convey.Convey("A failure beyond it is not kept for the caller, and one within it is until the call ends", func() {
			for _, limit := range []int64{20 << 10, 200 << 10} {
				var tg *testGateway
				held := int64(-1)
				n := 0
				scripted := func(c net.Conn, r *http.Request) bool {
					if n++; n == 1 {
						return respond(500, long, signed)(c, r)
					}
					held = tg.responseBytes()
					return resetAfter("")(c, r)
				}
				tg = newTestGateway(t, newFakeTarget(t, "t1", scripted), newFakeTarget(t, "t2", scripted))
				tg.limitResponses(limit)
				got := tg.call(t, "/safe/x")
				if limit < int64(len(long)) {
					convey.So(got.status, convey.ShouldEqual, 502)
					convey.So(held, convey.ShouldEqual, 0)
				} else {
					convey.So(got.status, convey.ShouldEqual, 500)
					convey.So(got.body, convey.ShouldEqual, long)
					convey.So(held, convey.ShouldBeGreaterThanOrEqualTo, len(long)-freeBufferBytes)
				}
				convey.So(eventually(func() bool { return tg.responseBytes() == 0 }), convey.ShouldBeTrue)
			}
		})
		convey.Convey("An event beyond it ends the stream, and short events need none", func() {
			tg := newTestGateway(t, newFakeTarget(t, "t1", stream("data: "+long+"\n\n")))
			tg.limitResponses(20 << 10)
			convey.So(tg.call(t, "/patient/x").status, convey.ShouldEqual, 502)
			convey.So(tg.logText(), convey.ShouldContainSubstring, "exceeds the memory for responses")
			convey.So(eventually(func() bool { return tg.responseBytes() == 0 }), convey.ShouldBeTrue)

			tg = newTestGateway(t, newFakeTarget(t, "t1", stream("data: "+long[:3000]+"\n\ndata: "+long[:3000]+"\n\n")))
			tg.limitResponses(1)
			got := tg.call(t, "/patient/x")
			convey.So(got.status, convey.ShouldEqual, 200)
			convey.So(len(got.body), convey.ShouldEqual, 2*3008)
		})
	})
}

func TestReadBuffered(t *testing.T) {
	convey.Convey("A body of any length is read whole, or marked as not buffered", t, func() {
		for _, n := range []int{0, 1, freeBufferBytes - 1, freeBufferBytes, freeBufferBytes + 1, 50000, maxBufferedBytes, maxBufferedBytes + 1, 2 * maxBufferedBytes} {
			for _, known := range []bool{true, false} {
				text := bytes.Repeat([]byte("z"), n)
				length := int64(-1)
				if known {
					length = int64(n)
				}
				var reserved int64
				body, err := readBuffered(iotest.HalfReader(bytes.NewReader(text)), length, func(n int64) bool {
					reserved += n
					return true
				})
				convey.So(reserved, convey.ShouldEqual, cap(body)-freeBufferBytes)
				if n > maxBufferedBytes {
					convey.So(errors.Is(err, errNotBuffered), convey.ShouldBeTrue)
					convey.So(len(body), convey.ShouldEqual, maxBufferedBytes+1)
					continue
				}
				convey.So(err, convey.ShouldBeNil)
				convey.So(bytes.Equal(body, text), convey.ShouldBeTrue)
			}
		}
	})
	convey.Convey("An error of the reader is returned", t, func() {
		_, err := readBuffered(io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, func(int64) bool { return true })
		convey.So(err, convey.ShouldEqual, io.ErrUnexpectedEOF)
	})
}
