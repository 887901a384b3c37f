package checkedhttp

import (
	"bytes"
	"net"
	"slices"
	"sync"
	"time"
)

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// conn counts how much of a request has been written.
type conn struct {
	net.Conn

	mu       sync.Mutex // is held during a write
	inHead   bool       // the end of the head was not written
	tail     []byte     // last bytes of the head
	bodyLeft int64      // bytes of the body that were not written
}

// begin records that a request whose body has length bytes will be written.
func (c *conn) begin(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead, c.tail, c.bodyLeft = true, nil, length
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.count(p[:n])
	return n, err
}

// count records that p was written.
func (c *conn) count(p []byte) {
	if !c.inHead {
		c.bodyLeft -= int64(len(p))
		return
	}
	head := slices.Concat(c.tail, p)
	if i := bytes.Index(head, headEnd); i >= 0 {
		c.inHead, c.tail = false, nil
		c.bodyLeft -= int64(len(head) - i - len(headEnd))
		return
	}
	c.tail = bytes.Clone(head[max(0, len(head)-len(headEnd)+1):])
}

// wroteRequest ends a write that is still going on, and reports whether the whole request
// had been written.
func (c *conn) wroteRequest() bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // in the past; if it fails, the connection is closed, which ends the write too
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written()
}

// written reports whether the whole request was written. The caller holds c.mu.
func (c *conn) written() bool { return !c.inHead && c.bodyLeft <= 0 }
