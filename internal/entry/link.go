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

// Times of a link.
const (
	resumeTimeout = 8 * time.Second // how long answers wait for another connection; less than a targetd keeps them
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
	incarnation string    // of the targetd that the pendings were sent to
	heard       time.Time // when it last sent something

	granter   *granter // nil if this entryd grants no rights to load
	hints     *targetHints
	reported  atomic.Int64 // requests that run or wait for a slot, as last reported
	sentSince atomic.Int64 // requests sent since then that wait for no load
}

// submit sends an attempt and returns the place where its answer arrives. The
// error is of kind NotSent: the attempt did not run.
func (l *link) submit(ctx context.Context, s peer.Submit) (*pending, error) {
	conn, err := l.connect(ctx)
	if err != nil {
		return nil, &Error{Op: "submit", Kind: NotSent, Err: err}
	}
	p := newPending(s)
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

// waiting reports whether an attempt waits for its answer.
func (l *link) waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pendings) > 0
}

// load returns the requests that are believed to run there or wait for a slot.
func (l *link) load() int { return int(l.reported.Load() + l.sentSince.Load()) }

// report records the target's load in place of what was sent before.
func (l *link) report(load int) {
	l.reported.Store(int64(load))
	l.sentSince.Store(0)
}

// usable reports whether attempts may be sent: the target is not known to be
// out of reach or draining.
func (l *link) usable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.downUntil) && !l.heartbeat.Draining
}

// connect returns the open connection, dialling if there is none.
func (l *link) connect(ctx context.Context) (*peer.Conn, error) {
	l.dialMu.Lock()
	defer l.dialMu.Unlock()
	l.mu.Lock()
	conn := l.conn
	l.lastUsed = time.Now()
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
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
// were sent to an earlier process at the same address are lost, and so are all
// when the targetd was last heard so long ago that it may have forgotten them:
// it could not tell them from attempts that never arrived.
func (l *link) adopt(conn *peer.Conn) {
	l.forgetHints(conn.Remote().Incarnation)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	l.downUntil = time.Time{}
	l.heartbeat = peer.Heartbeat{}
	incarnation := conn.Remote().Incarnation
	now := time.Now()
	forgotten := now.Sub(l.heard) > resumeTimeout
	for key, p := range l.pendings {
		if forgotten || l.incarnation != incarnation {
			p.lose()
			delete(l.pendings, key)
			continue
		}
		next := p.nextPart()
		l.log.At(event.AnswerResumed).Str("request", key.request).Uint64("next", next).Send()
		_, _ = conn.Send(peer.Resume{Request: key.request, Attempt: key.attempt, Next: next, StartBy: p.submit.StartBy})
	}
	l.incarnation = incarnation
	if l.granter != nil {
		_, _ = conn.Send(peer.LoadOffer{}) // a lost connection is seen by its reader
	}
	l.heard = now
	l.log.At(event.PeerConnected).Str("peer", conn.Remote().Name).Send()
	go l.read(conn)
}

// forgetHints drops what another process at the same address said. It must be
// called without l.mu, which is locked while the hints are read.
func (l *link) forgetHints(incarnation string) {
	l.mu.Lock()
	same := l.incarnation == incarnation
	l.mu.Unlock()
	if !same {
		l.hints.forget(l.target.Name)
		l.report(0)
	}
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
	waiting := len(l.pendings)
	l.mu.Unlock()
	if waiting > 0 {
		l.recover()
	}
}

// recover dials until a connection stands or the answers have waited too long.
func (l *link) recover() {
	ctx, cancel := context.WithTimeout(context.Background(), resumeTimeout)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		if _, err := l.connect(ctx); err == nil {
			return
		}
		select {
		case <-time.After(peer.Backoff(n, rand.Float64())):
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, p := range l.pendings {
		p.lose()
		delete(l.pendings, key)
	}
}

// handle passes one message to the attempt that it is for. Messages of
// attempts that nobody waits for are dropped.
func (l *link) handle(m peer.Message) {
	l.mu.Lock()
	l.heard = time.Now()
	l.mu.Unlock()
	var key attemptKey
	switch m := m.(type) {
	case peer.Heartbeat:
		l.mu.Lock()
		l.heartbeat = m
		l.mu.Unlock()
		l.report(m.Running)
		return
	case peer.LoadReport:
		if l.granter != nil {
			l.granter.report(time.Now(), l, m)
		}
		return
	case peer.Residency:
		l.hints.set(l.target.Name, m.Adapters, m.Floor)
		l.report(m.Load)
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
	if p != nil {
		p.deliver(m)
	}
}
