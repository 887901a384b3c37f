package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

// Times of the connection.
const (
	HeartbeatInterval = 500 * time.Millisecond // between messages when nothing else flows
	SilenceTimeout    = 2 * time.Second        // after which a silent connection is dropped
	writeTimeout      = 2 * time.Second        // after which a blocked write ends the connection
	handshakeTimeout  = 2 * time.Second        // for dialling and the handshake together
)

// maxMessageBytes bounds one encoded message: a request's body and its fields.
const maxMessageBytes = 20 << 20

// Conn is one authenticated connection to a peer. Send may be called from many
// goroutines; Run from one.
type Conn struct {
	ws     *websocket.Conn
	remote Identity
	out    *outQueue

	closed    chan struct{}
	closeOnce sync.Once
	sentBytes atomic.Uint64
	recvBytes atomic.Uint64
}

func newConn(ws *websocket.Conn) *Conn {
	ws.SetReadLimit(maxMessageBytes)
	return &Conn{ws: ws, out: newOutQueue(), closed: make(chan struct{})}
}

// Remote returns the identity of the process at the other end.
func (c *Conn) Remote() Identity { return c.remote }

// Closed returns a channel that is closed when the connection has ended.
func (c *Conn) Closed() <-chan struct{} { return c.closed }

// Bytes returns the bytes of the messages sent and received so far.
func (c *Conn) Bytes() (sent, received uint64) {
	return c.sentBytes.Load(), c.recvBytes.Load()
}

// Close ends the connection at once, without waiting for the other side.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.ws.CloseNow() // the connection is given up either way
	})
}

// Send queues m for writing and never waits. When it fails, accepted reports
// whether the other side may receive m all the same; if not, m was never
// written and never will be. A connection whose queue is full is closed.
func (c *Conn) Send(m Message) (accepted bool, err error) {
	select {
	case <-c.closed:
		return false, &Error{Op: "send", Kind: Closed}
	default:
	}
	if !c.out.put(Encode(m)) {
		c.Close()
		return false, &Error{Op: "send", Kind: Overflow}
	}
	return true, nil
}

// Run reads messages and passes them to handle, one at a time, until ctx is
// done, the connection ends, or nothing is heard for SilenceTimeout. It writes
// what Send queues, and what beat returns when nothing else was written for
// HeartbeatInterval. It closes the connection before it returns.
func (c *Conn) Run(ctx context.Context, beat func() Heartbeat, handle func(Message)) error {
	defer c.Close()
	go c.writeAll(beat)
	for {
		m, err := c.receive(ctx)
		if err != nil {
			return err
		}
		handle(m)
	}
}

func (c *Conn) receive(ctx context.Context) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, SilenceTimeout)
	defer cancel()
	_, b, err := c.ws.Read(ctx)
	if err != nil {
		kind := Closed
		if ctx.Err() == context.DeadlineExceeded {
			kind = Silent
		}
		return nil, &Error{Op: "receive", Kind: kind, Err: err}
	}
	c.recvBytes.Add(uint64(len(b)))
	return Decode(b)
}

// writeAll writes queued messages and heartbeats until the connection ends.
func (c *Conn) writeAll(beat func() Heartbeat) {
	defer c.Close()
	timer := time.NewTimer(HeartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-c.out.ready:
		case <-timer.C:
			c.out.put(Encode(beat()))
		}
		for _, b := range c.out.takeAll() {
			if err := c.write(b); err != nil {
				return
			}
		}
		timer.Reset(HeartbeatInterval)
	}
}

// write sends an encoded message at once.
func (c *Conn) write(b []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, b); err != nil {
		return &Error{Op: "send", Kind: Closed, Err: err}
	}
	c.sentBytes.Add(uint64(len(b)))
	return nil
}
