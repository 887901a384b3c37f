package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
)

const (
	writeTimeout     = 2 * time.Second // after which a blocked write closes the connection
	handshakeTimeout = 2 * time.Second // for dialling and the handshake together
)

// maxMessageBytes bounds the size of an encoded message. The largest message is a
// Submit with the body and the other fields of a request.
const maxMessageBytes = 20 << 20

// maxHandshakeBytes bounds a message from a process that has not proved that it knows the
// key. It has some names, a nonce and a proof.
const maxHandshakeBytes = 16 << 10

// MaxHeaderBytes bounds the header of the response to a WebSocket upgrade, which has a few
// hundred bytes.
const MaxHeaderBytes = 64 << 10

// Conn is an authenticated connection to a peer. Send may be called from
// several goroutines, Run from only one.
type Conn struct {
	ws     *websocket.Conn
	remote Identity

	keepsOrigins bool // see KeepsOrigins
	issuesCredit bool // see IssuesCredit
	confirms     bool // see Confirms
	keepsOrders  bool // see KeepsOrders
	plansByModel bool // see PlansByModel

	out *outQueue

	closed       chan struct{}
	closeOnce    sync.Once
	wake         chan struct{} // signals to the writer that the connection became busy
	heartbeatNow chan struct{} // signals to the writer that a heartbeat must be sent
	silent       atomic.Bool   // the silence timeout expired
	meter        *meter        // nil if bytes are not counted

	keepaliveMu sync.Mutex
	keepalive   keepalive

	sentBytes atomic.Uint64
	recvBytes atomic.Uint64
}

func newConn(ws *websocket.Conn) *Conn {
	ws.SetReadLimit(maxHandshakeBytes)
	return &Conn{
		ws:           ws,
		out:          newOutQueue(),
		closed:       make(chan struct{}),
		wake:         make(chan struct{}, 1),
		heartbeatNow: make(chan struct{}, 1),
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

// Close closes the connection immediately, without a closing handshake.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.ws.CloseNow() // the connection is unusable whether this fails or not
	})
}

// Send queues m for writing and never blocks. If it returns an error, accepted
// reports whether the peer may receive m nevertheless; if it is false, m was
// not written and never will be. Send closes a connection whose queue is full.
// The error is of kind Closed or Overflow.
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

// SendHeartbeat requests a heartbeat without delay, because its contents have
// changed.
func (c *Conn) SendHeartbeat() { signal(c.heartbeatNow) }

// Run reads messages and passes them to handle, one at a time, until ctx is
// done, the connection ends, or nothing is received for SilenceTimeout, or for
// IdleSilenceTimeout on an idle connection. Run also ends after a pause of the
// process longer than SilenceTimeout, because messages read then may be stale.
// It writes the messages that Send queues, and the result of heartbeat whenever
// nothing else was written for the heartbeat interval in force. Run closes the
// connection before it returns. The error is of kind Closed, Silent or
// BadMessage.
func (c *Conn) Run(ctx context.Context, heartbeat func() Heartbeat, handle func(Message)) error {
	defer c.Close()
	c.keepalive = newKeepalive(time.Now())
	go c.writeAll(heartbeat)
	pauses := processPauses()
	lastRead := time.Now()
	for {
		m, err := c.read(ctx)
		if err != nil {
			return err
		}
		now := time.Now()
		if pauses.pausedSince(lastRead, now) {
			return &Error{Op: "receive", Kind: Silent} // m may be stale
		}
		lastRead = now
		handle(m)
	}
}

// read returns the next message and records its receipt.
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
	c.recordReceived(m, trafficClassOf(b) == classRequest)
	return m, nil
}

func (c *Conn) recordReceived(m Message, request bool) {
	now := time.Now()
	c.keepaliveMu.Lock()
	wasBusy := c.keepalive.busy(now)
	if hb, ok := m.(Heartbeat); ok {
		c.keepalive.recordHeartbeat(now, hb)
	} else {
		c.keepalive.recordReceived(now, request)
	}
	becameBusy := !wasBusy && c.keepalive.busy(now)
	c.keepaliveMu.Unlock()
	if becameBusy {
		signal(c.wake)
	}
}

// receive returns the next message of the handshake.
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
func (c *Conn) writeAll(heartbeat func() Heartbeat) {
	defer c.Close()
	timer := time.NewTimer(HeartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.closed:
			return
		case <-c.out.ready:
		case <-c.heartbeatNow:
			c.out.put(c.encodeHeartbeat(heartbeat()))
		case <-c.wake:
		case <-timer.C:
		}
		if c.isSilent(time.Now()) {
			c.silent.Store(true)
			return
		}
		queued := c.out.takeAll()
		if len(queued) == 0 && c.heartbeatDue(time.Now()) {
			queued = append(queued, c.encodeHeartbeat(heartbeat()))
		}
		for _, b := range queued {
			if err := c.write(b); err != nil {
				return
			}
			c.recordSent(trafficClassOf(b) == classRequest)
		}
		timer.Reset(c.untilNextCheck(time.Now()))
	}
}

// encodeHeartbeat sets the fields of m that announce the heartbeat interval,
// and encodes m.
func (c *Conn) encodeHeartbeat(m Heartbeat) []byte {
	c.keepaliveMu.Lock()
	defer c.keepaliveMu.Unlock()
	return Encode(c.keepalive.prepareHeartbeat(time.Now(), m))
}

func (c *Conn) recordSent(request bool) {
	c.keepaliveMu.Lock()
	defer c.keepaliveMu.Unlock()
	c.keepalive.recordSent(time.Now(), request)
}

func (c *Conn) isSilent(now time.Time) bool {
	c.keepaliveMu.Lock()
	defer c.keepaliveMu.Unlock()
	return !now.Before(c.keepalive.silenceDeadline())
}

func (c *Conn) heartbeatDue(now time.Time) bool {
	c.keepaliveMu.Lock()
	defer c.keepaliveMu.Unlock()
	return !now.Before(c.keepalive.heartbeatDueAt(now))
}

// untilNextCheck returns how long the writer may wait while nothing is queued.
func (c *Conn) untilNextCheck(now time.Time) time.Duration {
	c.keepaliveMu.Lock()
	defer c.keepaliveMu.Unlock()
	next := c.keepalive.heartbeatDueAt(now)
	if at := c.keepalive.silenceDeadline(); at.Before(next) {
		next = at
	}
	return max(0, next.Sub(now))
}

// write sends an encoded message, bypassing the queue.
func (c *Conn) write(b []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, b); err != nil {
		return &Error{Op: "send", Kind: Closed, Err: err}
	}
	c.countSent(b)
	return nil
}

// signal sends on a channel of capacity one unless it is full.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
