package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/target"
)

// Timing of links.
const (
	// resumeTimeout bounds the time in which a pending response can be resumed over
	// a new connection. It is shorter than the time that a targetd retains responses.
	resumeTimeout = 8 * time.Second
	// unreachableBackoff is the time for which a target is not chosen after a failed
	// dial.
	unreachableBackoff = time.Second
)

// Dialer opens peer connections.
type Dialer interface {
	Dial(ctx context.Context, addr netip.AddrPort) (*peer.Conn, error)
}

// link is the connection to one targetd, dialled on demand, with the attempts
// pending on it and the target's last reported load.
type link struct {
	target   target.Target
	dialer   Dialer
	log      event.Log
	revision func() uint64 // revision of the configuration in force
	gossip   Gossip        // nil for none

	dialMu sync.Mutex // held while dialling, locked before mu

	mu               sync.Mutex
	conn             *peer.Conn // nil if not connected
	pending          map[attemptKey]*pendingAttempt
	heartbeat        peer.Heartbeat // last received over conn
	unreachableUntil time.Time      // end of the backoff after a failed dial
	lastUsed         time.Time      // time of the last call of connect
	incarnation      string         // incarnation of the targetd at the last connection
	lastClosed       *peer.Conn     // most recent connection that ended
	lastReceived     time.Time      // time of the last message or connection

	allocator       *permitAllocator // nil if this entryd grants no load permits
	hints           *targetHints
	reportedLoad    atomic.Int64 // requests that run or wait for a slot, from the last Residency, or that run, from the last Heartbeat
	sentSinceReport atomic.Int64 // requests sent since that report, except those that need an adapter load
}

// submit sends an attempt and returns the pendingAttempt that receives its
// response. Every error has kind NotSent: the attempt did not run.
func (l *link) submit(ctx context.Context, s peer.Submit) (*pendingAttempt, error) {
	conn, err := l.connect(ctx, false)
	if err != nil {
		return nil, &Error{Op: "submit", Kind: NotSent, Err: err}
	}
	p := newPendingAttempt(s, time.Now())
	l.mu.Lock()
	l.pending[p.key()] = p
	l.mu.Unlock()
	if accepted, err := conn.Send(s); !accepted {
		l.remove(p)
		return nil, &Error{Op: "submit", Kind: NotSent, Err: err}
	}
	return p, nil
}

// send sends a message if the link is connected, and drops it otherwise.
func (l *link) send(m peer.Message) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		_, _ = conn.Send(m) // readMessages handles a lost connection
	}
}

// remove deletes p from the pending attempts. Later messages for it are answered
// with Cancel.
func (l *link) remove(p *pendingAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, p.key())
}

// hasPending reports whether any attempt is pending.
func (l *link) hasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}

// load returns the estimated number of requests that run at the target or wait for
// a slot there.
func (l *link) load() int { return int(l.reportedLoad.Load() + l.sentSinceReport.Load()) }

// setReportedLoad sets the load reported by the target and resets the count of
// requests sent since.
func (l *link) setReportedLoad(load int) {
	l.reportedLoad.Store(int64(load))
	l.sentSinceReport.Store(0)
}

// usable reports whether attempts may be sent: the target is neither draining nor
// in the backoff after a failed dial.
func (l *link) usable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.unreachableUntil) && !l.heartbeat.Draining
}

// connect returns the open connection, dialling if there is none. During the
// backoff after a failed dial it fails immediately unless ignoreBackoff is set, so
// that many attempts don't wait one after the other for the same unreachable
// target to time out.
func (l *link) connect(ctx context.Context, ignoreBackoff bool) (*peer.Conn, error) {
	l.dialMu.Lock()
	defer l.dialMu.Unlock()
	l.mu.Lock()
	conn := l.conn
	backingOff := time.Now().Before(l.unreachableUntil)
	l.lastUsed = time.Now()
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	if backingOff && !ignoreBackoff {
		return nil, &Error{Op: "connect", Kind: NotSent}
	}
	conn, err := l.dialer.Dial(ctx, l.target.Addr)
	if err != nil {
		l.log.Event(event.PeerLost).Str("peer", l.target.Name).Err(err).Send()
		l.mu.Lock()
		l.unreachableUntil = time.Now().Add(unreachableBackoff)
		l.mu.Unlock()
		return nil, err
	}
	l.attach(conn)
	return conn, nil
}

