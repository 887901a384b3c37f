package httpserver

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/smartystreets/goconvey/convey"
)

func TestWriteTimeout(t *testing.T) {
	convey.Convey("A write that the peer does not read fails after the write timeout", t, func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = ln.Close() }()
		client, err := net.Dial("tcp", ln.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = client.Close() }()
		conn, err := writeTimeoutListener{Listener: ln, timeout: 100 * time.Millisecond}.Accept()
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = conn.Close() }()

		_, err = conn.Write([]byte("small"))
		convey.So(err, convey.ShouldBeNil)
		time.Sleep(150 * time.Millisecond) // idle time does not count towards the timeout
		_, err = conn.Write([]byte("small"))
		convey.So(err, convey.ShouldBeNil)
		_, err = conn.Write(make([]byte, 64<<20)) // exceeds the kernel's socket buffers
		convey.So(errors.Is(err, os.ErrDeadlineExceeded), convey.ShouldBeTrue)
	})
}
