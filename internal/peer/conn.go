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
	writeTimeout     = 2 * time.Second // after which a blocked write ends the connection
	handshakeTimeout = 2 * time.Second // for dialling and the handshake together
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
	wake      chan struct{} // tells the writer that the pace changed
	beatNow   chan struct{} // tells the writer to send a heartbeat
	silent    atomic.Bool   // closed because nothing was heard
	meter     *meter        // nil for none

	paceMu sync.Mutex
	pace   pace

	sentBytes atomic.Uint64
	recvBytes atomic.Uint64
}

func newConn(ws *websocket.Conn) *Conn {
	ws.SetReadLimit(maxMessageBytes)
	return &Conn{
		ws:      ws,
		out:     newOutQueue(),
		closed:  make(chan struct{}),
		wake:    make(chan struct{}, 1),
		beatNow: make(chan struct{}, 1),
	}
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

// Beat has a heartbeat sent at once, because what it tells has changed.
func (c *Conn) Beat() { signal(c.beatNow) }

// Run reads messages and passes them to handle, one at a time, until ctx is
// done, the connection ends, or nothing is heard for SilenceTimeout, or for
// IdleSilenceTimeout on an idle connection. It writes what Send queues, and
// what beat returns when nothing else was written for the interval in force.
// It closes the connection before it returns.
func (c *Conn) Run(ctx context.Context, beat func() Heartbeat, handle func(Message)) error {
	defer c.Close()
	c.pace = newPace(time.Now())
	go c.writeAll(beat)
	still := processStillness()
	last := time.Now()
	for {
		m, err := c.read(ctx)
		if err != nil {
			return err
		}
		now := time.Now()
		if still.since(last, now) {
			return &Error{Op: "receive", Kind: Silent} // what was read is old
		}
		last = now
		handle(m)
	}
}

// read returns the next message and notes that it was heard.
func (c *Conn) read(ctx context.Context) (Message, error) {
	_, b, err := c.ws.Read(ctx)
	if err != nil {
		kind := Closed
		if c.silent.Load() {
			kind = Silent
		}
		return nil, &Error{Op: "receive", Kind: kind, Err: err}
	}
	c.countReceived(b)
	m, err := Decode(b)
	if err != nil {
		return nil, err
	}
	c.noteHeard(m, trafficOf(b) == forRequests)
	return m, nil
}

func (c *Conn) noteHeard(m Message, request bool) {
	now := time.Now()
	c.paceMu.Lock()
	wasBusy := c.pace.busy(now)
	if beat, ok := m.(Heartbeat); ok {
		c.pace.heardBeat(now, beat)
	} else {
		c.pace.heard(now, request)
	}
	becameBusy := !wasBusy && c.pace.busy(now)
	c.paceMu.Unlock()
	if becameBusy {
		signal(c.wake)
	}
}

// receive reads one message of the handshake.
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
	c.countReceived(b)
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
		case <-c.beatNow:
			c.out.put(c.heartbeat(beat()))
		case <-c.wake:
		case <-timer.C:
		}
		if c.isSilent(time.Now()) {
			c.silent.Store(true)
			return
		}
		waiting := c.out.takeAll()
		if len(waiting) == 0 && c.beatDue(time.Now()) {
			waiting = append(waiting, c.heartbeat(beat()))
		}
		for _, b := range waiting {
			if err := c.write(b); err != nil {
				return
			}
			c.noteSent(trafficOf(b) == forRequests)
		}
		timer.Reset(c.nextLook(time.Now()))
	}
}

// heartbeat encodes m with what it says of the pace.
func (c *Conn) heartbeat(m Heartbeat) []byte {
	c.paceMu.Lock()
	defer c.paceMu.Unlock()
	return Encode(c.pace.beat(time.Now(), m))
}

func (c *Conn) noteSent(request bool) {
	c.paceMu.Lock()
	defer c.paceMu.Unlock()
	c.pace.sent(time.Now(), request)
}

func (c *Conn) isSilent(now time.Time) bool {
	c.paceMu.Lock()
	defer c.paceMu.Unlock()
	return !now.Before(c.pace.silentAt())
}

func (c *Conn) beatDue(now time.Time) bool {
	c.paceMu.Lock()
	defer c.paceMu.Unlock()
	return !now.Before(c.pace.nextBeat(now))
}

// nextLook returns how long the writer may wait when nothing is queued.
func (c *Conn) nextLook(now time.Time) time.Duration {
	c.paceMu.Lock()
	defer c.paceMu.Unlock()
	next := c.pace.nextBeat(now)
	if at := c.pace.silentAt(); at.Before(next) {
		next = at
	}
	return max(0, next.Sub(now))
}

// write sends an encoded message at once.
func (c *Conn) write(b []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, b); err != nil {
		return &Error{Op: "send", Kind: Closed, Err: err}
	}
	c.countSent(b)
	return nil
}

// signal fills a channel of one place unless it is full.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
