package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/target"
)

// Times of a link.
const (
	resumeTimeout = 8 * time.Second // how long answers wait for another connection
	downPause     = time.Second     // how long a target that can't be reached is passed over
)

// Dialer opens peer connections.
type Dialer interface {
	Dial(ctx context.Context, addr netip.AddrPort) (*peer.Conn, error)
}

// link is the connection to one targetd, opened on demand, with the attempts
// that wait on it.
type link struct {
	target   target.Target
	dialer   Dialer
	log      event.Log
	revision func() uint64
	news     News // nil for none

	dialMu sync.Mutex // held while dialling

	mu          sync.Mutex
	conn        *peer.Conn // nil while there is none
	pendings    map[attemptKey]*pending
	heartbeat   peer.Heartbeat
	downUntil   time.Time
	lastUsed    time.Time
	incarnation string     // of the targetd that the pendings were sent to
	lastLost    *peer.Conn // the connection that ended last
}

// submit sends an attempt and returns the place where its answer arrives. The
// error is of kind NotSent: the attempt did not run.
func (l *link) submit(ctx context.Context, s peer.Submit) (*pending, error) {
	conn, err := l.connect(ctx, false)
	if err != nil {
		return nil, &Error{Op: "submit", Kind: NotSent, Err: err}
	}
	p := newPending(s, time.Now())
	l.mu.Lock()
	l.pendings[p.key()] = p
	l.mu.Unlock()
	if accepted, err := conn.Send(s); !accepted {
		l.forget(p)
		return nil, &Error{Op: "submit", Kind: NotSent, Err: err}
	}
	return p, nil
}

// send writes a message for a pending attempt if there is a connection.
func (l *link) send(m peer.Message) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		_, _ = conn.Send(m) // a lost connection is seen by its reader
	}
}

// forget drops an attempt that nobody waits for.
func (l *link) forget(p *pending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendings, p.key())
}

// inFlight returns the number of attempts that wait.
func (l *link) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pendings)
}

// usable reports whether attempts may be sent: the target is not known to be
// out of reach or draining.
func (l *link) usable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.downUntil) && !l.heartbeat.Draining
}

// connect returns the open connection, dialling if there is none. A target
// that could not be reached just now is dialled only if insist is set, so that
// many attempts don't wait one after the other for the same silence.
func (l *link) connect(ctx context.Context, insist bool) (*peer.Conn, error) {
	l.dialMu.Lock()
	defer l.dialMu.Unlock()
	l.mu.Lock()
	conn := l.conn
	down := time.Now().Before(l.downUntil)
	l.lastUsed = time.Now()
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	if down && !insist {
		return nil, &Error{Op: "connect", Kind: NotSent}
	}
	conn, err := l.dialer.Dial(ctx, l.target.Addr)
	if err != nil {
		l.log.At(event.PeerLost).Str("peer", l.target.Name).Err(err).Send()
		l.mu.Lock()
		l.downUntil = time.Now().Add(downPause)
		l.mu.Unlock()
		return nil, err
	}
	l.adopt(conn)
	return conn, nil
}

// adopt makes conn the link's connection and resumes what waits. Attempts that
// were sent to an earlier process at the same address are lost.
func (l *link) adopt(conn *peer.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	l.downUntil = time.Time{}
	l.heartbeat = peer.Heartbeat{}
	incarnation := conn.Remote().Incarnation
	for key, p := range l.pendings {
		if l.incarnation != incarnation {
			p.lose()
			delete(l.pendings, key)
			continue
		}
		next := p.nextPart()
		l.log.At(event.AnswerResumed).Str("request", key.request).Uint64("next", next).Send()
		_, _ = conn.Send(p.resume(time.Now(), next))
	}
	l.incarnation = incarnation
	l.log.At(event.PeerConnected).Str("peer", conn.Remote().Name).Send()
	go l.read(conn)
}

// read passes messages to the attempts until conn ends, and then tries to
// resume them over another connection.
func (l *link) read(conn *peer.Conn) {
	err := l.run(conn)
	l.log.At(event.PeerLost).Str("peer", l.target.Name).Err(err).Send()
	l.mu.Lock()
	if l.conn == conn {
		l.conn = nil
	}
	l.lastLost = conn
	waiting := len(l.pendings)
	l.mu.Unlock()
	if waiting > 0 {
		l.recover(conn)
	}
}

// recover dials, after lost has ended, until a connection stands or the answers
// have waited too long.
func (l *link) recover(lost *peer.Conn) {
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
	l.giveUp(lost)
}

// giveUp loses the attempts that wait, unless another connection stands or has
// stood since lost: then they were resumed, and their time counts anew.
func (l *link) giveUp(lost *peer.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil || l.lastLost != lost {
		return
	}
	for key, p := range l.pendings {
		p.lose()
		delete(l.pendings, key)
	}
}

// handle passes one message to the attempt that it is for. Messages of
// attempts that nobody waits for are dropped, and the targetd is told to stop.
func (l *link) handle(conn *peer.Conn, m peer.Message) {
	var key attemptKey
	switch m := m.(type) {
	case peer.Heartbeat:
		l.mu.Lock()
		l.heartbeat = m
		l.mu.Unlock()
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
	p := l.pendings[key]
	l.mu.Unlock()
	if p == nil {
		_, _ = conn.Send(peer.Cancel{Request: key.request, Attempt: key.attempt}) // a lost connection is seen by its reader
		return
	}
	p.deliver(m)
}
