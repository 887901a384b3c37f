package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"github.com/borageusher/borageusher/internal/event"
	"github.com/borageusher/borageusher/internal/peer"
	"github.com/borageusher/borageusher/pkg/orders"
)

// useInterval is the pause between two reports of use to a targetd.
const useInterval = 250 * time.Millisecond

// linkPause is the longest pause between two attempts to connect to a targetd:
// engines can't be told to load anything meanwhile.
const linkPause = 500 * time.Millisecond

// links keeps a connection to the targetd beside each engine.
type links struct {
	ctx    context.Context
	fleet  *Fleet
	dialer *peer.Dialer
	port   uint16 // of all targetds
	log    event.Log
	down   func(now time.Time, target string)
	crash  func(time.Time, peer.CrashReport)
}

// join starts the connection to the targetd of a node. It is called with the
// fleet locked.
func (l *links) join(n *node) {
	if l.fleet.cfg == nil || l.fleet.cfg.Services[n.replica.Service].Engine == nil || n.stopLink != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	n.stopLink = cancel
	addr := netip.AddrPortFrom(n.replica.Addr.Addr(), l.port)
	go l.keep(ctx, n, n.replica.ID, addr)
}

// keep dials the targetd again and again until ctx is done.
func (l *links) keep(ctx context.Context, n *node, id string, addr netip.AddrPort) {
	for failures := 0; ctx.Err() == nil; failures++ {
		c, err := l.dialer.Dial(ctx, addr)
		if err == nil {
			failures = 0
			err = l.serve(ctx, n, id, c)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.fleet.alive(time.Now(), n) // the VM runs, its targetd does not
		}
		if failures < 2 {
			l.log.At(event.PeerLost).Str("target", id).Stringer("address", addr).Err(err).Send()
		}
		select {
		case <-time.After(min(linkPause, peer.Backoff(failures, rand.Float64()))):
		case <-ctx.Done():
		}
	}
}

// serve takes what the targetd tells until the connection ends.
func (l *links) serve(ctx context.Context, n *node, id string, c *peer.Conn) error {
	start := n.start
	l.log.At(event.PeerConnected).Str("target", id).Str("peer", c.Remote().Name).Send()
	f := l.fleet
	f.mu.Lock()
	n.link = c
	f.sendTerms(n, true)
	f.mu.Unlock()
	err := c.Run(ctx, func() peer.Heartbeat { return peer.Heartbeat{Active: true} }, func(m peer.Message) {
		now := time.Now()
		f.heard(now, n)
		switch m := m.(type) {
		case peer.EngineState:
			if f.believe(now, n, m) {
				l.down(now, start)
			}
		case peer.EngineLoad:
			f.loaded(now, n, m)
		case peer.CrashReport:
			l.crash(now, m)
		}
	})
	f.mu.Lock()
	n.link = nil
	f.announceAll()
	f.mu.Unlock()
	return err
}

// heard notes a message of a targetd.
func (f *Fleet) heard(now time.Time, n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.heardAt, n.aliveAt = now, now
}

// loaded takes what a targetd tells of its engine's load.
func (f *Fleet) loaded(now time.Time, n *node, m peer.EngineLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.wanted, n.full = m.Wanted, m.Full
	n.observe(now, Load{Running: m.Running, Waiting: m.Queued, Slots: n.replica.Slots})
}

// believe takes what a targetd tells of its engine, and reports whether the
// engine ended without a notice.
func (f *Fleet) believe(now time.Time, n *node, s peer.EngineState) (crashed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.timeLoads(now, n, s)
	crashed = n.crashed(s)
	arrived, changed := n.believe(now, s)
	for _, a := range arrived {
		f.announce(a)
	}
	if changed {
		f.announceAll()
	}
	return crashed
}

// timeLoads observes how long the adapters that arrived took since they were
// asked for.
func (f *Fleet) timeLoads(now time.Time, n *node, s peer.EngineState) {
	for _, a := range s.Resident {
		key := orders.Adapter{Model: a.Model, Name: a.Adapter}
		if !n.coming[key] {
			continue
		}
		if asked, ok := n.asked[key]; ok && !n.warm.has(key, a.Version) {
			n.loadTime.Observe(now.Sub(asked))
			delete(n.asked, key)
		}
	}
}

// broadcast sends m to some targetds, which tell all entries.
func (f *Fleet) broadcast(m peer.CrashReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent := 0
	for _, n := range f.nodes {
		if n.link == nil || sent == reportCopies {
			continue
		}
		if _, err := n.link.Send(m); err == nil {
			sent++
		}
	}
}

// reportCopies is the number of targetds that are told of a crash, so that the
// loss of two at once leaves one that tells the other entries.
const reportCopies = 3