// attach makes conn the link's connection and resumes the pending attempts.
// Attempts sent to an earlier process at the same address are lost. All pending
// attempts are lost if nothing was received from the targetd for resumeTimeout: it
// may have discarded their state, and could then not distinguish them from
// attempts that it never received.
func (l *link) attach(conn *peer.Conn) {
	l.resetIfRestarted(conn.Remote().Incarnation)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	l.unreachableUntil = time.Time{}
	l.heartbeat = peer.Heartbeat{}
	incarnation := conn.Remote().Incarnation
	now := time.Now()
	expired := now.Sub(l.lastReceived) > resumeTimeout
	for key, p := range l.pending {
		if expired || l.incarnation != incarnation {
			p.markLost()
			delete(l.pending, key)
			continue
		}
		next := p.nextPart()
		l.log.Event(event.AnswerResumed).Str("request", key.request).Uint64("next", next).Send()
		_, _ = conn.Send(p.newResume(time.Now(), next))
	}
	l.incarnation = incarnation
	if l.allocator != nil {
		_, _ = conn.Send(peer.AllocatorNotice{}) // readMessages handles a lost connection
	}
	l.lastReceived = now
	l.log.Event(event.PeerConnected).Str("peer", conn.Remote().Name).Send()
	go l.readMessages(conn)
}

// resetIfRestarted discards the hints and the load reported by an earlier process
// at the same address. The caller must not hold l.mu, because routing locks l.mu
// while it holds the lock of the hints.
func (l *link) resetIfRestarted(incarnation string) {
	l.mu.Lock()
	same := l.incarnation == incarnation
	l.mu.Unlock()
	if !same {
		l.hints.remove(l.target.Name)
		l.setReportedLoad(0)
	}
}

// readMessages handles the messages of conn until it ends. If attempts are pending
// then, it reconnects to resume them.
func (l *link) readMessages(conn *peer.Conn) {
	err := l.runConn(conn)
	l.log.Event(event.PeerLost).Str("peer", l.target.Name).Err(err).Send()
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	l.lastClosed = conn
	pendingCount := len(l.pending)
	l.mu.Unlock()
	if pendingCount > 0 {
		l.reconnect(conn)
	}
}

// reconnect redials with backoff after the loss of conn, until the link is connected
// or resumeTimeout has passed. In the latter case it calls failPending.
func (l *link) reconnect(conn *peer.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), resumeTimeout)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		if _, err := l.connect(ctx, true); err == nil {
			return
		}
		select {
		case <-time.After(peer.Backoff(n, rand.Float64())):
		case <-ctx.Done():
		}
	}
	l.failPending(conn)
}

// failPending marks the pending attempts as lost, unless the link is connected, or
// was connected again since the loss of conn: then the attempts were resumed, and a
// new resumeTimeout applies.
func (l *link) failPending(conn *peer.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil || l.lastClosed != conn {
		return
	}
	for key, p := range l.pending {
		p.markLost()
		delete(l.pending, key)
	}
}

// handleMessage updates the link's state from m or delivers m to its pending
// attempt. A message for an attempt that is no longer pending is dropped and
// answered with Cancel.
func (l *link) handleMessage(conn *peer.Conn, m peer.Message) {
	l.mu.Lock()
	l.lastReceived = time.Now()
	l.mu.Unlock()
	var key attemptKey
	switch m := m.(type) {
	case peer.Heartbeat:
		l.mu.Lock()
		l.heartbeat = m
		l.mu.Unlock()
		l.setReportedLoad(m.Running)
		return
	case peer.LoadReport:
		if l.allocator != nil {
			l.allocator.handleReport(time.Now(), l, m)
		}
		return
	case peer.Residency:
		l.hints.set(l.target.Name, m.Adapters, m.EvictionDemand)
		l.setReportedLoad(m.Requests)
		return
	case peer.Head:
		key = attemptKey{m.Request, m.Attempt}
	case peer.Part:
		key = attemptKey{m.Request, m.Attempt}
	case peer.End:
		key = attemptKey{m.Request, m.Attempt}
	case peer.Refusal:
		key = attemptKey{m.Request, m.Attempt}
	default:
		return
	}
	l.mu.Lock()
	p := l.pending[key]
	l.mu.Unlock()
	if p == nil {
		_, _ = conn.Send(peer.Cancel{Request: key.request, Attempt: key.attempt}) // readMessages handles a lost connection
		return
	}
	p.deliver(m)
}
