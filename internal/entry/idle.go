package entry

import (
	"context"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
)

// Timing of idle links.
const (
	linkIdleTimeout = time.Minute     // time without use after which a connection is closed
	sweepInterval   = 5 * time.Second // interval between two searches for unused links
)

// Gossip is the gossip protocol that shares the peer connections. Attach adds a
// connection until detach is called, Handle reports whether m was a gossip message
// and handles it, and Heartbeat returns the heartbeat to send.
type Gossip interface {
	Attach(conn *peer.Conn) (detach func())
	Handle(conn *peer.Conn, m peer.Message) bool
	Heartbeat() peer.Heartbeat
}

// CloseIdleLinks periodically closes unused links until ctx is done.
func (e *Entry) CloseIdleLinks(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.links.sweep(now, e.opts.Targets)
		}
	}
}

// sweep closes the connections that no attempt has used for linkIdleTimeout, and
// deletes unused links to targets that are no longer known.
func (lt *linkTable) sweep(now time.Time, targets Targets) {
	present := map[string]bool{}
	for _, t := range targets.Targets() {
		present[t.Name] = true
	}
	lt.mu.Lock()
	defer lt.mu.Unlock()
	for name, l := range lt.links {
		if l.closeIfIdle(now) && !present[name] {
			delete(lt.links, name)
		}
	}
}

// closeIfIdle closes the connection if no attempt is pending and none has used
// the link for linkIdleTimeout. It reports whether the link is unused: it has
// neither a connection nor pending attempts.
func (l *link) closeIfIdle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return len(l.pending) == 0
	}
	if len(l.pending) > 0 || now.Sub(l.lastUsed) < linkIdleTimeout {
		return false
	}
	l.conn.Close()
	l.conn = nil
	return true
}

// newHeartbeat returns the next heartbeat to send over the link's connection.
func (l *link) newHeartbeat() peer.Heartbeat {
	m := peer.Heartbeat{Revision: l.revision()}
	if l.gossip != nil {
		m = l.gossip.Heartbeat()
	}
	m.Active = l.hasPending()
	return m
}

// runConn serves conn until it ends, passing gossip messages to l.gossip and all
// others to handleMessage.
func (l *link) runConn(conn *peer.Conn) error {
	if l.gossip == nil {
		return conn.Run(context.Background(), l.newHeartbeat, func(m peer.Message) { l.handleMessage(conn, m) })
	}
	detach := l.gossip.Attach(conn)
	defer detach()
	return conn.Run(context.Background(), l.newHeartbeat, func(m peer.Message) {
		if !l.gossip.Handle(conn, m) {
			l.handleMessage(conn, m)
		}
	})
}
