package checkedhttp

import (
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestConnCount guards against a request whose head or body is split over writes and that
// counts as written too early or never.
func TestConnCount(t *testing.T) {
	convey.Convey("A request is written after its last byte, however its bytes are split", t, func() {
		text := []byte("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody")
		c := &conn{}
		for size := 1; size <= len(text); size++ {
			c.begin(4) // also after an earlier request
			c.count(nil)
			count := 0
			for part := range slices.Chunk(text, size) {
				c.count(part)
				count += len(part)
				convey.So(c.written(), convey.ShouldEqual, count == len(text))
			}
		}
	})
}
